package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// startOne places one task and returns its order, without telling the scheduler what became of it.
func startOne(b *bench) scheduler.Order {
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	b.now += 100 * time.Millisecond
	b.scheduler.Tick(b.now, b.now.Milliseconds())
	orders := b.scheduler.TakeOrders()
	assert.Equal(b.t, len(orders), 1)
	assert.Equal(b.t, orders[0].Kind, scheduler.Start)
	return orders[0]
}

// TestUnansweredStartLeavesTheInstanceOpen answers instances that leave a part of their orders unanswered: one lost answer
// must not keep other work away from the instance.
func TestUnansweredStartLeavesTheInstanceOpen(t *testing.T) {
	b := newBench(t)
	b.join("a", "p")
	b.pass(time.Second)
	b.scheduler.HandleOrderOutcome(b.now, startOne(b), scheduler.Uncertain)
	next := startOneMore(b)
	assert.Assert(t, next, "the next task must start at once")
}

// startOneMore submits another task and reports whether its start was ordered.
func startOneMore(b *bench) bool {
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	b.now += 100 * time.Millisecond
	b.scheduler.Tick(b.now, b.now.Milliseconds())
	for _, o := range b.scheduler.TakeOrders() {
		if o.Kind == scheduler.Start {
			return true
		}
	}
	return false
}

// TestUnansweredStartThatRunsIsKept answers a lost answer: the run that a look then shows goes on.
func TestUnansweredStartThatRunsIsKept(t *testing.T) {
	b := newBench(t)
	id := b.join("a", "p")
	b.pass(time.Second)
	o := startOne(b)
	b.runs[id][o.Task] = o.Run
	b.scheduler.HandleOrderOutcome(b.now, o, scheduler.Uncertain)
	b.pass(time.Second)
	assert.Equal(t, b.runs[id][o.Task], o.Run, "the run was stopped although it ran")
}

// TestUnansweredStartThatDoesNotRunIsBarred answers an order that is carried out seconds late: the task runs again only after
// a stop has barred the first start.
func TestUnansweredStartThatDoesNotRunIsBarred(t *testing.T) {
	b := newBench(t)
	id := b.join("a", "p")
	b.pass(time.Second)
	o := startOne(b)
	b.scheduler.HandleOrderOutcome(b.now, o, scheduler.Uncertain)
	barred := false
	for range 30 {
		b.now += 100 * time.Millisecond
		b.look()
		b.scheduler.Tick(b.now, b.now.Milliseconds())
		for _, next := range b.scheduler.TakeOrders() {
			barred = barred || next.Kind == scheduler.Stop && next.Task == o.Task && next.Run == o.Run
			assert.Assert(t, next.Kind != scheduler.Start || barred, "started again before the first start was barred")
			b.carryOut(next)
		}
	}
	assert.Assert(t, barred)
	assert.Assert(t, b.runs[id][o.Task] > o.Run, "the task must run again")
}
