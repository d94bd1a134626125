package scheduler_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// This file simulates the network and the instances: the delivery of orders, polls and the ends of runs.

// deadlyTask counts the starts of a task, and the leaders that were lost since it was submitted.
type deadlyTask struct{ starts, lostLeaders int }

// reboot is the return of a crashed instance with a new boot at the same address, under its ID if id is set. A silent one does not announce
// itself at once.
type reboot struct {
	at      time.Duration
	address string
	id      fleet.InstanceID
	silent  bool
}

// endBatch is a batch of ends that is not committed yet.
type endBatch struct {
	number  uint64
	command state.RecordRunEnds
}

// delivery is an order in flight. outcomeKnown is set if its outcome reaches the scheduler that issued it, which is answerDelay after its
// execution.
type delivery struct {
	order        scheduler.Order
	sentAt       time.Duration
	dueAt        time.Duration
	outcomeKnown bool
	answerDelay  time.Duration
	issuerFence  uint64
}

// target simulates the server on an instance.
type target struct {
	workload.Instance
	// clockRate is the rate of the instance's clock relative to simulation.now.
	clockRate     float64
	startedAt     time.Duration
	highestFence  uint64
	leaseDeadline time.Duration
	// leaseLapses counts how often the lease was extended after it had lapsed.
	leaseLapses int
	runs        map[workload.TaskID]workload.Run
	// rejectedUpTo is the highest run number of each task whose start is rejected, after a stop or an end.
	rejectedUpTo  map[workload.TaskID]workload.Run
	unackedEnds   []scheduler.ReportedEnd
	lastEndNumber uint64
	// doneTasks are the tasks whose end as done is not acknowledged.
	doneTasks   map[workload.TaskID]*doneTask
	unreachable bool
	crashed     bool
	// shrunkAt is when the capacity fell last.
	shrunkAt time.Duration
}

func (s *simulation) send(o scheduler.Order) {
	if o.Kind == scheduler.ImmediatePoll {
		return
	}
	d := delivery{order: o, sentAt: s.now, dueAt: s.now, outcomeKnown: true, issuerFence: s.fence}
	switch rapid.IntRange(0, 9).Draw(s.t, "network") {
	case 0: // lost
		s.reportOutcome(d, scheduler.Uncertain)
		return
	case 1: // executed late, with an unknown outcome
		d.outcomeKnown = false
		d.dueAt += time.Duration(rapid.IntRange(1, 120).Draw(s.t, "late")) * tickInterval
		s.reportOutcome(d, scheduler.Uncertain)
	case 2, 3: // executed late, answered later
		d.dueAt += s.drawDelay("order delay", maxMessageDelay)
		d.answerDelay = s.drawDelay("response delay", maxMessageDelay)
	}
	s.inFlight = append(s.inFlight, d)
}

func (s *simulation) reportOutcome(d delivery, outcome scheduler.Outcome) {
	if d.issuerFence == s.fence {
		s.scheduler.HandleOrderOutcome(s.now, d.order, outcome)
	}
}

func (s *simulation) deliverDue() {
	deliveries := s.inFlight
	s.inFlight = nil
	for _, i := range s.inAnyOrder(len(deliveries)) {
		d := deliveries[i]
		if d.dueAt > s.now {
			s.inFlight = append(s.inFlight, d)
			continue
		}
		switch in := s.instances[d.order.Instance]; {
		case in == nil || in.crashed:
			s.answer(d, scheduler.Refused)
		case in.unreachable || s.lostWithBoot(in, d):
			s.answer(d, scheduler.Uncertain)
		default:
			s.answer(d, s.executeOrder(in, d))
		}
	}
}

