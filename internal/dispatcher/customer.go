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

// Parameters of the order among customers and of admission.
const (
	averageSpan     = 4 * time.Second
	averageWeight   = 1.0
	batchEvery      = 8
	batchPatience   = 5 * time.Second
	rateSpan        = 5 * time.Second
	admitFloor      = 256
	admitSlack      = 1.5
	minimumRate     = 0.05
	pressUrgentWait = time.Second
)

// item is one waiting request.
type item struct {
	request  Request
	arrived  time.Duration
	sequence uint64
	lane     *lane
	gone     bool
	// startBy is when the request is refused if it still waits.
	startBy time.Duration
}

// lane is the waiting line of one customer at one queue.
type lane struct {
	queue  fleet.QueueID
	urgent bool
	items  []*item
}

// head returns the first item that still waits.
func (l *lane) head() *item {
	for len(l.items) > 0 && l.items[0].gone {
		l.items[0] = nil
		l.items = l.items[1:]
	}
	if len(l.items) == 0 {
		return nil
	}
	return l.items[0]
}

// customer is what the dispatcher knows of one customer.
type customer struct {
	id            fleet.CustomerID
	share         float64
	permit        int
	running       int
	waiting       int
	urgentWaiting int
	held          fleet.Resources
	use           float64
	average       float64
	averagedAt    time.Duration
	streak        int
	lanes         []*lane
	placed        rate
	urgent        rate
}

func newCustomer(id fleet.CustomerID) *customer { return &customer{id: id, share: 1} }

func (t *customer) lane(queue fleet.QueueID, urgent bool) *lane {
	i := slices.IndexFunc(t.lanes, func(l *lane) bool { return l.queue == queue })
	if i < 0 {
		t.lanes = append(t.lanes, &lane{queue: queue, urgent: urgent})
		return t.lanes[len(t.lanes)-1]
	}
	t.lanes[i].urgent = urgent
	return t.lanes[i]
}

// settle brings the smoothed use up to clock now.
func (t *customer) settle(now time.Duration) {
	if now <= t.averagedAt {
		return
	}
	keep := math.Exp(-float64(now-t.averagedAt) / float64(averageSpan))
	t.average = t.average*keep + t.use*(1-keep)
	t.averagedAt = now
}

// score orders customers: the one that had the least of its share goes first.
func (t *customer) score() float64 {
	return (t.use + averageWeight*t.average) / t.share
}

