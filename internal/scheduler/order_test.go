package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// startOne places one task and returns its order, without telling the scheduler what became of it.
func submitAndTakeStart(f *testFleet) scheduler.Order {
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.now += 100 * time.Millisecond
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	orders := f.scheduler.TakeOrders()
	assert.Equal(f.t, len(orders), 1)
	assert.Equal(f.t, orders[0].Kind, scheduler.Start)
	return orders[0]
}

// TestUnansweredStartLeavesTheInstanceOpen answers instances that leave a part of their orders unanswered: one lost answer
// must not keep other work away from the instance.
func TestUncertainStartKeepsInstanceSchedulable(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	f.scheduler.HandleOrderOutcome(f.now, submitAndTakeStart(f), scheduler.Uncertain)
	started := startsImmediately(f)
	assert.Assert(t, started, "the next task must start at once")
}

// startOneMore submits another task and reports whether its start was ordered.
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

// TestUnansweredStartThatRunsIsKept answers a lost answer: the run that a look then shows goes on.
func TestUncertainStartListedByPollIsKept(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	o := submitAndTakeStart(f)
	f.runs[id][o.Task] = o.Run
	f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Uncertain)
	f.advance(time.Second)
	assert.Equal(t, f.runs[id][o.Task], o.Run, "the run was stopped although it ran")
}

// TestUnansweredStartThatDoesNotRunIsBarred answers an order that is carried out seconds late: the task runs again only after
// a stop has barred the first start.
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
			assert.Assert(t, next.Kind != scheduler.Start || stopped, "started again before the first start was barred")
			f.executeOrder(next)
		}
	}
	assert.Assert(t, stopped)
	assert.Assert(t, f.runs[id][o.Task] > o.Run, "the task must run again")
}
