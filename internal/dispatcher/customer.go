package dispatcher

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Parameters of fair sharing among customers and of admission control.
const (
	averageTimeConstant = 4 * time.Second
	averageUseWeight    = 1.0
	// maxConsecutiveUrgent is the number of urgent placements of a customer after which a batch request that has waited
	// batchWaitLimit goes first.
	maxConsecutiveUrgent = 8
	batchWaitLimit       = 5 * time.Second
	rateTimeConstant     = 5 * time.Second
	// minAdmitted is the minimum number of waiting requests per customer that are admitted without checking the expected wait.
	minAdmitted = 256
	// admitWaitFactor is the ratio of the expected wait to the time left above which a request is refused.
	admitWaitFactor = 1.5
	// minPlacementRate is in tasks per second.
	minPlacementRate = 0.05
	urgentWaitLimit  = time.Second
)

// waitingRequest is one request in a queue.
type waitingRequest struct {
	request  Request
	arrived  time.Duration
	sequence uint64
	queue    *customerQueue
	removed  bool
	// startBy is the clock value at which the request is refused if it still waits.
	startBy time.Duration
}

// customerQueue holds the waiting requests of one customer in one configured queue, in order of arrival.
type customerQueue struct {
	id     fleet.QueueID
	urgent bool
	items  []*waitingRequest
}

