package supervisor

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// drainRestatementInterval is the interval at which the drains are proposed again. A keeper takes longer to restart with another version.
const drainRestatementInterval = 10 * time.Second

const (
	// drainBound is how long after the acknowledgement of a drain a start may still be executed in the data centre.
	drainBound = 5 * time.Second
	// maxStartWait bounds how long an acknowledgement waits for unanswered starts; it has to be sent within a second.
	maxStartWait      = 500 * time.Millisecond
	startWaitMargin   = 100 * time.Millisecond // the clock of an instance is known within less
	startWaitInterval = 20 * time.Millisecond
)

// maxInspectionAge bounds how long a change of a data centre is on its way from the inspection on. A repeated request changes nothing, so that
// the revision alone would let a delayed copy of the opposite request take effect after it. A process sends the change at once,
// and the operator has repeated the request by then.
const maxInspectionAge = time.Second

// inspectDataCentre returns the revision of a data centre, which a request to drain or resume it must carry.
func (t *term) inspectDataCentre(request forwarder.Request) forwarder.Response {
	known, revision := t.findDataCentre(request.DataCentre)
	if !known {
		return unknownDataCentre(request.DataCentre)
	}
	return forwarder.Response{Outcome: forwarder.Done, Revision: revision, Inspection: &forwarder.Inspection{Term: t.number, At: monotonicNow()}}
}

// outdated reports whether the revision of a request was read from an earlier leader or too long ago.
func (t *term) outdated(i *forwarder.Inspection) bool {
	return i != nil && (i.Term != t.number || monotonicNow()-i.At > maxInspectionAge)
}

func unknownDataCentre(name fleet.DataCentreID) forwarder.Response {
	return forwarder.Response{Outcome: forwarder.UnknownDataCentre, Detail: fmt.Sprintf("data centre %q is not known: neither the settings nor an instance names it", name)}
}

// findDataCentre reports whether the settings, an instance or an accepted request names a data centre, and returns its revision.
func (t *term) findDataCentre(name fleet.DataCentreID) (known bool, revision uint64) {
	t.options.Replica.View(func(s *state.State) {
		known = slices.Contains(t.options.DataCentres, name) || s.HasDataCentre(name)
		revision = s.DrainRevisions[name]
	})
	return known, revision
}

// changeDrain drains or resumes a data centre. The response is sent once the scheduler knows the change too.
func (t *term) changeDrain(ctx context.Context, request forwarder.Request) forwarder.Response {
	known, _ := t.findDataCentre(request.DataCentre)
	if !known {
		return unknownDataCentre(request.DataCentre)
	}
	if t.outdated(request.Inspection) {
		return forwarder.Response{Outcome: forwarder.Outdated, Detail: "the request was on its way for too long"}
	}
	replied, err := t.commitAndWait(ctx, t.drainCommand(request), func() { t.applyDrain(request) })
	switch {
	case errors.Is(err, state.KindStale):
		return forwarder.Response{Outcome: forwarder.Superseded}
	case err != nil || !replied:
		return forwarder.Response{Outcome: forwarder.Uncertain}
	case request.Operation == forwarder.DrainDataCentre && !t.awaitStarts(ctx, request.DataCentre):
		return forwarder.Response{Outcome: forwarder.Uncertain}
	}
	return forwarder.Response{Outcome: forwarder.Done}
}

// awaitStarts waits until no start in a drained data centre can be executed later than drainBound from now. A start that is not answered may be
// executed until its deadline, which is a lease after the order. It returns false if ctx or the term ends before.
func (t *term) awaitStarts(ctx context.Context, name fleet.DataCentreID) bool {
	within := min(t.options.Lease-drainBound+startWaitMargin, maxStartWait)
	for {
		pending := false
		if !t.postAndWait(ctx, func() { t.skipPlan(); pending = t.scheduler.StartPending(monotonicNow(), name, within) }) {
			return false
		}
		if !pending {
			return true
		}
		sleep(ctx, startWaitInterval, nil)
	}
}

// drainCommand returns the command of a request. A drain that is committed already is proposed with its record.
func (t *term) drainCommand(request forwarder.Request) state.Command {
	at := state.Timestamp(wallMillis())
	if request.Operation == forwarder.ResumeDataCentre {
		return state.ResumeDataCentre{DataCentre: request.DataCentre, By: request.By, At: at, Revision: request.Revision}
	}
	command := state.DrainDataCentre{DataCentre: request.DataCentre, By: request.By, At: at, Revision: request.Revision}
	t.options.Replica.View(func(s *state.State) { command = command.WithRecord(s) })
	return command
}

// restateDrains proposes the committed drains again, for replicas that lack them because they were of an earlier version when the drains
// were committed.
func (t *term) restateDrains(now time.Duration) {
	if now-t.drainsRestatedAt < drainRestatementInterval {
		return
	}
	t.drainsRestatedAt = now
	var commands []state.Command
	t.options.Replica.View(func(s *state.State) {
		for name := range s.DrainedDataCentres {
			commands = append(commands, state.DrainDataCentre{DataCentre: name, Revision: s.DrainRevisions[name]}.WithRecord(s))
		}
	})
	for _, c := range commands {
		t.commitAsync(c, func(state.Reply, error) {})
	}
}

// applyDrain passes the committed drains to the scheduler and logs the change that a request has made.
func (t *term) applyDrain(request forwarder.Request) {
	var index uint64
	t.options.Replica.View(func(s *state.State) {
		t.refreshDrains(s)
		index = s.DrainRevisions[request.DataCentre]
	})
	after := t.isDrained(request.DataCentre)
	if t.loggedDrains[request.DataCentre] == after {
		return
	}
	t.loggedDrains[request.DataCentre] = after
	changed := event.DataCentreResumed
	if after {
		changed = event.DataCentreDrained
	}
	changed.Info(t.options.Logger, zap.String("data-centre", string(request.DataCentre)), zap.String("by", request.By), zap.Uint64("index", index))
}

// refreshDrains passes the committed drains to the scheduler if they have changed.
func (t *term) refreshDrains(s *state.State) {
	before := t.drained.Load()
	if drained := t.readDrains(s); before == nil || !maps.Equal(*before, drained) {
		t.scheduler.SetDrainedDataCentres(drained)
	}
}

// readDrains returns the drained data centres of the committed state, and keeps them for the senders of orders.
func (t *term) readDrains(s *state.State) map[fleet.DataCentreID]bool {
	drained := make(map[fleet.DataCentreID]bool, len(s.DrainedDataCentres))
	for name := range s.DrainedDataCentres {
		drained[name] = true
	}
	t.drained.Store(&drained)
	t.instruments.drained.Update(int64(len(drained)))
	return drained
}

// isDrained reports whether nothing may be started in a data centre.
func (t *term) isDrained(name fleet.DataCentreID) bool {
	drained := t.drained.Load()
	return drained != nil && (*drained)[name]
}
