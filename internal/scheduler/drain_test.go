package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestServiceTasksMoveOffDrainingInstance covers a rolling replacement of instances. The service tasks of a draining
// instance must move within the availability budget of their step, and the empty instance must be deregistered before
// it shuts down, so that a later leader does not wait for it.
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
		assert.Assert(t, len(f.placements(job)) >= 2, "two tasks are unavailable")
	}
	assert.Equal(t, len(f.runs["i-b"]), 3)
	_, enrolled := f.state.Workload.Enrolled["i-a"]
	assert.Assert(t, !enrolled, "the empty instance is not deregistered")
}

// TestCheckpointingTaskIsStoppedBeforeShutdown uses a draining instance that shuts down in the middle of long tasks. A
// checkpointing task must be stopped shortly before, so that it continues elsewhere from its checkpoint; a task without
// checkpoints must be left running, as it may still end in time.
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
	f.reportedPercent++ // progress, so that no run counts as stalled
	f.advance(900 * time.Millisecond)
	assert.Equal(t, len(f.runs["i-a"]), 2, "stopped although time is left")
	f.reportedPercent++
	f.advance(400 * time.Millisecond)
	assert.Equal(t, string(f.placements(checkpointing)[workload.TaskID{Job: checkpointing}]), "i-b")
	assert.Equal(t, string(f.placements(plain)[workload.TaskID{Job: plain}]), "i-a")
}

// TestNewLeaderStartsNothingOnDrainingInstance guards against a start on an instance whose draining an earlier leader
// acknowledged: the next leader polls it before its next announcement.
func TestNewLeaderStartsNothingOnDrainingInstance(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 5000}})
	f.advance(time.Second)
	assert.Equal(t, len(f.startOrders), 1, "the instance stays enrolled because it runs a task")
	f.announceDraining("a", "p", 10*time.Second)
	record, uncommitted := f.scheduler.UncommittedChange("i-a")
	assert.Assert(t, uncommitted)
	f.commit(state.EnrolInstance{Instance: record})
	f.scheduler.ConfirmChange(record)
	_, uncommitted = f.scheduler.UncommittedChange("i-a")
	assert.Assert(t, !uncommitted, "the draining is committed")
	f.startLeader()
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 5000}})
	f.advance(2 * time.Second)
	assert.Equal(t, len(f.startOrders), 1, "started on a draining instance")
}

// TestShutdownIsTimedOnClockOfInstance guards against work that is lost because a checkpointing task is stopped too late: the announcement of a
// draining instance was long on its way, or the next leader reads the time left from the committed state.
func TestShutdownIsTimedOnClockOfInstance(t *testing.T) {
	for _, tc := range []struct {
		name      string
		newLeader bool
	}{
		{"announcement arrives late", false},
		{"leader is lost", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.reportedPercent = 40
			f.addInstance("a", "p")
			f.advance(time.Second)
			job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 5000}, Checkpointing: true})
			f.advance(time.Second)
			f.addInstance("b", "p")
			draining := f.state.Workload.Enrolled["i-a"]
			draining.Sequence++
			draining.Draining, draining.TimeLeft, draining.Clock = true, 3*time.Second, time.Minute+f.now
			if tc.newLeader {
				f.commit(state.EnrolInstance{Instance: draining, KeepsCordon: true})
			}
			f.reportedPercent++ // progress, so that no run counts as stalled
			f.advance(1200 * time.Millisecond)
			if tc.newLeader {
				f.startLeader()
			} else {
				f.scheduler.HandleAnnouncement(f.now, draining)
			}
			f.reportedPercent++
			f.advance(600 * time.Millisecond)
			assert.Equal(t, len(f.runs["i-a"]), 1, "stopped although time is left")
			f.reportedPercent++
			f.advance(600 * time.Millisecond)
			assert.Equal(t, string(f.placements(job)[workload.TaskID{Job: job}]), "i-b", "not stopped 600 ms before the shutdown")
		})
	}
}

// TestAdoptedRunIsStoppedBeforeShutdown guards against work that is lost after a change of leader: the next leader counts the age of a run from
// its own first look at it, so that a run of which most is done seems to end at once.
func TestAdoptedRunIsStoppedBeforeShutdown(t *testing.T) {
	f := newTestFleet(t)
	f.reportedPercent = 80
	f.addInstance("a", "p")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 5000}, Checkpointing: true, Estimate: 20 * time.Second})
	f.advance(time.Second)
	f.addInstance("b", "p")
	draining := f.state.Workload.Enrolled["i-a"]
	draining.Draining, draining.TimeLeft, draining.Clock = true, 900*time.Millisecond, time.Minute+f.now
	f.commit(state.EnrolInstance{Instance: draining, KeepsCordon: true})
	f.startLeader()
	f.advance(400 * time.Millisecond)
	assert.Equal(t, string(f.placements(job)[workload.TaskID{Job: job}]), "i-b", "not stopped 500 ms before the shutdown")
}