// executeOrder executes an order as the platform specifies it for instances.
func (s *simulation) executeOrder(in *target, d delivery) scheduler.Outcome {
	o := d.order
	if o.Fence < in.highestFence {
		return scheduler.Fenced
	}
	in.highestFence = o.Fence
	if o.Kind == scheduler.Stop {
		in.rejectedUpTo[o.Task] = max(in.rejectedUpTo[o.Task], o.Run)
		if run, running := in.runs[o.Task]; running && run <= o.Run {
			in.endRun(o.Task, workload.EndedStopped)
		}
		return scheduler.Accepted
	}
	if o.Kind != scheduler.Start {
		return scheduler.Accepted
	}
	if run, running := in.runs[o.Task]; running && run == o.Run {
		return scheduler.Accepted
	}
	if o.Deadline < in.clock(s.now) || o.Run <= in.rejectedUpTo[o.Task] {
		return scheduler.Rejected
	}
	s.checkStart(in, d)
	s.extendLease(in, o.Deadline)
	in.runs[o.Task] = o.Run
	if deadly := s.deadlyTasks[o.Task]; deadly != nil {
		deadly.starts++
		s.crash(in)
		return scheduler.Uncertain
	}
	return scheduler.Accepted
}

// checkStart fails the test if a start violates an invariant.
func (s *simulation) checkStart(in *target, d delivery) {
	o := d.order
	record := s.committed.Workload.Jobs[o.Task.Job]
	if record == nil {
		s.t.Fatalf("%s starts, but its job was not accepted", o.Task)
	}
	step := record.Job.Steps[o.Task.Position.Step()]
	if s.ackedDone[o.Task] {
		s.t.Fatalf("%s starts again after its end as done was acknowledged", o.Task)
	}
	if s.ackedFailures[o.Task] >= 2 && !step.Service && !step.Gang {
		s.t.Fatalf("%s starts after %d failed runs", o.Task, s.ackedFailures[o.Task])
	}
	// Each lost leader may have noticed a crash that it did not commit.
	if deadly := s.deadlyTasks[o.Task]; deadly != nil && deadly.starts >= maxStartsOfDeadlyTask+deadly.lostLeaders {
		s.t.Fatalf("%s starts after %d crashes with %d leaders lost", o.Task, deadly.starts, deadly.lostLeaders)
	}
	for _, other := range s.sortedInstances() {
		if done := other.doneTasks[o.Task]; done != nil && !s.lapsedSince(other, done) {
			done.restart = fmt.Sprintf("run %d on %s", o.Run, in.ID)
		}
	}
	instanceUsage := step.Resources
	customerUsage := step.Resources
	for _, other := range s.sortedInstances() {
		if other.crashed {
			continue
		}
		if run, running := other.runs[o.Task]; running {
			s.t.Fatalf("%s run %d starts on %s while run %d is on %s", o.Task, o.Run, in.ID, run, other.ID)
		}
		for task := range other.runs {
			resources := s.committed.Workload.Jobs[task.Job].Job.Steps[task.Position.Step()].Resources
			customerUsage = customerUsage.Add(resources)
			if other == in {
				instanceUsage = instanceUsage.Add(resources)
			}
		}
	}
	orderedBeforeShrinking := in.shrunkAt > 0 && d.sentAt <= in.shrunkAt
	if !in.Capacity.Fits(instanceUsage) && !orderedBeforeShrinking {
		s.t.Fatalf("the start of %s exceeds the capacity of %s: %+v", o.Task, in.ID, instanceUsage)
	}
	if !customerUsage.WithinLimit(workload.Resources{Processors: 9000}) {
		s.t.Fatalf("the start of %s exceeds the limit of its customer: %+v", o.Task, customerUsage)
	}
}

// doneTask is a task whose end as done is not acknowledged. Its end is void if the lease of the instance lapses first.
type doneTask struct {
	leaseLapses int
	// restart describes a run of the task that was started after the end, empty if there is none.
	restart string
}

