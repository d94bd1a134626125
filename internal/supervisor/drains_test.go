package supervisor

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/drainer"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

func drainRequest(o forwarder.Operation, name fleet.DataCentreID, revision uint64) forwarder.Request {
	return forwarder.Request{Operation: o, DataCentre: name, By: "operator", Revision: revision}
}

// revision returns the revision of a data centre, as a process reads it before it sends a request.
func (s *resumption) revision(name fleet.DataCentreID) uint64 {
	s.t.Helper()
	response := handleWhenLeading(s.t, s.Supervisor, drainRequest(forwarder.InspectDataCentre, name, 0))
	assert.Equal(s.t, response.Outcome, forwarder.Done)
	return response.Revision
}

func (s *resumption) changeDrain(o forwarder.Operation, name fleet.DataCentreID) {
	s.t.Helper()
	request := drainRequest(o, name, s.revision(name))
	request.Inspection = handleWhenLeading(s.t, s.Supervisor, drainRequest(forwarder.InspectDataCentre, name, 0)).Inspection
	assert.Equal(s.t, handleWhenLeading(s.t, s.Supervisor, request).Outcome, forwarder.Done)
}

// TestAcknowledgedDrainIsInForce guards against an acknowledgement before the scheduler knows the drain: a job that is accepted right after it
// must not start.
func TestAcknowledgedDrainIsInForce(t *testing.T) {
	s := startResumption(t)
	s.changeDrain(forwarder.DrainDataCentre, "a")
	s.submit(submission(jobID, "/q/"))
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, !s.fleet.runs(jobID), "started in a drained data centre")
	s.changeDrain(forwarder.ResumeDataCentre, "a")
	s.waitFor("the start of the job", func() bool { s.announce(); return s.fleet.runs(jobID) })
}

// TestDrainOutlivesLeadership guards against a next leader that starts something in a drained data centre before it has read the drain: the
// request was acknowledged, or committed without an acknowledgement.
func TestDrainOutlivesLeadership(t *testing.T) {
	for name, acknowledged := range map[string]bool{"after the acknowledgement": true, "after the commit": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startResumption(t)
			if acknowledged {
				s.changeDrain(forwarder.DrainDataCentre, "a")
				s.term.Load().cancel()
			} else {
				request := drainRequest(forwarder.DrainDataCentre, "a", s.revision("a"))
				s.commitAcrossResumption(request, func(s *resumption) {
					s.term.Load().cancel()
					s.waitFor("the end of the session", func() bool { _, abandoned := s.replica.counts(); return abandoned > 0 })
				})
			}
			s.waitFor("the next leadership", s.announce)
			s.submit(submission(jobID, "/q/"))
			time.Sleep(500 * time.Millisecond)
			assert.Assert(t, !s.fleet.runs(jobID), "started in a drained data centre")
			s.changeDrain(forwarder.DrainDataCentre, "a") // a repeated request is acknowledged
		})
	}
}

// TestDrainWithoutCommitIsNotAcknowledged guards against an acknowledgement of a drain that a lost leader has proposed and that is never
// committed.
func TestDrainWithoutCommitIsNotAcknowledged(t *testing.T) {
	s := startResumption(t)
	revision := s.revision("a")
	s.replica.hold()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	response := s.HandleRequest(ctx, drainRequest(forwarder.DrainDataCentre, "a", revision))
	assert.Equal(t, response.Outcome, forwarder.Uncertain)
	s.replica.release()
}

// TestUnknownDataCentreIsRefused guards against a drain of a misspelt data centre that an operator takes for done. Those of the settings are
// known before an instance has announced itself.
func TestUnknownDataCentreIsRefused(t *testing.T) {
	s := startResumption(t)
	for _, o := range []forwarder.Operation{forwarder.DrainDataCentre, forwarder.ResumeDataCentre, forwarder.InspectDataCentre} {
		response := handleWhenLeading(t, s.Supervisor, drainRequest(o, "b", 0))
		assert.Equal(t, response.Outcome, forwarder.UnknownDataCentre)
		assert.Equal(t, response.Detail, `data centre "b" is not known: neither the settings nor an instance names it`)
	}
	s.changeDrain(forwarder.DrainDataCentre, "configured")
	s.changeDrain(forwarder.ResumeDataCentre, "configured")
}

