package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestGangPrefersOneRackButIsNotLost answers gangs that want one rack: one that a rack can hold waits for it, one that no
// rack can hold starts over several at once.
func TestGangPrefersOneRackButIsNotLost(t *testing.T) {
	b := newBench(t)
	b.join("x", "o")
	b.join("y", "o")
	for i := range 4 {
		b.joinRack(fmt.Sprint(i), "p", fmt.Sprintf("r%d", i/2))
	}
	b.pass(time.Second)
	gang := workload.Step{Count: 16, Resources: workload.Resources{Processors: 8000}, Gang: true, SameRack: true, Estimate: 5 * time.Second}
	small := b.submit(gang)
	b.pass(300 * time.Millisecond)
	racks := map[string]int{}
	for _, id := range b.where(small) {
		racks[b.racks[id]]++
	}
	assert.Equal(t, len(racks), 1, "%v", racks)
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 8000}})
	b.pass(300 * time.Millisecond)
	waits := b.submit(gang)
	b.pass(time.Second)
	assert.Equal(t, len(b.where(waits)), 0, "one rack could hold it")
	for task, id := range b.where(small) {
		b.end(id, task, workload.EndedDone)
	}
	b.pass(time.Second)
	assert.Equal(t, len(b.where(waits)), 16)
	for task, id := range b.where(waits) {
		b.end(id, task, workload.EndedDone)
	}
	gang.Count = 20
	large := b.submit(gang)
	b.pass(time.Second)
	assert.Equal(t, len(b.where(large)), 20, "no rack can hold it")
}
