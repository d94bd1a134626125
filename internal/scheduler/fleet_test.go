package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// testFleet is a scheduler with a small fleet that executes every order at once, for tests of single decisions.
type testFleet struct {
	t         *testing.T
	now       time.Duration
	state     *state.State
	index     uint64
	scheduler *scheduler.Scheduler
	// runs holds the runs on each reachable instance. An instance without an entry is not polled and refuses orders.
	runs           map[fleet.InstanceID]map[workload.TaskID]workload.Run
	unackedEnds    map[fleet.InstanceID][]scheduler.ReportedEnd
	lastEndNumbers map[fleet.InstanceID]uint64
	// endsPerReport, if set, is the most ends that a status report has.
	endsPerReport int
	startOrders   []scheduler.Order
	machineOrders []scheduler.MachineOrder
	// fleetShares is handed to the scheduler.
	fleetShares bool
	// reportedPercent is the progress of every run in status reports.
	reportedPercent int
	// percentOf replaces reportedPercent if it is set.
	percentOf func(task workload.TaskID) int
	// taskTime, if set, is how long tasks take; their progress follows from it and reportedPercent is not used.
	taskTime  time.Duration
	startedAt map[workload.TaskID]time.Duration
	// cut, if set, reports whether an instance is cut off from the leader.
	cut            func(id fleet.InstanceID) bool
	tailMillis     map[workload.TaskID]int
	throttleOrders []scheduler.Order
	bootMillis     map[string]int64
	racks          map[fleet.InstanceID]string
	addresses      map[fleet.InstanceID]string
}

// newTestFleet returns a fleet without instances. It has queue "q" on pool "p", queue "other" on pool "o" and the standby
// pool "off".
func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{
		t: t, now: time.Hour, state: state.New(), runs: map[fleet.InstanceID]map[workload.TaskID]workload.Run{},
		unackedEnds: map[fleet.InstanceID][]scheduler.ReportedEnd{}, lastEndNumbers: map[fleet.InstanceID]uint64{}, reportedPercent: 100,
		startedAt: map[workload.TaskID]time.Duration{}, tailMillis: map[workload.TaskID]int{}, bootMillis: map[string]int64{},
		racks: map[fleet.InstanceID]string{}, addresses: map[fleet.InstanceID]string{},
	}
	f.commit(state.PublishCatalogue{Source: []byte("x"), Catalogue: workload.Catalogue{
		Version: 1,
		Queues: []workload.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Objective: time.Second, Stretch: 2},
			{Name: "other", Host: "h", Prefix: "/o/", Pool: "o", MaxAttempts: 2, Objective: time.Second, Stretch: 2},
		},
		Pools: []workload.Pool{{Name: "p"}, {Name: "o"}, {Name: "off", Standby: true}},
	}})
	f.startLeader()
	return f
}

// startLeader replaces the scheduler by one that starts from the committed state, as a new leader does.
func (f *testFleet) startLeader() {
	f.scheduler = scheduler.New(f.now, f.now.Milliseconds(), scheduler.Options{
		Fence: f.index + 1, LeaseDuration: 5400 * time.Millisecond, LeadingSince: f.now, DrainedDataCentres: f.drainedDataCentres(), FleetShares: f.fleetShares,
	}, &f.state.Workload)
}

func (f *testFleet) commit(command state.Command) {
	f.index++
	assert.Equal(f.t, f.state.ApplyCommand(f.index, command).Refused, state.Kind(0))
}

// addInstance announces and enrols an instance with 64 processors.
func (f *testFleet) addInstance(name string, pool fleet.PoolID) fleet.InstanceID {
	return f.addInstanceInRack(name, pool, "r1-1")
}

func (f *testFleet) addInstanceInRack(name string, pool fleet.PoolID, rack string) fleet.InstanceID {
	return f.enrolInstance(name, pool, "m-"+name, rack)
}

func (f *testFleet) addInstanceOnMachine(name string, pool fleet.PoolID, machine string) fleet.InstanceID {
	return f.enrolInstance(name, pool, machine, "r1-1")
}

