package scheduler_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

func (f *testFleet) drainedDataCentres() map[fleet.DataCentreID]bool {
	drained := map[fleet.DataCentreID]bool{}
	for name := range f.state.DrainedDataCentres {
		drained[name] = true
	}
	return drained
}

// changeDrain commits a command and passes the drained data centres to the scheduler, as the supervisor does.
func (f *testFleet) changeDrain(command state.Command) {
	f.commit(command)
	f.scheduler.SetDrainedDataCentres(f.drainedDataCentres())
}

func (f *testFleet) drain(name fleet.DataCentreID) {
	f.changeDrain(state.DrainDataCentre{DataCentre: name, Revision: f.state.DrainRevisions[name]})
}

func (f *testFleet) resume(name fleet.DataCentreID) {
	f.changeDrain(state.ResumeDataCentre{DataCentre: name, Revision: f.state.DrainRevisions[name]})
}

// addInstanceIn announces and enrols an instance of pool p with 64 processors in a data centre.
func (f *testFleet) addInstanceIn(dataCentre fleet.DataCentreID, name string) fleet.InstanceID {
	return f.enrol(f.instanceIn(dataCentre, name))
}

func (f *testFleet) instanceIn(dataCentre fleet.DataCentreID, name string) workload.Instance {
	return workload.Instance{
		ID: fleet.InstanceID("i-" + name), Boot: f.now.Milliseconds(), Pool: "p", Address: name, Machine: "m-" + name, Sequence: 1, DataCentre: dataCentre,
		Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute + f.now, Rack: "r-" + string(dataCentre),
	}
}

// startsOn returns the number of starts ordered on an instance.
func (f *testFleet) startsOn(id fleet.InstanceID) int {
	n := 0
	for _, o := range f.startOrders {
		if o.Instance == id {
			n++
		}
	}
	return n
}

var smallBatchStep = workload.Step{Count: 1, Resources: workload.Resources{Processors: 5000}}

// TestNothingStartsInDrainedDataCentre covers each source of starts: waiting work, gangs, restarts of what ended there, an instance that
// announces itself there after the drain, a boot that replaces one, and the next leader. What runs there goes on.
func TestNothingStartsInDrainedDataCentre(t *testing.T) {
	f := newTestFleet(t)
	f.addInstanceIn("a", "a1")
	f.advance(time.Second)
	running := f.submitJob(workload.Step{Count: 2, Resources: workload.Resources{Processors: 5000}, Service: true, MaxUnavailable: 2})
	f.advance(500 * time.Millisecond)
	assert.Equal(t, f.startsOn("i-a1"), 2)
	f.drain("a")
	waiting := f.submitJob(smallBatchStep)
	gang := f.submitJob(workload.Step{Count: 2, Resources: workload.Resources{Processors: 5000}, Gang: true})
	f.advance(time.Second)
	f.addInstanceIn("a", "a2")
	f.advance(time.Second)
	f.endRun("i-a1", workload.TaskID{Job: running}, workload.EndedFailed)
	f.advance(time.Second)
	f.startLeader()
	f.advance(3 * time.Second)
	assert.Equal(t, len(f.startOrders), 2, "started in a drained data centre")
	assert.Equal(t, len(f.placements(running)), 1, "the other task goes on")
	f.addInstanceIn("b", "b1")
	f.advance(time.Second)
	for _, job := range []workload.JobID{running, waiting, gang} {
		assert.Assert(t, f.instancesOf(job)["i-b1"], "not started in the other data centre")
	}
	assert.Equal(t, f.startsOn("i-a1")+f.startsOn("i-a2"), 2)
	f.resume("a")
	f.submitJob(workload.Step{Count: 12, Resources: workload.Resources{Processors: 10000}})
	f.advance(time.Second)
	assert.Assert(t, f.startsOn("i-a1")+f.startsOn("i-a2") > 2, "not started after the resumption")
}

// TestRestartedInstanceInDrainedDataCentre guards against a restart of the tasks of an instance that crashed in a drained data centre, on its
// next boot or beside it.
func TestRestartedInstanceInDrainedDataCentre(t *testing.T) {
	f := newTestFleet(t)
	f.addInstanceIn("a", "a1")
	f.addInstanceIn("a", "a2")
	f.advance(time.Second)
	f.submitJob(workload.Step{Count: 3, Resources: workload.Resources{Processors: 5000}, Service: true})
	f.advance(time.Second)
	starts := len(f.startOrders)
	f.drain("a")
	f.now += time.Second
	f.addInstanceIn("a", "a1")
	f.addInstanceIn("a", "a2")
	f.advance(5 * time.Second)
	assert.Equal(t, len(f.startOrders), starts)
}

