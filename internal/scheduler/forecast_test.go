package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

var secondStep = workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}, Estimate: time.Second, Image: "image"}

// runFor submits a job with one task and ends it after a time.
func (f *testFleet) runFor(step workload.Step, duration time.Duration) workload.JobID {
	job := f.submitJob(step)
	f.advance(100 * time.Millisecond) // starts the task
	f.taskTime = duration
	f.advance(duration)
	f.endRuns(job, workload.EndedDone)
	f.advance(300 * time.Millisecond)
	return job
}

func (f *testFleet) endRuns(job workload.JobID, ending workload.Ending) {
	for task, id := range f.placements(job) {
		f.endRun(id, task, ending)
	}
}

// expected returns the typical time that the scheduler expects for a task of a new job.
func (f *testFleet) expected(step workload.Step) time.Duration {
	job := f.submitJob(step)
	defer f.scheduler.CancelJob(f.now, job)
	forecast, ok := f.scheduler.ExpectedRunTime(workload.TaskID{Job: job})
	assert.Assert(f.t, ok)
	return forecast.Typical()
}

// TestFinishedRunsTeachRunTimes guards against a scheduler that goes on to expect what callers estimate.
func TestFinishedRunsTeachRunTimes(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	assert.Equal(t, f.expected(secondStep), time.Second)
	for range 8 {
		f.runFor(secondStep, 2500*time.Millisecond)
	}
	got := f.expected(secondStep)
	assert.Assert(t, got > 2*time.Second && got < 2700*time.Millisecond, "%s", got)
	accuracies := f.scheduler.ForecastAccuracies()
	assert.Equal(t, len(accuracies), 1)
	assert.Assert(t, accuracies[0].Queue == "q" && accuracies[0].Given > accuracies[0].Forecast, "%+v", accuracies)
}

// TestIncompleteRunsDoNotCount guards against forecasts from runs that are no full run of their task: stopped, failed, lost, resumed from a
// checkpoint, adopted by a new leader, or with a start that was uncertain.
func TestIncompleteRunsDoNotCount(t *testing.T) {
	resumable := secondStep
	resumable.Checkpointing = true
	for _, c := range []struct {
		name string
		run  func(f *testFleet, job workload.JobID)
	}{
		{"stopped", func(f *testFleet, job workload.JobID) {
			f.advance(3 * time.Second)
			f.scheduler.CancelJob(f.now, job)
		}},
		{"failed", func(f *testFleet, job workload.JobID) {
			f.advance(3 * time.Second)
			f.endRuns(job, workload.EndedFailed)
		}},
		{"lease expired", func(f *testFleet, job workload.JobID) {
			f.advance(3 * time.Second)
			f.endRuns(job, workload.EndedLeaseExpired)
			f.advance(300 * time.Millisecond)
			f.scheduler.CancelJob(f.now, job)
		}},
		{"lost", func(f *testFleet, _ workload.JobID) {
			f.advance(3 * time.Second)
			for id := range f.runs {
				clear(f.runs[id])
			}
		}},
		{"resumed", func(f *testFleet, job workload.JobID) {
			f.advance(time.Second)
			for task, id := range f.placements(job) {
				f.endRun(id, task, workload.EndedStopped)
				ends := f.unackedEnds[id]
				ends[len(ends)-1].Checkpoint = "half"
			}
			f.advance(3 * time.Second)
			f.endRuns(job, workload.EndedDone)
		}},
		{"adopted", func(f *testFleet, job workload.JobID) {
			f.advance(time.Second)
			f.startLeader()
			f.advance(3 * time.Second)
			f.endRuns(job, workload.EndedDone)
		}},
		{"finished while it was being stopped", func(f *testFleet, job workload.JobID) {
			f.advance(3 * time.Second)
			f.scheduler.CancelJob(f.now, job)
			f.endRuns(job, workload.EndedDone)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.taskTime = 4 * time.Second
			f.addInstance("a", "p")
			job := f.submitJob(resumable)
			f.advance(200 * time.Millisecond)
			assert.Equal(t, len(f.placements(job)), 1)
			c.run(f, job)
			f.advance(300 * time.Millisecond)
			assert.Equal(t, len(f.scheduler.ForecastAccuracies()), 0, "nothing was learned")
			assert.Equal(t, f.expected(resumable), time.Second)
		})
	}
}

// TestRunsDuringWarmupDoNotCount guards against forecasts and speeds from runs on an instance that has not reached its full speed: a data centre
// that returns would be taken for slow long after its warm-up.
func TestRunsDuringWarmupDoNotCount(t *testing.T) {
	f := newTestFleet(t)
	id := f.addColdInstance("a", 20*time.Second)
	for range 6 {
		f.runFor(secondStep, 2500*time.Millisecond)
	}
	assert.Equal(t, f.startsOn(id), 6)
	assert.Equal(t, f.expected(secondStep), time.Second)
	assert.Equal(t, f.scheduler.InstanceSpeed(id).Runs, 0)
	f.advance(5 * time.Second)
	f.runFor(secondStep, 1100*time.Millisecond)
	assert.Equal(t, f.scheduler.InstanceSpeed(id).Runs, 1, "after the warm-up")
}

