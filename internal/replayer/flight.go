package replayer

import (
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
)

// carryOut does what a dispatcher decided.
func (r *Replayer) carryOut(d *dispatcher.Dispatcher) {
	for _, x := range d.TakeDecisions() {
		if r.notify != nil {
			r.notify("", x)
		}
		switch x.Kind {
		case dispatcher.Placed:
			r.begin(d, x)
		case dispatcher.Refused:
			if c := r.callers[x.Request.ID]; c != nil {
				c.done, c.waiting = true, false
				r.measure.refuse(x.Cause)
				r.measure.refuseUrgent(r, d, c, x.Cause)
			}
		case dispatcher.Preempted:
			r.press(d, x)
		case dispatcher.Isolated:
			r.sick[x.Instance] = true
		case dispatcher.Released:
			delete(r.sick, x.Instance)
		}
	}
}

// begin starts an attempt at its target.
func (r *Replayer) begin(d *dispatcher.Dispatcher, x dispatcher.Decision) {
	c := r.callers[x.Request.ID]
	t, _ := r.targets.Get(x.Instance)
	c.waiting = false
	c.attempts++
	f := &flight{caller: c, attempt: x.Request.Attempt, target: t, customer: x.Request.Customer, started: r.now, ends: r.now + time.Duration(c.event.RunMillis)*time.Millisecond}
	c.flight = f
	r.flights[f.attempt] = f
	r.measure.start(r, c, t)
	switch {
	case t.down || r.now < t.back:
		f.dead = true
		f.ends = r.now + step
		return
	case t.hole || c.event.Fails:
		f.fails = true
		f.ends = r.now + step
	}
	if !t.hole {
		c.runs++
	}
	t.running[f.attempt] = f
}

// endFlights ends the attempts whose time has come.
func (r *Replayer) endFlights() {
	var over []*flight
	for _, f := range r.flights {
		if f.ends <= r.now {
			over = append(over, f)
		}
	}
	slices.SortFunc(over, byAttempt)
	for _, f := range over {
		r.endFlight(f)
	}
}

func (r *Replayer) endFlight(f *flight) {
	c := f.caller
	delete(r.flights, f.attempt)
	delete(f.target.running, f.attempt)
	c.flight = nil
	if _, lost := r.cut[c.event.Entry]; lost {
		c.done = true
		return
	}
	d := r.dispatcherOf(c.event.Queue)
	if !f.dead && !f.fails {
		d.End(r.now, f.attempt, dispatcher.Completed, 0)
		c.done = true
		r.measure.answer(r, c)
		d.Place(r.now)
		r.carryOut(d)
		return
	}
	d.End(r.now, f.attempt, dispatcher.Failed, len(c.avoid))
	c.avoid = append(c.avoid, f.target.instance.ID)
	r.retry(c)
}

// retry repeats a failed request where that is allowed.
func (r *Replayer) retry(c *caller) {
	q, _ := r.config.Queue(c.event.Queue)
	if !q.Repeatable && c.runs > 0 {
		c.done = true
		r.measure.unknown++
		return
	}
	pause, ok := r.retrier(c.event.Entry).NextBackoff(c.attempts, c.deadline-r.now)
	if !ok {
		c.done = true
		r.measure.failed++
		return
	}
	c.again = r.now + pause
	r.resting = append(r.resting, c)
}

func (r *Replayer) wake() {
	r.resting = slices.DeleteFunc(r.resting, func(c *caller) bool {
		if c.again > r.now {
			return false
		}
		r.ask(c)
		return true
	})
}

// lose fails the attempts that a dead target had.
func (r *Replayer) lose(cut []*flight, planned bool) {
	for _, f := range cut {
		f.ends = r.now
		if planned {
			r.measure.cutByStops++
		}
	}
}

// press stops a task whose owner said so; milder actions change nothing in a fake.
func (r *Replayer) press(d *dispatcher.Dispatcher, x dispatcher.Decision) {
	f, ok := r.flights[x.Request.Attempt]
	if !ok || x.Action != dispatcher.Stop {
		return
	}
	r.measure.pressed++
	delete(f.target.running, f.attempt)
	delete(r.flights, f.attempt)
	d.End(r.now, f.attempt, dispatcher.NotCounted, 0)
	f.caller.flight = nil
	f.caller.again = r.now
	r.resting = append(r.resting, f.caller)
}
