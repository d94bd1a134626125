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

// bench is a small fleet that carries out every order at once, for tests of single decisions.
type bench struct {
	t         *testing.T
	now       time.Duration
	state     *state.State
	index     uint64
	scheduler *scheduler.Scheduler
	runs      map[fleet.InstanceID]map[workload.TaskID]workload.Run
	ends      map[fleet.InstanceID][]scheduler.ReportedEnd
	numbers   map[fleet.InstanceID]uint64
	starts    []scheduler.Order
	machines  []scheduler.MachineOrder
	// percent is the progress that instances list.
	percent int
	tails   map[workload.TaskID]int
	paces   []scheduler.Order
	boots   map[string]int64
	racks   map[fleet.InstanceID]string
}

// newBench returns a fleet with a pool "p", a standby pool "off" and a queue on "p".
func newBench(t *testing.T) *bench {
	b := &bench{
		t: t, now: time.Hour, state: state.New(), runs: map[fleet.InstanceID]map[workload.TaskID]workload.Run{},
		ends: map[fleet.InstanceID][]scheduler.ReportedEnd{}, numbers: map[fleet.InstanceID]uint64{}, percent: 100,
		tails: map[workload.TaskID]int{}, boots: map[string]int64{},
		racks: map[fleet.InstanceID]string{},
	}
	b.commit(state.PublishCatalogue{Source: []byte("x"), Catalogue: workload.Catalogue{
		Version: 1,
		Queues: []workload.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Objective: time.Second, Stretch: 2},
			{Name: "other", Host: "h", Prefix: "/o/", Pool: "o", MaxAttempts: 2, Objective: time.Second, Stretch: 2},
		},
		Pools: []workload.Pool{{Name: "p"}, {Name: "o"}, {Name: "off", Standby: true}},
	}})
	b.lead()
	return b
}

// lead starts a scheduler from the committed state, as a new leader does.
func (b *bench) lead() {
	b.scheduler = scheduler.New(b.now, b.now.Milliseconds(), scheduler.Options{
		Fence: b.index + 1, LeaseDuration: 5400 * time.Millisecond, LeadingSince: b.now,
	}, &b.state.Workload)
}

func (b *bench) commit(c state.Command) {
	b.index++
	assert.Equal(b.t, b.state.ApplyCommand(b.index, c).Refused, state.Kind(0))
}

// join adds an instance of 64 processors to a pool.
func (b *bench) join(name string, pool fleet.PoolID) fleet.InstanceID {
	return b.joinRack(name, pool, "r1-1")
}

func (b *bench) joinRack(name string, pool fleet.PoolID, rack string) fleet.InstanceID {
	in := workload.Instance{
		ID: fleet.InstanceID("i-" + name), Boot: b.now.Milliseconds(), Pool: pool, Address: name, Machine: "m-" + name, Sequence: 1,
		Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute, Rack: rack,
	}
	b.racks[in.ID] = rack
	assert.Assert(b.t, b.scheduler.HandleAnnouncement(b.now, in))
	b.commit(state.EnrolInstance{Instance: in})
	b.scheduler.ConfirmEnrolled(in.ID)
	b.runs[in.ID] = map[workload.TaskID]workload.Run{}
	b.boots[string(in.ID)] = in.Boot
	return in.ID
}

// drain lets an instance announce that it ends.
func (b *bench) drain(name string, pool fleet.PoolID, left time.Duration) {
	b.scheduler.HandleAnnouncement(b.now, workload.Instance{
		ID: fleet.InstanceID("i-" + name), Boot: b.boots["i-"+name], Pool: pool, Address: name, Machine: "m-" + name, Sequence: 2,
		Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute + b.now, Rack: "r1-1", Draining: true, TimeLeft: left,
	})
}

// submit hands a job of one step in.
func (b *bench) submit(step workload.Step) workload.JobID {
	return b.submitTo("q", step)
}

func (b *bench) submitTo(queue fleet.QueueID, steps ...workload.Step) workload.JobID {
	id := workload.JobID(fmt.Sprintf("%016x", b.index))
	b.commit(state.SubmitJob{Job: workload.Job{ID: id, Steps: steps}, Queue: queue, At: state.Timestamp(b.now.Milliseconds())})
	b.scheduler.AddJob(b.now, b.now.Milliseconds(), b.state.Workload.Jobs[id], false)
	return id
}