// heads returns the lane heads in the order they are to be tried.
func (t *customer) heads(now time.Duration) []*item {
	heads := make([]*item, 0, len(t.lanes))
	for _, l := range t.lanes {
		if h := l.head(); h != nil {
			heads = append(heads, h)
		}
	}
	batchFirst := t.streak >= batchEvery && slices.ContainsFunc(heads, func(h *item) bool {
		return !h.lane.urgent && now-h.arrived > batchPatience
	})
	slices.SortFunc(heads, func(a, b *item) int {
		if a.lane.urgent != b.lane.urgent {
			if a.lane.urgent != batchFirst {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
	return heads
}

// rate is an exponentially smoothed number of events per second.
type rate struct {
	value float64
	at    time.Duration
}

func (r *rate) add(now time.Duration, n float64) {
	r.decay(now)
	r.value += n / rateSpan.Seconds()
}

func (r *rate) decay(now time.Duration) {
	if now > r.at {
		r.value *= math.Exp(-float64(now-r.at) / float64(rateSpan))
		r.at = now
	}
}

func (r *rate) per(now time.Duration) float64 {
	r.decay(now)
	return r.value
}

// deadlineHeap orders waiting items by their deadlines.
type deadlineHeap []*item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].startBy < h[j].startBy }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)        { *h = append(*h, x.(*item)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// Ask queues a request, or refuses it at once with the cause.
func (d *Dispatcher) Ask(now time.Duration, q Request) {
	if _, doubled := d.waiting[q.ID]; doubled {
		return
	}
	d.entries[q.Entry] = max(d.entries[q.Entry], now)
	t := d.customer(q.Customer)
	if cause := d.admit(now, t, q); cause != CauseNone {
		d.refuse(q, cause, 0)
		return
	}
	queue := d.queues[q.Queue]
	d.sequence++
	l := t.lane(q.Queue, queue.Urgent)
	w := &item{request: q, arrived: now, sequence: d.sequence, lane: l, startBy: d.startBy(now, q)}
	l.items = append(l.items, w)
	d.waiting[q.ID] = w
	t.waiting++
	if queue.Urgent {
		t.urgentWaiting++
		t.urgent.add(now, 1)
	}
	heap.Push(&d.deadlines, w)
}

// admit returns why a request cannot start in time, or no cause.
func (d *Dispatcher) admit(now time.Duration, t *customer, q Request) Cause {
	queue, ok := d.queues[q.Queue]
	if !ok {
		return CauseUnknownQueue
	}
	if now >= q.Deadline {
		return CauseDeadline
	}
	if d.rows.Len() > 0 && d.neverFits(queue.Name) {
		return CauseNeverFits
	}
	if len(d.waiting) >= MaxWaiting {
		return CauseFull
	}
	if t.permit == 0 && t.waiting >= admitFloor {
		return CauseLimit
	}
	ahead := t.waiting
	if queue.Urgent {
		ahead = t.urgentWaiting
	}
	if ahead < max(admitFloor, d.ready.Slots) {
		return CauseNone
	}
	expected := float64(ahead) / max(t.placed.per(now), minimumRate)
	if expected > admitSlack*(d.startBy(now, q)-now).Seconds() {
		if t.running >= t.permit {
			return CauseLimit
		}
		return CauseFull
	}
	return CauseNone
}

// startBy returns when a request must have started: urgent work soon, all work before its deadline.
func (d *Dispatcher) startBy(now time.Duration, q Request) time.Duration {
	if d.queues[q.Queue].Urgent && !d.fifo {
		return min(q.Deadline, now+urgentStart-ownerTick)
	}
	return q.Deadline
}

func (d *Dispatcher) refuse(q Request, cause Cause, waited time.Duration) {
	d.decide(Decision{Code: Refused, Request: q, Cause: cause, Reason: cause.String(), Waited: waited})
}

// Cancel drops a waiting request; it reports false when the request no longer waits.
func (d *Dispatcher) Cancel(id fleet.RequestID) bool {
	w, ok := d.waiting[id]
	if ok {
		d.leave(w)
	}
	return ok
}

// leave takes an item out of the line; the line skips it later.
func (d *Dispatcher) leave(w *item) {
	w.gone = true
	delete(d.waiting, w.request.ID)
	t := d.customer(w.request.Customer)
	t.waiting--
	if w.lane.urgent {
		t.urgentWaiting--
	}
}

// expire refuses waiting requests whose time ran out or whose entry fell silent.
func (d *Dispatcher) expire(now time.Duration) {
	for len(d.deadlines) > 0 && (d.deadlines[0].gone || d.deadlines[0].startBy <= now) {
		w := heap.Pop(&d.deadlines).(*item)
		if w.gone {
			continue
		}
		cause := CauseDeadline
		if now < w.request.Deadline {
			cause = CauseFull
		}
		if t := d.customer(w.request.Customer); t.running >= t.permit {
			cause = CauseLimit
		}
		d.leave(w)
		d.refuse(w.request, cause, now-w.arrived)
	}
	for _, entry := range slices.Sorted(maps.Keys(d.entries)) {
		if now-d.entries[entry] > entrySilentAfter {
			delete(d.entries, entry)
			d.dropEntry(entry)
		}
	}
}

func (d *Dispatcher) dropEntry(entry fleet.EntryID) {
	var dropped []*item
	for _, w := range d.waiting {
		if w.request.Entry == entry {
			dropped = append(dropped, w)
		}
	}
	slices.SortFunc(dropped, func(a, b *item) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, w := range dropped {
		d.leave(w)
		d.refuse(w.request, CauseEntryGone, 0)
	}
}
