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
func withStandby(b *bench, n int) {
	var list []scheduler.Machine
	for i := range n {
		list = append(list, scheduler.Machine{Name: fmt.Sprintf("m-spare-%d", i), Pool: "off", Available: true})
	}
	b.scheduler.SetMachines(list)
}

// TestTurnOfAQueueBringsMachines answers a queue whose turn asks for more than its pool holds.
func TestTurnOfAQueueBringsMachines(t *testing.T) {
	b := newBench(t)
	for i := range 3 {
		b.join(fmt.Sprint(i), "p")
	}
	withStandby(b, 8)
	b.pass(3 * time.Second)
	for range 12 {
		b.submit(workload.Step{Count: 8, Resources: workload.Resources{Processors: 7000, Memory: 1000}})
	}
	b.pass(time.Second)
	assert.Equal(t, len(b.movedTo("o")), 2, "a pool with a queue has two instances")
	assert.Equal(t, len(b.movedTo("p")), 6, "the turn needs 11 instances, the pool has 3, and 6 are left")
}

// TestIdleInstancesGoOff answers a turn that is over: instances that nothing needs go to standby, but not all, and not
// before there was work.
func TestIdleInstancesGoOff(t *testing.T) {
	b := newBench(t)
	for i := range 8 {
		b.join(fmt.Sprint(i), "p")
	}
	withStandby(b, 0)
	b.pass(6 * time.Second)
	assert.Equal(t, len(b.movedTo("off")), 0, "the demand is not known before the first job that ends")
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	b.pass(6 * time.Second)
	assert.Equal(t, len(b.movedTo("o")), 2, "a pool with a queue has two instances")
	assert.Equal(t, len(b.movedTo("off")), 4, "two stay")
}

// TestStandingTasksKeepTheInstancesTheyMustSpreadOver answers a pool in which every instance holds one task of a step
// that allows one an instance: when one is lost, another machine must come although processors and memory suffice.
func TestStandingTasksKeepTheInstancesTheyMustSpreadOver(t *testing.T) {
	b := newBench(t)
	for i := range 4 {
		b.join(fmt.Sprint(i), "p")
	}
	withStandby(b, 4)
	b.pass(time.Second)
	job := b.submit(workload.Step{Count: 4, Resources: workload.Resources{Processors: 1000}, Service: true, MaxPerInstance: 1})
	b.pass(4 * time.Second)
	assert.Equal(t, len(b.where(job)), 4)
	assert.Equal(t, len(b.movedTo("off")), 0, "no instance may leave")
	delete(b.runs, "i-0")
	b.scheduler.HandleDeparture(b.now, "i-0", 0)
	b.scheduler.HandlePollFailure(b.now, "i-0", scheduler.Refused)
	b.pass(time.Second)
	assert.Assert(t, len(b.movedTo("p")) > 0, "a machine must come for the fourth task")
}

// TestStandingTaskGetsRoomBeforeBatchWork answers a pool that batch work fills piecemeal: a standing task that needs more
// than comes free at once must not wait behind it.
func TestStandingTaskGetsRoomBeforeBatchWork(t *testing.T) {
	b := newBench(t)
	id := b.join("a", "p")
	b.pass(time.Second)
	for range 6 {
		b.submit(workload.Step{Count: 8, Resources: workload.Resources{Processors: 8000}})
	}
	b.pass(200 * time.Millisecond)
	job := b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 20000}, Service: true})
	for range 4 {
		b.pass(200 * time.Millisecond)
		for task := range b.runs[id] {
			if task.Job != job {
				b.end(id, task, workload.EndedDone)
				break
			}
		}
	}
	b.pass(300 * time.Millisecond)
	assert.Equal(t, len(b.where(job)), 1)
}

// TestStandingTasksArePacked answers a pool that is large when its standing jobs come: they must not keep instances that
// the pool does not need, or those could never go to standby.
func TestStandingTasksArePacked(t *testing.T) {
	b := newBench(t)
	for i := range 8 {
		b.join(fmt.Sprint(i), "p")
	}
	withStandby(b, 0)
	b.pass(time.Second)
	jobs := []workload.JobID{
		b.submit(workload.Step{Count: 5, Resources: workload.Resources{Processors: 5000}, Service: true, MaxPerInstance: 2}),
		b.submit(workload.Step{Count: 6, Resources: workload.Resources{Processors: 5000}, Service: true}),
	}
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	b.pass(8 * time.Second)
	assert.Equal(t, len(b.where(jobs[0]))+len(b.where(jobs[1])), 11, "all tasks run")
	assert.Equal(t, len(b.instancesOf(jobs...)), 3, "five tasks, two an instance")
	assert.Equal(t, len(b.movedTo("off"))+len(b.movedTo("o")), 5)
}

