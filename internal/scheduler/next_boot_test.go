package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// TestStartThatNextBootDidNotReceiveIsPlacedAgain guards against a task that waits for a run which does not exist (LOST): the order was not sent, as a
// later boot of the instance had answered.
func TestStartThatNextBootDidNotReceiveIsPlacedAgain(t *testing.T) {
	for name, announcedBefore := range map[string]bool{"before the restart is known": false, "after the announcement of the next boot": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addInstance("a", "p")
			f.addInstance("b", "p")
			f.advance(time.Second)
			start := submitAndTakeStart(f)
			next := f.state.Workload.Enrolled[start.Instance]
			next.Boot += 500
			next.Clock = time.Second
			if announcedBefore {
				f.enrol(next)
			}
			f.scheduler.HandleOrderOutcome(f.now, start, scheduler.Restarted)
			polled := false
			for _, o := range f.scheduler.TakeOrders() {
				polled = polled || o.Kind == scheduler.ImmediatePoll && o.Instance == start.Instance
			}
			assert.Assert(t, polled, "the restarted instance is not polled at once")
			f.advance(time.Second)
			assert.Equal(t, len(f.startOrders), 1)
			assert.Equal(t, f.startOrders[0].Task, start.Task)
			assert.Assert(t, f.startOrders[0].Run > start.Run)
		})
	}
}
