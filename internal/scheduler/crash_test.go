package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// maxStartsOfDeadlyTask is the number of starts that the platform allows: three crashes, and two starts after the third.
const maxStartsOfDeadlyTask = 5

// crashingFleet is a fleet in which some tasks crash each instance that starts them. A crashed instance is back with a new boot
// after downTime.
type crashingFleet struct {
	*testFleet
	deadly map[workload.TaskID]bool
	// handled is the number of start orders that crash was called for.
	handled  int
	boots    int
	downTime time.Duration
	returns  []returningMachine
	starts   map[workload.TaskID]int
	crashes  int
	// lost counts the runs of other tasks that ended in crashes.
	lost int
}

type returningMachine struct {
	at      time.Duration
	machine string
	pool    fleet.PoolID
}

func newCrashingFleet(t *testing.T, instances int, pool fleet.PoolID) *crashingFleet {
	f := &crashingFleet{testFleet: newTestFleet(t), deadly: map[workload.TaskID]bool{}, starts: map[workload.TaskID]int{}, downTime: 3 * time.Second}
	for range instances {
		f.boots++
		f.addInstanceOnMachine(fmt.Sprintf("boot-%03d", f.boots), pool, fmt.Sprintf("m-%03d", f.boots))
	}
	f.reportedPercent = 10
	f.advance(time.Second)
	return f
}

// addDeadly makes the first count tasks of a job deadly.
func (f *crashingFleet) addDeadly(job workload.JobID, count int) {
	for i := range count {
		f.deadly[workload.TaskID{Job: job, Position: workload.NewPosition(0, 0, i)}] = true
	}
}

// play advances the time in small steps; deadly tasks crash their instance within the step that starts them.
func (f *crashingFleet) play(duration time.Duration) {
	for end := f.now + duration; f.now < end; {
		f.advance(100 * time.Millisecond)
		for ; f.handled < len(f.startOrders); f.handled++ {
			o := f.startOrders[f.handled]
			f.starts[o.Task]++
			if f.deadly[o.Task] && f.runs[o.Instance] != nil {
				f.crash(o.Instance)
			}
		}
		f.returnMachines()
	}
}

func (f *crashingFleet) crash(id fleet.InstanceID) {
	f.crashes++
	for task := range f.runs[id] {
		if !f.deadly[task] {
			f.lost++
		}
	}
	delete(f.runs, id)
	delete(f.unackedEnds, id)
	f.scheduler.HandlePollFailure(f.now, id, scheduler.Refused)
	f.returns = append(f.returns, returningMachine{at: f.now + f.downTime, machine: f.machines[id], pool: "p"})
}

func (f *crashingFleet) returnMachines() {
	var later []returningMachine
	for _, m := range f.returns {
		if f.now < m.at {
			later = append(later, m)
			continue
		}
		f.boots++
		f.addInstanceOnMachine(fmt.Sprintf("boot-%03d", f.boots), m.pool, m.machine)
	}
	f.returns = later
}

// TestTaskThatCrashesInstancesIsGivenUp guards against a task that crashes one instance after the other, because nothing counts runs
// that are lost with their instance (incident BUDGET).
func TestTaskThatCrashesInstancesIsGivenUp(t *testing.T) {
	f := newCrashingFleet(t, 6, "p")
	neighbours := f.submitJob(workload.Step{Count: 40, Resources: workload.Resources{Processors: 4000}})
	f.play(time.Second)
	job := f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 4000}})
	f.addDeadly(job, 1)
	f.play(60 * time.Second)
	task := workload.TaskID{Job: job}
	assert.Assert(t, f.starts[task] <= maxStartsOfDeadlyTask, "started %d times", f.starts[task])
	assert.Assert(t, f.state.Workload.Jobs[job].Failed)
	assert.Assert(t, f.state.Workload.Jobs[neighbours].Active())
	assert.Equal(t, len(f.placements(neighbours)), 40)
}