// TestStandingStepIsNotOnOneRack answers a rack that is lost: packed as they are, the tasks of a standing step are never all
// on it where the pool has instances in two racks.
func TestStandingStepIsNotOnOneRack(t *testing.T) {
	b := newBench(t)
	for i := range 6 {
		b.joinRack(fmt.Sprint(i), "p", fmt.Sprintf("r%d", i/4))
	}
	b.join("x", "o")
	b.join("y", "o")
	b.pass(time.Second)
	for range 3 {
		job := b.submit(workload.Step{Count: 5, Resources: workload.Resources{Processors: 4000}, Service: true})
		b.pass(300 * time.Millisecond)
		racks := map[string]int{}
		for _, id := range b.where(job) {
			racks[b.racks[id]]++
		}
		assert.Equal(t, len(racks), 2, "%v", racks)
		assert.Assert(t, len(b.instancesOf(job)) == 2, "packed on two instances")
	}
}

// TestInstanceWithFewStandingTasksIsVacated answers a turn that is over in a pool whose standing tasks were started all
// over it meanwhile: they move together, one of a step at a time, and the instances that come free go to standby.
func TestInstanceWithFewStandingTasksIsVacated(t *testing.T) {
	b := newBench(t)
	for i := range 4 {
		b.join(fmt.Sprint(i), "p")
	}
	withStandby(b, 0)
	b.pass(200 * time.Millisecond)
	turn := b.submit(workload.Step{Count: 4, Resources: workload.Resources{Processors: 56000}})
	b.pass(200 * time.Millisecond)
	job := b.submit(workload.Step{Count: 4, Resources: workload.Resources{Processors: 5000}, Service: true, MaxUnavailable: 1})
	b.pass(time.Second)
	assert.Equal(t, len(b.instancesOf(job)), 4)
	for task, id := range b.where(turn) {
		b.end(id, task, workload.EndedDone)
	}
	for range 120 {
		b.pass(100 * time.Millisecond)
		assert.Assert(t, len(b.where(job)) >= 3, "two tasks are away")
	}
	assert.Equal(t, len(b.instancesOf(job)), 2)
	assert.Equal(t, len(b.movedTo("off"))+len(b.movedTo("o")), 2, "two instances stay")
}

// TestMachineOnItsWayIsNotForgotten answers a list that the platform gives while machines move to standby: they must come
// back for the next turn although the list is read again only much later.
func TestMachineOnItsWayIsNotForgotten(t *testing.T) {
	b := newBench(t)
	b.join("0", "p")
	b.join("1", "p")
	b.join("x", "o")
	b.join("y", "o")
	b.pass(time.Second)
	b.scheduler.SetMachines([]scheduler.Machine{
		{Name: "m-moving", Pool: "off", InTransition: true}, {Name: "m-kept", Pool: "off", InTransition: true}, {Name: "m-lost", Pool: "off"},
	})
	turn := workload.Step{Count: 40, Resources: workload.Resources{Processors: 7000}}
	b.submit(turn)
	b.pass(time.Second)
	assert.Equal(t, len(b.movedTo("p")), 0, "they are still on their way")
	b.pass(2 * time.Second)
	assert.DeepEqual(t, b.movedTo("p"), []string{"m-kept", "m-moving"})
}

// TestOwnMoveIsNewerThanTheList answers a list that was read before machines went to standby: they must come back for the
// next turn although the list still shows them in their old pool.
func TestOwnMoveIsNewerThanTheList(t *testing.T) {
	b := newBench(t)
	for i := range 6 {
		b.join(fmt.Sprint(i), "p")
	}
	b.join("x", "o")
	b.join("y", "o")
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	b.pass(8 * time.Second)
	var stale []scheduler.Machine
	for _, o := range b.machines {
		assert.Equal(t, string(o.Pool), "off")
		stale = append(stale, scheduler.Machine{Name: o.Machine, Pool: "p", Available: true})
		b.scheduler.HandleMachineOutcome(b.now, o, scheduler.MachineDone)
		delete(b.runs, fleet.InstanceID("i-"+strings.TrimPrefix(o.Machine, "m-")))
	}
	assert.Equal(t, len(stale), 4)
	b.scheduler.SetMachines(stale)
	b.pass(3 * time.Second)
	b.submit(workload.Step{Count: 60, Resources: workload.Resources{Processors: 7000}})
	b.pass(time.Second)
	assert.Equal(t, len(b.movedTo("p")), 4)
}
