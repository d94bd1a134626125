package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestStartThatNextBootDidNotReceiveIsPlacedAgain guards against a task that waits for a run which does not exist (LOST): the order was not sent, as a
// later boot of the instance had answered.
func TestStartThatNextBootDidNotReceiveIsPlacedAgain(t *testing.T) {
	for name, announcedBefore := range map[string]bool{"before the restart is known": false, "after the announcement of the next boot": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addInstance("a", "p")
			f.addInstance("b", "p")
			f.advance(time.Second)
			start := submitAndTakeStart(f)
			next := f.state.Workload.Enrolled[start.Instance]
			next.Boot += 500
			next.Clock = time.Second
			if announcedBefore {
				f.enrol(next)
			}
			f.scheduler.HandleOrderOutcome(f.now, start, scheduler.Restarted)
			polled := false
			for _, o := range f.scheduler.TakeOrders() {
				polled = polled || o.Kind == scheduler.ImmediatePoll && o.Instance == start.Instance
			}
			assert.Assert(t, polled, "the restarted instance is not polled at once")
			f.advance(time.Second)
			assert.Equal(t, len(f.startOrders), 1)
			assert.Equal(t, f.startOrders[0].Task, start.Task)
			assert.Assert(t, f.startOrders[0].Run > start.Run)
		})
	}
}

// TestRestartedInstanceIsNotTriedInALoop guards against a leader that places a task on a restarted instance hundreds of times a second until a report shows
// the restart: the sender knows without a request that the boot is another one.
func TestRestartedInstanceIsNotTriedInALoop(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	starts := 0
	for range 250 {
		f.now += time.Millisecond
		f.scheduler.Tick(f.now, f.now.Milliseconds())
		for _, o := range f.scheduler.TakeOrders() {
			if o.Kind == scheduler.Start {
				starts++
				f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Restarted)
			}
		}
	}
	assert.Assert(t, starts > 0 && starts <= 3, "%d starts in 250 ms", starts)
}

// TestGangIsStoppedIfAPartWasNotSent guards against tasks that wait for the rest of their gang until they give up: a start was not sent, as its
// instance had restarted.
func TestGangIsStoppedIfAPartWasNotSent(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("b", "p")
	f.advance(time.Second)
	f.submitJob(workload.Step{Count: 2, Gang: true, Resources: workload.Resources{Processors: 1000}, MaxPerInstance: 1})
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	var starts []scheduler.Order
	for _, o := range f.scheduler.TakeOrders() {
		if o.Kind == scheduler.Start {
			starts = append(starts, o)
		}
	}
	assert.Equal(t, len(starts), 2)
	f.scheduler.HandleOrderOutcome(f.now, starts[0], scheduler.Accepted)
	f.scheduler.HandleOrderOutcome(f.now, starts[1], scheduler.Restarted)
	stopped := false
	for _, o := range f.scheduler.TakeOrders() {
		stopped = stopped || o.Kind == scheduler.Stop && o.Task == starts[0].Task
	}
	assert.Assert(t, stopped, "the part that was started is not stopped")
}

// TestLeaseOfNextBootOutlivesDeadlinesOfEarlierBoot guards against a second run of one task (TWICE): an instance that has restarted under its ID
// carries a poll or start for the earlier boot out, takes its deadline for one on its own clock, and is cut off soon after.
func TestLeaseOfNextBootOutlivesDeadlinesOfEarlierBoot(t *testing.T) {
	const (
		maxLease    = 6 * time.Second         // an instance shortens longer ones to this
		pollTimeout = 2250 * time.Millisecond // in which a poll for the earlier boot may arrive
	)
	for name, polled := range map[string]bool{"announced": false, "polled": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addInstance("a", "p")
			f.addInstance("b", "p")
			f.advance(time.Second)
			id := fleet.InstanceID("i-a")
			next := f.state.Workload.Enrolled[id]
			next.Boot += 500
			next.Clock = time.Second
			restartedAt := f.now
			if polled {
				f.scheduler.HandleReport(f.now, id, f.now-time.Millisecond, scheduler.StatusReport{Boot: next.Boot, Clock: next.Clock})
			}
			f.enrol(next)
			report := scheduler.StatusReport{Boot: next.Boot, Clock: next.Clock}
			f.scheduler.HandleReport(f.now, id, f.now-time.Millisecond, report)
			job := f.submitJob(workload.Step{Count: 2, Resources: workload.Resources{Processors: 1000}, MaxPerInstance: 1})
			f.scheduler.Tick(f.now, f.now.Milliseconds())
			started := false
			for _, o := range f.scheduler.TakeOrders() {
				if o.Kind == scheduler.Start && o.Instance == id {
					started = true
					f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Accepted)
				}
			}
			assert.Assert(t, started, "job %s does not run on the restarted instance", job)
			f.scheduler.TakeDecisions()
			outlived := restartedAt + pollTimeout + maxLease*100/98 // clocks are up to 2 % slow
			for f.now < outlived {
				request, ok := f.scheduler.NextPoll(f.now, id, false)
				assert.Assert(t, ok)
				f.scheduler.HandlePollFailure(f.now, request, scheduler.Uncertain)
				f.now += 100 * time.Millisecond
				f.scheduler.Tick(f.now, f.now.Milliseconds())
				for _, d := range f.scheduler.TakeDecisions() {
					assert.Assert(t, d.What != "run lost" || d.Instance != id, "lost %s after the restart: %s", f.now-restartedAt, d.Reason)
				}
			}
		})
	}
}

// TestLatePollForgetsNoUnreadEnd guards against a second run of one task (TWICE): an instance receives a poll with an acknowledgement, restarts under its ID, and
// carries the poll out late, when the next boot has an end that nobody has read.
func TestLatePollForgetsNoUnreadEnd(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	f.submitJob(workload.Step{Count: 5, Resources: workload.Resources{Processors: 1000}})
	f.advance(300 * time.Millisecond)
	for task := range f.runs[id] {
		f.endRun(id, task, workload.EndedDone)
	}
	f.advance(100 * time.Millisecond)
	late, _ := f.scheduler.NextPoll(f.now, id, true)
	assert.Equal(t, late.AckedEnd, uint64(5))
	f.scheduler.HandlePollFailure(f.now, late, scheduler.Uncertain)
	next := f.state.Workload.Enrolled[id]
	next.Boot, next.Clock = next.Boot+500, time.Second
	f.enrol(next)
	clock := next.Clock
	report := func(running ...scheduler.ReportedRun) {
		f.now += 100 * time.Millisecond
		clock += 100 * time.Millisecond
		f.scheduler.HandleReport(f.now, id, f.now-time.Millisecond, scheduler.StatusReport{Boot: next.Boot, Clock: clock, Running: running})
	}
	takeStarts := func() (starts []scheduler.Order) {
		f.scheduler.Tick(f.now, f.now.Milliseconds())
		for _, o := range f.scheduler.TakeOrders() {
			if o.Kind == scheduler.Start {
				starts = append(starts, o)
			}
		}
		return starts
	}
	report()
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	for _, start := range takeStarts() {
		f.scheduler.HandleOrderOutcome(f.now, start, scheduler.Accepted)
		report(scheduler.ReportedRun{Task: start.Task, Run: start.Run, Percent: 50})
		report() // the run has ended as done, and the late poll has acknowledged that end
		assert.Equal(t, len(takeStarts()), 0, "%s starts again after its end as done was acknowledged", start.Task)
	}
}