// TestInheritedRunsInDrainedDataCentre guards against a new leader that takes the runs of a drained data centre for lost and starts their
// tasks a second time elsewhere.
func TestInheritedRunsInDrainedDataCentre(t *testing.T) {
	f := newTestFleet(t)
	f.addInstanceIn("a", "a1")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 3, Resources: workload.Resources{Processors: 5000}})
	f.advance(time.Second)
	f.addInstanceIn("b", "b1")
	f.drain("a")
	f.startLeader()
	f.advance(2 * time.Second)
	assert.Equal(t, len(f.startOrders), 3)
	assert.Equal(t, len(f.placements(job)), 3)
	for task := range f.placements(job) {
		f.endRun("i-a1", task, workload.EndedDone)
	}
	f.advance(time.Second)
	assert.Assert(t, f.state.Workload.Jobs[job].Complete(), "the ends are not committed")
}

// TestCrossedDrainRequestsOfLeaders guards against a leader that is superseded by one that was elected after a resumption and a second drain:
// the table of the committed state decides, whatever an earlier leader knew.
func TestCrossedDrainRequestsOfLeaders(t *testing.T) {
	f := newTestFleet(t)
	f.addInstanceIn("a", "a1")
	f.advance(time.Second)
	f.drain("a")
	f.commit(state.ResumeDataCentre{DataCentre: "a", Revision: f.state.DrainRevisions["a"]}) // lost before its callback
	f.startLeader()
	f.submitJob(smallBatchStep)
	f.advance(time.Second)
	assert.Equal(t, len(f.startOrders), 1, "the resumption was committed")
	f.commit(state.DrainDataCentre{DataCentre: "a", Revision: f.state.DrainRevisions["a"]})
	f.startLeader()
	f.submitJob(smallBatchStep)
	f.advance(3 * time.Second)
	assert.Equal(t, len(f.startOrders), 1, "the second drain was committed")
}

// TestMachinesOfDrainedDataCentreStay guards against moves that start machines on standby in a drained data centre, or move machines out of
// it, and against a pool that counts instances there as available: its tasks would wait while machines elsewhere are on standby.
func TestMachinesOfDrainedDataCentreStay(t *testing.T) {
	f := newTestFleet(t)
	for _, name := range []string{"a1", "a2", "a3"} {
		f.addInstanceIn("a", name)
	}
	f.addInstanceOnMachine("o1", "o", "m-o1")
	f.advance(200 * time.Millisecond)                                          // before moves are enabled
	f.commit(state.DeregisterInstances{Instances: []fleet.InstanceID{"i-a3"}}) // moved to standby before
	delete(f.runs, "i-a3")
	f.drain("a")
	f.startLeader()
	f.machineOrders = nil
	f.scheduler.SetMachines([]scheduler.Machine{{Name: "m-a3", Pool: "off", Available: true}, {Name: "m-b1", Pool: "off", Available: true}})
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 5000}, Service: true})
	f.submitJobTo("other", workload.Step{Count: 40, Resources: workload.Resources{Processors: 60000}, Service: true})
	f.advance(5 * time.Second)
	for _, o := range f.machineOrders {
		assert.Equal(t, o.Machine, "m-b1", "a machine of the drained data centre was moved to %q", o.Pool)
	}
	assert.Assert(t, len(f.machineOrders) > 0, "the machine on standby elsewhere is not started")
}

// TestSharesWithoutDrainedDataCentre guards against shares that are computed from the capacity of a drained data centre. The first customer
// uses 5 of 12 slots of all instances, but five sixths of those that may be used: its next task has to wait for the second customer.
func TestSharesWithoutDrainedDataCentre(t *testing.T) {
	f := newTestFleet(t)
	f.addInstanceIn("b", "b1")
	f.advance(time.Second)
	step := workload.Step{Count: 1, Resources: workload.Resources{Processors: 10000}}
	submit := func(customer fleet.CustomerID, id workload.JobID, count int) {
		step.Count = count
		f.commit(state.SubmitJob{Job: workload.Job{ID: id, Steps: []workload.Step{step}}, Queue: "q", Customer: customer, At: state.Timestamp(f.now.Milliseconds())})
		f.scheduler.AddJob(f.now, f.now.Milliseconds(), f.state.Workload.Jobs[id], false)
	}
	submit("first", "0000000000000001", 5)
	f.advance(200 * time.Millisecond)
	f.drain("a")
	f.addInstanceIn("a", "a1")
	f.advance(200 * time.Millisecond)
	submit("first", "0000000000000002", 1)
	submit("second", "0000000000000003", 1)
	f.advance(300 * time.Millisecond)
	assert.Equal(t, len(f.placements("0000000000000002")), 0)
	assert.Equal(t, len(f.placements("0000000000000003")), 1)
}

