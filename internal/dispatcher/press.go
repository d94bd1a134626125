package dispatcher

import (
	"fmt"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Parameters of the pressure on running tasks.
const (
	pressPause      = 2 * time.Second
	memoryPressure  = 0.95
	processPressure = 1.1
	excessFactor    = 1.5
)

var escalation = [...]Action{Throttle, Checkpoint, Stop}

// press acts on tasks that take more than they may, and frees a place for urgent work that waits too long.
func (d *Dispatcher) press(now time.Duration) {
	for _, r := range d.rows.All() {
		d.pressInstance(now, r)
	}
	d.pressForUrgent(now)
}

func (d *Dispatcher) pressInstance(now time.Duration, r *row) {
	var used fleet.Resources
	for _, a := range r.place.Instance.Tasks {
		used = used.Add(a.Usage)
	}
	offers := r.place.Instance.Offers
	tight := float64(used.Memory) > memoryPressure*float64(offers.Memory) && offers.Memory > 0
	busy := float64(used.Processors) > processPressure*float64(offers.Processors) && offers.Processors > 0
	if !tight && !busy {
		return
	}
	var worst *task
	worstExcess := excessFactor
	for _, a := range r.place.Instance.Tasks {
		x, ok := d.tasks[a.Attempt]
		if !ok || now < x.pressAt {
			continue
		}
		fair := fleet.Resources{Processors: offers.Processors / fleet.Cores(max(offers.Slots, 1)), Memory: offers.Memory / fleet.Bytes(max(offers.Slots, 1))}
		excess := a.Usage.Dominant(fair) / float64(x.needs.Slots)
		if excess > worstExcess {
			worst, worstExcess = x, excess
		}
	}
	if worst == nil {
		return
	}
	d.escalate(now, worst, fmt.Sprintf("takes %.1f times its part of an overloaded instance", worstExcess))
}

// escalate tells the target the next stronger action; a task that may not be repeated is never stopped.
func (d *Dispatcher) escalate(now time.Duration, x *task, reason string) {
	step := min(x.pressed, len(escalation)-1)
	if escalation[step] == Stop && !d.queues[x.request.Queue].Repeatable {
		return
	}
	x.pressed++
	x.pressAt = now + pressPause
	d.decide(Decision{Code: Pressed, Request: x.request, Instance: x.instance, Action: escalation[step], Reason: reason})
}

// pressForUrgent stops one repeatable batch task of the customer furthest over its share for each urgent request
// that has waited too long in a customer below its share.
func (d *Dispatcher) pressForUrgent(now time.Duration) {
	if d.fifo || d.freeSlots() > 0 {
		return
	}
	entitled := d.entitlement()
	for _, t := range d.customers.All() {
		if t.urgentWaiting == 0 || t.use >= t.share*entitled || t.running >= t.permit || !t.urgentLate(now) {
			continue
		}
		x := d.victim(now, entitled)
		if x == nil {
			return
		}
		x.pressed = len(escalation)
		x.pressAt = now + pressPause
		d.decide(Decision{Code: Pressed, Request: x.request, Instance: x.instance, Action: Stop,
			Reason: fmt.Sprintf("urgent work of customer %s waits and is below its share", t.id)})
	}
}

func (t *customer) urgentLate(now time.Duration) bool {
	for _, l := range t.lanes {
		if h := l.head(); h != nil && l.urgent && now-h.arrived > pressUrgentWait {
			return true
		}
	}
	return false
}

// victim returns the youngest repeatable batch task of the customer furthest over its share.
func (d *Dispatcher) victim(now time.Duration, entitled float64) *task {
	var best *task
	for _, x := range d.matching(func(x *task) bool { return d.mayStop(now, x, entitled) }) {
		if best == nil || d.ranksAbove(x, best) {
			best = x
		}
	}
	return best
}

func (d *Dispatcher) mayStop(now time.Duration, x *task, entitled float64) bool {
	q := d.queues[x.request.Queue]
	t := d.customer(x.request.Customer)
	return !q.Urgent && q.Repeatable && now >= x.pressAt && t.use > t.share*entitled
}

func (d *Dispatcher) ranksAbove(x, other *task) bool {
	if x.request.Customer == other.request.Customer {
		return x.started > other.started
	}
	return d.customer(x.request.Customer).score() > d.customer(other.request.Customer).score()
}