// head returns the first request that still waits, or nil; it discards removed requests.
func (q *customerQueue) head() *waitingRequest {
	for len(q.items) > 0 && q.items[0].removed {
		q.items[0] = nil
		q.items = q.items[1:]
	}
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// customer is the scheduling state of one customer in the pool.
type customer struct {
	id                fleet.CustomerID
	share             float64
	permit            int
	running           int
	waiting           int
	urgentWaiting     int
	allocated         fleet.Resources
	dominantUse       float64
	averageUse        float64
	averagedAt        time.Duration
	consecutiveUrgent int
	queues            []*customerQueue
	placementRate     rate
	urgentRate        rate
}

func newCustomer(id fleet.CustomerID) *customer { return &customer{id: id, share: 1} }

func (c *customer) queueFor(queue fleet.QueueID, urgent bool) *customerQueue {
	i := slices.IndexFunc(c.queues, func(q *customerQueue) bool { return q.id == queue })
	if i < 0 {
		c.queues = append(c.queues, &customerQueue{id: queue, urgent: urgent})
		return c.queues[len(c.queues)-1]
	}
	c.queues[i].urgent = urgent
	return c.queues[i]
}

// updateAverage advances the exponential average of the dominant use to clock now.
func (c *customer) updateAverage(now time.Duration) {
	if now <= c.averagedAt {
		return
	}
	decay := math.Exp(-float64(now-c.averagedAt) / float64(averageTimeConstant))
	c.averageUse = c.averageUse*decay + c.dominantUse*(1-decay)
	c.averagedAt = now
}

// weightedUse returns the current and average use relative to the share; the customer with the lowest value goes first.
func (c *customer) weightedUse() float64 {
	return (c.dominantUse + averageUseWeight*c.averageUse) / c.share
}

// heads returns the first request of each queue of the customer in the order in which placement tries them.
func (c *customer) heads(now time.Duration) []*waitingRequest {
	heads := make([]*waitingRequest, 0, len(c.queues))
	for _, q := range c.queues {
		if h := q.head(); h != nil {
			heads = append(heads, h)
		}
	}
	batchFirst := c.consecutiveUrgent >= maxConsecutiveUrgent && slices.ContainsFunc(heads, func(h *waitingRequest) bool {
		return !h.queue.urgent && now-h.arrived > batchWaitLimit
	})
	slices.SortFunc(heads, func(a, b *waitingRequest) int {
		if a.queue.urgent != b.queue.urgent {
			if a.queue.urgent != batchFirst {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
	return heads
}

// rate is an exponentially smoothed event rate per second.
type rate struct {
	value float64
	at    time.Duration
}

func (r *rate) add(now time.Duration, n float64) {
	r.decay(now)
	r.value += n / rateTimeConstant.Seconds()
}

func (r *rate) decay(now time.Duration) {
	if now > r.at {
		r.value *= math.Exp(-float64(now-r.at) / float64(rateTimeConstant))
		r.at = now
	}
}

func (r *rate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return r.value
}

// deadlineHeap is a heap of waiting requests by startBy.
type deadlineHeap []*waitingRequest

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].startBy < h[j].startBy }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)        { *h = append(*h, x.(*waitingRequest)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// Submit queues a request, or refuses it immediately with a cause; a request that already waits is ignored.
func (d *Dispatcher) Submit(now time.Duration, q Request) {
	if _, duplicate := d.waiting[q.ID]; duplicate {
		return
	}
	d.entryLastSeen[q.Entry] = max(d.entryLastSeen[q.Entry], now)
	c := d.customer(q.Customer)
	if cause := d.admit(now, c, q); cause != CauseNone {
		d.refuse(q, cause, 0)
		return
	}
	queue := d.queues[q.Queue]
	d.sequence++
	cq := c.queueFor(q.Queue, queue.Urgent)
	w := &waitingRequest{request: q, arrived: now, sequence: d.sequence, queue: cq, startBy: d.startBy(now, q)}
	cq.items = append(cq.items, w)
	d.waiting[q.ID] = w
	c.waiting++
	if queue.Urgent {
		c.urgentWaiting++
		c.urgentRate.add(now, 1)
	}
	heap.Push(&d.deadlines, w)
}

// admit returns the cause for which a request can't start in time, or CauseNone.
func (d *Dispatcher) admit(now time.Duration, c *customer, q Request) Cause {
	queue, ok := d.queues[q.Queue]
	if !ok {
		return CauseUnknownQueue
	}
	if now >= q.Deadline {
		return CauseDeadline
	}
	if d.instances.Len() > 0 && d.neverFits(queue.Name) {
		return CauseNeverFits
	}
	if len(d.waiting) >= MaxWaiting {
		return CauseQueueFull
	}
	if c.permit == 0 && c.waiting >= minAdmitted {
		return CauseCustomerLimit
	}
	ahead := c.waiting
	if queue.Urgent {
		ahead = c.urgentWaiting
	}
	if ahead < max(minAdmitted, d.readyCapacity.Slots) {
		return CauseNone
	}
	expected := float64(ahead) / max(c.placementRate.perSecond(now), minPlacementRate)
	if expected > admitWaitFactor*(d.startBy(now, q)-now).Seconds() {
		if c.running >= c.permit {
			return CauseCustomerLimit
		}
		return CauseQueueFull
	}
	return CauseNone
}

// startBy returns the latest start of a request: its deadline, and for urgent requests at most urgentStartLimit from now, less
// one tick of the owner.
func (d *Dispatcher) startBy(now time.Duration, q Request) time.Duration {
	if d.queues[q.Queue].Urgent && !d.fifo {
		return min(q.Deadline, now+urgentStartLimit-ownerTickInterval)
	}
	return q.Deadline
}

func (d *Dispatcher) refuse(q Request, cause Cause, waited time.Duration) {
	d.emit(Decision{Kind: Refused, Request: q, Cause: cause, Reason: cause.String() + d.describeDrain(), Waited: waited})
}

// Cancel removes a waiting request; it returns false if the request isn't waiting.
func (d *Dispatcher) Cancel(id fleet.RequestID) bool {
	w, ok := d.waiting[id]
	if ok {
		d.dequeue(w)
	}
	return ok
}

// dequeue marks a request as removed and stops counting it; head and expire discard it later.
func (d *Dispatcher) dequeue(w *waitingRequest) {
	w.removed = true
	delete(d.waiting, w.request.ID)
	c := d.customer(w.request.Customer)
	c.waiting--
	if w.queue.urgent {
		c.urgentWaiting--
	}
}

// expire refuses waiting requests that have passed startBy or whose entry has timed out.
func (d *Dispatcher) expire(now time.Duration) {
	for len(d.deadlines) > 0 && (d.deadlines[0].removed || d.deadlines[0].startBy <= now) {
		w := heap.Pop(&d.deadlines).(*waitingRequest)
		if w.removed {
			continue
		}
		cause := CauseDeadline
		if now < w.request.Deadline {
			cause = CauseQueueFull
		}
		if c := d.customer(w.request.Customer); c.running >= c.permit {
			cause = CauseCustomerLimit
		}
		d.dequeue(w)
		d.refuse(w.request, cause, now-w.arrived)
	}
	for _, entry := range slices.Sorted(maps.Keys(d.entryLastSeen)) {
		if now-d.entryLastSeen[entry] > entryTimeout {
			delete(d.entryLastSeen, entry)
			d.dropEntry(entry)
		}
	}
}

func (d *Dispatcher) dropEntry(entry fleet.EntryID) {
	var dropped []*waitingRequest
	for _, w := range d.waiting {
		if w.request.Entry == entry {
			dropped = append(dropped, w)
		}
	}
	slices.SortFunc(dropped, func(a, b *waitingRequest) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, w := range dropped {
		d.dequeue(w)
		d.refuse(w.request, CauseEntryGone, 0)
	}
}
