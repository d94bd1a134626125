package scheduler_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Durations of the simulated platform.
const (
	maintenanceTime  = 2 * time.Second
	moveTime         = 1500 * time.Millisecond
	serviceStartTime = time.Second
	leaseTime        = 5400 * time.Millisecond
)

// waveFleet is a testFleet whose tasks take time and whose machines shut down for maintenance and moves. Its random numbers are
// seeded.
type waveFleet struct {
	*testFleet
	random *rand.Rand
	// machines are the simulated machines by name.
	machines map[string]*simulatedMachine
	names    []string
	starts   map[workload.TaskID]time.Duration
	lengths  map[workload.TaskID]time.Duration
	seen     int // start orders
	answered int // machine orders
	// begun is when the maintenance of each machine began.
	begun map[string]time.Duration
	// maxDown is the largest number of machines that were in maintenance at once.
	maxDown int
	// length returns how long a batch task takes; nil stands for the distribution of batchLength.
	length func(task workload.TaskID) time.Duration
	jobs   []workload.JobID
	// services are the service jobs, of which at most one task may be unavailable.
	services []workload.JobID
	boots    int
	// platform decides on an order that the machine could carry out now; nil stands for a platform that does so and answers at once.
	platform func(o scheduler.MachineOrder) platformReply
	replies  []pendingReply
	// cutAt and cutUntil are since and until when machines are cut off from the leader.
	cutAt, cutUntil map[string]time.Duration
	gone            map[string]bool
}

// newWaveFleet returns a fleet of n machines in racks of eight, half of them in each of two pools.
func newWaveFleet(t *testing.T, n int) *waveFleet {
	f := &waveFleet{
		testFleet: newTestFleet(t), random: rand.New(rand.NewSource(1)), machines: map[string]*simulatedMachine{}, starts: map[workload.TaskID]time.Duration{},
		lengths: map[workload.TaskID]time.Duration{}, begun: map[string]time.Duration{},
		cutAt: map[string]time.Duration{}, cutUntil: map[string]time.Duration{}, gone: map[string]bool{},
	}
	f.percentOf = f.progress
	f.cut = f.isCut
	for i := range n {
		m := &simulatedMachine{name: fmt.Sprintf("m-%03d", i), pool: [2]fleet.PoolID{"p", "o"}[i*2/n], rack: fmt.Sprint("r-", i/8)}
		f.machines[m.name] = m
		f.names = append(f.names, m.name)
		f.boot(m)
	}
	f.step(time.Second)
	return f
}

// progress returns how far a task is, in percent.
func (f *waveFleet) progress(task workload.TaskID) int {
	length := f.lengths[task]
	if length == 0 {
		return 100
	}
	return min(100, int(100*(f.now-f.starts[task])/length))
}

// step advances the fleet in steps of 100 ms.
func (f *waveFleet) step(duration time.Duration) {
	for end := f.now + duration; f.now < end; {
		for _, name := range f.names {
			f.advanceMachine(f.machines[name])
		}
		f.endDueRuns()
		f.advance(100 * time.Millisecond)
		f.beginRuns()
		f.executeMachineOrders()
		f.listMachines()
	}
}

// replaceLeader replaces the leader by one that knows the committed state only.
func (f *waveFleet) replaceLeader() {
	f.startLeader()
	f.replies = nil
	f.answered = len(f.machineOrders)
}

func (f *waveFleet) beginRuns() {
	for _, o := range f.startOrders[f.seen:] {
		step := f.state.Workload.Jobs[o.Task.Job].Job.Steps[o.Task.Position.Step()]
		f.starts[o.Task] = f.now
		f.lengths[o.Task] = serviceStartTime
		if !step.Service {
			f.lengths[o.Task] = f.batchLength(o.Task, step.Estimate)
		}
	}
	f.seen = len(f.startOrders)
}

// batchLength returns the run time of a batch task: it differs by half from the estimate, and three in a hundred take seven times as
// long.
func (f *waveFleet) batchLength(task workload.TaskID, estimate time.Duration) time.Duration {
	if f.length != nil {
		return f.length(task)
	}
	length := time.Duration(float64(estimate) * (0.5 + f.random.Float64()))
	if f.random.Intn(100) < 3 {
		length *= 7
	}
	return length
}

func (f *waveFleet) endDueRuns() {
	for _, name := range f.names {
		id := f.machines[name].instance
		for _, task := range tasksInOrder(f.runs[id]) {
			service := f.state.Workload.Jobs[task.Job].Job.Steps[task.Position.Step()].Service
			if !service && f.cutUntil[name] <= f.now && f.now >= f.starts[task]+f.lengths[task] {
				f.endRun(id, task, workload.EndedDone)
			}
		}
	}
}

func tasksInOrder(runs map[workload.TaskID]workload.Run) []workload.TaskID {
	list := make([]workload.TaskID, 0, len(runs))
	for task := range runs {
		list = append(list, task)
	}
	slices.SortFunc(list, compareTasks)
	return list
}

// submitService submits service jobs to both pools whose steps may have one task unavailable, and waits until they run.
func (f *waveFleet) submitService(jobs, tasks int) {
	for range jobs {
		for _, queue := range []fleet.QueueID{"q", "other"} {
			f.services = append(f.services, f.submitJobTo(queue, workload.Step{
				Count: tasks, Resources: workload.Resources{Processors: 4000, Memory: 1000}, Service: true, MaxPerInstance: 1, MaxUnavailable: 1,
			}))
		}
	}
	f.step(3 * time.Second)
}

// submitTurn submits the batch jobs of 100 ms: the pools get more than they can do by turns of 4.5 s, and little in between.
func (f *waveFleet) submitTurn(start time.Duration, jobs int) {
	turn := int((f.now-start)/(4500*time.Millisecond)) % 2
	for i, queue := range []fleet.QueueID{"q", "other"} {
		n := jobs
		if i != turn {
			n = f.random.Intn(8) / 7
		}
		for range n {
			f.jobs = append(f.jobs, f.submitJobTo(queue, workload.Step{
				Count: 8, Resources: workload.Resources{Processors: 8000, Memory: 1000}, Estimate: time.Second, Checkpointing: f.random.Intn(2) == 0,
			}))
		}
	}
}

// openWave opens a wave over the machines.
func (f *waveFleet) openWave(machines []string, limit time.Duration, maxConcurrent int) {
	f.commit(state.AddWave{
		Wave: workload.Wave{Number: 1, Machines: machines, TimeLimit: limit, MaxConcurrent: maxConcurrent}, At: state.Timestamp(f.now.Milliseconds()),
	})
	f.scheduler.AddWave(f.now, f.now.Milliseconds(), f.state.Workload.Waves[1])
}

// remaining returns the machines of the wave whose maintenance is not recorded as begun.
func (f *waveFleet) remaining() (list []string) {
	w := f.state.Workload.Waves[1]
	for _, m := range w.Wave.Machines {
		if !w.Started[m] {
			list = append(list, m)
		}
	}
	return list
}

// assertAvailable checks that no service job has more than one task unavailable by plan.
func (f *waveFleet) assertAvailable() {
	for _, job := range f.services {
		unavailable := f.state.Workload.Jobs[job].Job.Steps[0].Count
		for task := range f.placements(job) {
			if f.progress(task) >= 100 {
				unavailable--
			}
		}
		assert.Assert(f.t, unavailable <= 1, "%d tasks of %s are unavailable", unavailable, job)
	}
}
