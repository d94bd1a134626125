package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
