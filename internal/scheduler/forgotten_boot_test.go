package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestLateAnnouncementOfForgottenBoot guards against starts beyond the capacity of an instance that has shrunk (LIMIT): it was deregistered while it was
// empty, so that the next leader does not know it, and an announcement from before it shrank arrives late.
func TestLateAnnouncementOfForgottenBoot(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	late := f.state.Workload.Enrolled[id]
	f.announceCapacity(id, 2, 8000)
	f.commit(state.DeregisterInstances{Instances: []fleet.InstanceID{id}})
	f.startLeader()
	f.enrol(late)
	f.submitJob(workload.Step{Count: 10, Resources: workload.Resources{Processors: 4000}})
	f.advance(time.Second)
	assert.Assert(t, f.claimed(id, 4000) <= 8000, "%d thousandths of a processor are claimed", f.claimed(id, 4000))
}