// TestConcurrentOperators guards against requests of two operators that cross and are refused, or leave the scheduler with another state than
// the committed one.
func TestConcurrentOperators(t *testing.T) {
	s := startResumption(t)
	d := drainer.New(func(ctx context.Context, r forwarder.Request) (forwarder.Response, error) {
		return s.HandleRequest(ctx, r), nil
	})
	var operators sync.WaitGroup
	for i := range 8 {
		operators.Go(func() {
			o := []forwarder.Operation{forwarder.DrainDataCentre, forwarder.ResumeDataCentre}[i%2]
			for range 20 {
				response, err := d.Change(t.Context(), drainRequest(o, "a", 0))
				assert.Check(t, err)
				assert.Check(t, response.Outcome == forwarder.Done, "%s: outcome %d", o, response.Outcome)
			}
		})
	}
	operators.Wait()
	s.replica.View(func(committed *state.State) {
		_, drained := committed.DrainedDataCentres["a"]
		assert.Equal(t, s.term.Load().isDrained("a"), drained)
	})
}

// TestDelayedDrainIsSuperseded guards against a copy of a drain that the leader receives after the resumption that was sent later.
func TestDelayedDrainIsSuperseded(t *testing.T) {
	s := startResumption(t)
	delayed := drainRequest(forwarder.DrainDataCentre, "a", s.revision("a"))
	s.changeDrain(forwarder.DrainDataCentre, "a")
	s.changeDrain(forwarder.ResumeDataCentre, "a")
	assert.Equal(t, handleWhenLeading(t, s.Supervisor, delayed).Outcome, forwarder.Superseded)
	s.submit(submission(jobID, "/q/"))
	s.waitFor("the start of the job", func() bool { s.announce(); return s.fleet.runs(jobID) })
}

// TestWaitingStartIsWithheld guards against a start that was ordered before a drain and waits for a slot of its instance until after it. The
// order is sent by a goroutine of its own, so that the scheduler cannot take it back.
func TestWaitingStartIsWithheld(t *testing.T) {
	job := workload.Job{ID: jobID, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 1000, Memory: 100}}}}
	s := startLapsedSession(t, state.SubmitJob{Job: job, Queue: "q", At: state.Timestamp(wallMillis())})
	orders, _ := s.step()
	assert.Equal(t, len(orders), 1)
	orders[0].DataCentre = "a"
	s.replica.commit(t, state.DrainDataCentre{DataCentre: "a"})
	s.replica.View(func(committed *state.State) { s.refreshDrains(committed) })
	s.sendOrder(orders[0])
	assert.Equal(t, len(s.fleet.started), 0, "sent to a drained data centre")
	s.scheduler.TakeDecisions()
	s.drainInbox()
	decisions := s.scheduler.TakeDecisions()
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Reason, "data centre is drained")
	stop := scheduler.Order{Kind: scheduler.Stop, Instance: "i", DataCentre: "a"}
	before := s.load.orders.Load()
	s.sendOrder(stop)
	assert.Equal(t, s.load.orders.Load(), before+1, "what is not a start is sent")
}

// TestDrainsAreStatedAgain guards against a keeper that was of an earlier version when a drain was committed, and lacks it for good.
func TestDrainsAreStatedAgain(t *testing.T) {
	s := startLapsedSession(t, state.DrainDataCentre{DataCentre: "a", By: "x", At: 7})
	committed := s.replica.state
	record, index := committed.DrainedDataCentres["a"], s.replica.index
	s.restateDrains(s.now)
	s.restateDrains(s.now + drainRestatementInterval/2)
	for end := time.Now().Add(10 * time.Second); s.applied() == index && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, s.applied(), index+1, "once in an interval")
	assert.DeepEqual(t, committed.DrainedDataCentres["a"], record)
}

