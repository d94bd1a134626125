package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestTaskThatCrashesInstancesIsGivenUp guards against a task that crashes one instance after the other, because nothing counts runs
// that are lost with their instance (incident BUDGET).
func TestTaskThatCrashesInstancesIsGivenUp(t *testing.T) {
	f := newCrashingFleet(t, 6)
	neighbours := f.submitJob(workload.Step{Count: 40, Resources: workload.Resources{Processors: 4000}})
	f.play(time.Second)
	job := f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 4000}})
	f.addDeadly(job, 1)
	f.play(60 * time.Second)
	f.assertContained()
	f.assertUnharmed(neighbours, 40)
}

// TestDeadlyTasksOfEveryKindAreGivenUp guards against a kind of step, a small pool or a number of deadly tasks for which the count of crashes
// names nobody, or names a neighbour.
func TestDeadlyTasksOfEveryKindAreGivenUp(t *testing.T) {
	small := workload.Resources{Processors: 2000}
	for name, c := range map[string]struct {
		instances, deadly int
		step              workload.Step
		downTime          time.Duration
		crashAge          time.Duration
	}{
		"pool of two":             {2, 1, workload.Step{Count: 4, Resources: small}, 3 * time.Second, 0},
		"ten at once":             {8, 10, workload.Step{Count: 12, Resources: small}, 3 * time.Second, 0},
		"service":                 {6, 1, workload.Step{Count: 4, Resources: small, Service: true}, 3 * time.Second, 0},
		"best effort":             {6, 1, workload.Step{Count: 4, Resources: small, Service: true, BestEffort: true}, 3 * time.Second, 0},
		"gang":                    {6, 1, workload.Step{Count: 4, Resources: small, Gang: true}, 3 * time.Second, 0},
		"away beyond the lease":   {6, 1, workload.Step{Count: 4, Resources: small}, 9 * time.Second, 0},
		"back at once":            {6, 1, workload.Step{Count: 4, Resources: small}, 100 * time.Millisecond, 0},
		"crash after 0.6 s":       {6, 1, workload.Step{Count: 4, Resources: small}, 3 * time.Second, 600 * time.Millisecond},
		"crash after 2 s":         {6, 1, workload.Step{Count: 4, Resources: small}, 3 * time.Second, 2 * time.Second},
		"one task on an instance": {6, 1, workload.Step{Count: 4, Resources: small, MaxPerInstance: 1}, 3 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashingFleet(t, c.instances)
			f.downTime, f.crashAge = c.downTime, c.crashAge
			neighbours := f.submitJob(workload.Step{Count: 20, Resources: small})
			f.play(100 * time.Millisecond)
			job := f.submitJob(c.step)
			f.addDeadly(job, c.deadly)
			f.play(90 * time.Second)
			f.assertContained()
			f.assertUnharmed(neighbours, 20)
		})
	}
}

// TestTaskThatCrashesInstancesLateIsGivenUp guards against a task that is started without end because its runs crash their instances long after their
// start, or each at another age.
func TestTaskThatCrashesInstancesLateIsGivenUp(t *testing.T) {
	small := workload.Resources{Processors: 2000}
	for name, ages := range map[string][]time.Duration{
		"5 s":               {5 * time.Second},
		"20 s":              {20 * time.Second},
		"at the start, 2 s": {0, 2 * time.Second},
		"0.6 s, 8 s, 2 s":   {600 * time.Millisecond, 8 * time.Second, 2 * time.Second},
	} {
		for _, service := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, service %t", name, service), func(t *testing.T) {
				f := newCrashingFleet(t, 6)
				f.crashAges = ages
				neighbours := f.submitJob(workload.Step{Count: 20, Resources: small})
				f.play(100 * time.Millisecond)
				f.addDeadly(f.submitJob(workload.Step{Count: 4, Resources: small, Service: service}), 1)
				f.play(180 * time.Second)
				f.assertContained()
				f.assertUnharmed(neighbours, 20)
			})
		}
	}
}

// TestDeadlyTasksOfManyJobsAreGivenUp guards against deadly tasks of several jobs that hide behind each other.
func TestDeadlyTasksOfManyJobsAreGivenUp(t *testing.T) {
	f := newCrashingFleet(t, 8)
	neighbours := f.submitJob(workload.Step{Count: 40, Resources: workload.Resources{Processors: 2000}})
	for range 5 {
		f.addDeadly(f.submitJob(workload.Step{Count: 3, Resources: workload.Resources{Processors: 2000}}), 2)
	}
	f.play(90 * time.Second)
	f.assertContained()
	f.assertUnharmed(neighbours, 40)
}

