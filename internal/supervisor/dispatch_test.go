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
