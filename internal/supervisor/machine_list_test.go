package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestFailedMachineListIsReadAgain guards against tasks that do not start although machines are free: a leader's first read of the list of machines
// fails, and without it no machine on standby is known until the next regular read.
func TestFailedMachineListIsReadAgain(t *testing.T) {
	c := routedCatalogue(2, "other")
	c.Pools = append(c.Pools, workload.Pool{Name: "off", Standby: true})
	s := startLapsedSession(t, state.PublishCatalogue{Source: []byte("y"), Catalogue: c})
	s.options.Machines = unresponsiveFleet{}
	s.awaitMachineList()
	s.listMachines()
	s.drainInbox()
	s.awaitMachineList()
}

// awaitMachineList makes decisions until the list of machines is due.
func (s *lapsedSession) awaitMachineList() {
	since := s.now
	for !s.scheduler.MachineListDue() {
		s.step()
		assert.Assert(s.t, s.now-since <= 4*time.Second, "the list of machines is not read")
	}
}
