package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// pacedFleet returns a fleet with a service task and a best-effort task on one instance.
func pacedFleet(t *testing.T) (f *testFleet, service workload.TaskID) {
	t.Helper()
	f = newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}, Service: true, TailLatencyTarget: 100 * time.Millisecond})
	filler := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}, Service: true, BestEffort: true})
	f.advance(300 * time.Millisecond)
	assert.Equal(t, len(f.placements(filler)), 1)
	for task := range f.placements(job) {
		service = task
	}
	assert.Equal(t, service.Job, job)
	return f, service
}

// TestUnansweredThrottleIsRepeated guards against a throttle that is lost on its way and never sent again: the best-effort run
// slows the service task down for good.
func TestUnansweredThrottleIsRepeated(t *testing.T) {
	f, service := pacedFleet(t)
	f.tailMillis[service] = 200
	for lost := 0; lost < 2; {
		f.now += 100 * time.Millisecond
		f.pollAll()
		f.scheduler.Tick(f.now, f.now.Milliseconds())
		before := lost
		for _, o := range f.scheduler.TakeOrders() {
			if o.Kind == scheduler.Throttle && o.ThrottlePercent == 0 {
				lost++
				f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Uncertain)
			}
		}
		assert.Assert(t, lost > before, "not throttled after %d lost orders", before)
	}
}

// TestNextLeaderReleasesThrottledRun guards against a best-effort run that an earlier leader has paused and that no later one
// releases.
func TestNextLeaderReleasesThrottledRun(t *testing.T) {
	f, service := pacedFleet(t)
	f.tailMillis[service] = 200
	f.advance(300 * time.Millisecond)
	paused := len(f.throttleOrders)
	assert.Assert(t, paused > 0)
	assert.Equal(t, f.throttleOrders[paused-1].ThrottlePercent, 0)
	f.tailMillis[service] = 1
	f.startLeader()
	f.advance(5 * time.Second)
	assert.Assert(t, len(f.throttleOrders) > paused, "no order")
	assert.Equal(t, f.throttleOrders[len(f.throttleOrders)-1].ThrottlePercent, 100)
}

// TestAdoptedRunsGetOneThrottle guards against a stream of throttles after a new leader has adopted the runs: only best-effort runs
// get one, and one each.
func TestAdoptedRunsGetOneThrottle(t *testing.T) {
	f, _ := pacedFleet(t)
	bestEffort := workload.Step{Count: 2, Resources: workload.Resources{Processors: 1000}, Service: true, BestEffort: true}
	f.submitJob(bestEffort)
	f.advance(300 * time.Millisecond)
	assert.Equal(t, len(f.throttleOrders), 0)
	f.startLeader()
	f.advance(5 * time.Second)
	assert.Equal(t, len(f.throttleOrders), 3, "one for each best-effort run")
	throttled := map[workload.TaskID]bool{}
	for _, o := range f.throttleOrders {
		step := f.state.Workload.Jobs[o.Task.Job].Job.Steps[0]
		assert.Check(t, step.BestEffort, "%s", o.Task)
		assert.Check(t, o.ThrottlePercent == 100, "%s", o.Task)
		throttled[o.Task] = true
	}
	assert.Equal(t, len(throttled), 3)
}