// commitOnly accepts a job that the leader is lost too early to start.
func (b *bench) commitOnly(id workload.JobID, step workload.Step) {
	b.commit(state.SubmitJob{Job: workload.Job{ID: id, Steps: []workload.Step{step}}, Queue: "q", At: state.Timestamp(b.now.Milliseconds())})
}

// pass lets time go by in steps of 100 ms.
func (b *bench) pass(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 100 * time.Millisecond
		b.look()
		b.scheduler.Tick(b.now, b.now.Milliseconds())
		for _, o := range b.scheduler.TakeOrders() {
			b.carryOut(o)
		}
		b.machines = append(b.machines, b.scheduler.TakeMachineOrders()...)
		if ends, failed, batch := b.scheduler.TakeEnds(); batch > 0 {
			b.commit(state.RecordRunEnds{Ends: ends, Failed: failed, At: state.Timestamp(b.now.Milliseconds())})
			b.scheduler.ConfirmEnds(batch)
		}
		for _, id := range b.scheduler.TakeDeregistrations() {
			b.commit(state.DeregisterInstances{Instances: []fleet.InstanceID{id}})
		}
		if list := b.scheduler.TakeCordons(); len(list) > 0 {
			b.commit(state.CordonInstances{Instances: list})
		}
		if list := b.scheduler.TakeUncordons(); len(list) > 0 {
			b.commit(state.UncordonInstances{Instances: list})
			b.scheduler.ConfirmUncordoned(list)
		}
	}
}

func (b *bench) carryOut(o scheduler.Order) {
	runs := b.runs[o.Instance]
	if runs == nil {
		b.scheduler.HandleOrderOutcome(b.now, o, scheduler.Refused)
		return
	}
	switch o.Kind {
	case scheduler.Start:
		runs[o.Task] = o.Run
		b.starts = append(b.starts, o)
	case scheduler.Stop:
		if runs[o.Task] == o.Run {
			b.end(o.Instance, o.Task, workload.EndedStopped)
		}
	case scheduler.Throttle:
		b.paces = append(b.paces, o)
	}
	b.scheduler.HandleOrderOutcome(b.now, o, scheduler.Accepted)
}

// end ends a run.
func (b *bench) end(id fleet.InstanceID, task workload.TaskID, how workload.Ending) {
	run := b.runs[id][task]
	delete(b.runs[id], task)
	b.numbers[id]++
	b.ends[id] = append(b.ends[id], scheduler.ReportedEnd{Number: b.numbers[id], Task: task, Run: run, Ending: how})
}

func (b *bench) look() {
	for id, runs := range b.runs {
		q, ok := b.scheduler.NextPoll(b.now, id, false)
		if !ok {
			continue
		}
		l := scheduler.StatusReport{Clock: time.Minute + b.now, Ended: slices.Clone(b.ends[id])}
		for task, run := range runs {
			l.Running = append(l.Running, scheduler.ReportedRun{Task: task, Run: run, Percent: b.percent, TailMillis: b.tails[task]})
		}
		b.ends[id] = slices.DeleteFunc(b.ends[id], func(e scheduler.ReportedEnd) bool { return e.Number <= q.AckedEnd })
		b.scheduler.HandleReport(b.now, id, b.now-time.Millisecond, l)
	}
}

// where returns the instances that run tasks of a job.
func (b *bench) where(job workload.JobID) map[workload.TaskID]fleet.InstanceID {
	found := map[workload.TaskID]fleet.InstanceID{}
	for id, runs := range b.runs {
		for task := range runs {
			if task.Job == job {
				found[task] = id
			}
		}
	}
	return found
}

// instancesOf returns the instances that run tasks of any of the jobs.
func (b *bench) instancesOf(jobs ...workload.JobID) map[fleet.InstanceID]bool {
	used := map[fleet.InstanceID]bool{}
	for _, job := range jobs {
		for _, id := range b.where(job) {
			used[id] = true
		}
	}
	return used
}

// movedTo returns the machines that were ordered to a pool.
func (b *bench) movedTo(pool fleet.PoolID) []string {
	var list []string
	for _, o := range b.machines {
		if o.Pool == pool {
			list = append(list, o.Machine)
		}
	}
	return list
}