// extendLease extends the lease of an instance to a deadline on its clock.
func (s *simulation) extendLease(in *target, deadline time.Duration) {
	if in.clock(s.now) > in.leaseDeadline {
		in.leaseLapses++
	}
	in.leaseDeadline = max(in.leaseDeadline, min(deadline, in.clock(s.now)+maxLeaseDuration))
}

// lapsedSince reports whether the lease of an instance has lapsed since a task was done there.
func (s *simulation) lapsedSince(in *target, done *doneTask) bool {
	return in.leaseLapses != done.leaseLapses || in.clock(s.now) > in.leaseDeadline
}

func (in *target) endRun(task workload.TaskID, ending workload.Ending) {
	run, running := in.runs[task]
	if !running {
		return
	}
	delete(in.runs, task)
	in.rejectedUpTo[task] = max(in.rejectedUpTo[task], run)
	in.lastEndNumber++
	in.unackedEnds = append(in.unackedEnds, scheduler.ReportedEnd{Number: in.lastEndNumber, Task: task, Run: run, Ending: ending})
	if ending == workload.EndedDone {
		in.doneTasks[task] = &doneTask{leaseLapses: in.leaseLapses}
	}
}

// endDrawnRun ends a drawn run of the instance. The end of one member of a gang ends its whole gang.
func (s *simulation) endDrawnRun(in *target, ending workload.Ending) {
	tasks := sortedTasks(in.runs)
	if len(tasks) == 0 {
		return
	}
	task := rapid.SampledFrom(tasks).Draw(s.t, "task")
	step := s.committed.Workload.Jobs[task.Job].Job.Steps[task.Position.Step()]
	if step.Service && ending == workload.EndedDone {
		ending = workload.EndedFailed
	}
	run := in.runs[task]
	in.endRun(task, ending)
	if !step.Gang {
		return
	}
	for _, other := range s.sortedInstances() {
		for _, member := range sortedTasks(other.runs) {
			if member.Job == task.Job && member.Position.Step() == task.Position.Step() && other.runs[member] == run {
				memberEnding := workload.EndedBroken
				if ending == workload.EndedDone {
					memberEnding = ending
				}
				other.endRun(member, memberEnding)
			}
		}
	}
}

// poll polls an instance for the scheduler. Polls of unreachable instances fail, and others may be lost.
func (s *simulation) poll(in *target) {
	request, ok := s.scheduler.NextPoll(s.now, in.ID, false)
	if !ok {
		return
	}
	sentAt := s.now
	switch {
	case in.crashed:
		s.scheduler.HandlePollFailure(s.now, request, scheduler.Refused)
		return
	case in.unreachable || rapid.IntRange(0, 9).Draw(s.t, "lost poll") == 0:
		s.scheduler.HandlePollFailure(s.now, request, scheduler.Uncertain)
		return
	case request.Fence < in.highestFence:
		s.scheduler.HandlePollFailure(s.now, request, scheduler.Fenced)
		return
	}
	s.carryOutPoll(in, request)
	report := s.makeReport(in)
	if request.Boot == in.Boot {
		report.AckedEnd = request.AckedEnd
	}
	s.now += time.Millisecond
	s.scheduler.HandleReport(s.now, in.ID, sentAt, report)
}

func (s *simulation) acknowledgeEnds(in *target, cursor uint64) {
	for len(in.unackedEnds) > 0 && in.unackedEnds[0].Number <= cursor {
		e := in.unackedEnds[0]
		in.unackedEnds = in.unackedEnds[1:]
		switch e.Ending {
		case workload.EndedDone:
			s.ackedDone[e.Task] = true
			if done := in.doneTasks[e.Task]; done != nil && done.restart != "" && !s.lapsedSince(in, done) {
				s.t.Fatalf("%s started as %s after run %d had ended as done, and that end is acknowledged", e.Task, done.restart, e.Run)
			}
			delete(in.doneTasks, e.Task)
		case workload.EndedFailed:
			s.ackedFailures[e.Task]++
		}
	}
}
