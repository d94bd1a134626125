package replayer

import (
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
)

// applyDecisions applies the pending decisions of a dispatcher.
func (r *Replayer) applyDecisions(d *dispatcher.Dispatcher) {
	for _, decision := range d.TakeDecisions() {
		if r.onDecision != nil {
			r.onDecision("", decision)
		}
		switch decision.Kind {
		case dispatcher.Placed:
			r.startAttempt(d, decision)
		case dispatcher.Refused:
			if c := r.callers[decision.Request.ID]; c != nil {
				c.done, c.waiting = true, false
				r.metrics.recordRefusal(decision.Cause)
				r.metrics.recordUrgentRefusal(r, d, c, decision.Cause)
			}
		case dispatcher.Preempted:
			r.preempt(d, decision)
		case dispatcher.Isolated:
			r.isolated[decision.Instance] = true
		case dispatcher.Released:
			delete(r.isolated, decision.Instance)
		}
	}
}

// startAttempt starts a placed attempt at its target. The attempt fails after one clock step if the target is down or fails every
// attempt, or if the request fails on every target.
func (r *Replayer) startAttempt(d *dispatcher.Dispatcher, decision dispatcher.Decision) {
	c := r.callers[decision.Request.ID]
	t, _ := r.targets.Get(decision.Instance)
	c.waiting = false
	c.attemptCount++
	a := &attempt{caller: c, id: decision.Request.Attempt, target: t, customer: decision.Request.Customer, startedAt: r.now, endsAt: r.now + time.Duration(c.event.RunMillis)*time.Millisecond}
	c.attempt = a
	r.attempts[a.id] = a
	r.metrics.recordStart(r, c, t)
	switch {
	case t.down || r.now < t.rebootEnds:
		a.targetDown = true
		a.endsAt = r.now + clockStep
		return
	case t.blackHole || c.event.Fails:
		a.fails = true
		a.endsAt = r.now + clockStep
	}
	if !t.blackHole {
		c.runCount++
	}
	t.running[a.id] = a
}

// endDueAttempts ends the attempts that are due, in order of their IDs.
func (r *Replayer) endDueAttempts() {
	var due []*attempt
	for _, a := range r.attempts {
		if a.endsAt <= r.now {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, byAttempt)
	for _, a := range due {
		r.endAttempt(a)
	}
}

func (r *Replayer) endAttempt(a *attempt) {
	c := a.caller
	delete(r.attempts, a.id)
	delete(a.target.running, a.id)
	c.attempt = nil
	if _, partitioned := r.partitioned[c.event.Entry]; partitioned {
		c.done = true
		return
	}
	d := r.dispatcherOf(c.event.Queue)
	if !a.targetDown && !a.fails {
		d.End(r.now, a.id, dispatcher.Completed, 0)
		c.done = true
		r.metrics.recordAnswer(r, c)
		d.Place(r.now)
		r.applyDecisions(d)
		return
	}
	d.End(r.now, a.id, dispatcher.Failed, len(c.avoid))
	c.avoid = append(c.avoid, a.target.instance.ID)
	r.scheduleRetry(c)
}

// scheduleRetry schedules a retry of a failed request. A request that is not repeatable and may have run ends as unknown.
func (r *Replayer) scheduleRetry(c *caller) {
	q, _ := r.config.Queue(c.event.Queue)
	if !q.Repeatable && c.runCount > 0 {
		c.done = true
		r.metrics.unknown++
		return
	}
	backoff, ok := r.retrierOf(c.event.Entry).NextBackoff(c.attemptCount, c.deadline-r.now)
	if !ok {
		c.done = true
		r.metrics.failed++
		return
	}
	c.retryAt = r.now + backoff
	r.backingOff = append(r.backingOff, c)
}

func (r *Replayer) submitDueRetries() {
	r.backingOff = slices.DeleteFunc(r.backingOff, func(c *caller) bool {
		if c.retryAt > r.now {
			return false
		}
		r.submit(c)
		return true
	})
}

// failAttempts makes the interrupted attempts of a stopped target fail at once; planned is set if maintenance stopped the target.
func (r *Replayer) failAttempts(interrupted []*attempt, planned bool) {
	for _, a := range interrupted {
		a.endsAt = r.now
		if planned {
			r.metrics.plannedInterruptions++
		}
	}
}

// preempt stops an attempt that the dispatcher has preempted and resubmits its request. Throttling and checkpointing are not simulated.
func (r *Replayer) preempt(d *dispatcher.Dispatcher, decision dispatcher.Decision) {
	a, ok := r.attempts[decision.Request.Attempt]
	if !ok || decision.Action != dispatcher.Stop {
		return
	}
	r.metrics.preempted++
	delete(a.target.running, a.id)
	delete(r.attempts, a.id)
	d.End(r.now, a.id, dispatcher.NotCounted, 0)
	a.caller.attempt = nil
	a.caller.retryAt = r.now
	r.backingOff = append(r.backingOff, a.caller)
}
