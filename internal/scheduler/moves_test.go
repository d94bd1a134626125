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

// withStandby adds machines that are off.
func listStandbyMachines(f *testFleet, n int) {
	var list []scheduler.Machine
	for i := range n {
		list = append(list, scheduler.Machine{Name: fmt.Sprintf("m-spare-%d", i), Pool: "off", Available: true})
	}
	f.scheduler.SetMachines(list)
}

// TestTurnOfAQueueBringsMachines answers a queue whose turn asks for more than its pool holds.
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
	assert.Equal(t, len(f.movesTo("p")), 6, "the turn needs 11 instances, the pool has 3, and 6 are left")
}

// TestIdleInstancesGoOff answers a turn that is over: instances that nothing needs go to standby, but not all, and not
// before there was work.
func TestIdleInstancesMoveToStandby(t *testing.T) {
	f := newTestFleet(t)
	for i := range 8 {
		f.addInstance(fmt.Sprint(i), "p")
	}
	listStandbyMachines(f, 0)
	f.advance(6 * time.Second)
	assert.Equal(t, len(f.movesTo("off")), 0, "the demand is not known before the first job that ends")
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.advance(6 * time.Second)
	assert.Equal(t, len(f.movesTo("o")), 2, "a pool with a queue has two instances")
	assert.Equal(t, len(f.movesTo("off")), 4, "two stay")
}

// TestStandingTasksKeepTheInstancesTheyMustSpreadOver answers a pool in which every instance holds one task of a step
// that allows one an instance: when one is lost, another machine must come although processors and memory suffice.
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
	assert.Equal(t, len(f.movesTo("off")), 0, "no instance may leave")
	delete(f.runs, "i-0")
	f.scheduler.HandleDeparture(f.now, "i-0", 0)
	f.scheduler.HandlePollFailure(f.now, "i-0", scheduler.Refused)
	f.advance(time.Second)
	assert.Assert(t, len(f.movesTo("p")) > 0, "a machine must come for the fourth task")
}

// TestStandingTaskGetsRoomBeforeBatchWork answers a pool that batch work fills piecemeal: a standing task that needs more
// than comes free at once must not wait behind it.
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

// TestStandingTasksArePacked answers a pool that is large when its standing jobs come: they must not keep instances that
// the pool does not need, or those could never go to standby.
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
	assert.Equal(t, len(f.instancesOf(jobs...)), 3, "five tasks, two an instance")
	assert.Equal(t, len(f.movesTo("off"))+len(f.movesTo("o")), 5)
}

// TestStandingStepIsNotOnOneRack answers a rack that is lost: packed as they are, the tasks of a standing step are never all
// on it where the pool has instances in two racks.
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

// TestInstanceWithFewStandingTasksIsVacated answers a turn that is over in a pool whose standing tasks were started all
// over it meanwhile: they move together, one of a step at a time, and the instances that come free go to standby.
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
		assert.Assert(t, len(f.placements(job)) >= 3, "two tasks are away")
	}
	assert.Equal(t, len(f.instancesOf(job)), 2)
	assert.Equal(t, len(f.movesTo("off"))+len(f.movesTo("o")), 2, "two instances stay")
}

// TestMachineOnItsWayIsNotForgotten answers a list that the platform gives while machines move to standby: they must come
// back for the next turn although the list is read again only much later.
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
	assert.Equal(t, len(f.movesTo("p")), 0, "they are still on their way")
	f.advance(2 * time.Second)
	assert.DeepEqual(t, f.movesTo("p"), []string{"m-kept", "m-moving"})
}

// TestOwnMoveIsNewerThanTheList answers a list that was read before machines went to standby: they must come back for the
// next turn although the list still shows them in their old pool.
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
