package scheduler_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// This file is the network and the instances of the oracle: what becomes of an order, a look and a run.

func (w *world) send(o scheduler.Order) {
	if o.Kind == scheduler.ImmediatePoll {
		return
	}
	f := flight{order: o, at: w.now, answered: true, fence: w.fence}
	switch rapid.IntRange(0, 9).Draw(w.t, "network") {
	case 0: // the order is lost
		w.answer(f, scheduler.Uncertain)
		return
	case 1: // carried out late, without an answer
		f.answered = false
		f.at += time.Duration(rapid.IntRange(1, 120).Draw(w.t, "late")) * stepLength
		w.answer(f, scheduler.Uncertain)
	}
	w.flying = append(w.flying, f)
}

func (w *world) answer(f flight, o scheduler.Outcome) {
	if f.fence == w.fence {
		w.scheduler.HandleOrderOutcome(w.now, f.order, o)
	}
}

func (w *world) deliver() {
	flying := w.flying
	w.flying = nil
	for _, f := range flying {
		if f.at > w.now {
			w.flying = append(w.flying, f)
			continue
		}
		i := w.instances[f.order.Instance]
		switch {
		case i == nil || i.crashed:
			if f.answered {
				w.answer(f, scheduler.Refused)
			}
		case i.dark:
			if f.answered {
				w.answer(f, scheduler.Uncertain)
			}
		default:
			outcome := w.carryOut(i, f.order)
			if f.answered {
				w.answer(f, outcome)
			}
		}
	}
}

// carryOut does what the platform says an instance does with an order.
func (w *world) carryOut(i *target, o scheduler.Order) scheduler.Outcome {
	if o.Fence < i.fence {
		return scheduler.Fenced
	}
	i.fence = o.Fence
	if o.Kind == scheduler.Stop {
		i.barred[o.Task] = max(i.barred[o.Task], o.Run)
		if run, there := i.runs[o.Task]; there && run <= o.Run {
			i.finish(o.Task, workload.EndedStopped)
		}
		return scheduler.Accepted
	}
	if o.Kind != scheduler.Start {
		return scheduler.Accepted
	}
	if run, there := i.runs[o.Task]; there && run == o.Run {
		return scheduler.Accepted
	}
	if o.Deadline < i.clock(w.now) || o.Run <= i.barred[o.Task] {
		return scheduler.Rejected
	}
	w.check(i, o)
	i.deadline = max(i.deadline, min(o.Deadline, i.clock(w.now)+maxLease))
	i.runs[o.Task] = o.Run
	return scheduler.Accepted
}

// check fails the test when a start breaks a rule.
func (w *world) check(i *target, o scheduler.Order) {
	r := w.work.Workload.Jobs[o.Task.Job]
	if r == nil {
		w.t.Fatalf("%s starts, but no such job was accepted", o.Task)
	}
	step := r.Job.Steps[o.Task.Position.Step()]
	if w.over[o.Task] {
		w.t.Fatalf("%s starts again after its end as done was acknowledged", o.Task)
	}
	if w.failures[o.Task] >= 2 && !step.Service && !step.Gang {
		w.t.Fatalf("%s starts after %d failed runs", o.Task, w.failures[o.Task])
	}
	used := step.Resources
	customer := step.Resources
	for _, other := range w.sorted() {
		if other.crashed {
			continue
		}
		if run, there := other.runs[o.Task]; there {
			w.t.Fatalf("%s run %d starts on %s while run %d is on %s", o.Task, o.Run, i.ID, run, other.ID)
		}
		for task := range other.runs {
			need := w.work.Workload.Jobs[task.Job].Job.Steps[task.Position.Step()].Resources
			customer = customer.Add(need)
			if other == i {
				used = used.Add(need)
			}
		}
	}
	if !i.Capacity.Fits(used) {
		w.t.Fatalf("%s brings %s over its capacity: %+v", o.Task, i.ID, used)
	}
	if !customer.WithinLimit(workload.Resources{Processors: 9000}) {
		w.t.Fatalf("%s brings its customer over its limit: %+v", o.Task, customer)
	}
}

func (i *target) finish(task workload.TaskID, how workload.Ending) {
	run, there := i.runs[task]
	if !there {
		return
	}
	delete(i.runs, task)
	i.barred[task] = max(i.barred[task], run)
	i.number++
	i.ends = append(i.ends, scheduler.ReportedEnd{Number: i.number, Task: task, Run: run, Ending: how})
}

// endRun ends a run of the instance; one member that is done ends its whole gang.
func (w *world) endRun(i *target, how workload.Ending) {
	tasks := sortedTasks(i.runs)
	if len(tasks) == 0 {
		return
	}
	task := rapid.SampledFrom(tasks).Draw(w.t, "task")
	step := w.work.Workload.Jobs[task.Job].Job.Steps[task.Position.Step()]
	if step.Service && how == workload.EndedDone {
		how = workload.EndedFailed
	}
	run := i.runs[task]
	i.finish(task, how)
	if !step.Gang {
		return
	}
	for _, other := range w.sorted() {
		for _, member := range sortedTasks(other.runs) {
			if member.Job == task.Job && member.Position.Step() == task.Position.Step() && other.runs[member] == run {
				ending := workload.EndedBroken
				if how == workload.EndedDone {
					ending = how
				}
				other.finish(member, ending)
			}
		}
	}
}

// look lets the scheduler look at an instance.
func (w *world) look(i *target) {
	q, ok := w.scheduler.NextPoll(w.now, i.ID, false)
	if !ok {
		return
	}
	sent := w.now
	switch {
	case i.crashed:
		w.scheduler.HandlePollFailure(w.now, i.ID, scheduler.Refused)
		return
	case i.dark || rapid.IntRange(0, 9).Draw(w.t, "lost look") == 0:
		w.scheduler.HandlePollFailure(w.now, i.ID, scheduler.Uncertain)
		return
	case q.Fence < i.fence:
		w.scheduler.HandlePollFailure(w.now, i.ID, scheduler.Fenced)
		return
	}
	i.fence = q.Fence
	if q.Deadline > 0 {
		i.deadline = max(i.deadline, min(q.Deadline, i.clock(w.now)+maxLease))
	}
	w.acknowledge(i, q.AckedEnd)
	l := scheduler.StatusReport{Boot: i.Boot, Clock: i.clock(w.now), Ended: slices.Clone(i.ends)}
	for _, task := range sortedTasks(i.runs) {
		l.Running = append(l.Running, scheduler.ReportedRun{Task: task, Run: i.runs[task], Percent: int(w.now/stepLength) % 90})
	}
	w.now += time.Millisecond
	w.scheduler.HandleReport(w.now, i.ID, sent, l)
}

func (w *world) acknowledge(i *target, cursor uint64) {
	for len(i.ends) > 0 && i.ends[0].Number <= cursor {
		e := i.ends[0]
		i.ends = i.ends[1:]
		switch e.Ending {
		case workload.EndedDone:
			w.over[e.Task] = true
		case workload.EndedFailed:
			w.failures[e.Task]++
		}
	}
}
