package scheduler

import "time"

// stop ends a run; its end, or a look after the answer, frees what it takes.
func (s *Scheduler) stop(in *instance, r *run, reason string) {
	if r.stopping {
		return
	}
	s.note("run stopping", r, in, reason)
	s.sendStop(in, r)
}

func (s *Scheduler) sendStop(in *instance, r *run) {
	r.stopping = true
	r.stopSent = s.now
	s.orders = append(s.orders, Order{
		Kind: Stop, Instance: in.ID, Address: in.Address, Task: r.task, Run: r.number, Fence: s.options.Fence, Reason: "stop",
	})
}

func (s *Scheduler) start(in *instance, j *job, r *run) {
	t := j.task(r.task.Place)
	r.job = j
	r.progress = ordered
	r.claim = j.step(r.task.Place).Claim()
	r.since = s.now
	r.moved = s.now
	r.pace = 100
	s.attach(in, r)
	s.orders = append(s.orders, Order{
		Kind: Start, Instance: in.ID, Address: in.Address, Task: r.task, Run: r.number, Spec: j.Spec, Checkpoint: t.checkpoint,
		Deadline: s.deadline(in), Fence: s.options.Fence, Ticket: j.ticketFor(r.task.Place, in), Reason: "placed",
	})
}

// Answered takes the outcome of an order.
func (s *Scheduler) Answered(now time.Duration, o Order, outcome Outcome) {
	s.now = now
	in := s.instances[o.Instance]
	if outcome == Fenced {
		s.superseded = true
	}
	if in == nil {
		return
	}
	if outcome == Mismatched {
		s.kill(in, "another boot answers")
		return
	}
	r := in.runs[o.Task]
	if r == nil || r.number != o.Run {
		return
	}
	switch o.Kind {
	case Start:
		s.started(in, r, outcome)
	case Stop:
		s.stopAnswered(in, r, outcome)
	}
}

func (s *Scheduler) started(in *instance, r *run, outcome Outcome) {
	switch outcome {
	case Accepted:
		in.faults = max(0, in.faults-1)
		r.settled = s.now
		if r.progress != running {
			r.progress = running
			r.moved = s.now
		}
	case Rejected:
		s.note("run rejected", r, in, outcome.String())
		r.job.dropTicket(r.task.Place, in)
		s.detach(in, r)
		in.rested = s.now + roomPause
		s.glance(in)
	case Unhealthy:
		s.note("run rejected", r, in, outcome.String())
		s.detach(in, r)
		in.faults++
		in.rested = s.now + unhealthyPause
	default:
		s.note("run uncertain", r, in, outcome.String())
		if r.progress == ordered {
			r.progress = unsure
			r.settled = s.now
		}
		s.glance(in)
	}
}

func (s *Scheduler) stopAnswered(in *instance, r *run, outcome Outcome) {
	if outcome != Accepted {
		return
	}
	r.stopped = s.now
	if r.progress != running {
		s.glance(in)
	}
}

// glance asks for a look at once.
func (s *Scheduler) glance(in *instance) {
	s.orders = append(s.orders, Order{Kind: Glance, Instance: in.ID, Address: in.Address})
}

// retryStops repeats stops that had no answer.
func (s *Scheduler) retryStops() {
	for _, in := range s.instances {
		if in.misses > 0 {
			continue
		}
		for _, r := range in.runs {
			if r.stopping && r.stopped == 0 && s.now-r.stopSent > retryPause*2 {
				s.sendStop(in, r)
			}
		}
	}
}
