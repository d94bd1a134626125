package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestGangWaitsForOneRackOnlyIfItFits submits gangs that request a single rack. A gang that an empty rack could hold
// must wait for capacity in one rack; a gang that no rack can hold must start across several immediately, or it would
// wait forever.
func TestGangWaitsForOneRackOnlyIfItFits(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("x", "o")
	f.addInstance("y", "o")
	for i := range 4 {
		f.addInstanceInRack(fmt.Sprint(i), "p", fmt.Sprintf("r%d", i/2))
	}
	f.advance(time.Second)
	gang := workload.Step{Count: 16, Resources: workload.Resources{Processors: 8000}, Gang: true, SameRack: true, Estimate: 5 * time.Second}
	small := f.submitJob(gang)
	f.advance(300 * time.Millisecond)
	racks := map[string]int{}
	for _, id := range f.placements(small) {
		racks[f.racks[id]]++
	}
	assert.Equal(t, len(racks), 1, "%v", racks)
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 8000}})
	f.advance(300 * time.Millisecond)
	waiting := f.submitJob(gang)
	f.advance(time.Second)
	assert.Equal(t, len(f.placements(waiting)), 0, "started across racks although one rack could hold it")
	for task, id := range f.placements(small) {
		f.endRun(id, task, workload.EndedDone)
	}
	f.advance(time.Second)
	assert.Equal(t, len(f.placements(waiting)), 16)
	for task, id := range f.placements(waiting) {
		f.endRun(id, task, workload.EndedDone)
	}
	gang.Count = 20
	large := f.submitJob(gang)
	f.advance(time.Second)
	assert.Equal(t, len(f.placements(large)), 20, "waits although no rack can hold it")
}
