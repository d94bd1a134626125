package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// newAdviceFleet returns a fleet whose queue "q" requires advice, with four instances in its pool.
func newAdviceFleet(t *testing.T) *testFleet {
	f := newTestFleet(t)
	f.changeCatalogue(func(c *workload.Catalogue) {
		c.Queues[0].Advice = &workload.Advice{DecisionTime: 20 * time.Millisecond, Period: time.Millisecond, Validity: 2 * time.Second}
	})
	for _, name := range []string{"a", "b", "c", "d"} {
		f.addInstance(name, "p")
	}
	f.addInstance("x", "o")
	f.addInstance("y", "o")
	f.advance(time.Second)
	return f
}

// answerAdvice answers an advice request with tickets for those of its instances that are allowed.
func (f *testFleet) answerAdvice(request scheduler.AdviceRequest, allowed ...fleet.InstanceID) {
	tickets := map[fleet.InstanceID]string{}
	for _, id := range request.Instances {
		for _, allowedID := range allowed {
			if allowedID == id {
				tickets[id] = "ticket-" + string(id)
			}
		}
	}
	f.scheduler.HandleAdvice(f.now, request, tickets, true)
}

// TestAdvisedStepStartsOnlyWithTicket uses a policy that allows one instance of four. It guards against starts without
// a ticket, against more than one advice request in flight, and against repeated requests for instances that were
// denied.
func TestAdvisedStepStartsOnlyWithTicket(t *testing.T) {
	f := newAdviceFleet(t)
	job := f.submitJob(workload.Step{Count: 5, Resources: workload.Resources{Processors: 6000}})
	f.advance(300 * time.Millisecond)
	requests := f.scheduler.TakeAdviceRequests()
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, len(f.startOrders), 0)
	requested := map[fleet.InstanceID]int{}
	for range 6 {
		for _, o := range requests {
			for _, id := range o.Instances {
				requested[id]++
			}
			f.answerAdvice(o, "i-d")
		}
		f.advance(200 * time.Millisecond)
		requests = f.scheduler.TakeAdviceRequests()
	}
	assert.Equal(t, len(f.placements(job)), 5)
	for _, o := range f.startOrders {
		assert.Equal(t, o.Instance, fleet.InstanceID("i-d"))
		assert.Equal(t, o.Ticket, "ticket-i-d")
	}
	assert.DeepEqual(t, requested, map[fleet.InstanceID]int{"i-a": 1, "i-b": 1, "i-c": 1, "i-d": 1})
}

// TestExpiredTicketIsRenewed restarts a task after its ticket has expired. The step must request a new ticket instead
// of starting with the old one or waiting forever.
func TestExpiredTicketIsRenewed(t *testing.T) {
	f := newAdviceFleet(t)
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 6000}})
	f.advance(100 * time.Millisecond)
	first := f.scheduler.TakeAdviceRequests()
	f.answerAdvice(first[0], "i-a")
	f.advance(200 * time.Millisecond)
	assert.Equal(t, len(f.placements(job)), 1)
	f.advance(3 * time.Second)
	for task, id := range f.placements(job) {
		f.endRun(id, task, workload.EndedFailed)
	}
	f.advance(300 * time.Millisecond)
	renewed := f.scheduler.TakeAdviceRequests()
	assert.Equal(t, len(renewed), 1, "the ticket has expired")
	f.answerAdvice(renewed[0], "i-a")
	f.advance(300 * time.Millisecond)
	assert.Equal(t, len(f.placements(job)), 1)
}

// TestUnansweredAdviceIsRetriedAfterBackoff uses a policy service that does not respond. The step must neither wait
// forever nor repeat its request at once.
func TestUnansweredAdviceIsRetriedAfterBackoff(t *testing.T) {
	f := newAdviceFleet(t)
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 6000}})
	f.advance(200 * time.Millisecond)
	requests := f.scheduler.TakeAdviceRequests()
	assert.Equal(t, len(requests), 1)
	f.scheduler.HandleAdvice(f.now, requests[0], nil, false)
	f.advance(100 * time.Millisecond)
	assert.Equal(t, len(f.scheduler.TakeAdviceRequests()), 0, "repeated before the backoff is over")
	f.advance(400 * time.Millisecond)
	assert.Equal(t, len(f.scheduler.TakeAdviceRequests()), 1)
}

// TestTicketOfRejectedStartIsDiscarded uses an instance that rejects a start. It guards against another start with the
// same ticket: the policy service must be asked again first.
func TestTicketOfRejectedStartIsDiscarded(t *testing.T) {
	f := newAdviceFleet(t)
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 6000}})
	f.advance(100 * time.Millisecond)
	f.answerAdvice(f.scheduler.TakeAdviceRequests()[0], "i-a")
	f.now += 100 * time.Millisecond
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	orders := f.scheduler.TakeOrders()
	assert.Equal(t, orders[0].Kind, scheduler.Start)
	f.scheduler.HandleOrderOutcome(f.now, orders[0], scheduler.Rejected)
	f.advance(300 * time.Millisecond)
	assert.Equal(t, len(f.startOrders), 0)
	assert.Equal(t, len(f.scheduler.TakeAdviceRequests()), 1)
}
