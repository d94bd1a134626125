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

// publish puts a changed catalogue in force, for this leader and all later ones.
func (b *bench) publish(change func(c *workload.Catalogue)) {
	c := b.state.Workload.Catalogue
	c.Version++
	c.Queues = append([]workload.Queue(nil), c.Queues...)
	change(&c)
	b.commit(state.PublishCatalogue{Catalogue: c, Source: []byte("x")})
	published := b.state.Workload.Catalogue
	b.scheduler.SetCatalogue(&published)
}

// TestDrainingInstanceGetsNoStart answers instances that leave under load: what they announce holds for the next plan, also
// for a leader that takes over meanwhile and hears of it later.
func TestDrainingInstanceGetsNoStart(t *testing.T) {
	b := newBench(t)
	b.join("leaves", "p")
	b.pass(time.Second)
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 6000}})
	b.pass(time.Second)
	b.join("stays", "p")
	b.pass(500 * time.Millisecond)
	b.drain("leaves", "p", 4*time.Second)
	b.submit(workload.Step{Count: 20, Resources: workload.Resources{Processors: 6000}})
	b.pass(time.Second)
	assert.Equal(t, len(b.runs["i-stays"]), 10)
	assert.Equal(t, len(b.runs["i-leaves"]), 1, "ten tasks wait instead")
	b.lead()
	b.drain("leaves", "p", 3*time.Second)
	b.pass(3 * time.Second)
	assert.Equal(t, len(b.runs["i-leaves"]), 1)
}

// TestQueueThatMovedStartsInItsNewPool answers a catalogue that sends a queue elsewhere while its tasks wait.
func TestQueueThatMovedStartsInItsNewPool(t *testing.T) {
	b := newBench(t)
	b.join("old", "p")
	b.join("new", "o")
	b.pass(time.Second)
	job := b.submit(workload.Step{Count: 15, Resources: workload.Resources{Processors: 6000}})
	b.pass(time.Second)
	assert.Equal(t, len(b.runs["i-old"]), 10)
	b.publish(func(c *workload.Catalogue) { c.Queues[0].Pool = "o" })
	b.end("i-old", workload.TaskID{Job: job}, workload.EndedDone)
	before := len(b.starts)
	b.pass(time.Second)
	assert.Equal(t, len(b.starts)-before, 5)
	for _, o := range b.starts[before:] {
		assert.Equal(t, o.Instance, fleet.InstanceID("i-new"))
	}
}

// TestLabelAndBoundPerInstanceAreKept answers steps that may run on some instances only, and on each a few times.
func TestLabelAndBoundPerInstanceAreKept(t *testing.T) {
	b := newBench(t)
	b.join("a", "p")
	b.join("b", "p")
	b.pass(time.Second)
	labelled := b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}, RequiredLabel: "gpu"})
	bounded := b.submit(workload.Step{Count: 6, Resources: workload.Resources{Processors: 1000}, MaxPerInstance: 2})
	b.pass(time.Second)
	assert.Equal(t, len(b.where(labelled)), 0, "no instance has the label")
	assert.Equal(t, len(b.where(bounded)), 4)
	for _, id := range []fleet.InstanceID{"i-a", "i-b"} {
		assert.Equal(t, len(b.runs[id]), 2)
	}
}

// TestCancelledJobRunsNothingUnderALaterLeader answers a cancellation that is committed just before its leader is lost: the
// next one stops what runs, starts nothing, and stops a start that is carried out late.
func TestCancelledJobRunsNothingUnderALaterLeader(t *testing.T) {
	b := newBench(t)
	b.join("a", "p")
	b.pass(time.Second)
	job := b.submit(workload.Step{Count: 15, Resources: workload.Resources{Processors: 6000}})
	b.pass(500 * time.Millisecond)
	assert.Equal(t, len(b.where(job)), 10)
	b.commit(state.CancelJob{Job: job, At: state.Timestamp(b.now.Milliseconds())})
	b.lead()
	before := len(b.starts)
	b.pass(time.Second)
	assert.Equal(t, len(b.where(job)), 0)
	b.runs["i-a"][workload.TaskID{Job: job, Position: workload.NewPosition(0, 0, 12)}] = 1
	b.pass(time.Second)
	assert.Equal(t, len(b.where(job)), 0, "the late start")
	assert.Equal(t, len(b.starts), before)
}

// TestFencedMachineOrderEndsTheTerm answers a leader that froze and thaws beside its successor: the platform refuses its
// order of planned work, and it must not give another.
func TestFencedMachineOrderEndsTheTerm(t *testing.T) {
	b := newBench(t)
	b.join("a", "p")
	withStandby(b, 4)
	b.pass(time.Second)
	assert.Assert(t, len(b.machines) > 0)
	assert.Assert(t, !b.scheduler.Superseded())
	assert.Assert(t, !b.scheduler.HandleMachineOutcome(b.now, b.machines[0], scheduler.MachineFenced))
	assert.Assert(t, b.scheduler.Superseded(), "the supervisor ends a term that is superseded")
}

// TestPendingCountsJobsThatHaveNotBegun answers callers who ask how long a queue is.
func TestPendingCountsJobsThatHaveNotBegun(t *testing.T) {
	b := newBench(t)
	b.join("a", "p")
	b.pass(time.Second)
	for range 5 {
		b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 30000}})
	}
	cancelled := b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 30000}})
	assert.Equal(t, b.scheduler.PendingJobs("q"), 6)
	b.pass(500 * time.Millisecond)
	assert.Equal(t, b.scheduler.PendingJobs("q"), 4, "two have room")
	b.commit(state.CancelJob{Job: cancelled})
	b.scheduler.CancelJob(b.now, cancelled)
	assert.Equal(t, b.scheduler.PendingJobs("q"), 3)
	b.lead()
	b.pass(500 * time.Millisecond)
	assert.Equal(t, b.scheduler.PendingJobs("q"), 3, "a later leader sees what runs")
}

// TestCompletedJobIsReportedOnce answers an operator who looks for the end of a job in the log.
func TestCompletedJobIsReportedOnce(t *testing.T) {
	b := newBench(t)
	id := b.join("a", "p")
	b.pass(time.Second)
	job := b.submit(workload.Step{Count: 2, Resources: workload.Resources{Processors: 1000}})
	b.pass(500 * time.Millisecond)
	for i, want := range []int{0, 1, 0} {
		if i < 2 {
			b.end(id, workload.TaskID{Job: job, Position: workload.NewPosition(0, 0, i)}, workload.EndedDone)
		}
		b.pass(200 * time.Millisecond)
		list := b.scheduler.TakeCompleted()
		assert.Equal(t, len(list), want, "after end %d", i)
		if want > 0 {
			assert.Equal(t, list[0].Job, job)
			assert.Assert(t, list[0].Elapsed >= 700*time.Millisecond, "%s", list[0].Elapsed)
		}
	}
}
