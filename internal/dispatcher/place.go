package dispatcher

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Parameters of placement.
const (
	maxReserve     = 0.25
	spreadWeight   = 0.5
	probeTasks     = 1
	fadePenalty    = 3.0
	maxPlacedAtOne = 4096
)

// Tick brings the dispatcher to clock now: it ends, expires, judges and places.
func (d *Dispatcher) Tick(now time.Duration) {
	for _, t := range d.customers.All() {
		t.settle(now)
	}
	d.endStale(now)
	d.measure(now)
	d.expire(now)
	d.Place(now)
	d.press(now)
}

// Place starts waiting requests while any fits.
func (d *Dispatcher) Place(now time.Duration) {
	if len(d.waiting) == 0 {
		return
	}
	blocked := map[fleet.CustomerID]bool{}
	unlearned := d.Unlearned(now)
	reserve := d.reserve(now)
	for range maxPlacedAtOne {
		t := d.next(now, blocked, unlearned)
		if t == nil {
			return
		}
		if !d.placeOne(now, t, reserve) {
			blocked[t.id] = true
		}
	}
}

// next returns the customer whose turn it is: urgent work within its share first, then the least served.
func (d *Dispatcher) next(now time.Duration, blocked map[fleet.CustomerID]bool, unlearned int) *customer {
	var best *customer
	bestRank := rankBatch
	entitled := d.entitlement()
	for id, t := range d.customers.All() {
		if t.waiting == 0 || blocked[id] || t.running+unlearned >= t.permit {
			continue
		}
		if d.fifo {
			if best == nil || t.oldest() < best.oldest() {
				best = t
			}
			continue
		}
		t.settle(now)
		rank := t.rank(now, entitled)
		if best == nil || rank > bestRank || rank == bestRank && t.score() < best.score() {
			best, bestRank = t, rank
		}
	}
	return best
}

// Ranks of customers in the order of service.
const (
	rankBatch = iota
	rankUrgent
	rankLate
)

// rank returns how pressing the work of a customer is: urgent work counts only while the customer is below its share.
func (t *customer) rank(now time.Duration, entitled float64) int {
	switch {
	case t.urgentWaiting == 0 || t.use >= t.share*entitled:
		return rankBatch
	case t.urgentLate(now):
		return rankLate
	}
	return rankUrgent
}

func (t *customer) oldest() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, l := range t.lanes {
		if h := l.head(); h != nil {
			oldest = min(oldest, h.sequence)
		}
	}
	return oldest
}

// entitlement returns the fraction of the pool that one unit of share is worth now.
func (d *Dispatcher) entitlement() float64 {
	sum := 0.0
	for _, t := range d.customers.All() {
		if t.waiting > 0 || t.running > 0 {
			sum += t.share
		}
	}
	if sum == 0 {
		return 0
	}
	return 1 / sum
}

// reserve returns the slots kept free for urgent work that is expected, within the shares of its customers, before
// enough others end.
func (d *Dispatcher) reserve(now time.Duration) int {
	if d.fifo {
		return 0
	}
	entitled := d.entitlement()
	expected := 0.0
	for _, t := range d.customers.All() {
		room := (t.share*entitled - t.use) * float64(d.ready.Slots)
		expected += min(t.urgent.per(now)*urgentStart.Seconds(), max(room, 0))
	}
	missing := expected - d.ends.per(now)*urgentStart.Seconds()
	return int(min(max(missing, 0), maxReserve*float64(d.ready.Slots)))
}

// placeOne starts the first request of a customer that fits anywhere.
func (d *Dispatcher) placeOne(now time.Duration, t *customer, reserve int) bool {
	heads := t.heads(now)
	if d.fifo {
		slices.SortFunc(heads, func(a, b *item) int { return cmp.Compare(a.sequence, b.sequence) })
	}
	for _, w := range heads {
		if !w.lane.urgent && d.freeSlots() <= reserve {
			continue
		}
		if r := d.choose(now, w); r != nil {
			d.start(now, t, w, r)
			return true
		}
	}
	return false
}

