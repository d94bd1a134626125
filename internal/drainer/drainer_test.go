package drainer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/drainer"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// fakeLeader commits requests to a state machine. before is called before each request with its operation.
type fakeLeader struct {
	state  *state.State
	index  uint64
	before func(o forwarder.Operation)
	calls  int
}

func newFakeLeader() *fakeLeader {
	return &fakeLeader{state: state.New(), before: func(forwarder.Operation) {}}
}

func (l *fakeLeader) call(_ context.Context, r forwarder.Request) (forwarder.Response, error) {
	l.calls++
	l.before(r.Operation)
	if r.DataCentre != "a" {
		return forwarder.Response{Outcome: forwarder.UnknownDataCentre}, nil
	}
	var c state.Command
	switch r.Operation {
	case forwarder.DrainDataCentre:
		c = state.DrainDataCentre{DataCentre: r.DataCentre, By: r.By, Revision: r.Revision}
	case forwarder.ResumeDataCentre:
		c = state.ResumeDataCentre{DataCentre: r.DataCentre, By: r.By, Revision: r.Revision}
	default:
		return forwarder.Response{Outcome: forwarder.Done, Revision: l.state.DrainRevisions[r.DataCentre]}, nil
	}
	l.index++
	if l.state.ApplyCommand(l.index, c).Refused == state.KindStale {
		return forwarder.Response{Outcome: forwarder.Superseded}, nil
	}
	return forwarder.Response{Outcome: forwarder.Done}, nil
}

func (l *fakeLeader) drained() bool {
	_, drained := l.state.DrainedDataCentres["a"]
	return drained
}

var (
	drain  = forwarder.Request{Operation: forwarder.DrainDataCentre, DataCentre: "a"}
	resume = forwarder.Request{Operation: forwarder.ResumeDataCentre, DataCentre: "a"}
)

func mustChange(t *testing.T, d *drainer.Drainer, r forwarder.Request) {
	t.Helper()
	response, err := d.Change(t.Context(), r)
	assert.NilError(t, err)
	assert.Equal(t, response.Outcome, forwarder.Done)
}

// TestRequestsMayBeRepeated guards against a repeated request that is refused or undoes anything.
func TestRequestsMayBeRepeated(t *testing.T) {
	l := newFakeLeader()
	d := drainer.New(l.call)
	for _, r := range []forwarder.Request{resume, drain, drain, resume, resume, drain} {
		mustChange(t, d, r)
		assert.Equal(t, l.drained(), r.Operation == forwarder.DrainDataCentre)
	}
}

// TestDrainWinsOverCrossingResumption guards against a drain that is acknowledged and not in force because an older resumption was committed
// around it, in either order, and against crossing requests that are refused.
func TestDrainWinsOverCrossingResumption(t *testing.T) {
	for name, c := range map[string]struct {
		drainedBefore  bool
		first, crossed forwarder.Request
	}{
		"resumption commits within drain":            {true, drain, resume},
		"drain commits within resumption":            {false, resume, drain},
		"drain commits within resumption of drain":   {true, resume, drain},
		"resumption commits within drain of resumed": {false, drain, resume},
	} {
		t.Run(name, func(t *testing.T) {
			l := newFakeLeader()
			d := drainer.New(l.call)
			if c.drainedBefore {
				mustChange(t, d, drain)
			}
			crossed := false
			l.before = func(o forwarder.Operation) {
				if o == c.first.Operation && !crossed {
					crossed = true
					mustChange(t, d, c.crossed)
				}
			}
			mustChange(t, d, c.first)
			assert.Assert(t, crossed)
			want := c.first.Operation == forwarder.DrainDataCentre || c.crossed.Operation == forwarder.DrainDataCentre && !c.drainedBefore
			assert.Equal(t, l.drained(), want)
		})
	}
}

// TestOldRequestIsNotSent guards against a process that was suspended after it had received a request, and sends it when the operator has had
// the opposite request acknowledged elsewhere.
func TestOldRequestIsNotSent(t *testing.T) {
	l := newFakeLeader()
	now := time.Hour
	d := drainer.New(l.call, drainer.WithClock(func() time.Duration { return now }))
	l.before = func(forwarder.Operation) { now += drainer.Lifetime + time.Millisecond }
	_, err := d.Change(t.Context(), drain)
	assert.ErrorIs(t, err, forwarder.KindNotSent)
	assert.Equal(t, l.calls, 1)
	assert.Assert(t, !l.drained())
}

// TestOutdatedChangeIsSentAgain guards against a request that fails because the leader changed between its two steps, and against one that
// is repeated for ever.
func TestOutdatedChangeIsSentAgain(t *testing.T) {
	l := newFakeLeader()
	now, outdated := time.Hour, 1
	d := drainer.New(func(ctx context.Context, r forwarder.Request) (forwarder.Response, error) {
		now += 100 * time.Millisecond
		if r.Operation != forwarder.InspectDataCentre && outdated > 0 {
			outdated--
			return forwarder.Response{Outcome: forwarder.Outdated}, nil
		}
		return l.call(ctx, r)
	}, drainer.WithClock(func() time.Duration { return now }))
	mustChange(t, d, drain)
	assert.Assert(t, l.drained())
	outdated = 1
	mustChange(t, d, resume)
	assert.Assert(t, !l.drained())
	outdated = 1000
	_, err := d.Change(t.Context(), drain)
	assert.ErrorIs(t, err, forwarder.KindNotSent)
}

// TestChangeEndsWithItsCaller guards against a request whose caller has hung up and that is sent nevertheless.
func TestChangeEndsWithItsCaller(t *testing.T) {
	l := newFakeLeader()
	ctx, cancel := context.WithCancel(t.Context())
	l.before = func(forwarder.Operation) { cancel() }
	_, err := drainer.New(l.call).Change(ctx, drain)
	assert.ErrorIs(t, err, forwarder.KindNotSent)
	assert.Assert(t, !l.drained())
}

// TestFailuresArePassedOn guards against an acknowledgement of a request that reached no leader, or that names an unknown data centre.
func TestFailuresArePassedOn(t *testing.T) {
	l := newFakeLeader()
	response, err := drainer.New(l.call).Change(t.Context(), forwarder.Request{Operation: forwarder.DrainDataCentre, DataCentre: "unknown"})
	assert.NilError(t, err)
	assert.Equal(t, response.Outcome, forwarder.UnknownDataCentre)
	lost := errors.New("no leader")
	for failing := range 2 {
		calls := 0
		d := drainer.New(func(ctx context.Context, r forwarder.Request) (forwarder.Response, error) {
			calls++
			if calls > failing {
				return forwarder.Response{}, lost
			}
			return l.call(ctx, r)
		})
		_, err := d.Change(t.Context(), drain)
		assert.ErrorIs(t, err, lost)
	}
}
