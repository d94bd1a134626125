package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// advisedBench returns a fleet of four instances whose queue has advice.
func advisedBench(t *testing.T) *bench {
	b := newBench(t)
	b.publish(func(c *workload.Catalogue) {
		c.Queues[0].Advice = &workload.Advice{DecisionTime: 20 * time.Millisecond, Period: time.Millisecond, Validity: 2 * time.Second}
	})
	for _, name := range []string{"a", "b", "c", "d"} {
		b.join(name, "p")
	}
	b.join("x", "o")
	b.join("y", "o")
	b.pass(time.Second)
	return b
}

// answer gives tickets for the instances of a consultation that a policy allows.
func (b *bench) answer(o scheduler.AdviceRequest, allowed ...fleet.InstanceID) {
	tickets := map[fleet.InstanceID]string{}
	for _, id := range o.Instances {
		for _, a := range allowed {
			if a == id {
				tickets[id] = "ticket-" + string(id)
			}
		}
	}
	b.scheduler.HandleAdvice(b.now, o, tickets, true)
}

// TestAdvisedStepStartsWithTicketsOnly answers a queue whose policy allows one instance of four: nothing starts before the
// advice, one call is under way at a time, and what is refused is not asked for again.
func TestAdvisedStepStartsWithTicketsOnly(t *testing.T) {
	b := advisedBench(t)
	job := b.submit(workload.Step{Count: 5, Resources: workload.Resources{Processors: 6000}})
	b.pass(300 * time.Millisecond)
	calls := b.scheduler.TakeAdviceRequests()
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, len(b.starts), 0)
	asked := map[fleet.InstanceID]int{}
	for range 6 {
		for _, o := range calls {
			for _, id := range o.Instances {
				asked[id]++
			}
			b.answer(o, "i-d")
		}
		b.pass(200 * time.Millisecond)
		calls = b.scheduler.TakeAdviceRequests()
	}
	assert.Equal(t, len(b.where(job)), 5)
	for _, o := range b.starts {
		assert.Equal(t, o.Instance, fleet.InstanceID("i-d"))
		assert.Equal(t, o.Ticket, "ticket-i-d")
	}
	assert.DeepEqual(t, asked, map[fleet.InstanceID]int{"i-a": 1, "i-b": 1, "i-c": 1, "i-d": 1})
}

// TestExpiredTicketIsRenewed answers a step that waits for room longer than its ticket is valid.
func TestExpiredTicketIsRenewed(t *testing.T) {
	b := advisedBench(t)
	job := b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 6000}})
	b.pass(100 * time.Millisecond)
	first := b.scheduler.TakeAdviceRequests()
	b.answer(first[0], "i-a")
	b.pass(200 * time.Millisecond)
	assert.Equal(t, len(b.where(job)), 1)
	b.pass(3 * time.Second)
	for task, id := range b.where(job) {
		b.end(id, task, workload.EndedFailed)
	}
	b.pass(300 * time.Millisecond)
	again := b.scheduler.TakeAdviceRequests()
	assert.Equal(t, len(again), 1, "the ticket is over")
	b.answer(again[0], "i-a")
	b.pass(300 * time.Millisecond)
	assert.Equal(t, len(b.where(job)), 1)
}

// TestLostAdviceIsAskedForAgain answers a policy service that gives no answer.
func TestLostAdviceIsAskedForAgain(t *testing.T) {
	b := advisedBench(t)
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 6000}})
	b.pass(200 * time.Millisecond)
	calls := b.scheduler.TakeAdviceRequests()
	assert.Equal(t, len(calls), 1)
	b.scheduler.HandleAdvice(b.now, calls[0], nil, false)
	b.pass(100 * time.Millisecond)
	assert.Equal(t, len(b.scheduler.TakeAdviceRequests()), 0, "not at once")
	b.pass(400 * time.Millisecond)
	assert.Equal(t, len(b.scheduler.TakeAdviceRequests()), 1)
}

// TestRefusedTicketIsDropped answers an instance that refuses a start: its ticket is not used again before the service was asked.
func TestRefusedTicketIsDropped(t *testing.T) {
	b := advisedBench(t)
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 6000}})
	b.pass(100 * time.Millisecond)
	b.answer(b.scheduler.TakeAdviceRequests()[0], "i-a")
	b.now += 100 * time.Millisecond
	b.scheduler.Tick(b.now, b.now.Milliseconds())
	orders := b.scheduler.TakeOrders()
	assert.Equal(t, orders[0].Kind, scheduler.Start)
	b.scheduler.HandleOrderOutcome(b.now, orders[0], scheduler.Rejected)
	b.pass(300 * time.Millisecond)
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, len(b.scheduler.TakeAdviceRequests()), 1)
}
