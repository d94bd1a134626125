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

// TestNextLeaderKeepsDelayAfterCrashes guards against a task that waits although there is room: each leader begins the delay after crashes anew,
// also if the task has run since.
func TestNextLeaderKeepsDelayAfterCrashes(t *testing.T) {
	for _, tc := range []struct {
		name string
		// left is how much of the delay is left for the next leader.
		left, startsWithin, notWithin time.Duration
	}{
		{"over", -10 * time.Second, time.Second, 0},
		{"some left", 3 * time.Second, 4 * time.Second, 2 * time.Second},
		{"beyond the delay, by another clock", time.Hour, 25 * time.Second, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newCrashingFleet(t, 4)
			id := workload.JobID("00000000000000aa")
			f.commitJob(id, workload.Step{Count: 1, Resources: workload.Resources{Processors: 4000}, Service: true})
			streak := &state.CrashStreak{HeldUntil: state.Timestamp((f.now + tc.left).Milliseconds())}
			for i := range 4 {
				streak.Crashes = append(streak.Crashes, state.StreakCrash{Age: 5 * time.Second, Host: fmt.Sprint("m-", i)})
			}
			f.commit(state.RecordRunEnds{Crashes: []state.TaskCrashes{{Task: workload.TaskID{Job: id}, Count: state.CrashCount{Streak: streak}}}})
			f.startLeader()
			f.advance(tc.notWithin)
			assert.Equal(t, len(f.startOrders), 0, "started during the delay")
			f.advance(tc.startsWithin - tc.notWithin)
			assert.Equal(t, len(f.startOrders), 1, "not started after the delay")
		})
	}
}

// TestCrashesOfOtherCausesDelayNobody guards against innocent tasks that are held back although there is room: among many tasks some are on three
// instances in a row that crash for reasons of their own.
func TestCrashesOfOtherCausesDelayNobody(t *testing.T) {
	for name, victim := range map[string]func(ids []fleet.InstanceID, round int) fleet.InstanceID{
		"oldest boot": func(ids []fleet.InstanceID, _ int) fleet.InstanceID { return ids[0] },
		"any":         func(ids []fleet.InstanceID, round int) fleet.InstanceID { return ids[round*round*7%len(ids)] },
		"in turn":     func(ids []fleet.InstanceID, round int) fleet.InstanceID { return ids[round%len(ids)] },
	} {
		for _, instances := range []int{8, 10, 12, 16} {
			t.Run(fmt.Sprintf("%s of %d", name, instances), func(t *testing.T) {
				f := newCrashingFleet(t, instances)
				var jobs []workload.JobID
				for round := range 12 {
					jobs = append(jobs, f.submitJob(workload.Step{Count: 20, Resources: workload.Resources{Processors: 2000}}))
					f.play(200 * time.Millisecond)
					f.crash(victim(f.reachable(), round))
					f.play(f.downTime + 2500*time.Millisecond)
					for _, job := range jobs {
						assert.Check(t, len(f.placements(job)) == 20, "round %d: job %s runs %d of 20 tasks", round, job, len(f.placements(job)))
					}
					if round%2 == 1 {
						f.finish(jobs[0])
						jobs = jobs[1:]
					}
				}
			})
		}
	}
}