func (f *testFleet) enrolInstance(name string, pool fleet.PoolID, machine, rack string) fleet.InstanceID {
	in := workload.Instance{
		ID: fleet.InstanceID("i-" + name), Boot: f.now.Milliseconds(), Pool: pool, Address: name, Machine: machine, Sequence: 1,
		Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute, Rack: rack,
	}
	return f.enrol(in)
}

func (f *testFleet) enrol(in workload.Instance) fleet.InstanceID {
	f.racks[in.ID] = in.Rack
	f.addresses[in.ID] = in.Address
	assert.Assert(f.t, f.scheduler.HandleAnnouncement(f.now, in))
	f.commit(state.EnrolInstance{Instance: in})
	f.scheduler.ConfirmEnrolled(in.ID)
	f.runs[in.ID] = map[workload.TaskID]workload.Run{}
	f.bootMillis[string(in.ID)] = in.Boot
	return in.ID
}

// announceDraining announces that an instance is draining and has at least timeLeft until it shuts down.
func (f *testFleet) announceDraining(name string, pool fleet.PoolID, timeLeft time.Duration) {
	f.scheduler.HandleAnnouncement(f.now, workload.Instance{
		ID: fleet.InstanceID("i-" + name), Boot: f.bootMillis["i-"+name], Pool: pool, Address: name, Machine: "m-" + name, Sequence: 2,
		Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute + f.now, Rack: "r1-1", Draining: true, TimeLeft: timeLeft,
	})
}

// submitJob submits a job with one step to queue "q".
func (f *testFleet) submitJob(step workload.Step) workload.JobID {
	return f.submitJobTo("q", step)
}

func (f *testFleet) submitJobTo(queue fleet.QueueID, steps ...workload.Step) workload.JobID {
	id := workload.JobID(fmt.Sprintf("%016x", f.index))
	f.commit(state.SubmitJob{Job: workload.Job{ID: id, Steps: steps}, Queue: queue, At: state.Timestamp(f.now.Milliseconds())})
	f.scheduler.AddJob(f.now, f.now.Milliseconds(), f.state.Workload.Jobs[id], false)
	return id
}

// commitJob commits a job without adding it to the scheduler, as if the leader were lost before it starts the job.
func (f *testFleet) commitJob(id workload.JobID, step workload.Step) {
	f.commit(state.SubmitJob{Job: workload.Job{ID: id, Steps: []workload.Step{step}}, Queue: "q", At: state.Timestamp(f.now.Milliseconds())})
}

// advance advances the time in steps of 100 ms. Each step polls all instances, makes all decisions that are due,
// executes the orders and commits the results.
func (f *testFleet) advance(duration time.Duration) {
	for end := f.now + duration; f.now < end; {
		f.now += 100 * time.Millisecond
		f.pollAll()
		f.scheduler.Tick(f.now, f.now.Milliseconds())
		for _, o := range f.scheduler.TakeOrders() {
			f.executeOrder(o)
		}
		f.machineOrders = append(f.machineOrders, f.scheduler.TakeMachineOrders()...)
		if ends, failed, batch := f.scheduler.TakeEnds(); batch > 0 {
			f.commit(state.RecordRunEnds{Ends: ends, Failed: failed, Crashes: f.scheduler.TakeCrashes(), At: state.Timestamp(f.now.Milliseconds())})
			f.scheduler.ConfirmEnds(batch)
		}
		if c := f.scheduler.TakeDeregistrations(); len(c.Instances) > 0 {
			f.commit(c)
		}
		for _, in := range f.scheduler.TakeEnrolments() {
			f.commit(state.EnrolInstance{Instance: in})
			f.scheduler.ConfirmEnrolled(in.ID)
		}
		if list := f.scheduler.TakeCordons(); len(list) > 0 {
			f.commit(state.CordonInstances{Instances: list})
		}
		if list := f.scheduler.TakeUncordons(); len(list) > 0 {
			f.commit(state.UncordonInstances{Instances: list})
			f.scheduler.ConfirmUncordoned(list)
		}
	}
}

