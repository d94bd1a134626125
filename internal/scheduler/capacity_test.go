package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// announceCapacity announces another capacity of a running instance and commits what the announcement changes.
func (f *testFleet) announceCapacity(id fleet.InstanceID, sequence uint64, processors int64) {
	in := f.state.Workload.Enrolled[id]
	in.Sequence, in.Capacity.Processors = sequence, processors
	f.scheduler.HandleAnnouncement(f.now, in)
	if record, uncommitted := f.scheduler.UncommittedChange(id); uncommitted {
		f.commit(state.EnrolInstance{Instance: record, KeepsCordon: true})
		f.scheduler.ConfirmChange(record)
	}
}

// claimed returns the processors that the runs on an instance claim, if each claims as much.
func (f *testFleet) claimed(id fleet.InstanceID, each int64) int64 {
	return each * int64(len(f.runs[id]))
}

// TestShrunkCapacityOutlivesLeader guards against starts beyond the capacity of an instance that has shrunk under an earlier leader (LIMIT):
// the committed state had the capacity of the enrolment.
func TestShrunkCapacityOutlivesLeader(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	f.announceCapacity(id, 2, 8000)
	f.startLeader()
	f.submitJob(workload.Step{Count: 10, Resources: workload.Resources{Processors: 4000}})
	f.advance(time.Second)
	assert.Equal(t, f.claimed(id, 4000), int64(8000))
}

// TestShrunkCapacityOfClosedInstance guards against a change of capacity that opens an instance which does not answer polls, or that the next
// leader does not know because the instance was closed.
func TestShrunkCapacityOfClosedInstance(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	f.commit(state.CordonInstances{Instances: []fleet.InstanceID{id}})
	f.announceCapacity(id, 2, 8000)
	assert.Assert(t, f.state.Workload.Cordoned[id] > 0, "opened by a change of its capacity")
	f.startLeader()
	f.submitJob(workload.Step{Count: 10, Resources: workload.Resources{Processors: 4000}})
	f.advance(time.Second)
	assert.Equal(t, f.claimed(id, 4000), int64(8000))
}

// TestCapacityFollowsAnnouncements covers a capacity that shrinks below what is claimed, on an instance that does not guard it, and grows
// again. What is being stopped counts until its end is listed, and an overtaken announcement changes nothing.
func TestCapacityFollowsAnnouncements(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 10, Resources: workload.Resources{Processors: 4000}})
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.runs[id]), 10)
	f.announceCapacity(id, 5, 20000)
	f.announceCapacity(id, 4, 64000)
	f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 4000}})
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.runs[id]), 10, "started beyond the capacity")
	for task := range f.placements(job) {
		if task.Position.Index() < 6 {
			f.endRun(id, task, workload.EndedDone)
		}
	}
	f.advance(500 * time.Millisecond)
	assert.Equal(t, f.claimed(id, 4000), int64(20000))
	f.announceCapacity(id, 6, 64000)
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.runs[id]), 8, "the capacity has grown again")
}

// TestGangWaitsForShrunkCapacity guards against a gang that is started on the capacity that its instances had before.
func TestGangWaitsForShrunkCapacity(t *testing.T) {
	f := newTestFleet(t)
	a, b := f.addInstance("a", "p"), f.addInstance("b", "p")
	f.advance(100 * time.Millisecond)
	f.announceCapacity(a, 2, 8000)
	f.announceCapacity(b, 2, 8000)
	job := f.submitJob(workload.Step{Count: 5, Resources: workload.Resources{Processors: 4000}, Gang: true})
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.placements(job)), 0)
	f.announceCapacity(b, 3, 12000)
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.runs[a]), 2)
	assert.Equal(t, len(f.runs[b]), 3)
}

// TestShrunkInstanceCountsInFullUntilItIsPolled guards against a customer beyond its limit (QUOTA): the next leader counts an instance that has
// not answered by what may run there, and that is what was started before the instance shrank.
func TestShrunkInstanceCountsInFullUntilItIsPolled(t *testing.T) {
	f := newTestFleet(t)
	f.commit(state.PublishCatalogue{Source: []byte("y"), Catalogue: workload.Catalogue{
		Version: 2, Queues: f.state.Workload.Catalogue.Queues, Pools: f.state.Workload.Catalogue.Pools,
		Customers: []workload.Customer{{Name: "c", Keys: []string{"k"}, Limit: workload.Resources{Processors: 48000}}},
	}})
	f.startLeader()
	submit := func(id workload.JobID) {
		step := workload.Step{Count: 10, Resources: workload.Resources{Processors: 4000}}
		f.commit(state.SubmitJob{Job: workload.Job{ID: id, Steps: []workload.Step{step}}, Queue: "q", Customer: "c", At: state.Timestamp(f.now.Milliseconds())})
		f.scheduler.AddJob(f.now, f.now.Milliseconds(), f.state.Workload.Jobs[id], false)
	}
	a := f.addInstance("a", "p")
	f.advance(200 * time.Millisecond)
	submit("00000000000000aa")
	f.advance(500 * time.Millisecond)
	assert.Equal(t, f.claimed(a, 4000), int64(40000))
	f.announceCapacity(a, 2, 0)
	b := f.addInstance("b", "p")
	silent := f.runs[a]
	delete(f.runs, a)
	f.startLeader()
	submit("00000000000000bb")
	f.advance(time.Second)
	assert.Assert(t, f.claimed(b, 4000)+4000*int64(len(silent)) <= 48000, "%d runs on the silent instance, %d on the other", len(silent), len(f.runs[b]))
}
