package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Verdict is how an attempt ended.
type Verdict uint8

// Verdicts of an attempt.
const (
	Answered Verdict = iota + 1
	Failed
	Unused
)

// End records that an attempt is over and that its target no longer runs it.
func (d *Dispatcher) End(now time.Duration, attempt fleet.AttemptID, v Verdict, healthyFailures int) {
	x, ok := d.tasks[attempt]
	if !ok {
		return
	}
	d.remove(x)
	d.ends.add(now, 1)
	if v == Answered {
		d.ended[attempt] = now
	}
	if v != Unused {
		d.judge(now, x, v, healthyFailures)
	}
}

// Report records which attempts an entry carries or holds a ticket for.
func (d *Dispatcher) Report(now time.Duration, entry fleet.EntryID, attempts []fleet.AttemptID) {
	d.entries[entry] = now
	carried := make(map[fleet.AttemptID]bool, len(attempts))
	for _, a := range attempts {
		carried[a] = true
		if x, ok := d.tasks[a]; ok {
			x.proof = now
		}
	}
	silent := func(x *task) bool {
		return x.request.Entry == entry && !carried[x.request.Attempt] && now-x.started >= reportMargin
	}
	for _, x := range d.matching(silent) {
		if d.listed(x) {
			x.adopted = true
			continue
		}
		d.forget(x)
	}
}

// Adopt counts an attempt that an entry carries for an earlier owner of the pool.
func (d *Dispatcher) Adopt(now time.Duration, q Request, instance fleet.InstanceID) {
	if x, ok := d.tasks[q.Attempt]; ok {
		x.request.Entry = q.Entry
		x.request.ID = q.ID
		x.adopted = false
		x.proof = now
		return
	}
	if _, over := d.ended[q.Attempt]; over {
		return
	}
	d.add(&task{request: q, instance: instance, started: now, proof: now, needs: d.needs(q.Queue)})
	d.decide(Decision{Code: Adopted, Request: q, Instance: instance, Reason: "carried by an entry"})
}

// learnTasks takes over what an instance announced about its tasks.
func (d *Dispatcher) learnTasks(now time.Duration, r *row) {
	for _, a := range r.place.Instance.Tasks {
		if _, over := d.ended[a.Attempt]; over {
			continue
		}
		x, ok := d.tasks[a.Attempt]
		if !ok {
			q := Request{Attempt: a.Attempt, Queue: a.Queue, Customer: a.Customer}
			x = &task{request: q, instance: r.place.Instance.ID, started: now, adopted: true, needs: d.needs(a.Queue)}
			d.add(x)
			d.decide(Decision{Code: Adopted, Request: q, Instance: x.instance, Reason: "announced by its target"})
		}
		x.proof = now
		x.usage = a.Usage
		if a.Usage.Processors > 0 || a.Usage.Memory > 0 {
			d.learn(a.Queue, a.Usage)
		}
	}
}

// listed reports whether the last announcement of the task's instance names it.
func (d *Dispatcher) listed(x *task) bool {
	r, ok := d.rows.Get(x.instance)
	return ok && slices.ContainsFunc(r.place.Instance.Tasks, func(a fleet.Task) bool { return a.Attempt == x.request.Attempt })
}

// endStale ends tasks that nobody carries and no target lists, and those whose lease is surely over.
func (d *Dispatcher) endStale(now time.Duration) {
	for attempt, at := range d.ended {
		if now-at > endedMemory {
			delete(d.ended, attempt)
		}
	}
	for _, x := range d.matching(func(x *task) bool { return d.isOver(now, x) }) {
		d.forget(x)
	}
}

func (d *Dispatcher) isOver(now time.Duration, x *task) bool {
	if now-x.proof > leaseMargin {
		return true
	}
	if !x.adopted && d.carrierAlive(now, x) {
		return false
	}
	r, ok := d.rows.Get(x.instance)
	if !ok || d.listed(x) {
		return false
	}
	if x.adopted {
		return r.place.Heard > x.proof
	}
	return r.place.Heard > x.started+reportMargin && now-r.place.Heard < SuspectAfter
}

func (d *Dispatcher) carrierAlive(now time.Duration, x *task) bool {
	heard, ok := d.entries[x.request.Entry]
	return ok && now-heard < entrySilentAfter
}

func (d *Dispatcher) forget(x *task) {
	d.remove(x)
	d.decide(Decision{Code: Ended, Request: x.request, Instance: x.instance, Reason: "neither carried nor announced"})
}

// matching returns the tasks that match, in order of their attempts.
func (d *Dispatcher) matching(match func(x *task) bool) []*task {
	var list []*task
	for _, x := range d.tasks {
		if match(x) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return cmp.Compare(a.request.Attempt, b.request.Attempt) })
	return list
}
