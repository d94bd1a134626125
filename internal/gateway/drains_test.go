package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/sharer"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/pkg/client"
)

// recordingLeader keeps the changes of data centres that were recorded.
type recordingLeader struct {
	leadingEntry
	recorded []string
}

func (l *recordingLeader) RecordDrain(name fleet.DataCentreID, drained bool, _ string, _ uint64) {
	l.recorded = append(l.recorded, map[bool]string{true: "drain ", false: "resume "}[drained]+string(name))
}

func (l *recordingLeader) WaitApplied(context.Context, uint64) error { return nil }

// fixedAnnouncements are announcements that do not change.
type fixedAnnouncements struct {
	announcements
	sharer *sharer.Sharer
}

func (a fixedAnnouncements) Read(read func(s *sharer.Sharer)) { read(a.sharer) }

// startDrains returns an operator's client of an entry with data centres lowell-1 and lowell-2 in its configuration, and instance i-1 with two
// tasks in lowell-1 and i-2 in salem-1.
func startDrains(t *testing.T) (*client.Client, *lateReplica, *recordingLeader) {
	t.Helper()
	g, r, _ := startLagging(t, leadingEntry{})
	l := &recordingLeader{leadingEntry: leadingEntry{}}
	announced := sharer.New("e", "b")
	announced.Announce(1, fleet.Instance{ID: "i-1", Sequence: 1, Tasks: []fleet.Task{{Attempt: "t-1"}, {Attempt: "t-2"}}})
	g.options.Leader, g.options.OperatorKey, g.options.Logger, g.options.Metrics = l, "an-operator-key", zap.NewNop(), metrics.NewRegistry()
	g.options.Announcements = fixedAnnouncements{sharer: announced}
	r.state.Instances["i-1"] = state.Assignment{Instance: "i-1", DataCentre: "lowell-1"}
	r.state.Instances["i-2"] = state.Assignment{Instance: "i-2", DataCentre: "salem-1"}
	server := httptest.NewServer(g.routes())
	t.Cleanup(server.Close)
	return client.New(server.URL, "an-operator-key"), r, l
}

// TestDataCentresAreDrainedByOperators guards against a request that is not committed, not recorded, or refused when it is repeated, and
// against a list that lacks a data centre.
func TestDataCentresAreDrainedByOperators(t *testing.T) {
	c, r, l := startDrains(t)
	for range 2 {
		assert.NilError(t, c.DrainDataCentre(t.Context(), "lowell-1"))
	}
	assert.NilError(t, c.DrainDataCentre(t.Context(), "salem-1"))
	for range 2 {
		assert.NilError(t, c.ResumeDataCentre(t.Context(), "salem-1"))
	}
	assert.DeepEqual(t, l.recorded, []string{"drain lowell-1", "drain salem-1", "resume salem-1"})
	list, err := c.DataCentres(t.Context())
	assert.NilError(t, err)
	byName := map[string]client.DataCentre{}
	for _, d := range list {
		byName[d.Name] = d
	}
	drained := byName["lowell-1"]
	assert.Assert(t, drained.Drained && drained.By == "127.0.0.1" && !drained.Since.IsZero(), "%+v", drained)
	assert.Equal(t, drained.Instances, 1)
	assert.Equal(t, drained.RunningTasks, 2)
	assert.DeepEqual(t, byName["salem-1"], client.DataCentre{Name: "salem-1", Instances: 1})
	_, listed := byName["lowell-2"]
	assert.Assert(t, listed, "a configured data centre without instances: %+v", list)
	assert.Equal(t, len(r.state.DrainedDataCentres), 1)
}

// TestDrainOfUnknownDataCentreIsNotFound guards against a misspelt name that is acknowledged, and against drains by anybody but operators.
func TestDrainOfUnknownDataCentreIsNotFound(t *testing.T) {
	c, r, _ := startDrains(t)
	err := c.DrainDataCentre(t.Context(), "lowell/9")
	assert.ErrorIs(t, err, client.KindRefused)
	assert.ErrorContains(t, err, `data centre "lowell/9" is neither configured nor that of an instance`)
	assert.Equal(t, len(r.state.DrainedDataCentres), 0)
	g := &Gateway{options: Options{OperatorKey: "an-operator-key"}}
	w := httptest.NewRecorder()
	g.routes().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/data-centres/lowell-1/drain", nil))
	assert.Equal(t, w.Code, http.StatusUnauthorized)
}

// TestUncertainDrainIsReported guards against an acknowledgement of a drain whose commit has no answer, or without a leader.
func TestUncertainDrainIsReported(t *testing.T) {
	c, r, l := startDrains(t)
	r.setUncertain(true)
	assert.ErrorIs(t, c.DrainDataCentre(t.Context(), "lowell-1"), client.KindUnknown)
	r.setUncertain(false)
	l.err = errors.New("no leader")
	assert.ErrorIs(t, c.ResumeDataCentre(t.Context(), "lowell-1"), client.KindUnknown)
}

// TestDelayedCopyOfDrainIsRefused guards against a commit that was uncertain and takes effect after the resumption that was sent later.
func TestDelayedCopyOfDrainIsRefused(t *testing.T) {
	c, r, _ := startDrains(t)
	r.setUncertain(true)
	assert.ErrorIs(t, c.DrainDataCentre(t.Context(), "lowell-1"), client.KindUnknown)
	r.setUncertain(false)
	assert.NilError(t, c.DrainDataCentre(t.Context(), "lowell-1"))
	assert.NilError(t, c.ResumeDataCentre(t.Context(), "lowell-1"))
	r.release()
	assert.Equal(t, len(r.state.DrainedDataCentres), 0)
}

// TestDataCentreViewNames guards against field names that are not in kebab case, and a time where nothing is drained.
func TestDataCentreViewNames(t *testing.T) {
	text, err := json.Marshal(DataCentreView{Name: "a"})
	assert.NilError(t, err)
	assert.Equal(t, strings.TrimSpace(string(text)), `{"name":"a","drained":false,"instances":0,"running-tasks":0}`)
}
