package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// listStandbyMachines passes a machine list with n available machines in the standby pool.
func listStandbyMachines(f *testFleet, n int) {
	var list []scheduler.Machine
	for i := range n {
		list = append(list, scheduler.Machine{Name: fmt.Sprintf("m-spare-%d", i), Pool: "off", Available: true})
	}
	f.scheduler.SetMachines(list)
}

// TestBurstMovesMachinesToPool submits a burst of jobs that needs more instances than the pool has. Standby machines
// must move to the pool, and to any pool with a queue and fewer than two instances.
func TestBurstMovesMachinesToPool(t *testing.T) {
	f := newTestFleet(t)
	for i := range 3 {
		f.addInstance(fmt.Sprint(i), "p")
	}
	listStandbyMachines(f, 8)
	f.advance(3 * time.Second)
	for range 12 {
		f.submitJob(workload.Step{Count: 8, Resources: workload.Resources{Processors: 7000, Memory: 1000}})
	}
	f.advance(time.Second)
	assert.Equal(t, len(f.movesTo("o")), 2, "a pool with a queue has two instances")
	assert.Equal(t, len(f.movesTo("p")), 6, "the burst needs 11 instances, the pool has 3, and 6 are left")
}

// TestIdleInstancesMoveToStandby checks that idle instances move to standby after a burst. It guards against moves
// before the first batch job, when the demand is unknown, and against a pool that is left with fewer than two
// instances.
func TestIdleInstancesMoveToStandby(t *testing.T) {
	f := newTestFleet(t)
	for i := range 8 {
		f.addInstance(fmt.Sprint(i), "p")
	}
	listStandbyMachines(f, 0)
	f.advance(6 * time.Second)
	assert.Equal(t, len(f.movesTo("off")), 0, "the demand is unknown before the first batch job")
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.advance(6 * time.Second)
	assert.Equal(t, len(f.movesTo("o")), 2, "a pool with a queue has two instances")
	assert.Equal(t, len(f.movesTo("off")), 4, "two instances must remain in the pool")
}

// TestPerInstanceLimitKeepsPoolSize uses a service step with one task per instance that occupies every instance of the
// pool. No instance may move to standby; when one is lost, another machine must move in although processors and memory
// suffice.
func TestPerInstanceLimitKeepsPoolSize(t *testing.T) {
	f := newTestFleet(t)
	for i := range 4 {
		f.addInstance(fmt.Sprint(i), "p")
	}
	listStandbyMachines(f, 4)
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 1000}, Service: true, MaxPerInstance: 1})
	f.advance(4 * time.Second)
	assert.Equal(t, len(f.placements(job)), 4)
	assert.Equal(t, len(f.movesTo("off")), 0, "an instance moved to standby")
	delete(f.runs, "i-0")
	f.scheduler.HandleDeparture(f.now, "i-0", 0)
	f.failPoll("i-0", scheduler.Refused)
	f.advance(time.Second)
	assert.Assert(t, len(f.movesTo("p")) > 0, "no machine moves in for the fourth task")
}

// TestCapacityIsReservedForServiceTask uses a full pool in which batch runs end one at a time. A service task that
// needs more capacity than one run releases would wait forever if batch tasks took that capacity first.
func TestCapacityIsReservedForServiceTask(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	for range 6 {
		f.submitJob(workload.Step{Count: 8, Resources: workload.Resources{Processors: 8000}})
	}
	f.advance(200 * time.Millisecond)
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 20000}, Service: true})
	for range 4 {
		f.advance(200 * time.Millisecond)
		for task := range f.runs[id] {
			if task.Job != job {
				f.endRun(id, task, workload.EndedDone)
				break
			}
		}
	}
	f.advance(300 * time.Millisecond)
	assert.Equal(t, len(f.placements(job)), 1)
}

// TestServiceTasksArePacked submits service jobs to a pool that is larger than they need. If their tasks were spread
// over all instances, none of them could move to standby.
func TestServiceTasksArePacked(t *testing.T) {
	f := newTestFleet(t)
	for i := range 8 {
		f.addInstance(fmt.Sprint(i), "p")
	}
	listStandbyMachines(f, 0)
	f.advance(time.Second)
	jobs := []workload.JobID{
		f.submitJob(workload.Step{Count: 5, Resources: workload.Resources{Processors: 5000}, Service: true, MaxPerInstance: 2}),
		f.submitJob(workload.Step{Count: 6, Resources: workload.Resources{Processors: 5000}, Service: true}),
	}
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.advance(8 * time.Second)
	assert.Equal(t, len(f.placements(jobs[0]))+len(f.placements(jobs[1])), 11, "all tasks run")
	assert.Equal(t, len(f.instancesOf(jobs...)), 3, "five tasks, two per instance")
	assert.Equal(t, len(f.movesTo("off"))+len(f.movesTo("o")), 5)
}

