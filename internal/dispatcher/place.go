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
	maxReservedFraction  = 0.25
	rackSpreadWeight     = 0.5
	maxProbeTasks        = 1
	deprioritizedPenalty = 3.0
	maxPlacementsPerCall = 4096
)

// Tick advances the dispatcher to clock now: it ends stale tasks, expires and places requests, and preempts tasks.
func (d *Dispatcher) Tick(now time.Duration) {
	for _, c := range d.customers.All() {
		c.updateAverage(now)
	}
	d.endStaleTasks(now)
	d.updateCapacity(now)
	d.expire(now)
	d.Place(now)
	d.preempt(now)
}

// Place starts waiting requests until none fits.
func (d *Dispatcher) Place(now time.Duration) {
	if len(d.waiting) == 0 {
		return
	}
	blocked := map[fleet.CustomerID]bool{}
	unobserved := d.UnobservedSlots(now)
	reserve := d.urgentReserve(now)
	for range maxPlacementsPerCall {
		c := d.nextCustomer(now, blocked, unobserved)
		if c == nil {
			return
		}
		if !d.placeOne(now, c, reserve) {
			blocked[c.id] = true
		}
	}
}

// nextCustomer returns the customer to serve next: the highest rank first, then the lowest weighted use. Unobserved slots count
// against every permit, because tasks of any customer may run on them.
func (d *Dispatcher) nextCustomer(now time.Duration, blocked map[fleet.CustomerID]bool, unobserved int) *customer {
	var best *customer
	bestRank := rankBatch
	perShare := d.fractionPerShare()
	for id, c := range d.customers.All() {
		if c.waiting == 0 || blocked[id] || c.running+unobserved >= c.permit {
			continue
		}
		if d.fifo {
			if best == nil || c.oldest() < best.oldest() {
				best = c
			}
			continue
		}
		c.updateAverage(now)
		rank := c.rank(now, perShare)
		if best == nil || rank > bestRank || rank == bestRank && c.weightedUse() < best.weightedUse() {
			best, bestRank = c, rank
		}
	}
	return best
}

// Ranks of customers, from the lowest to the highest priority.
const (
	rankBatch = iota
	rankUrgent
	rankUrgentOverdue
)

// rank returns the priority of a customer; urgent work raises it only while the customer is below its share.
func (c *customer) rank(now time.Duration, perShare float64) int {
	switch {
	case c.urgentWaiting == 0 || c.dominantUse >= c.share*perShare:
		return rankBatch
	case c.urgentOverdue(now):
		return rankUrgentOverdue
	}
	return rankUrgent
}

func (c *customer) oldest() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, q := range c.queues {
		if h := q.head(); h != nil {
			oldest = min(oldest, h.sequence)
		}
	}
	return oldest
}

// fractionPerShare returns the fraction of the pool that one unit of share entitles an active customer to.
func (d *Dispatcher) fractionPerShare() float64 {
	sum := 0.0
	for _, c := range d.customers.All() {
		if c.waiting > 0 || c.running > 0 {
			sum += c.share
		}
	}
	if sum == 0 {
		return 0
	}
	return 1 / sum
}

// urgentReserve returns the number of slots to keep free for urgent requests that are expected, within the shares of their
// customers, before enough running tasks end.
func (d *Dispatcher) urgentReserve(now time.Duration) int {
	if d.fifo {
		return 0
	}
	perShare := d.fractionPerShare()
	expected := 0.0
	for _, c := range d.customers.All() {
		room := (c.share*perShare - c.dominantUse) * float64(d.readyCapacity.Slots)
		expected += min(c.urgentRate.perSecond(now)*urgentStartLimit.Seconds(), max(room, 0))
	}
	missing := expected - d.endRate.perSecond(now)*urgentStartLimit.Seconds()
	return int(min(max(missing, 0), maxReservedFraction*float64(d.readyCapacity.Slots)))
}

// placeOne starts the first request of a customer that fits on an instance; it returns false if none does.
func (d *Dispatcher) placeOne(now time.Duration, c *customer, reserve int) bool {
	heads := c.heads(now)
	if d.fifo {
		slices.SortFunc(heads, func(a, b *waitingRequest) int { return cmp.Compare(a.sequence, b.sequence) })
	}
	for _, w := range heads {
		if !w.queue.urgent && d.freeSlots() <= reserve {
			continue
		}
		if r := d.selectInstance(now, w); r != nil {
			d.startTask(now, c, w, r)
			return true
		}
	}
	return false
}

