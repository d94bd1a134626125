package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestStandingTasksLeaveADrainingInstance answers instances that are replaced one by one: what stands on one that drains
// moves, within the budget of its step, and the instance leaves the committed state before it ends.
func TestServiceTasksMoveOffDrainingInstance(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 3, Resources: workload.Resources{Processors: 5000}, Service: true, MaxUnavailable: 1})
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.runs["i-a"]), 3)
	f.addInstance("b", "p")
	f.advance(500 * time.Millisecond)
	f.announceDraining("a", "p", 4*time.Second)
	for range 20 {
		f.advance(100 * time.Millisecond)
		assert.Assert(t, len(f.placements(job)) >= 2, "two tasks are away")
	}
	assert.Equal(t, len(f.runs["i-b"]), 3)
	_, enrolled := f.state.Workload.Enrolled["i-a"]
	assert.Assert(t, !enrolled, "a later leader need not wait for it")
}

// TestDrainingInstanceSavesProgress answers an instance that ends in the middle of long work: what saves its progress is
// stopped just before, so that it goes on elsewhere from there, and what does not is left to end if it can.
func TestCheckpointingTaskIsStoppedBeforeShutdown(t *testing.T) {
	f := newTestFleet(t)
	f.reportedPercent = 40
	f.addInstance("a", "p")
	f.advance(time.Second)
	checkpointing := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 5000}, Checkpointing: true})
	plain := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 5000}})
	f.advance(time.Second)
	f.addInstance("b", "p")
	f.advance(200 * time.Millisecond)
	f.announceDraining("a", "p", 2*time.Second)
	f.reportedPercent++ // progress, so that nothing stands still
	f.advance(900 * time.Millisecond)
	assert.Equal(t, len(f.runs["i-a"]), 2, "there is time left")
	f.reportedPercent++
	f.advance(400 * time.Millisecond)
	assert.Equal(t, string(f.placements(checkpointing)[workload.TaskID{Job: checkpointing}]), "i-b")
	assert.Equal(t, string(f.placements(plain)[workload.TaskID{Job: plain}]), "i-a")
}
