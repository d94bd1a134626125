package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestStartWithoutDispatcherIsRepeated guards against a start that is dropped because its instance is not polled yet or any
// more: the scheduler would take the run as ordered for good, and never start its task.
func TestStartWithoutDispatcherIsRepeated(t *testing.T) {
	service := workload.Step{Count: 1, Service: true, Resources: workload.Resources{Processors: 1000, Memory: 100}}
	p := newPausedTerm(t, workload.Job{ID: jobID, Steps: []workload.Step{service}})
	p.report()
	for range 2 {
		p.tick()
		orders := p.scheduler.TakeOrders()
		assert.Equal(t, len(orders), 1)
		assert.Equal(t, orders[0].Kind, scheduler.Start)
		p.dispatch(orders[0])
	}
}

// TestUnsentStartNamesItsReason guards against a log that blames the leader lease for a start whose instance is not polled.
func TestUnsentStartNamesItsReason(t *testing.T) {
	service := workload.Step{Count: 1, Service: true, Resources: workload.Resources{Processors: 1000, Memory: 100}}
	for reason, send := range map[string]func(p *pausedTerm, o scheduler.Order){
		"leader lease expired":   func(p *pausedTerm, o scheduler.Order) { p.sendOrder(o); p.drainInbox() },
		"instance is not polled": func(p *pausedTerm, o scheduler.Order) { p.dispatch(o) },
	} {
		t.Run(reason, func(t *testing.T) {
			p := newPausedTerm(t, workload.Job{ID: jobID, Steps: []workload.Step{service}})
			p.report()
			p.tick()
			orders := p.scheduler.TakeOrders()
			assert.Equal(t, len(orders), 1)
			p.scheduler.TakeDecisions()
			send(p, orders[0])
			decisions := p.scheduler.TakeDecisions()
			assert.Equal(t, len(decisions), 1)
			assert.Equal(t, decisions[0].What, "run unsent")
			assert.Equal(t, decisions[0].Reason, reason)
		})
	}
}