// TestCountOfCrashesOutlivesLeader guards against a count that starts anew under each leader, or that a snapshot loses.
func TestCountOfCrashesOutlivesLeader(t *testing.T) {
	f := newCrashingFleet(t, 6)
	neighbours := f.submitJob(workload.Step{Count: 40, Resources: workload.Resources{Processors: 4000}})
	f.play(time.Second)
	f.addDeadly(f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 4000}}), 1)
	for f.crashes < 2 {
		f.play(100 * time.Millisecond)
	}
	for range 2 {
		f.play(4 * time.Second)
		snapshot, err := f.state.Snapshot()
		assert.NilError(t, err)
		f.state, err = state.FromSnapshot(snapshot)
		assert.NilError(t, err)
		f.startLeader()
	}
	f.play(60 * time.Second)
	f.assertContained()
	f.assertUnharmed(neighbours, 40)
}

// TestCrashUnderLostLeaderIsCounted guards against crashes that nobody counts (BUDGET 3 in a hunt): each leader is lost after an instance has crashed and
// before its next boot shows that.
func TestCrashUnderLostLeaderIsCounted(t *testing.T) {
	f := newCrashingFleet(t, 6)
	neighbours := f.submitJob(workload.Step{Count: 40, Resources: workload.Resources{Processors: 4000}})
	f.play(time.Second)
	f.addDeadly(f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 4000}}), 1)
	for leaders := 1; leaders <= 5; leaders++ {
		for end := f.now + 20*time.Second; f.crashes < leaders && f.now < end; {
			f.play(100 * time.Millisecond)
		}
		f.play(200 * time.Millisecond)
		f.startLeader()
	}
	f.play(60 * time.Second)
	f.assertContained()
	f.assertUnharmed(neighbours, 40)
}

// TestInheritedCountStartsNothing guards against starts of a job that a new leader gives up at once: the last crash that the platform allows
// happened under an earlier leader.
func TestInheritedCountStartsNothing(t *testing.T) {
	f := newCrashingFleet(t, 2)
	id := workload.JobID("00000000000000aa")
	f.commitJob(id, workload.Step{Count: 3, Resources: workload.Resources{Processors: 4000}})
	count := state.CrashCount{Crashes: maxStartsOfDeadlyTask - 1, MaxAge: 20 * time.Millisecond, Hosts: []string{"x"}, Pending: true}
	f.commit(state.RecordRunEnds{Crashes: []state.TaskCrashes{{Task: workload.TaskID{Job: id}, Count: count}}})
	f.startLeader()
	f.advance(5 * time.Second)
	assert.Equal(t, len(f.startOrders), 0)
	assert.Assert(t, f.state.Workload.Jobs[id].Failed)
}

// TestCrashIsCommittedBeforeNextStart guards against a start that a later leader cannot count: the leader is lost after it has started the
// task again and before the crash is committed.
func TestCrashIsCommittedBeforeNextStart(t *testing.T) {
	f := newCrashingFleet(t, 6)
	f.addDeadly(f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 4000}}), 1)
	f.play(time.Second)
	assert.Equal(t, f.crashes, 1)
	f.now += f.downTime
	f.returnBoots()
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	for _, o := range f.scheduler.TakeOrders() {
		assert.Check(t, o.Kind != scheduler.Start, "started before the crash is committed")
	}
	f.play(time.Second)
	assert.Equal(t, f.crashes, 2)
}

// TestCrashesOfOtherCausesGiveNobodyUp guards against innocent tasks that are given up, or that wait for long, because their instances crash
// for reasons of their own, alone or a whole rack at once.
func TestCrashesOfOtherCausesGiveNobodyUp(t *testing.T) {
	for name, atOnce := range map[string]int{"one by one": 1, "a rack at once": 4} {
		t.Run(name, func(t *testing.T) {
			f := newCrashingFleet(t, 10)
			var jobs []workload.JobID
			for round := range 12 {
				jobs = append(jobs, f.submitJob(workload.Step{Count: 20, Resources: workload.Resources{Processors: 2000}}))
				f.play(200 * time.Millisecond)
				for _, id := range f.reachable()[:atOnce] {
					f.crash(id)
				}
				f.play(f.downTime + 2500*time.Millisecond)
				for _, job := range jobs {
					f.assertUnharmed(job, 20)
				}
				if round%2 == 1 {
					f.finish(jobs[0])
					jobs = jobs[1:]
				}
			}
		})
	}
}

