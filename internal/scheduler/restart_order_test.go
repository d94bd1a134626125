package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// TestStopAnsweredByEarlierBoot guards against a second run of one task: a start is not answered, the boot to which it was sent accepts a stop
// and ends, and the response arrives after the next boot under the ID is known. That boot may still execute the start, until it has
// accepted a stop itself.
func TestStopAnsweredByEarlierBoot(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("b", "p")
	f.advance(time.Second)
	start := submitAndTakeStart(f)
	id := start.Instance
	f.scheduler.HandleOrderOutcome(f.now, start, scheduler.Uncertain)
	boot := f.bootMillis[string(id)]
	report := func(boot int64) (stop scheduler.Order) {
		f.now += 100 * time.Millisecond
		f.scheduler.HandleReport(f.now, id, f.now-time.Millisecond, scheduler.StatusReport{Boot: boot, Clock: time.Minute + f.now})
		f.scheduler.Tick(f.now, f.now.Milliseconds())
		for _, d := range f.scheduler.TakeDecisions() {
			assert.Check(t, d.What != "run lost", "run %d may still begin and is taken for lost: %s", d.Run, d.Reason)
		}
		for _, o := range f.scheduler.TakeOrders() {
			if o.Kind == scheduler.Stop {
				stop = o
			}
		}
		return stop
	}
	stop := report(boot)
	assert.Equal(t, stop.Run, start.Run, "no stop prevents the start")
	next := f.state.Workload.Enrolled[id]
	next.Boot, next.Sequence, next.Clock = boot+500, 1, time.Minute+f.now
	f.enrol(next)
	f.scheduler.TakeDecisions() // of the restart
	f.scheduler.HandleOrderOutcome(f.now, stop, scheduler.Accepted)
	stopOfNext := report(next.Boot)
	assert.Equal(t, stopOfNext.Boot, next.Boot, "no stop prevents the start on the next boot")
	report(next.Boot)
	f.scheduler.HandleOrderOutcome(f.now, stopOfNext, scheduler.Accepted)
	f.advance(time.Second)
	assert.Equal(t, len(f.startOrders), 1, "the task does not start again")
}
