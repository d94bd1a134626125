package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestRestartedInstanceIsKnownBetweenCommits guards against a second run of one task: an instance restarts under its ID and announces its next
// boot, the leader is lost before the enrolment of that boot is committed, and the boot executes a start of that leader. The next leader must
// wait for the instance before it starts the task elsewhere.
func TestRestartedInstanceIsKnownBetweenCommits(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("b", "p")
	f.advance(time.Second)
	start := submitAndTakeStart(f)
	f.scheduler.HandleOrderOutcome(f.now, start, scheduler.Uncertain)
	next := f.state.Workload.Enrolled[start.Instance]
	next.Boot, next.Sequence, next.Clock = f.now.Milliseconds(), 1, time.Second
	assert.Assert(t, f.scheduler.HandleAnnouncement(f.now, next))
	if c := f.scheduler.TakeDeregistrations(); len(c.Instances) > 0 {
		f.commit(c)
	}
	f.now += 100 * time.Millisecond
	f.startLeader()
	f.runs[start.Instance] = map[workload.TaskID]workload.Run{start.Task: start.Run}
	f.advance(time.Second)
	assert.Equal(t, len(f.startOrders), 0, "started again while run %d is at work on %s", start.Run, start.Instance)
}