// TestGangOnLostRackIsNotGivenUp guards against a gang that is given up because the loss of a rack counts once for each of its instances.
func TestGangOnLostRackIsNotGivenUp(t *testing.T) {
	f := newCrashingFleet(t, 8)
	job := f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 40000}, Gang: true})
	f.play(200 * time.Millisecond)
	used := f.instancesOf(job)
	assert.Equal(t, len(used), 4)
	for id := range used {
		f.crash(id)
	}
	f.play(f.downTime + 2*time.Second)
	f.assertUnharmed(job, 4)
	assert.Assert(t, f.state.Workload.Jobs[job].Crashes[0].Crashes <= 1)
}

// TestInstanceThatFlapsGivesNobodyUp guards against a task that is given up because it is started again and again on the one instance that
// keeps crashing.
func TestInstanceThatFlapsGivesNobodyUp(t *testing.T) {
	f := newCrashingFleet(t, 4)
	f.downTime = 500 * time.Millisecond
	jobs := []workload.JobID{f.submitJob(workload.Step{Count: 50, Resources: workload.Resources{Processors: 4000}})}
	for range 20 {
		f.play(200 * time.Millisecond)
		ids := f.reachable()
		f.crash(ids[len(ids)-1]) // the latest boot
		f.play(1300 * time.Millisecond)
	}
	f.play(5 * time.Second)
	f.assertUnharmed(jobs[0], 50)
}

// TestSilenceIsNoCrash guards against tasks that are suspected because their instance was cut off, drained or moved.
func TestSilenceIsNoCrash(t *testing.T) {
	for name, end := range map[string]func(f *crashingFleet, id fleet.InstanceID){
		"cut off": func(f *crashingFleet, id fleet.InstanceID) {
			runs := f.runs[id]
			delete(f.runs, id)
			for range 80 {
				f.play(100 * time.Millisecond)
				f.failPoll(id, scheduler.Refused)
			}
			clear(runs) // their leases have expired
			f.runs[id] = runs
		},
		"drained": func(f *crashingFleet, id fleet.InstanceID) {
			f.scheduler.HandleAnnouncement(f.now, workload.Instance{
				ID: id, Boot: f.bootMillis[string(id)], Pool: "p", Address: f.addresses[id], Sequence: 2, Draining: true, TimeLeft: time.Second,
			})
			f.crash(id)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashingFleet(t, 2)
			job := f.submitJob(workload.Step{Count: 20, Resources: workload.Resources{Processors: 1000}})
			f.advance(100 * time.Millisecond)
			f.scheduler.TakeDecisions()
			end(f, f.reachable()[0])
			f.play(5 * time.Second)
			for _, d := range f.scheduler.TakeDecisions() {
				assert.Check(t, d.What != "task set apart" && d.What != "task given up", "%s: %s", d.What, d.Reason)
			}
			assert.Equal(t, len(f.state.Workload.Jobs[job].Crashes), 0)
		})
	}
}

// TestUndeliveredStartIsNoSuspect guards against tasks that are suspected although the instance was gone before their start arrived.
func TestUndeliveredStartIsNoSuspect(t *testing.T) {
	f := newCrashingFleet(t, 1)
	delete(f.runs, "i-boot-001") // refuses orders
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.advance(100 * time.Millisecond)
	f.now += 100 * time.Millisecond
	f.boot(f.addresses["i-boot-001"], "p")
	f.advance(time.Second)
	assert.Equal(t, len(f.state.Workload.Jobs[job].Crashes), 0)
	f.assertUnharmed(job, 1)
}

// TestMoveIsNoCrash guards against tasks that are suspected because the order of an earlier leader to move their machine was carried out late.
func TestMoveIsNoCrash(t *testing.T) {
	f := newTestFleet(t)
	f.addInstanceOnMachine("a", "p", "m-1")
	job := f.submitJob(workload.Step{Count: 2, Resources: workload.Resources{Processors: 1000}})
	f.advance(100 * time.Millisecond)
	delete(f.runs, "i-a")
	f.addInstanceOnMachine("b", "o", "m-1")
	f.advance(time.Second)
	assert.Equal(t, len(f.state.Workload.Jobs[job].Crashes), 0)
}