func (f *testFleet) executeOrder(o scheduler.Order) {
	runs := f.runs[o.Instance]
	if f.cut != nil && f.cut(o.Instance) {
		f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Uncertain)
		return
	}
	if runs == nil {
		f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Refused)
		return
	}
	switch o.Kind {
	case scheduler.Start:
		runs[o.Task] = o.Run
		f.startedAt[o.Task] = f.now
		f.startOrders = append(f.startOrders, o)
	case scheduler.Stop:
		if runs[o.Task] == o.Run {
			f.endRun(o.Instance, o.Task, workload.EndedStopped)
		}
	case scheduler.Throttle:
		f.throttleOrders = append(f.throttleOrders, o)
	}
	f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Accepted)
}

// endRun ends the run of a task. The next polls report the end until it is acknowledged.
func (f *testFleet) endRun(id fleet.InstanceID, task workload.TaskID, ending workload.Ending) {
	run := f.runs[id][task]
	delete(f.runs[id], task)
	f.lastEndNumbers[id]++
	f.unackedEnds[id] = append(f.unackedEnds[id], scheduler.ReportedEnd{Number: f.lastEndNumbers[id], Task: task, Run: run, Ending: ending})
}

func (f *testFleet) pollAll() {
	for id, runs := range f.runs {
		request, ok := f.scheduler.NextPoll(f.now, id, false)
		if !ok {
			continue
		}
		if f.cut != nil && f.cut(id) {
			f.failPoll(id, scheduler.Uncertain)
			continue
		}
		f.unackedEnds[id] = slices.DeleteFunc(f.unackedEnds[id], func(e scheduler.ReportedEnd) bool { return e.Number <= request.AckedEnd })
		report := scheduler.StatusReport{Clock: time.Minute + f.now, AckedEnd: request.AckedEnd, Ended: slices.Clone(f.unackedEnds[id])}
		if f.endsPerReport > 0 {
			report.Ended, report.MoreEnds = firstEnds(f.unackedEnds[id], f.endsPerReport)
		}
		for task, run := range runs {
			report.Running = append(report.Running, scheduler.ReportedRun{Task: task, Run: run, Percent: f.progressOf(task), TailMillis: f.tailMillis[task]})
		}
		f.scheduler.HandleReport(f.now, id, f.now-time.Millisecond, report)
	}
}

// failPoll polls an instance and passes the failure of the poll to the scheduler.
func (f *testFleet) failPoll(id fleet.InstanceID, outcome scheduler.Outcome) {
	request, _ := f.scheduler.NextPoll(f.now, id, false)
	f.scheduler.HandlePollFailure(f.now, request, outcome)
}

func (f *testFleet) progressOf(task workload.TaskID) int {
	if f.percentOf != nil {
		return f.percentOf(task)
	}
	if f.taskTime == 0 {
		return f.reportedPercent
	}
	return min(99, int(100*(f.now-f.startedAt[task])/f.taskTime))
}

// placements returns the running tasks of a job with their instances.
func (f *testFleet) placements(job workload.JobID) map[workload.TaskID]fleet.InstanceID {
	placed := map[workload.TaskID]fleet.InstanceID{}
	for id, runs := range f.runs {
		for task := range runs {
			if task.Job == job {
				placed[task] = id
			}
		}
	}
	return placed
}

// instancesOf returns the instances that run tasks of any of the jobs.
func (f *testFleet) instancesOf(jobs ...workload.JobID) map[fleet.InstanceID]bool {
	used := map[fleet.InstanceID]bool{}
	for _, job := range jobs {
		for _, id := range f.placements(job) {
			used[id] = true
		}
	}
	return used
}

// movesTo returns the machines with an order to move to a pool, in the order in which they were issued.
func (f *testFleet) movesTo(pool fleet.PoolID) []string {
	var list []string
	for _, o := range f.machineOrders {
		if o.Pool == pool {
			list = append(list, o.Machine)
		}
	}
	return list
}
