package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestInvalidCommittedJobEndsNoLeader guards against a job that an earlier version accepted and that ends one leader after the other. It ends, and the
// others run.
func TestInvalidCommittedJobEndsNoLeader(t *testing.T) {
	for name, step := range map[string]workload.Step{
		"negative count": {Count: -1},
		"too many tasks": {Count: 1 << 40},
		"later step":     {Count: 1, After: []int{3}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addInstance("a", "p")
			f.commitJob("00000000000000bb", step)
			f.commitJob("00000000000000aa", workload.Step{Count: 2, Resources: workload.Resources{Processors: 1000}})
			for range 2 {
				f.startLeader()
				f.advance(time.Second)
			}
			assert.Assert(t, !f.state.Workload.Jobs["00000000000000bb"].Active())
			assert.Equal(t, len(f.placements("00000000000000aa")), 2)
		})
	}
}
