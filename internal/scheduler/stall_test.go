package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestRunThatStandsStillLaterIsReplaced guards against runs that are checked for progress only once: the run makes progress
// for a second and then stands still.
func TestRunThatStandsStillLaterIsReplaced(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("b", "p")
	f.reportedPercent = 0
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	for range 10 {
		f.reportedPercent += 5
		f.advance(100 * time.Millisecond)
	}
	first := f.startOrders
	assert.Equal(t, len(first), 1)
	f.advance(1400 * time.Millisecond)
	assert.Equal(t, len(f.startOrders), 1, "stopped within the stall timeout")
	f.advance(600 * time.Millisecond)
	assert.Equal(t, len(f.startOrders), 2)
	assert.Assert(t, f.startOrders[1].Instance != first[0].Instance)
	assert.Equal(t, len(f.placements(job)), 1)
}

// TestReportThatWasLongOnItsWayShowsNoStall guards against healthy work that is given up because its machine, or the process that carries
// its reports, was only slow to report: two reports that were made 100 ms apart arrive 3 s apart.
func TestReportThatWasLongOnItsWayShowsNoStall(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("b", "p")
	f.reportedPercent = 10
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.startOrders), 1)
	start := f.startOrders[0]
	runs := f.runs[start.Instance]
	delete(f.runs, start.Instance) // no reports arrive
	made := time.Minute + f.now + 100*time.Millisecond
	f.now += 3 * time.Second
	f.scheduler.HandleReport(f.now, start.Instance, f.now-time.Second, scheduler.StatusReport{
		Clock: made, Running: []scheduler.ReportedRun{{Task: start.Task, Run: start.Run, Percent: 10}},
	})
	f.runs[start.Instance] = runs
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	for _, o := range f.scheduler.TakeOrders() {
		assert.Assert(t, o.Kind != scheduler.Stop, "the run is stopped: %s", o.Reason)
	}
}
