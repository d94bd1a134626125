package dispatcher

import (
	"fmt"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Parameters of preemption.
const (
	preemptInterval           = 2 * time.Second
	memoryPressureFraction    = 0.95
	processorPressureFraction = 1.1
	// minExcess is the ratio of the usage of a task to its fair share of an overloaded instance above which it is preempted.
	minExcess = 1.5
)

var escalation = [...]Action{Throttle, Checkpoint, Stop}

// preempt acts on tasks that overload their instance, and frees slots for urgent requests that have waited too long.
func (d *Dispatcher) preempt(now time.Duration) {
	for _, r := range d.instances.All() {
		d.preemptOnInstance(now, r)
	}
	d.preemptForUrgent(now)
}

func (d *Dispatcher) preemptOnInstance(now time.Duration, r *instanceRecord) {
	var used fleet.Resources
	for _, a := range r.view.Instance.Tasks {
		used = used.Add(a.Usage)
	}
	offers := r.view.Instance.Capacity
	memoryExceeded := float64(used.Memory) > memoryPressureFraction*float64(offers.Memory) && offers.Memory > 0
	processorsExceeded := float64(used.Processors) > processorPressureFraction*float64(offers.Processors) && offers.Processors > 0
	if !memoryExceeded && !processorsExceeded {
		return
	}
	var worst *task
	worstExcess := minExcess
	for _, a := range r.view.Instance.Tasks {
		x, ok := d.tasks[a.Attempt]
		if !ok || now < x.nextPreemption {
			continue
		}
		fair := fleet.Resources{Processors: offers.Processors / fleet.Cores(max(offers.Slots, 1)), Memory: offers.Memory / fleet.Bytes(max(offers.Slots, 1))}
		excess := a.Usage.DominantShare(fair) / float64(x.needs.Slots)
		if excess > worstExcess {
			worst, worstExcess = x, excess
		}
	}
	if worst == nil {
		return
	}
	d.escalate(now, worst, fmt.Sprintf("uses %.1f times its fair share of an overloaded instance", worstExcess))
}

// escalate applies the next stronger action to a task; a task that isn't repeatable is never stopped.
func (d *Dispatcher) escalate(now time.Duration, x *task, reason string) {
	step := min(x.preemptions, len(escalation)-1)
	if escalation[step] == Stop && !d.queues[x.request.Queue].Repeatable {
		return
	}
	x.preemptions++
	x.nextPreemption = now + preemptInterval
	d.emit(Decision{Kind: Preempted, Request: x.request, Instance: x.instance, Action: escalation[step], Reason: reason})
}

// preemptForUrgent stops one repeatable batch task of the customer furthest over its share for each customer below its share
// that has an urgent request waiting for more than urgentWaitLimit.
func (d *Dispatcher) preemptForUrgent(now time.Duration) {
	if d.fifo || d.freeSlots() > 0 {
		return
	}
	perShare := d.fractionPerShare()
	for _, c := range d.customers.All() {
		if c.urgentWaiting == 0 || c.dominantUse >= c.share*perShare || c.running >= c.permit || !c.urgentOverdue(now) {
			continue
		}
		x := d.victim(now, perShare)
		if x == nil {
			return
		}
		x.preemptions = len(escalation)
		x.nextPreemption = now + preemptInterval
		d.emit(Decision{Kind: Preempted, Request: x.request, Instance: x.instance, Action: Stop,
			Reason: fmt.Sprintf("an urgent request of customer %s waits and the customer is below its share", c.id)})
	}
}

func (c *customer) urgentOverdue(now time.Duration) bool {
	for _, q := range c.queues {
		if h := q.head(); h != nil && q.urgent && now-h.arrived > urgentWaitLimit {
			return true
		}
	}
	return false
}

// victim returns the most recently started repeatable batch task of the customer furthest over its share, or nil.
func (d *Dispatcher) victim(now time.Duration, perShare float64) *task {
	var best *task
	for _, x := range d.tasksMatching(func(x *task) bool { return d.preemptible(now, x, perShare) }) {
		if best == nil || d.isBetterVictim(x, best) {
			best = x
		}
	}
	return best
}

func (d *Dispatcher) preemptible(now time.Duration, x *task, perShare float64) bool {
	q := d.queues[x.request.Queue]
	c := d.customer(x.request.Customer)
	return !q.Urgent && q.Repeatable && now >= x.nextPreemption && c.dominantUse > c.share*perShare && !d.runsInDrain(x)
}

func (d *Dispatcher) isBetterVictim(x, other *task) bool {
	if x.request.Customer == other.request.Customer {
		return x.started > other.started
	}
	return d.customer(x.request.Customer).weightedUse() > d.customer(other.request.Customer).weightedUse()
}
