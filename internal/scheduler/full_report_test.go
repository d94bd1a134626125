package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestEndsBeyondFullReportAreAwaited guards against a second run of a task that is done: an instance has more ends than a report holds, and
// a run whose end is in a later report is taken for lost.
func TestEndsBeyondFullReportAreAwaited(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after func(f *testFleet)
	}{
		{"same leader", func(*testFleet) {}},
		{"same leader, draining instance", func(f *testFleet) { f.announceDraining("a", "p", time.Minute) }},
		{"next leader", (*testFleet).startLeader},
		{"next leader, draining instance", func(f *testFleet) {
			f.startLeader()
			f.announceDraining("a", "p", time.Minute)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.endsPerReport = 2
			f.addInstance("a", "p")
			const tasks = 7
			job := f.submitJob(workload.Step{Count: tasks, Resources: workload.Resources{Processors: 1000}})
			f.advance(time.Second)
			assert.Equal(t, len(f.startOrders), tasks)
			f.addInstance("b", "p")
			for _, o := range f.startOrders {
				f.endRun(o.Instance, o.Task, workload.EndedDone)
			}
			tc.after(f)
			f.advance(5 * time.Second)
			assert.Equal(t, len(f.startOrders), tasks, "a task was started again")
			assert.Assert(t, f.state.Workload.Jobs[job].FinishedAt > 0, "ends were not read")
			assert.Equal(t, len(f.unackedEnds["i-a"]), 0, "ends were not acknowledged")
		})
	}
}

// TestRunBeyondFullReportDoesNotStandStill guards against an instance that is set aside as faulty: a run has ended during a cut, its end is
// in a later report, and its progress is taken for standing still.
func TestRunBeyondFullReportDoesNotStandStill(t *testing.T) {
	f := newTestFleet(t)
	f.endsPerReport = 2
	f.reportedPercent = 50
	f.addInstance("a", "p")
	f.submitJob(workload.Step{Count: 7, Resources: workload.Resources{Processors: 1000}})
	f.advance(time.Second)
	f.scheduler.TakeDecisions()
	for _, o := range f.startOrders {
		f.endRun(o.Instance, o.Task, workload.EndedDone)
	}
	f.now += 4 * time.Second // no poll is answered
	f.advance(2 * time.Second)
	for _, d := range f.scheduler.TakeDecisions() {
		assert.Check(t, d.Reason != "stands still", "%s: %s", d.What, d.Reason)
	}
}
