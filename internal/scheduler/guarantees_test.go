package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// changeCatalogue publishes a changed catalogue, which applies to this leader and all later ones.
func (f *testFleet) changeCatalogue(change func(c *workload.Catalogue)) {
	c := f.state.Workload.Catalogue
	c.Version++
	c.Queues = append([]workload.Queue(nil), c.Queues...)
	change(&c)
	f.commit(state.PublishCatalogue{Catalogue: c, Source: []byte("x")})
	published := f.state.Workload.Catalogue
	f.scheduler.SetCatalogue(&published)
}

// TestDrainingInstanceGetsNoStart drains an instance under load. The announcement must apply from the next tick on,
// also under a new leader that receives it later.
func TestDrainingInstanceGetsNoStart(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("leaves", "p")
	f.advance(time.Second)
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 6000}})
	f.advance(time.Second)
	f.addInstance("stays", "p")
	f.advance(500 * time.Millisecond)
	f.announceDraining("leaves", "p", 4*time.Second)
	f.submitJob(workload.Step{Count: 20, Resources: workload.Resources{Processors: 6000}})
	f.advance(time.Second)
	assert.Equal(t, len(f.runs["i-stays"]), 10)
	assert.Equal(t, len(f.runs["i-leaves"]), 1, "ten tasks must wait instead of starting there")
	f.startLeader()
	f.announceDraining("leaves", "p", 3*time.Second)
	f.advance(3 * time.Second)
	assert.Equal(t, len(f.runs["i-leaves"]), 1)
}

// TestWaitingTasksFollowQueueToNewPool publishes a catalogue that assigns a queue to another pool while its tasks wait.
// They must start in the new pool.
func TestWaitingTasksFollowQueueToNewPool(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("old", "p")
	f.addInstance("new", "o")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 15, Resources: workload.Resources{Processors: 6000}})
	f.advance(time.Second)
	assert.Equal(t, len(f.runs["i-old"]), 10)
	f.changeCatalogue(func(c *workload.Catalogue) { c.Queues[0].Pool = "o" })
	f.endRun("i-old", workload.TaskID{Job: job}, workload.EndedDone)
	before := len(f.startOrders)
	f.advance(time.Second)
	assert.Equal(t, len(f.startOrders)-before, 5)
	for _, o := range f.startOrders[before:] {
		assert.Equal(t, o.Instance, fleet.InstanceID("i-new"))
	}
}

// TestRequiredLabelAndPerInstanceLimitAreKept guards against starts on instances without the required label, and beyond
// the limit of tasks per instance.
func TestRequiredLabelAndPerInstanceLimitAreKept(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("b", "p")
	f.advance(time.Second)
	labelled := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}, RequiredLabel: "gpu"})
	limited := f.submitJob(workload.Step{Count: 6, Resources: workload.Resources{Processors: 1000}, MaxPerInstance: 2})
	f.advance(time.Second)
	assert.Equal(t, len(f.placements(labelled)), 0, "no instance has the label")
	assert.Equal(t, len(f.placements(limited)), 4)
	for _, id := range []fleet.InstanceID{"i-a", "i-b"} {
		assert.Equal(t, len(f.runs[id]), 2)
	}
}

// TestLaterLeaderStopsCancelledJob loses the leader just after the commit of a cancellation. The next leader must stop
// the runs of the job, start none, and stop a run whose start is executed late.
func TestLaterLeaderStopsCancelledJob(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 15, Resources: workload.Resources{Processors: 6000}})
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.placements(job)), 10)
	f.commit(state.CancelJob{Job: job, At: state.Timestamp(f.now.Milliseconds())})
	f.startLeader()
	before := len(f.startOrders)
	f.advance(time.Second)
	assert.Equal(t, len(f.placements(job)), 0)
	f.runs["i-a"][workload.TaskID{Job: job, Position: workload.NewPosition(0, 0, 12)}] = 1
	f.advance(time.Second)
	assert.Equal(t, len(f.placements(job)), 0, "the run whose start was executed late is not stopped")
	assert.Equal(t, len(f.startOrders), before)
}

// TestFencedMachineOrderSupersedesLeader covers a leader that was suspended and resumes next to its successor. The
// platform fences its machine order, and it must not send another.
func TestFencedMachineOrderSupersedesLeader(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	listStandbyMachines(f, 4)
	f.advance(time.Second)
	assert.Assert(t, len(f.machineOrders) > 0)
	assert.Assert(t, !f.scheduler.Superseded())
	assert.Assert(t, !f.scheduler.HandleMachineOutcome(f.now, f.machineOrders[0], scheduler.MachineFenced))
	assert.Assert(t, f.scheduler.Superseded(), "the supervisor ends the term of a superseded leader")
}

// TestPendingJobsCountsJobsNotStarted checks the queue length that callers request: jobs without a started task, also
// after a cancellation and under a later leader.
func TestPendingJobsCountsJobsNotStarted(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	for range 5 {
		f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 30000}})
	}
	cancelled := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 30000}})
	assert.Equal(t, f.scheduler.PendingJobs("q"), 6)
	f.advance(500 * time.Millisecond)
	assert.Equal(t, f.scheduler.PendingJobs("q"), 4, "two of six jobs have started")
	f.commit(state.CancelJob{Job: cancelled})
	f.scheduler.CancelJob(f.now, cancelled)
	assert.Equal(t, f.scheduler.PendingJobs("q"), 3)
	f.startLeader()
	f.advance(500 * time.Millisecond)
	assert.Equal(t, f.scheduler.PendingJobs("q"), 3, "a later leader counts the running jobs as started")
}

// TestCompletedJobIsReportedOnce guards the completion entry that operators search for in the log: it appears once,
// after the last task of the job.
func TestCompletedJobIsReportedOnce(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 2, Resources: workload.Resources{Processors: 1000}})
	f.advance(500 * time.Millisecond)
	for i, want := range []int{0, 1, 0} {
		if i < 2 {
			f.endRun(id, workload.TaskID{Job: job, Position: workload.NewPosition(0, 0, i)}, workload.EndedDone)
		}
		f.advance(200 * time.Millisecond)
		list := f.scheduler.TakeCompleted()
		assert.Equal(t, len(list), want, "after end %d", i)
		if want > 0 {
			assert.Equal(t, list[0].Job, job)
			assert.Assert(t, list[0].Elapsed >= 700*time.Millisecond, "%s", list[0].Elapsed)
		}
	}
}
