package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestLateMachineListMovesNoRunningMachine guards against runs that a move kills: a list of machines that was read before a machine left standby
// arrives after its instance has announced itself, and the machine is moved again as if it were on standby.
func TestLateMachineListMovesNoRunningMachine(t *testing.T) {
	for _, tc := range []struct {
		name  string
		moved bool
	}{
		{"moved by this leader", true},
		{"moved by an order of an earlier leader", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(t)
			requestedAt := f.now
			standby := []scheduler.Machine{{Name: "m-a", Pool: "off", Available: true}}
			if tc.moved {
				f.scheduler.HandleMachineList(f.now, requestedAt, standby)
				f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
				f.advance(time.Second)
				assert.Equal(t, len(f.machineOrders), 1)
				requestedAt = f.now
				f.scheduler.HandleMachineOutcome(f.now, f.machineOrders[0], scheduler.MachineDone)
			}
			f.now += 3 * time.Second
			f.addInstanceOnMachine("a", "p", "m-a")
			f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
			f.advance(time.Second)
			assert.Assert(t, len(f.runs["i-a"]) > 0)
			f.machineOrders = nil
			f.scheduler.HandleMachineList(f.now, requestedAt, standby)
			f.submitJobTo("other", workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
			f.advance(3 * time.Second)
			assert.Equal(t, len(f.machineOrders), 0, "the move kills a run")
		})
	}
}

// TestOvertakenMachineListIsIgnored guards against orders for a machine that has left standby: the responses to two reads of the list of
// machines arrive in the opposite order.
func TestOvertakenMachineListIsIgnored(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	earlier, later := f.now, f.now+time.Second
	f.now += 2 * time.Second
	f.scheduler.HandleMachineList(f.now, later, []scheduler.Machine{{Name: "m-b", Pool: "p", Available: true}})
	f.scheduler.HandleMachineList(f.now, earlier, []scheduler.Machine{{Name: "m-b", Pool: "off", Available: true}})
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.advance(2 * time.Second)
	assert.Equal(t, len(f.machineOrders), 0)
}