func (s *lapsedSession) applied() (index uint64) {
	s.replica.View(func(committed *state.State) { index = committed.AppliedIndex })
	return index
}

// TestDelayedResumptionAfterRepeatedDrain guards against a copy of a resumption that was delayed on its way and takes effect after a drain that
// was sent later. The data centre was drained already, so that the drain changed nothing.
func TestDelayedResumptionAfterRepeatedDrain(t *testing.T) {
	s := startResumption(t)
	s.changeDrain(forwarder.DrainDataCentre, "a")
	inspected := handleWhenLeading(t, s.Supervisor, drainRequest(forwarder.InspectDataCentre, "a", 0))
	delayed := drainRequest(forwarder.ResumeDataCentre, "a", inspected.Revision)
	delayed.Inspection = inspected.Inspection
	s.changeDrain(forwarder.DrainDataCentre, "a")
	time.Sleep(maxInspectionAge + 100*time.Millisecond)
	assert.Equal(t, handleWhenLeading(t, s.Supervisor, delayed).Outcome, forwarder.Outdated)
	assert.Assert(t, s.term.Load().isDrained("a"), "resumed after a later drain was acknowledged")
	ofEarlierLeader := delayed
	ofEarlierLeader.Inspection = &forwarder.Inspection{Term: inspected.Inspection.Term - 1, At: monotonicNow()}
	assert.Equal(t, handleWhenLeading(t, s.Supervisor, ofEarlierLeader).Outcome, forwarder.Outdated)
	s.changeDrain(forwarder.ResumeDataCentre, "a")
	assert.Assert(t, !s.term.Load().isDrained("a"))
}

// TestDrainIsAcknowledgedAfterUnansweredStarts guards against a start later than drainBound after the acknowledgement of a drain: an instance
// that is frozen executes an order when it thaws, at any time before the deadline of the order.
func TestDrainIsAcknowledgedAfterUnansweredStarts(t *testing.T) {
	s := startResumption(t)
	s.waitFor("a report", func() bool { s.fleet.mutex.Lock(); defer s.fleet.mutex.Unlock(); return s.fleet.polled > 0 })
	s.fleet.mutex.Lock()
	s.fleet.frozen = true
	s.fleet.mutex.Unlock()
	before := time.Now()
	s.submit(submission(jobID, "/q/"))
	s.waitFor("the start", func() bool { s.fleet.mutex.Lock(); defer s.fleet.mutex.Unlock(); return s.fleet.ordered > 0 })
	ordered := time.Now()
	s.changeDrain(forwarder.DrainDataCentre, "a")
	latestStart := s.options.Lease
	assert.Assert(t, time.Since(before) >= latestStart-drainBound, "acknowledged %s after the order, which may be executed for %s", time.Since(before), latestStart)
	assert.Assert(t, time.Since(ordered) < 900*time.Millisecond, "acknowledged after %s", time.Since(ordered))
	repeated := time.Now()
	s.changeDrain(forwarder.DrainDataCentre, "a")
	assert.Assert(t, time.Since(repeated) < 300*time.Millisecond, "a repeated request waits for nothing")
}

// TestDrainIsLoggedOnce guards against a drain that operators do not see in the log because the loop had read it from the committed state before
// the callback of its commit ran, and against a repeated request that is logged.
func TestDrainIsLoggedOnce(t *testing.T) {
	s := startLapsedSession(t)
	core, logs := observer.New(zap.InfoLevel)
	s.options.Logger = zap.New(core)
	for range 2 {
		s.replica.commit(t, state.DrainDataCentre{DataCentre: "a"})
		s.replica.View(func(committed *state.State) { s.refreshDrains(committed) })
		s.applyDrain(drainRequest(forwarder.DrainDataCentre, "a", 0))
	}
	assert.Equal(t, logs.Len(), 1)
	assert.Equal(t, logs.All()[0].ContextMap()["by"], "operator")
}
