package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
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
	// crashAge is the age of a run of a deadly task at the crash, unless crashAges has one for each start in turn.
	crashAge  time.Duration
	crashAges []time.Duration
	dying     []dyingInstance
	returns   []returningBoot
	starts    map[workload.TaskID]int
	crashes   int
	// lost counts the runs of other tasks that ended in crashes.
	lost int
}

type dyingInstance struct {
	at    time.Duration
	order scheduler.Order
}

type returningBoot struct {
	at      time.Duration
	address string
}

func newCrashingFleet(t *testing.T, instances int) *crashingFleet {
	f := &crashingFleet{testFleet: newTestFleet(t), deadly: map[workload.TaskID]bool{}, starts: map[workload.TaskID]int{}, downTime: 3 * time.Second}
	for range instances {
		f.boot(fmt.Sprintf("address-%03d", f.boots), "p")
	}
	f.advance(time.Second)
	return f
}

// boot starts an instance at an address. It is on no machine that could be moved to another pool.
func (f *crashingFleet) boot(address string, pool fleet.PoolID) {
	f.boots++
	f.enrol(workload.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("i-boot-%03d", f.boots)), Boot: f.now.Milliseconds(), Pool: pool, Address: address, Sequence: 1,
		Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute, Rack: "r1-1",
	})
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
			if f.deadly[o.Task] {
				f.dying = append(f.dying, dyingInstance{at: f.now + f.ageAtCrash(f.starts[o.Task]), order: o})
			}
		}
		f.crashDying()
		f.returnBoots()
	}
}

// ageAtCrash returns the age at which a run of a deadly task crashes its instance. The first start of a task has number 1.
func (f *crashingFleet) ageAtCrash(start int) time.Duration {
	if len(f.crashAges) == 0 {
		return f.crashAge
	}
	return f.crashAges[(start-1)%len(f.crashAges)]
}

func (f *crashingFleet) crashDying() {
	var later []dyingInstance
	for _, d := range f.dying {
		switch {
		case f.runs[d.order.Instance][d.order.Task] != d.order.Run:
		case f.now < d.at:
			later = append(later, d)
		default:
			f.crash(d.order.Instance)
		}
	}
	f.dying = later
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
	f.failPoll(id, scheduler.Refused)
	f.returns = append(f.returns, returningBoot{at: f.now + f.downTime, address: f.addresses[id]})
}

// reachable returns the instances that are up, the earliest boot first.
func (f *crashingFleet) reachable() []fleet.InstanceID {
	return slices.Sorted(maps.Keys(f.runs))
}

// finish ends all runs of a job as done.
func (f *crashingFleet) finish(job workload.JobID) {
	for task, id := range f.placements(job) {
		f.endRun(id, task, workload.EndedDone)
	}
	f.advance(300 * time.Millisecond)
}

func (f *crashingFleet) returnBoots() {
	var later []returningBoot
	for _, m := range f.returns {
		if f.now < m.at {
			later = append(later, m)
			continue
		}
		f.boot(m.address, "p")
	}
	f.returns = later
}

// assertContained checks that no deadly task was started more often than the platform allows and that their jobs have failed.
func (f *crashingFleet) assertContained() {
	f.t.Helper()
	for task := range f.deadly {
		assert.Check(f.t, f.starts[task] <= maxStartsOfDeadlyTask, "%s started %d times", task, f.starts[task])
		assert.Check(f.t, f.state.Workload.Jobs[task.Job].Failed, "job of %s has not failed", task)
	}
}

// assertUnharmed checks that a job has not failed and runs all its tasks.
func (f *crashingFleet) assertUnharmed(job workload.JobID, tasks int) {
	f.t.Helper()
	assert.Check(f.t, f.state.Workload.Jobs[job].Active(), "job %s has failed", job)
	assert.Check(f.t, len(f.placements(job)) == tasks, "job %s runs %d of %d tasks", job, len(f.placements(job)), tasks)
}
