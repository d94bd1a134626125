package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// maxDelayedStarts is the number of starts in four minutes of a task that is delayed ever longer but not proved to crash instances.
const maxDelayedStarts = 9

// TestLateCrashesInSmallPoolsAreContained guards against tasks that crash instance after instance because the pool is too small to tell them
// from their neighbours, or because several of them raise the rate of crashes and hide behind it.
func TestLateCrashesInSmallPoolsAreContained(t *testing.T) {
	small := workload.Resources{Processors: 2000}
	for _, c := range []struct {
		instances, deadly int
		age               time.Duration
	}{
		{2, 1, 5 * time.Second},
		{2, 1, 20 * time.Second},
		{3, 1, 5 * time.Second},
		{3, 1, 20 * time.Second},
		{6, 3, 5 * time.Second},
		{6, 3, 20 * time.Second},
		{6, 6, 5 * time.Second},
		{10, 6, 5 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d tasks on %d instances, %s", c.deadly, c.instances, c.age), func(t *testing.T) {
			f := newCrashingFleet(t, c.instances)
			f.crashAge = c.age
			neighbours := f.submitJob(workload.Step{Count: 6 * c.instances, Resources: small})
			for range c.deadly {
				f.addDeadly(f.submitJob(workload.Step{Count: 4, Resources: small}), 1)
				f.play(700 * time.Millisecond)
			}
			f.play(240 * time.Second)
			for task := range f.deadly {
				assert.Check(t, f.starts[task] <= maxDelayedStarts, "%s started %d times", task, f.starts[task])
			}
			assert.Assert(t, f.state.Workload.Jobs[neighbours].Active())
		})
	}
}

// TestLateCrashSparesNeighbours guards against neighbours that move along with a task that crashes its instances and are lost each time.
func TestLateCrashSparesNeighbours(t *testing.T) {
	small := workload.Resources{Processors: 2000}
	f := newCrashingFleet(t, 6)
	f.crashAge = 5 * time.Second
	service := f.submitJob(workload.Step{Count: 4, Resources: small, Service: true})
	neighbours := f.submitJob(workload.Step{Count: 20, Resources: small})
	f.play(100 * time.Millisecond)
	f.addDeadly(f.submitJob(workload.Step{Count: 1, Resources: small}), 1)
	f.play(120 * time.Second)
	f.assertContained()
	f.assertUnharmed(neighbours, 20)
	f.assertUnharmed(service, 4)
	// The first crash ends all neighbours, which are packed on one instance, and the second those that have started beside the task since.
	assert.Check(t, f.lost <= 24+10, "%d runs of neighbours were lost", f.lost)
	for task := range f.placements(service) {
		assert.Check(t, f.starts[task] <= 2+1, "service task %s started %d times", task, f.starts[task])
	}
}

// TestLateCrashUnderLostLeaderIsCounted guards against a start too many because the leader is lost between a late crash and the next boot.
func TestLateCrashUnderLostLeaderIsCounted(t *testing.T) {
	for _, lostAt := range []int{1, 3, 5} {
		t.Run(fmt.Sprintf("crash %d", lostAt), func(t *testing.T) {
			f := newCrashingFleet(t, 6)
			f.crashAge = 5 * time.Second
			neighbours := f.submitJob(workload.Step{Count: 20, Resources: workload.Resources{Processors: 2000}})
			f.play(100 * time.Millisecond)
			f.addDeadly(f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 2000}}), 1)
			for end := f.now + 150*time.Second; f.crashes < lostAt && f.now < end; {
				f.play(100 * time.Millisecond)
			}
			f.play(200 * time.Millisecond)
			snapshot, err := f.state.Snapshot()
			assert.NilError(t, err)
			f.state, err = state.FromSnapshot(snapshot)
			assert.NilError(t, err)
			f.startLeader()
			f.play(150 * time.Second)
			f.assertContained()
			f.assertUnharmed(neighbours, 20)
		})
	}
}

// TestFrequentCrashesGiveNobodyUp guards against an innocent task that is given up because its pool crashes so often that it meets crashes in a
// row, in particular if the next instance to crash is the one on which tasks are placed.
func TestFrequentCrashesGiveNobodyUp(t *testing.T) {
	small := workload.Resources{Processors: 2000}
	for _, instances := range []int{3, 4, 6, 10} {
		for name, victim := range map[string]func(ids []fleet.InstanceID, round int) fleet.InstanceID{
			"oldest boot": func(ids []fleet.InstanceID, _ int) fleet.InstanceID { return ids[0] },
			"newest boot": func(ids []fleet.InstanceID, _ int) fleet.InstanceID { return ids[len(ids)-1] },
			"any":         func(ids []fleet.InstanceID, round int) fleet.InstanceID { return ids[round*round*7%len(ids)] },
		} {
			t.Run(fmt.Sprintf("%s of %d", name, instances), func(t *testing.T) {
				f := newCrashingFleet(t, instances)
				var jobs []workload.JobID
				for range 4 {
					jobs = append(jobs, f.submitJob(workload.Step{Count: instances, Resources: small}), f.submitJob(workload.Step{Count: instances, Resources: small, Service: true}))
				}
				for round := range 30 {
					f.play(8 * time.Second)
					f.crash(victim(f.reachable(), round))
				}
				for _, job := range jobs {
					assert.Check(t, f.state.Workload.Jobs[job].Active(), "job %s has failed", job)
				}
			})
		}
	}
}

// TestLateLossOfRackCountsOnceForGang guards against a gang that is given up because the loss of a rack counts once for each of its instances.
func TestLateLossOfRackCountsOnceForGang(t *testing.T) {
	f := newCrashingFleet(t, 8)
	job := f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 40000}, Gang: true})
	f.play(10 * time.Second)
	used := f.instancesOf(job)
	assert.Equal(t, len(used), 4)
	for id := range used {
		f.crash(id)
	}
	f.play(f.downTime + 2*time.Second)
	f.assertUnharmed(job, 4)
	assert.Equal(t, len(f.state.Workload.Jobs[job].Crashes[0].Streak.Crashes), 1)
	f.play(40 * time.Second)
	assert.Equal(t, len(f.state.Workload.Jobs[job].Crashes), 0)
}