// updateCapacity sums the capacity and the used slots of the instances that may take new work.
func (d *Dispatcher) updateCapacity(now time.Duration) {
	d.readyCapacity = fleet.Resources{}
	d.busySlots = 0
	for _, r := range d.instances.All() {
		if d.eligible(now, r, false) {
			d.readyCapacity = d.readyCapacity.Add(r.view.Instance.Capacity)
			d.busySlots += r.used.Slots
		}
	}
}

func (d *Dispatcher) freeSlots() int { return d.readyCapacity.Slots - d.busySlots }

// selectInstance returns the eligible instance with the lowest placement score that fits a request, or nil.
func (d *Dispatcher) selectInstance(now time.Duration, w *waitingRequest) *instanceRecord {
	needs := d.needs(w.request.Queue)
	repeatable := d.queues[w.request.Queue].Repeatable
	var best *instanceRecord
	bestScore := math.Inf(1)
	for id, r := range d.instances.All() {
		if !d.eligible(now, r, repeatable) || slices.Contains(w.request.Avoid, id) {
			continue
		}
		if !r.view.Instance.Capacity.Sub(r.used).Fits(needs) {
			continue
		}
		score := d.placementScore(r, needs, w)
		if score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// eligible reports whether an instance may take new work.
func (d *Dispatcher) eligible(now time.Duration, r *instanceRecord, repeatable bool) bool {
	view := r.view
	if !view.Schedulable || view.Drained || !r.observed || view.Instance.Condition != fleet.Ready || now-view.LastSeen > MaxObservationAge {
		return false
	}
	if r.health.isolated {
		return repeatable && r.health.probeDue(now) && r.tasks < maxProbeTasks
	}
	return r.health.consecutiveFailures == 0 || r.tasks < maxProbeTasks || r.health.consecutiveFailures < 2
}

// placementScore returns the cost of placing a request on an instance: its load after the placement and the part of all tasks in
// its failure domain, with penalties for failures of the request in that domain, for a deprioritized instance and for recent
// failures of the instance.
func (d *Dispatcher) placementScore(r *instanceRecord, needs fleet.Resources, w *waitingRequest) float64 {
	load := r.used.Add(needs).DominantShare(r.view.Instance.Capacity)
	rack := float64(d.tasksByDomain[r.view.Instance.FailureDomain()]) / float64(len(d.tasks)+1)
	score := load + rackSpreadWeight*rack
	for _, avoided := range w.request.Avoid {
		other, ok := d.instances.Get(avoided)
		if ok && other.view.Instance.FailureDomain() == r.view.Instance.FailureDomain() {
			score++
		}
	}
	if r.view.Deprioritized {
		score += deprioritizedPenalty
	}
	return score + float64(r.health.consecutiveFailures)
}

// startTask moves a waiting request to an instance and counts it as running.
func (d *Dispatcher) startTask(now time.Duration, c *customer, w *waitingRequest, r *instanceRecord) {
	d.dequeue(w)
	c.consecutiveUrgent++
	if !w.queue.urgent {
		c.consecutiveUrgent = 0
	}
	c.placementRate.add(now, 1)
	d.addTask(&task{
		request: w.request, instance: r.view.Instance.ID, started: now, lastConfirmed: now, needs: d.needs(w.request.Queue),
	})
	d.emit(Decision{
		Kind: Placed, Request: w.request, Instance: r.view.Instance.ID, Address: r.view.Instance.Address, Waited: now - w.arrived,
		Reason: fmt.Sprintf("customer score %.3f, instance runs %d tasks on %d slots", c.weightedUse(), r.tasks, r.view.Instance.Capacity.Slots),
	})
}

// addTask counts a task for its customer, instance and failure domain.
func (d *Dispatcher) addTask(x *task) {
	d.tasks[x.request.Attempt] = x
	c := d.customer(x.request.Customer)
	c.running++
	c.allocated = c.allocated.Add(x.needs)
	c.dominantUse = c.allocated.DominantShare(d.totalCapacity)
	d.busySlots += x.needs.Slots
	if r, ok := d.instances.Get(x.instance); ok {
		r.used = r.used.Add(x.needs)
		r.tasks++
		d.tasksByDomain[r.view.Instance.FailureDomain()]++
	}
}

// removeTask is the reverse of addTask.
func (d *Dispatcher) removeTask(x *task) {
	delete(d.tasks, x.request.Attempt)
	c := d.customer(x.request.Customer)
	c.running--
	c.allocated = c.allocated.Sub(x.needs)
	if c.running == 0 {
		c.allocated = fleet.Resources{}
	}
	c.dominantUse = c.allocated.DominantShare(d.totalCapacity)
	d.busySlots -= x.needs.Slots
	if r, ok := d.instances.Get(x.instance); ok {
		r.used = r.used.Sub(x.needs)
		r.tasks--
		d.tasksByDomain[r.view.Instance.FailureDomain()]--
	}
}
