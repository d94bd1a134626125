package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// submitAndTakeStart submits one task and returns its start order without reporting the outcome to the scheduler.
func submitAndTakeStart(f *testFleet) scheduler.Order {
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.now += 100 * time.Millisecond
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	orders := f.scheduler.TakeOrders()
	assert.Equal(f.t, len(orders), 1)
	assert.Equal(f.t, orders[0].Kind, scheduler.Start)
	return orders[0]
}

// TestUncertainStartKeepsInstanceSchedulable uses an instance that leaves an order unanswered. One lost response must
// not keep other tasks away from the instance.
func TestUncertainStartKeepsInstanceSchedulable(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	f.scheduler.HandleOrderOutcome(f.now, submitAndTakeStart(f), scheduler.Uncertain)
	started := startsImmediately(f)
	assert.Assert(t, started, "the next task does not start immediately")
}

// startsImmediately submits a task and reports whether the next tick orders its start.
func startsImmediately(f *testFleet) bool {
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.now += 100 * time.Millisecond
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	for _, o := range f.scheduler.TakeOrders() {
		if o.Kind == scheduler.Start {
			return true
		}
	}
	return false
}

// TestUncertainStartListedByPollIsKept loses the response to a start. The run must continue when a poll then lists it.
func TestUncertainStartListedByPollIsKept(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	o := submitAndTakeStart(f)
	f.runs[id][o.Task] = o.Run
	f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Uncertain)
	f.advance(time.Second)
	assert.Equal(t, f.runs[id][o.Task], o.Run, "the run was stopped although it was listed")
}

// TestUncertainStartIsStoppedBeforeRestart guards against two runs of one task when an order is executed seconds late:
// the task may only be started again after a stop prevents the first start.
func TestUncertainStartIsStoppedBeforeRestart(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	o := submitAndTakeStart(f)
	f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Uncertain)
	stopped := false
	for range 30 {
		f.now += 100 * time.Millisecond
		f.pollAll()
		f.scheduler.Tick(f.now, f.now.Milliseconds())
		for _, next := range f.scheduler.TakeOrders() {
			stopped = stopped || next.Kind == scheduler.Stop && next.Task == o.Task && next.Run == o.Run
			assert.Assert(t, next.Kind != scheduler.Start || stopped, "started again before the first start was prevented by a stop")
			f.executeOrder(next)
		}
	}
	assert.Assert(t, stopped)
	assert.Assert(t, f.runs[id][o.Task] > o.Run, "the task is not started again")
}
