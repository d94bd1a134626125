package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/state"
)

// TestDrainWaitsForStartsOfEarlierLeader guards against a start in a drained data centre later than its bound: a leader acknowledges a drain
// while a start of the leader before may be on its way to an instance that has not answered this one, and so does not refuse it.
func TestDrainWaitsForStartsOfEarlierLeader(t *testing.T) {
	const within = 500 * time.Millisecond
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	in := f.state.Workload.Enrolled[id]
	in.DataCentre = "dc"
	f.commit(state.EnrolInstance{Instance: in})
	f.startLeader()
	assert.Assert(t, f.scheduler.StartPending(f.now, "dc", within), "the instance has not answered")
	assert.Assert(t, !f.scheduler.StartPending(f.now, "other", within))
	assert.Assert(t, !f.scheduler.StartPending(f.now+within, "dc", within), "the starts of the earlier leader are too old")
	f.pollAll()
	assert.Assert(t, !f.scheduler.StartPending(f.now, "dc", within), "the instance refuses starts of earlier leaders")
}
