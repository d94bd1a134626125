package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// goDark lets an instance leave two looks unanswered.
func (b *bench) goDark(id fleet.InstanceID) {
	delete(b.runs, id)
	b.scheduler.HandlePollFailure(b.now, id, scheduler.Uncertain)
	b.scheduler.HandlePollFailure(b.now, id, scheduler.Uncertain)
	b.pass(100 * time.Millisecond)
}

// TestJobsAcceptedAfterTheSilenceDoNotWait answers a leader that is lost while a rack is dark: what was accepted before
// the rack fell silent may run there and waits for its leases, what was accepted after that starts at once.
func TestJobsAcceptedAfterTheSilenceDoNotWait(t *testing.T) {
	b := newBench(t)
	b.join("a", "p")
	b.join("dark", "p")
	b.pass(time.Second)
	step := workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}}
	b.commitOnly("00000000000000aa", step)
	b.goDark("i-dark")
	b.commitOnly("00000000000000bb", step)
	b.lead()
	b.pass(time.Second)
	assert.Equal(t, len(b.where("00000000000000bb")), 1)
	assert.Equal(t, len(b.where("00000000000000aa")), 0, "it may run on the dark instance")
	b.pass(6 * time.Second)
	assert.Equal(t, len(b.where("00000000000000aa")), 1, "the leases there are over")
}

// TestInstanceGetsNoStartBeforeItIsReopened answers an instance that was silent and answers a new leader: a start there
// before the committed state says that it is open would be missed by the next leader.
func TestInstanceGetsNoStartBeforeItIsReopened(t *testing.T) {
	b := newBench(t)
	id := b.join("a", "p")
	b.pass(time.Second)
	b.goDark(id)
	b.lead()
	b.runs[id] = map[workload.TaskID]workload.Run{}
	b.look()
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	b.scheduler.Tick(b.now, b.now.Milliseconds())
	for _, o := range b.scheduler.TakeOrders() {
		assert.Assert(t, o.Kind != scheduler.Start)
	}
	b.pass(200 * time.Millisecond)
	assert.Equal(t, len(b.starts), 1)
}