// measure sums what the instances that may take new work offer and have free.
func (d *Dispatcher) measure(now time.Duration) {
	d.ready = fleet.Resources{}
	d.busySlots = 0
	for _, r := range d.rows.All() {
		if d.eligible(now, r, false) {
			d.ready = d.ready.Add(r.place.Instance.Offers)
			d.busySlots += r.used.Slots
		}
	}
}

func (d *Dispatcher) freeSlots() int { return d.ready.Slots - d.busySlots }

// choose returns the best instance for a request: it fits, is well and leaves the load spread.
func (d *Dispatcher) choose(now time.Duration, w *item) *row {
	needs := d.needs(w.request.Queue)
	repeatable := d.queues[w.request.Queue].Repeatable
	var best *row
	bestScore := math.Inf(1)
	for id, r := range d.rows.All() {
		if !d.eligible(now, r, repeatable) || slices.Contains(w.request.Avoid, id) {
			continue
		}
		if !r.place.Instance.Offers.Sub(r.used).Fits(needs) {
			continue
		}
		score := d.loadOf(r, needs, w)
		if score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// eligible reports whether an instance may take new work.
func (d *Dispatcher) eligible(now time.Duration, r *row, repeatable bool) bool {
	p := r.place
	if !p.Serving || !r.fresh || p.Instance.Condition != fleet.Ready || now-p.Heard > SuspectAfter {
		return false
	}
	if r.health.isolated {
		return repeatable && r.health.probe(now) && r.tasks < probeTasks
	}
	return r.health.streak == 0 || r.tasks < probeTasks || r.health.streak < 2
}

// loadOf scores an instance: its load after the placement and the load of its rack.
func (d *Dispatcher) loadOf(r *row, needs fleet.Resources, w *item) float64 {
	load := r.used.Add(needs).Dominant(r.place.Instance.Offers)
	rack := float64(d.domains[r.place.Instance.Domain()]) / float64(len(d.tasks)+1)
	score := load + spreadWeight*rack
	for _, avoided := range w.request.Avoid {
		other, ok := d.rows.Get(avoided)
		if ok && other.place.Instance.Domain() == r.place.Instance.Domain() {
			score++
		}
	}
	if r.place.Fading {
		score += fadePenalty
	}
	return score + float64(r.health.streak)
}

// start counts a request as running on an instance.
func (d *Dispatcher) start(now time.Duration, t *customer, w *item, r *row) {
	d.leave(w)
	t.streak++
	if !w.lane.urgent {
		t.streak = 0
	}
	t.placed.add(now, 1)
	d.add(&task{
		request: w.request, instance: r.place.Instance.ID, started: now, proof: now, needs: d.needs(w.request.Queue),
	})
	d.decide(Decision{
		Code: Placed, Request: w.request, Instance: r.place.Instance.ID, Address: r.place.Instance.Address, Waited: now - w.arrived,
		Reason: fmt.Sprintf("score %.3f of customer, load %d/%d of instance", t.score(), r.tasks, r.place.Instance.Offers.Slots),
	})
}

// add counts a task for its customer, instance and failure domain.
func (d *Dispatcher) add(x *task) {
	d.tasks[x.request.Attempt] = x
	t := d.customer(x.request.Customer)
	t.running++
	t.held = t.held.Add(x.needs)
	t.use = t.held.Dominant(d.total)
	d.busySlots += x.needs.Slots
	if r, ok := d.rows.Get(x.instance); ok {
		r.used = r.used.Add(x.needs)
		r.tasks++
		d.domains[r.place.Instance.Domain()]++
	}
}

// remove is the reverse of add.
func (d *Dispatcher) remove(x *task) {
	delete(d.tasks, x.request.Attempt)
	t := d.customer(x.request.Customer)
	t.running--
	t.held = t.held.Sub(x.needs)
	if t.running == 0 {
		t.held = fleet.Resources{}
	}
	t.use = t.held.Dominant(d.total)
	d.busySlots -= x.needs.Slots
	if r, ok := d.rows.Get(x.instance); ok {
		r.used = r.used.Sub(x.needs)
		r.tasks--
		d.domains[r.place.Instance.Domain()]--
	}
}
