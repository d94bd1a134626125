package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// restartOnMachine has the instance of a machine restart under its ID in pool "p". The instance may have been deregistered.
func (f *testFleet) restartOnMachine(machine string) fleet.InstanceID {
	id := fleet.InstanceID("i-" + strings.TrimPrefix(machine, "m-"))
	return f.enrol(workload.Instance{
		ID: id, Boot: f.now.Milliseconds(), Pool: "p", Address: f.addresses[id], Machine: machine, Sequence: 1,
		Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute + f.now, Rack: "r1-1",
	})
}

// fleetWithMove returns a fleet whose leader has ordered the move of an idle machine out of pool "p".
func fleetWithMove(t *testing.T) (f *testFleet, order scheduler.MachineOrder) {
	f = newTestFleet(t)
	for i := range 8 {
		f.addInstance(fmt.Sprint(i), "p")
	}
	listStandbyMachines(f, 0)
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	for range 100 {
		if f.advance(100 * time.Millisecond); len(f.machineOrders) > 0 {
			return f, f.machineOrders[0]
		}
	}
	t.Fatal("no machine is moved within 10 s")
	return f, order
}

// fillPool submits more tasks than pool "p" has room for.
func fillPool(f *testFleet) {
	f.submitJob(workload.Step{Count: 64, Resources: workload.Resources{Processors: 8000, Memory: 1000}})
}

// TestMoveSparesNextBoot guards against runs that an own order ends: an instance restarts after the move of its machine was ordered, gets work,
// and the platform carries out the order, or the leader repeats it because it was not answered.
func TestMoveSparesNextBoot(t *testing.T) {
	for _, tc := range []struct {
		name    string
		outcome scheduler.MachineOutcome
	}{
		{"order in flight", 0},
		{"order without an answer", scheduler.MachineUncertain},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, order := fleetWithMove(t)
			f.now += 100 * time.Millisecond
			id := f.restartOnMachine(order.Machine)
			fillPool(f)
			if tc.outcome != 0 {
				f.scheduler.HandleMachineOutcome(f.now, order, tc.outcome)
			}
			f.machineOrders = nil
			for range 20 {
				f.advance(100 * time.Millisecond)
				assert.Equal(t, len(f.runs[id]), 0, "tasks run on %s, which the platform may move at any time", id)
			}
			f.scheduler.HandleMachineOutcome(f.now, order, scheduler.MachineBusy)
			f.advance(500 * time.Millisecond)
			assert.Assert(t, len(f.runs[id]) > 0, "the instance gets no work after the move was refused")
		})
	}
}

// TestMovedBootGetsNoStarts guards against starts on an instance that is gone: it restarted before the platform carried out the move of its
// machine, so that its boot is later than the one for which the move was ordered.
func TestMovedBootGetsNoStarts(t *testing.T) {
	f, order := fleetWithMove(t)
	f.now += 100 * time.Millisecond
	id := f.restartOnMachine(order.Machine)
	f.advance(200 * time.Millisecond)
	f.scheduler.HandleMachineOutcome(f.now, order, scheduler.MachineDone)
	delete(f.runs, id)
	fillPool(f)
	f.now += 100 * time.Millisecond
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	for _, o := range f.scheduler.TakeOrders() {
		assert.Check(t, o.Kind != scheduler.Start || o.Instance != id, "started on %s, whose machine has left the pool", id)
	}
}

// TestMaintenanceSparesNextBoot guards against runs that maintenance ends, and against more machines down at once than the wave allows: an
// instance restarts while the order to maintain its machine is on its way. A boot that is there before the maintenance can be over is ended
// by it.
func TestMaintenanceSparesNextBoot(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("b", "p")
	wave := workload.Wave{Number: 7, Machines: []string{"m-a", "m-b"}, TimeLimit: time.Minute, MaxConcurrent: 1}
	f.commit(state.AddWave{Wave: wave, At: state.Timestamp(f.now.Milliseconds())})
	f.scheduler.AddWave(f.now, f.now.Milliseconds(), f.state.Workload.Waves[7])
	for i := 0; i < 50 && len(f.machineOrders) == 0; i++ {
		f.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(f.machineOrders), 1)
	order := f.machineOrders[0]
	f.machineOrders = nil
	f.now += 300 * time.Millisecond
	id := f.restartOnMachine(order.Machine)
	other := map[fleet.InstanceID]fleet.InstanceID{"i-a": "i-b", "i-b": "i-a"}[id]
	f.submitJob(workload.Step{Count: 8, Resources: workload.Resources{Processors: 12000}})
	f.advance(300 * time.Millisecond)
	assert.Check(t, len(f.runs[id]) == 0, "%d tasks run on %s, which the platform may maintain at any time", len(f.runs[id]), id)
	f.scheduler.HandleMachineOutcome(f.now, order, scheduler.MachineDone)
	delete(f.runs, id)
	awaitNextOrder := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			for task := range f.runs[other] {
				f.endRun(other, task, workload.EndedDone)
			}
			f.advance(100 * time.Millisecond)
		}
	}
	awaitNextOrder(time.Second)
	assert.Check(t, len(f.machineOrders) == 0, "the next machine is ordered while the first is down")
	f.now += time.Second
	f.restartOnMachine(order.Machine)
	awaitNextOrder(time.Second)
	assert.Assert(t, len(f.machineOrders) > 0, "the wave does not go on after the return")
}
