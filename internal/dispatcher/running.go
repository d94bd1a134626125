package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Outcome is the result with which an attempt ended.
type Outcome uint8

// Outcomes of an attempt; NotCounted has no effect on the health of the instance.
const (
	Completed Outcome = iota + 1
	Failed
	NotCounted
)

// End records that an attempt has ended and no longer runs on its target; healthyFailures is the number of healthy instances on
// which the job failed before.
func (d *Dispatcher) End(now time.Duration, attempt fleet.AttemptID, outcome Outcome, healthyFailures int) {
	x, ok := d.tasks[attempt]
	if !ok {
		return
	}
	d.removeTask(x)
	d.endRate.add(now, 1)
	if outcome == Completed {
		d.endedAt[attempt] = now
	}
	if outcome != NotCounted {
		d.recordResult(now, x, outcome, healthyFailures)
	}
}

// HandleEntryReport records which attempts an entry has in flight or holds a ticket for. Older attempts of the entry that it
// leaves out end, unless a target announces them.
func (d *Dispatcher) HandleEntryReport(now time.Duration, entry fleet.EntryID, attempts []fleet.AttemptID) {
	d.entryLastSeen[entry] = now
	inFlight := make(map[fleet.AttemptID]bool, len(attempts))
	for _, a := range attempts {
		inFlight[a] = true
		if x, ok := d.tasks[a]; ok {
			x.lastConfirmed = now
		}
	}
	unreported := func(x *task) bool {
		return x.request.Entry == entry && !inFlight[x.request.Attempt] && now-x.started >= reportGrace
	}
	for _, x := range d.tasksMatching(unreported) {
		if d.isAnnounced(x) {
			x.adopted = true
			continue
		}
		d.endTask(x)
	}
}

// Adopt counts an attempt that an entry has in flight from an earlier owner of the pool.
func (d *Dispatcher) Adopt(now time.Duration, q Request, instance fleet.InstanceID) {
	if x, ok := d.tasks[q.Attempt]; ok {
		x.request.Entry = q.Entry
		x.request.ID = q.ID
		x.adopted = false
		x.lastConfirmed = now
		return
	}
	if _, ended := d.endedAt[q.Attempt]; ended {
		return
	}
	d.addTask(&task{request: q, instance: instance, started: now, lastConfirmed: now, needs: d.needs(q.Queue)})
	d.emit(Decision{Kind: Adopted, Request: q, Instance: instance, Reason: "in flight at an entry"})
}

// applyAnnouncedTasks adds the tasks that an instance announced, confirms known ones and records their usage.
func (d *Dispatcher) applyAnnouncedTasks(now time.Duration, r *instanceRecord) {
	for _, a := range r.view.Instance.Tasks {
		if _, ended := d.endedAt[a.Attempt]; ended {
			continue
		}
		x, ok := d.tasks[a.Attempt]
		if !ok {
			q := Request{Attempt: a.Attempt, Queue: a.Queue, Customer: a.Customer}
			x = &task{request: q, instance: r.view.Instance.ID, started: now, adopted: true, needs: d.needs(a.Queue)}
			d.addTask(x)
			d.emit(Decision{Kind: Adopted, Request: q, Instance: x.instance, Reason: "announced by its target"})
		}
		x.lastConfirmed = now
		x.usage = a.Usage
		if a.Usage.Processors > 0 || a.Usage.Memory > 0 {
			d.recordUsage(a.Queue, a.Usage)
		}
	}
}

// isAnnounced reports whether the latest announcement of the task's instance contains the task.
func (d *Dispatcher) isAnnounced(x *task) bool {
	r, ok := d.instances.Get(x.instance)
	return ok && slices.ContainsFunc(r.view.Instance.Tasks, func(a fleet.Task) bool { return a.Attempt == x.request.Attempt })
}

// endStaleTasks ends tasks that are neither in flight at an entry nor announced by a target, and tasks whose lease has expired.
func (d *Dispatcher) endStaleTasks(now time.Duration) {
	for attempt, endedAt := range d.endedAt {
		if now-endedAt > endedRetention {
			delete(d.endedAt, attempt)
		}
	}
	for _, x := range d.tasksMatching(func(x *task) bool { return d.isStale(now, x) }) {
		d.endTask(x)
	}
}

func (d *Dispatcher) isStale(now time.Duration, x *task) bool {
	if now-x.lastConfirmed > leaseTimeout {
		return true
	}
	if !x.adopted && d.entryAlive(now, x) {
		return false
	}
	r, ok := d.instances.Get(x.instance)
	if !ok || d.isAnnounced(x) {
		return false
	}
	if x.adopted {
		return r.view.LastSeen > x.lastConfirmed
	}
	return r.view.LastSeen > x.started+reportGrace && now-r.view.LastSeen < MaxObservationAge
}

func (d *Dispatcher) entryAlive(now time.Duration, x *task) bool {
	lastSeen, ok := d.entryLastSeen[x.request.Entry]
	return ok && now-lastSeen < entryTimeout
}

func (d *Dispatcher) endTask(x *task) {
	d.removeTask(x)
	d.emit(Decision{Kind: Ended, Request: x.request, Instance: x.instance, Reason: "neither in flight at an entry nor announced by a target"})
}

// tasksMatching returns the tasks that match, in order of their attempt ids.
func (d *Dispatcher) tasksMatching(match func(x *task) bool) []*task {
	var list []*task
	for _, x := range d.tasks {
		if match(x) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return cmp.Compare(a.request.Attempt, b.request.Attempt) })
	return list
}