// TestWaveTakesDrainedDataCentreFirst guards against maintenance that takes machines in use while those of a drained data centre, whose
// maintenance costs no capacity, are left for later.
func TestWaveTakesDrainedDataCentreFirst(t *testing.T) {
	f := newTestFleet(t)
	for _, name := range []string{"b1", "b2", "b3"} {
		f.addInstanceIn("b", name)
	}
	f.addInstanceOnMachine("o1", "o", "m-o1")
	f.addInstanceOnMachine("o2", "o", "m-o2")
	f.addInstanceIn("a", "z1")
	f.drain("a")
	f.advance(5 * time.Second)
	f.commit(state.AddWave{Wave: workload.Wave{Number: 1, Machines: []string{"m-b1", "m-b2", "m-z1"}, TimeLimit: 30 * time.Second, MaxConcurrent: 1}, At: state.Timestamp(f.now.Milliseconds())})
	f.scheduler.AddWave(f.now, f.now.Milliseconds(), f.state.Workload.Waves[1])
	f.machineOrders = nil
	f.advance(300 * time.Millisecond)
	assert.Equal(t, len(f.machineOrders), 1)
	assert.Equal(t, f.machineOrders[0], scheduler.MachineOrder{Machine: "m-z1", Wave: 1})
}

// TestReasonNamesDrain guards against an explanation that blames anything else for a task that waits because of a drain.
func TestReasonNamesDrain(t *testing.T) {
	f := newTestFleet(t)
	f.addInstanceIn("a", "a1")
	f.drain("a")
	f.advance(time.Second)
	f.submitJob(smallBatchStep)
	f.advance(4 * time.Second)
	waiting, _ := f.scheduler.ExplainWaiting(f.now, 1)
	assert.Equal(t, len(waiting), 1)
	assert.Assert(t, strings.Contains(waiting[0].Reason, "1 in drained data centre a"), waiting[0].Reason)
}

// TestWithheldStartIsRepeated guards against a task that counts as started although its order was held back because of a drain.
func TestWithheldStartIsRepeated(t *testing.T) {
	f := newTestFleet(t)
	f.addInstanceIn("a", "a1")
	f.advance(time.Second)
	f.submitJob(smallBatchStep)
	f.now += 100 * time.Millisecond
	f.pollAll()
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	orders := f.scheduler.TakeOrders()
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].DataCentre, fleet.DataCentreID("a"))
	f.drain("a")
	f.scheduler.HandleOrderOutcome(f.now, orders[0], scheduler.Withheld)
	f.addInstanceIn("b", "b1")
	f.advance(time.Second)
	assert.Equal(t, f.startsOn("i-b1"), 1)
}

// TestReclaimedInstanceOfDrainedDataCentreStays guards against a machine that is moved out of a drained data centre because another pool was
// to have it once its last run had ended, when the drain came. Load: late batch tasks in two data centres, and a pool that needs 40 more
// instances.
func TestReclaimedInstanceOfDrainedDataCentreStays(t *testing.T) {
	for name, drained := range map[string]bool{"drained": true, "not drained": false} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.taskTime = time.Hour
			for i := range 5 {
				f.addInstanceIn("a", fmt.Sprint("a", i))
				f.addInstanceIn("b", fmt.Sprint("b", i))
			}
			f.addInstanceOnMachine("o1", "o", "m-o1")
			f.advance(500 * time.Millisecond)
			var late []workload.JobID
			for range 10 {
				late = append(late, f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 60000}, Estimate: time.Millisecond}))
			}
			f.advance(15 * time.Second)
			f.submitJobTo("other", workload.Step{Count: 40, Resources: workload.Resources{Processors: 60000}, Service: true})
			f.advance(500 * time.Millisecond)
			if drained {
				f.drain("a")
			}
			f.machineOrders = nil
			for _, job := range late {
				for task, id := range f.placements(job) {
					if strings.HasPrefix(string(id), "i-a") {
						f.endRun(id, task, workload.EndedDone)
					}
				}
			}
			f.advance(time.Second)
			moved := slices.ContainsFunc(f.machineOrders, func(o scheduler.MachineOrder) bool { return strings.HasPrefix(o.Machine, "m-a") })
			assert.Equal(t, moved, !drained, "%v", f.machineOrders)
		})
	}
}

// TestWithheldPartOfGangIsRepeated guards against a gang that waits for ever for the part that was held back because of a drain, while the other
// part runs in another data centre.
func TestWithheldPartOfGangIsRepeated(t *testing.T) {
	f := newTestFleet(t)
	f.taskTime = time.Minute
	f.addInstanceIn("a", "a1")
	f.addInstanceIn("b", "b1")
	f.advance(time.Second)
	gang := f.submitJob(workload.Step{Count: 2, Resources: workload.Resources{Processors: 60000}, Gang: true, Estimate: time.Minute})
	f.now += 100 * time.Millisecond
	f.pollAll()
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	orders := f.scheduler.TakeOrders()
	assert.Equal(t, len(orders), 2)
	f.drain("a")
	for _, o := range orders {
		if o.DataCentre == "a" {
			f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Withheld)
			continue
		}
		f.executeOrder(o)
	}
	f.addInstanceIn("b", "b2")
	f.advance(3 * time.Second)
	assert.Equal(t, len(f.placements(gang)), 2, "%v", f.placements(gang))
	assert.Equal(t, f.startsOn("i-a1"), 0)
	assert.Assert(t, f.instancesOf(gang)["i-b1"] && f.instancesOf(gang)["i-b2"], "%v", f.instancesOf(gang))
}