// TestLateReportDoesNotCount guards against a run time that includes a pause of the leader: the response that told of the end had been on its
// way for seconds when the leader went on.
func TestLateReportDoesNotCount(t *testing.T) {
	for name, c := range map[string]struct {
		pause   time.Duration
		learned int
	}{"in time": {0, 1}, "leader paused": {3 * time.Second, 0}} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.taskTime = time.Second
			id := f.addInstance("a", "p")
			job := f.submitJob(secondStep)
			f.advance(time.Second)
			sentAt := f.now
			f.endRuns(job, workload.EndedDone)
			f.now += 150 * time.Millisecond
			report := scheduler.StatusReport{Clock: time.Minute + f.now, Ended: f.unackedEnds[id]}
			f.now += c.pause
			f.scheduler.HandleReport(f.now, id, sentAt, report)
			assert.Equal(t, len(f.scheduler.ForecastAccuracies()), c.learned)
		})
	}
}

// TestUncertainStartDoesNotCount guards against the run time of a task that was started seconds after its order.
func TestUncertainStartDoesNotCount(t *testing.T) {
	f := newTestFleet(t)
	f.taskTime = 3 * time.Second
	f.addInstance("a", "p")
	f.advance(100 * time.Millisecond)
	job := f.submitJob(secondStep)
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	for _, o := range f.scheduler.TakeOrders() {
		f.runs[o.Instance][o.Task] = o.Run
		f.startedAt[o.Task] = f.now
		f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Uncertain)
	}
	assert.Equal(t, len(f.placements(job)), 1)
	f.advance(3 * time.Second)
	f.endRuns(job, workload.EndedDone)
	f.advance(300 * time.Millisecond)
	assert.Equal(t, len(f.scheduler.ForecastAccuracies()), 0)
}

// TestStepIsExpectedToTakeAlike guards against tasks that wait and are expected to take what their caller estimates, although others of the
// step have finished or report progress.
func TestStepIsExpectedToTakeAlike(t *testing.T) {
	f := newTestFleet(t)
	f.taskTime = 3200 * time.Millisecond
	f.addInstance("a", "p")
	step := secondStep
	step.Count, step.Resources.Processors = 8, 16000 // four at a time
	job := f.submitJob(step)
	f.advance(100 * time.Millisecond)
	assert.Equal(t, len(f.placements(job)), 4)
	f.advance(800 * time.Millisecond)
	last := workload.TaskID{Job: job, Position: workload.NewPosition(0, 0, 7)}
	forecast, _ := f.scheduler.ExpectedRunTime(last)
	assert.Assert(t, forecast.Typical() > 2600*time.Millisecond && forecast.Typical() < 3600*time.Millisecond, "by progress: %s", forecast.Typical())
	for task := range f.placements(job) {
		left, ok := f.scheduler.ExpectedRemainder(task)
		assert.Assert(t, ok && left.Typical() > 1800*time.Millisecond && left.Typical() < 2800*time.Millisecond, "%s of the task are left", left.Typical())
	}
	f.advance(1200 * time.Millisecond)
	f.endRuns(job, workload.EndedDone) // earlier than their progress has shown
	f.advance(100 * time.Millisecond)
	forecast, _ = f.scheduler.ExpectedRunTime(last)
	assert.Assert(t, forecast.Typical() > 1700*time.Millisecond && forecast.Typical() < 2300*time.Millisecond, "after four tasks: %s", forecast.Typical())
}

// TestExpectedJob guards against an objective that is computed from the sum of all steps or from estimates that are known to be wrong, and
// against a job that is expected to take its full time again when a part of it has run.
func TestExpectedJob(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	side, last := secondStep, secondStep
	side.Estimate, last.After = 300*time.Millisecond, []int{0, 1}
	expected := func(job workload.JobID) scheduler.ExpectedJob {
		e, ok := f.scheduler.ExpectedJob(job)
		assert.Assert(t, ok)
		return e
	}
	job := f.submitJobTo("q", secondStep, side, last)
	e := expected(job)
	assert.DeepEqual(t, e, scheduler.ExpectedJob{Chain: 2 * time.Second, Left: 2 * time.Second, DueAt: f.now + 5*time.Second, EstimatedDueAt: f.now + 5*time.Second})
	f.scheduler.CancelJob(f.now, job)
	for range 12 {
		f.runFor(secondStep, 2500*time.Millisecond)
	}
	f.taskTime = 2500 * time.Millisecond
	last.After = []int{0}
	job = f.submitJobTo("q", secondStep, last)
	submittedAt := f.now
	e = expected(job)
	assert.Assert(t, e.Chain > 4*time.Second && e.Chain < 5500*time.Millisecond && e.Left == e.Chain, "%+v", e)
	assert.Equal(t, e.DueAt, submittedAt+2*e.Chain+time.Second)
	assert.Equal(t, e.EstimatedDueAt, submittedAt+5*time.Second)
	f.advance(1400 * time.Millisecond)
	left := expected(job).Left
	assert.Assert(t, left > 3*time.Second && left < 4*time.Second, "%s", left)
}

// TestExpectationsDoNotAllocate guards against planning runs that the garbage collector slows down: they ask for hundreds of jobs, whose
// expectations are computed anew from time to time.
func TestExpectationsDoNotAllocate(t *testing.T) {
	f := newTestFleet(t)
	f.taskTime = 4 * time.Second
	f.addInstance("a", "p")
	second := secondStep
	second.After = []int{0}
	job := f.submitJobTo("q", secondStep, second)
	f.advance(time.Second)
	running, waiting := workload.TaskID{Job: job}, workload.TaskID{Job: job, Position: workload.NewPosition(0, 1, 0)}
	allocations := testing.AllocsPerRun(50, func() {
		f.now += 300 * time.Millisecond
		f.scheduler.NextPoll(f.now, "none", false) // sets the time
		f.scheduler.ExpectedJob(job)
		f.scheduler.ExpectedRunTime(waiting)
		f.scheduler.ExpectedRemainder(running)
	})
	assert.Equal(t, allocations, 0.0)
}
