package scheduler

import (
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// stopRun orders a run to stop. Its claim is released when its end is reported, or by a poll after the stop was accepted.
func (s *Scheduler) stopRun(in *instance, r *run, reason string) {
	if r.stopping {
		return
	}
	s.logRunDecision("run stopping", r, in, reason)
	s.sendStop(in, r)
}

func (s *Scheduler) sendStop(in *instance, r *run) {
	if !r.stopping {
		s.stopping = append(s.stopping, stoppingRun{in, r})
	}
	r.stopping = true
	r.stopSentAt = s.now
	s.orders = append(s.orders, Order{
		Kind: Stop, Instance: in.ID, Boot: in.Boot, Address: in.Address, Task: r.task, Run: r.number, Fence: s.options.Fence, Reason: "stop",
	})
}

func (s *Scheduler) startRun(in *instance, j *job, r *run) {
	t := j.task(r.task.Position)
	r.job = j
	r.status = statusOrdered
	r.claim = j.step(r.task.Position).Claim()
	r.orderedAt, in.startedAt = s.now, s.now
	r.throttlePercent = 100
	r.measured = t.checkpoint == "" && !in.warmingUp(s.now)
	s.attachRun(in, r)
	s.orders = append(s.orders, Order{
		Kind: Start, Instance: in.ID, Boot: in.Boot, Address: in.Address, Task: r.task, Run: r.number, Spec: j.Spec, Checkpoint: t.checkpoint,
		Deadline: s.nextDeadline(in), Fence: s.options.Fence, Ticket: j.ticketFor(r.task.Position, in), Reason: "placed", DataCentre: in.DataCentre,
	})
}

// HandleOrderOutcome processes the outcome of an order.
func (s *Scheduler) HandleOrderOutcome(now time.Duration, order Order, outcome Outcome) {
	s.now = now
	in := s.instances.byID[order.Instance]
	if outcome == Fenced {
		s.superseded = true
	}
	if in == nil {
		return
	}
	if outcome == Mismatched && in.servedAt(order.Boot, order.Address) {
		s.removeInstance(in, "another boot of the instance answered", in.lossByLaterBoot(workload.Instance{}))
		return
	}
	r := in.runs[order.Task]
	if r == nil || r.number != order.Run {
		return
	}
	switch order.Kind {
	case Start:
		s.handleStartOutcome(in, r, outcome)
	case Stop:
		if order.Boot == in.Boot { // an earlier boot keeps no later one from executing the start
			s.handleStopOutcome(in, r, outcome)
		}
	case Throttle:
		if outcome != Accepted {
			r.throttlePercent = throttleUnset
		}
	}
}

func (s *Scheduler) handleStartOutcome(in *instance, r *run, outcome Outcome) {
	switch outcome {
	case Accepted:
		in.recentFailures = max(0, in.recentFailures-1)
		r.startOutcomeAt = s.now
		r.markStarted(s.now)
		if r.status != statusRunning {
			r.status = statusRunning
		}
		if r.suspicion != unsuspected {
			s.pollNow(in)
		}
	case Rejected:
		s.logRunDecision("run rejected", r, in, outcome.String())
		r.job.dropTicket(r.task.Position, in)
		s.detachRun(in, r)
		in.backoffUntil = s.now + rejectedStartBackoff
		s.pollNow(in)
	case Unhealthy:
		s.logRunDecision("run rejected", r, in, outcome.String())
		s.detachRun(in, r)
		in.recentFailures++
		in.backoffUntil = s.now + unhealthyBackoff
	case Unsent:
		s.logRunDecision("run unsent", r, in, "leader lease expired")
		s.detachRun(in, r)
	case Withheld:
		s.logRunDecision("run unsent", r, in, "data centre is drained")
		s.detachRun(in, r)
		s.stopGang(r, "a part of the gang was not started")
	case Unpolled:
		s.logRunDecision("run unsent", r, in, "instance is not polled")
		s.detachRun(in, r)
	case Restarted:
		s.logRunDecision("run unsent", r, in, "instance has restarted")
		s.detachRun(in, r)
		s.stopGang(r, "a part of the gang was not started")
		in.backoffUntil = s.now + rejectedStartBackoff
		s.pollNow(in)
	default:
		s.logRunDecision("run uncertain", r, in, outcome.String())
		r.undelivered = outcome == Refused
		r.measured = false // the order may still be executed, at any time
		if r.status == statusOrdered {
			r.status = statusUncertain
			r.startOutcomeAt = s.now
		}
		s.pollNow(in)
	}
}

func (s *Scheduler) handleStopOutcome(in *instance, r *run, outcome Outcome) {
	if outcome != Accepted {
		return
	}
	r.stopAckedAt = s.now
	if r.status != statusRunning {
		s.pollNow(in)
	}
}

// pollNow requests a poll that returns immediately.
func (s *Scheduler) pollNow(in *instance) {
	s.orders = append(s.orders, Order{Kind: ImmediatePoll, Instance: in.ID, Address: in.Address})
}

// stoppingRun is a run with a stop that was not accepted yet.
type stoppingRun struct {
	instance *instance
	run      *run
}

// retryStops repeats stops that were not accepted.
func (s *Scheduler) retryStops() {
	s.stopping = slices.DeleteFunc(s.stopping, func(o stoppingRun) bool { return o.run.stopAckedAt > 0 || o.instance.runs[o.run.task] != o.run })
	for _, o := range s.stopping {
		if o.instance.failedPolls == 0 && s.now-o.run.stopSentAt > orderRetryInterval*2 {
			s.sendStop(o.instance, o.run)
		}
	}
}
