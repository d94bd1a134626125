package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// failPolls makes an instance unreachable: two polls fail, and the cordon that follows is committed.
func (f *testFleet) failPolls(id fleet.InstanceID) {
	delete(f.runs, id)
	f.failPoll(id, scheduler.Uncertain)
	f.failPoll(id, scheduler.Uncertain)
	f.advance(100 * time.Millisecond)
}

// TestJobAcceptedAfterCordonStartsWithoutWaiting replaces the leader while an instance is unreachable. A job accepted
// before the cordon may run on that instance and must wait until the leases there have expired; a job accepted after it
// must not wait.
func TestJobAcceptedAfterCordonStartsWithoutWaiting(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("dark", "p")
	f.advance(time.Second)
	step := workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}}
	f.commitJob("00000000000000aa", step)
	f.failPolls("i-dark")
	f.commitJob("00000000000000bb", step)
	f.startLeader()
	f.advance(time.Second)
	assert.Equal(t, len(f.placements("00000000000000bb")), 1)
	assert.Equal(t, len(f.placements("00000000000000aa")), 0, "it may run on the unreachable instance")
	f.advance(6 * time.Second)
	assert.Equal(t, len(f.placements("00000000000000aa")), 1, "the leases there have expired")
}

// TestNoStartBeforeUncordonIsCommitted uses a cordoned instance that answers the polls of a new leader. If a task were
// started there before the removal of the cordon is committed, the next leader would not expect its run there and would
// start it again.
func TestNoStartBeforeUncordonIsCommitted(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	f.failPolls(id)
	f.startLeader()
	f.runs[id] = map[workload.TaskID]workload.Run{}
	f.pollAll()
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	for _, o := range f.scheduler.TakeOrders() {
		assert.Assert(t, o.Kind != scheduler.Start)
	}
	f.advance(200 * time.Millisecond)
	assert.Equal(t, len(f.startOrders), 1)
}
