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

// TestNextBootIsAwaitedByNextLeader guards against a second run of one task: an instance restarts while the leader changes, its next boot
// executes a start of the earlier leader, of which the next one does not know, announces itself and is cut off. A boot that has
// not answered the new leader accepts orders of earlier ones, so that its lease may begin as late as it became known.
func TestNextBootIsAwaitedByNextLeader(t *testing.T) {
	const lease = 5400 * time.Millisecond
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("b", "p")
	f.advance(time.Second)
	start := submitAndTakeStart(f)
	id := start.Instance
	f.startLeader()
	delete(f.runs, id) // is cut off
	f.advance(lease - 400*time.Millisecond)
	next := f.state.Workload.Enrolled[id]
	next.Boot, next.Sequence, next.Clock = f.now.Milliseconds(), 1, time.Second
	f.enrol(next)
	delete(f.runs, id)
	f.advance(lease)
	assert.Equal(t, len(f.startOrders), 0, "started again while run %d may have a lease on %s", start.Run, id)
	f.advance(2 * lease)
	assert.Equal(t, len(f.startOrders), 1, "the task does not start again")
}
