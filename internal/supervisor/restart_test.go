package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestWaitingStartEndsWithItsBoot guards against a second run of one task: a start waits behind orders that are not answered, its instance is
// given up meanwhile and the task starts elsewhere, and the next boot at the address, which carries out orders to the boot before, gets the
// start as soon as those orders have timed out.
func TestWaitingStartEndsWithItsBoot(t *testing.T) {
	service := workload.Step{Count: 1, Service: true, Resources: workload.Resources{Processors: 1000, Memory: 100}}
	p := newPausedTerm(t, workload.Job{ID: jobID, Steps: []workload.Step{service}})
	t.Cleanup(p.close)
	p.replica.setLapsed(false)
	p.report()
	p.tick()
	orders := p.scheduler.TakeOrders()
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, scheduler.Start)
	p.startPolling("i")
	slots := p.dispatchers["i"].slots
	for range maxOrdersInFlight {
		slots <- struct{}{} // orders without an answer
	}
	p.dispatch(orders[0])
	p.stopPolling("i")
	for range maxOrdersInFlight {
		<-slots
	}
	p.scheduler.TakeDecisions()
	var unsent []scheduler.Decision
	for end := time.Now().Add(10 * time.Second); len(unsent) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.drainInbox()
		assert.Assert(t, !p.fleet.runs(jobID), "the start was sent")
		for _, d := range p.scheduler.TakeDecisions() {
			if d.What == "run unsent" {
				unsent = append(unsent, d)
			}
		}
	}
	assert.Equal(t, len(unsent), 1, "the scheduler does not learn that the start was not sent")
}
