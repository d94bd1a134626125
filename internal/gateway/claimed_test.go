package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// lateReplica commits commands at once, or while it is uncertain after their proposers have given up.
type lateReplica struct {
	replica
	mutex     sync.Mutex
	state     *state.State
	index     uint64
	changed   chan struct{}
	uncertain bool
	held      []state.Command
}

func (r *lateReplica) View(read func(s *state.State)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	read(r.state)
}

func (r *lateReplica) Applied() (uint64, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.index, r.changed
}

func (r *lateReplica) Commit(_ context.Context, c state.Command) (state.Reply, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.uncertain {
		r.held = append(r.held, c)
		return state.Reply{}, &replicator.Error{Op: "commit", Kind: replicator.KindUncertain, Err: context.DeadlineExceeded}
	}
	reply := r.apply(c)
	return reply, reply.Err()
}

func (r *lateReplica) apply(c state.Command) state.Reply {
	r.index++
	reply := r.state.ApplyCommand(r.index, c)
	close(r.changed)
	r.changed = make(chan struct{})
	return reply
}

func (r *lateReplica) setUncertain(uncertain bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.uncertain = uncertain
}

// release commits what was held back.
func (r *lateReplica) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.held {
		r.apply(c)
	}
	r.held = nil
}

// TestUncertainClaimIsSettled guards against a claim whose commit was uncertain and which commits later: its request was answered
// as not run, nobody runs it, and each repeated request waits for its result in vain.
func TestUncertainClaimIsSettled(t *testing.T) {
	request := func(id fleet.RequestID) *admittedRequest {
		return &admittedRequest{job: carrier.Request{ID: id, Customer: "a"}, timeout: time.Second, idempotencyKey: "k", digest: []byte("d")}
	}
	checkNotRun := func(t *testing.T, w *httptest.ResponseRecorder) {
		t.Helper()
		assert.Equal(t, w.Code, http.StatusServiceUnavailable, w.Body.String())
		assert.Assert(t, strings.Contains(w.Body.String(), string(fleet.NotRun)), w.Body.String())
	}
	for _, late := range []bool{false, true} {
		t.Run(map[bool]string{false: "committed before the settlement", true: "committed after the settlement"}[late], func(t *testing.T) {
			t.Parallel()
			r := &lateReplica{state: state.New(), changed: make(chan struct{}), uncertain: true}
			m := metrics.NewRegistry()
			g := &Gateway{
				options: Options{Entry: "e", Boot: "b", Replica: r, Logger: zap.NewNop()}, cancels: map[fleet.RequestID]context.CancelFunc{},
				refused: metrics.GetOrRegisterCounter("r", m), answered: metrics.GetOrRegisterCounter("a", m),
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			post := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
			w := httptest.NewRecorder()
			g.serveClaimed(w, post, request("r-1"))
			checkNotRun(t, w)
			if !late {
				r.release()
				claim, opened, p := g.openClaim(ctx, request("r-2"))
				assert.Assert(t, p == nil)
				assert.Assert(t, !opened)
				assert.Equal(t, claim.Request, fleet.RequestID("r-1"))
				r.setUncertain(false)
				w = httptest.NewRecorder()
				g.respondWhenSettled(ctx, w, post, claim.Request)
				checkNotRun(t, w)
			}
			r.setUncertain(false)
			g.inFlight.Wait()
			r.release()
			for _, c := range r.state.Claims {
				assert.Equal(t, c.Result, fleet.NotRun)
			}
			_, opened, p := g.openClaim(ctx, request("r-3"))
			assert.Assert(t, p == nil)
			assert.Assert(t, opened, "the key is taken by a request that did not run")
		})
	}
}

// TestClaimThatIsNotCommittedIsNotSettled checks that an entry without a leader, whose claim is certainly not committed, leaves nothing to
// commit later.
func TestClaimThatIsNotCommittedIsNotSettled(t *testing.T) {
	g := &Gateway{options: Options{Entry: "e", Boot: "b", Replica: leaderlessReplica{}, Logger: zap.NewNop()}}
	_, opened, p := g.openClaim(t.Context(), &admittedRequest{job: carrier.Request{ID: "r", Customer: "a"}, idempotencyKey: "k"})
	assert.Assert(t, !opened)
	assert.Equal(t, p.Outcome, fleet.NotRun)
	g.inFlight.Wait()
}

// leaderlessReplica knows no leader.
type leaderlessReplica struct{ replica }

func (leaderlessReplica) View(read func(s *state.State)) { read(state.New()) }

func (leaderlessReplica) Commit(context.Context, state.Command) (state.Reply, error) {
	return state.Reply{}, &replicator.Error{Op: "commit", Kind: replicator.KindNoLeader}
}