// TestServiceStepSpansTwoRacks guards against the loss of all tasks of a service step with one rack: although they are
// packed, they must be in two racks if the pool has instances in two.
func TestServiceStepSpansTwoRacks(t *testing.T) {
	f := newTestFleet(t)
	for i := range 6 {
		f.addInstanceInRack(fmt.Sprint(i), "p", fmt.Sprintf("r%d", i/4))
	}
	f.addInstance("x", "o")
	f.addInstance("y", "o")
	f.advance(time.Second)
	for range 3 {
		job := f.submitJob(workload.Step{Count: 5, Resources: workload.Resources{Processors: 4000}, Service: true})
		f.advance(300 * time.Millisecond)
		racks := map[string]int{}
		for _, id := range f.placements(job) {
			racks[f.racks[id]]++
		}
		assert.Equal(t, len(racks), 2, "%v", racks)
		assert.Assert(t, len(f.instancesOf(job)) == 2, "packed on two instances")
	}
}

// TestServiceTasksAreConsolidated uses a pool whose service tasks were started on all its instances during a burst.
// After the burst they must be packed on fewer instances, one task of a step at a time, and the emptied instances must
// move to standby.
func TestServiceTasksAreConsolidated(t *testing.T) {
	f := newTestFleet(t)
	for i := range 4 {
		f.addInstance(fmt.Sprint(i), "p")
	}
	listStandbyMachines(f, 0)
	f.advance(200 * time.Millisecond)
	burst := f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 56000}})
	f.advance(200 * time.Millisecond)
	job := f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 5000}, Service: true, MaxUnavailable: 1})
	f.advance(time.Second)
	assert.Equal(t, len(f.instancesOf(job)), 4)
	for task, id := range f.placements(burst) {
		f.endRun(id, task, workload.EndedDone)
	}
	for range 120 {
		f.advance(100 * time.Millisecond)
		assert.Assert(t, len(f.placements(job)) >= 3, "two tasks are unavailable")
	}
	assert.Equal(t, len(f.instancesOf(job)), 2)
	assert.Equal(t, len(f.movesTo("off"))+len(f.movesTo("o")), 2, "the two emptied instances move")
}

// TestMachineInTransitionBecomesAvailable passes a machine list that was read while machines were moving to standby.
// They must be usable for the next burst before the list is read again.
func TestMachineInTransitionBecomesAvailable(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("0", "p")
	f.addInstance("1", "p")
	f.addInstance("x", "o")
	f.addInstance("y", "o")
	f.advance(time.Second)
	f.scheduler.SetMachines([]scheduler.Machine{
		{Name: "m-moving", Pool: "off", InTransition: true}, {Name: "m-kept", Pool: "off", InTransition: true}, {Name: "m-lost", Pool: "off"},
	})
	burst := workload.Step{Count: 40, Resources: workload.Resources{Processors: 7000}}
	f.submitJob(burst)
	f.advance(time.Second)
	assert.Equal(t, len(f.movesTo("p")), 0, "they are still in transition")
	f.advance(2 * time.Second)
	assert.DeepEqual(t, f.movesTo("p"), []string{"m-kept", "m-moving"})
}

// TestOwnMoveOverridesStaleMachineList passes a machine list that was read before machines moved to standby. If its
// entries for their old pool replaced the leader's own records, the machines would be missing for the next burst.
func TestOwnMoveOverridesStaleMachineList(t *testing.T) {
	f := newTestFleet(t)
	for i := range 6 {
		f.addInstance(fmt.Sprint(i), "p")
	}
	f.addInstance("x", "o")
	f.addInstance("y", "o")
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.advance(8 * time.Second)
	var stale []scheduler.Machine
	for _, o := range f.machineOrders {
		assert.Equal(t, string(o.Pool), "off")
		stale = append(stale, scheduler.Machine{Name: o.Machine, Pool: "p", Available: true})
		f.scheduler.HandleMachineOutcome(f.now, o, scheduler.MachineDone)
		delete(f.runs, fleet.InstanceID("i-"+strings.TrimPrefix(o.Machine, "m-")))
	}
	assert.Equal(t, len(stale), 4)
	f.scheduler.SetMachines(stale)
	f.advance(3 * time.Second)
	f.submitJob(workload.Step{Count: 60, Resources: workload.Resources{Processors: 7000}})
	f.advance(time.Second)
	assert.Equal(t, len(f.movesTo("p")), 4)
}
