package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/state"
)

// leadingEntry knows the index of the last acknowledged command.
type leadingEntry struct {
	leader
	index uint64
	err   error
}

func (l leadingEntry) ReadIndex(context.Context) (uint64, error) { return l.index, l.err }

// leasedReplica holds a state lease, so that it answers from its copy.
type leasedReplica struct{ *lateReplica }

func (leasedReplica) LeaseLeft() time.Duration { return time.Second }

// startLagging returns a gateway whose copy of the state has a key, but not yet the claim that another entry has acknowledged, and that claim.
func startLagging(t *testing.T, l leadingEntry) (*Gateway, *lateReplica, state.Command) {
	t.Helper()
	text, err := os.ReadFile("../../examples/merrimack/configuration.yaml")
	assert.NilError(t, err)
	r := &lateReplica{state: state.New(), changed: make(chan struct{})}
	for _, c := range []state.Command{state.Configure{Text: text}, state.GrantKey{ID: "k", Hash: state.HashKey("secret"), Customer: "quality-lab"}} {
		_, err := r.Commit(t.Context(), c)
		assert.NilError(t, err)
	}
	l.index += r.index
	claim := state.OpenClaim{Claim: state.Claim{Key: state.NewClaimKey("quality-lab", "k"), Request: "r-1", Customer: "quality-lab", Queue: "cure-study"}}
	return &Gateway{options: Options{Entry: "e", Replica: leasedReplica{r}, Leader: l}}, r, claim
}

func getStatus(t *testing.T, g *Gateway, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/requests/r-1", nil)
	request.SetPathValue("request", "r-1")
	request.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	g.getRequest(w, request)
	return w.Code
}

// TestAcceptedRequestIsKnownAtEveryEntry guards against a 404 for a request that another entry has just accepted: this entry had not applied the commit.
func TestAcceptedRequestIsKnownAtEveryEntry(t *testing.T) {
	g, r, claim := startLagging(t, leadingEntry{index: 1})
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = r.Commit(context.Background(), claim)
	}()
	assert.Equal(t, getStatus(t, g, time.Minute), http.StatusAccepted)
}

// TestUnknownRequestIsNotFound checks the 404 of an entry that has applied all that was acknowledged, and that an entry which cannot tell refuses.
func TestUnknownRequestIsNotFound(t *testing.T) {
	g, _, _ := startLagging(t, leadingEntry{})
	assert.Equal(t, getStatus(t, g, time.Minute), http.StatusNotFound)
	g, _, _ = startLagging(t, leadingEntry{err: errors.New("no leader")})
	assert.Equal(t, getStatus(t, g, time.Minute), http.StatusServiceUnavailable)
	g, _, _ = startLagging(t, leadingEntry{index: 1})
	assert.Equal(t, getStatus(t, g, 100*time.Millisecond), http.StatusServiceUnavailable, "does not catch up")
}
