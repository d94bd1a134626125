package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestStandingTasksLeaveADrainingInstance answers instances that are replaced one by one: what stands on one that drains
// moves, within the budget of its step, and the instance leaves the committed state before it ends.
func TestStandingTasksLeaveADrainingInstance(t *testing.T) {
	b := newBench(t)
	b.join("a", "p")
	b.pass(time.Second)
	job := b.submit(workload.Step{Count: 3, Resources: workload.Resources{Processors: 5000}, Service: true, MaxUnavailable: 1})
	b.pass(500 * time.Millisecond)
	assert.Equal(t, len(b.runs["i-a"]), 3)
	b.join("b", "p")
	b.pass(500 * time.Millisecond)
	b.drain("a", "p", 4*time.Second)
	for range 20 {
		b.pass(100 * time.Millisecond)
		assert.Assert(t, len(b.where(job)) >= 2, "two tasks are away")
	}
	assert.Equal(t, len(b.runs["i-b"]), 3)
	_, enrolled := b.state.Workload.Enrolled["i-a"]
	assert.Assert(t, !enrolled, "a later leader need not wait for it")
}

// TestDrainingInstanceSavesProgress answers an instance that ends in the middle of long work: what saves its progress is
// stopped just before, so that it goes on elsewhere from there, and what does not is left to end if it can.
func TestDrainingInstanceSavesProgress(t *testing.T) {
	b := newBench(t)
	b.percent = 40
	b.join("a", "p")
	b.pass(time.Second)
	saved := b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 5000}, Checkpointing: true})
	plain := b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 5000}})
	b.pass(time.Second)
	b.join("b", "p")
	b.pass(200 * time.Millisecond)
	b.drain("a", "p", 2*time.Second)
	b.percent++ // progress, so that nothing stands still
	b.pass(900 * time.Millisecond)
	assert.Equal(t, len(b.runs["i-a"]), 2, "there is time left")
	b.percent++
	b.pass(400 * time.Millisecond)
	assert.Equal(t, string(b.where(saved)[workload.TaskID{Job: saved}]), "i-b")
	assert.Equal(t, string(b.where(plain)[workload.TaskID{Job: plain}]), "i-a")
}
