// Package collector collects announcements of instances at a keeper and passes them to the leader in batches.
package collector

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindNotDelivered is the kind of an announcement that has not reached the leader in time.
	KindNotDelivered Kind = iota + 1
	// KindNoRoom is the kind of an announcement that the collector has no room for.
	KindNoRoom
)

// Error returns the description of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "announcement was not delivered", "too many announcements are held"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Limits and timing of batches.
const (
	window          = 20 * time.Millisecond  // 2,000 first announcements a second at nine keepers are 4 or 5 in a window
	deliveryTimeout = 2 * time.Second        // an election takes up to two seconds
	failurePause    = 100 * time.Millisecond // a heartbeat interval
	// retention is how long an announcement is worth passing on, and how long the collector knows what it has collected: two intervals
	// in which instances announce themselves.
	retention = 3 * time.Second
)

// Deliver passes announcements to the leader; it may be called again with the same ones after an error.
type Deliver func(ctx context.Context, batch []workload.Instance) error

// Options are the dependencies and settings of a collector.
type Options struct {
	Deliver Deliver
	// MaxBatch bounds the announcements of one batch.
	MaxBatch int
	// Room is the share of the memory that announcements may take; without it they are not charged.
	Room    *budgeter.Share
	Clock   func() time.Duration
	Logger  *zap.Logger
	Metrics metrics.Registry
}

// Collector keeps the latest announcement of each instance until it is delivered. One batch is in flight at a time.
type Collector struct {
	options    Options
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	wake       chan struct{}
	collected  metrics.Counter
	batches    metrics.Counter
	expired    metrics.Counter
	waiting    metrics.Gauge
	prunedAt   time.Duration // accessed only by run

	mutex   sync.Mutex
	pending map[fleet.InstanceID]*announcement
	// order holds the ids of the pending announcements, the first collected first, and ids whose announcement was forgotten.
	order []fleet.InstanceID
	// inFlight holds the announcements of the batch that is being delivered.
	inFlight map[fleet.InstanceID]*announcement
	// acknowledged holds the last announcement of each instance that was acknowledged here.
	acknowledged map[fleet.InstanceID]*announcement
	// lease is charged for each announcement that is kept. What is dropped is given back at the next prune.
	lease *budgeter.Lease
}

// announcement is a collected announcement; delivered is closed once the leader has it or a later one.
type announcement struct {
	instance  workload.Instance
	at        time.Duration
	delivered chan struct{}
	// replaced are earlier announcements of the instance that were lost with their batches within the retention.
	replaced []*announcement
}

func (a *announcement) markDelivered() {
	close(a.delivered)
	for _, earlier := range a.replaced {
		close(earlier.delivered)
	}
}

// Start starts a collector, which delivers announcements until Close.
func Start(o Options) *Collector {
	c := &Collector{
		options: o, wake: make(chan struct{}, 1), pending: map[fleet.InstanceID]*announcement{}, acknowledged: map[fleet.InstanceID]*announcement{},
		collected: metrics.GetOrRegisterCounter("announcements-collected", o.Metrics), batches: metrics.GetOrRegisterCounter("announcement-batches", o.Metrics),
		expired: metrics.GetOrRegisterCounter("announcements-expired", o.Metrics), waiting: metrics.GetOrRegisterGauge("announcements-waiting", o.Metrics),
	}
	if o.Room != nil {
		c.lease = o.Room.Take(0)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.goroutines.Go(c.run)
	return c
}

// Close stops the delivery and waits for it.
func (c *Collector) Close() error {
	c.cancel()
	c.goroutines.Wait()
	c.lease.Close()
	return nil
}

// Add collects an announcement that the caller acknowledges, in place of an earlier one of the instance. After an error it is not collected.
func (c *Collector) Add(in *workload.Instance) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	a, err := c.add(in)
	if err == nil {
		c.acknowledged[in.ID] = a
	}
	return err
}

// announcementBytes are those of an announcement besides its texts.
const announcementBytes = budgeter.KiB

func bytesOf(in *workload.Instance) budgeter.Bytes {
	texts := len(in.ID) + len(in.Pool) + len(in.Address) + len(in.DataCentre) + len(in.Machine) + len(in.Rack)
	for _, l := range in.Labels {
		texts += len(l) + 16 // and its string header
	}
	return announcementBytes + budgeter.Bytes(texts)
}

func (c *Collector) add(in *workload.Instance) (*announcement, error) {
	if err := c.lease.Grow(bytesOf(in)); err != nil {
		return nil, &Error{Op: "announce", Kind: KindNoRoom, Err: err}
	}
	a := &announcement{instance: *in, at: c.options.Clock(), delivered: make(chan struct{})}
	if earlier := c.pending[in.ID]; earlier != nil {
		if !earlier.precedes(in) {
			return earlier, nil
		}
		a.delivered, a.replaced = earlier.delivered, earlier.replaced
	} else {
		c.order = append(c.order, in.ID)
	}
	c.pending[in.ID] = a
	c.collected.Inc(1)
	c.waiting.Update(int64(len(c.pending)))
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return a, nil
}

// precedes reports whether the announcement was made before another one of its instance, or is the same one sent again.
func (a *announcement) precedes(later *workload.Instance) bool {
	if a.instance.Boot != later.Boot {
		return a.instance.Boot < later.Boot
	}
	return a.instance.Sequence <= later.Sequence
}

// AddAndWait collects an announcement and waits until it is delivered or ctx ends.
func (c *Collector) AddAndWait(ctx context.Context, in *workload.Instance) error {
	c.mutex.Lock()
	a, err := c.add(in)
	c.mutex.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-a.delivered:
		c.Acknowledge(in)
		return nil
	case <-ctx.Done():
		return fault.New("announce", KindNotDelivered, "%w", ctx.Err())
	case <-c.ctx.Done():
		return fault.New("announce", KindNotDelivered, "%w", c.ctx.Err())
	}
}

// Acknowledge records an announcement that the caller acknowledges and that need not be delivered. Without room the record is left out: the next
// announcement is then handled as one that does not repeat it.
func (c *Collector) Acknowledge(in *workload.Instance) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lease.Grow(bytesOf(in)) != nil {
		delete(c.acknowledged, in.ID)
		return
	}
	c.acknowledged[in.ID] = &announcement{instance: *in, at: c.options.Clock()}
}

// Forget drops the announcements of an instance that says now that it leaves, but not those of a later boot. A zero boot matches any boot.
func (c *Collector) Forget(leaving *workload.Instance) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, list := range []map[fleet.InstanceID]*announcement{c.pending, c.inFlight, c.acknowledged} {
		if a := list[leaving.ID]; a != nil && (leaving.Boot == 0 || a.instance.Boot <= leaving.Boot) {
			delete(list, leaving.ID)
		}
	}
}

// Repeats reports whether the announcement says the same as the one before it, which was acknowledged here within the retention.
func (c *Collector) Repeats(in *workload.Instance) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	a := c.acknowledged[in.ID]
	return a != nil && c.options.Clock()-a.at <= retention && in.Sequence <= a.instance.Sequence+1 && a.instance.SaysSame(in)
}

func (c *Collector) run() {
	ticker := time.NewTicker(retention)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		case <-c.wake:
		}
		c.pruneWhenDue()
		for c.sleep(window) && c.deliver() {
			c.pruneWhenDue() // announcements may come without a pause
		}
	}
}

// sleep waits for d and reports whether the collector still runs.
func (c *Collector) sleep(d time.Duration) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// deliver delivers one batch and reports whether there may be more announcements.
func (c *Collector) deliver() bool {
	batch := c.take()
	if len(batch) == 0 {
		return false
	}
	list := make([]workload.Instance, len(batch))
	for i, a := range batch {
		list[i] = a.instance
	}
	ctx, cancel := context.WithTimeout(c.ctx, deliveryTimeout)
	defer cancel()
	c.batches.Inc(1)
	if err := c.options.Deliver(ctx, list); err != nil {
		if c.ctx.Err() == nil {
			event.AnnouncementsDelayed.Info(c.options.Logger, zap.Int("announcements", len(batch)), zap.NamedError("reason", err))
		}
		c.putBack(batch)
		return c.sleep(failurePause)
	}
	for _, a := range batch {
		a.markDelivered()
	}
	return true
}

// take removes up to MaxBatch announcements, the first collected first, and drops those that are past the retention.
func (c *Collector) take() []*announcement {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	oldest := c.options.Clock() - retention
	var batch []*announcement
	c.inFlight = map[fleet.InstanceID]*announcement{}
	n := 0
	for ; n < len(c.order) && len(batch) < c.options.MaxBatch; n++ {
		id := c.order[n]
		a := c.pending[id]
		delete(c.pending, id)
		switch {
		case a == nil:
		case a.at < oldest:
			c.expired.Inc(1)
		default:
			c.inFlight[id] = a
			batch = append(batch, a)
		}
	}
	c.order = c.order[n:]
	c.waiting.Update(int64(len(c.pending)))
	return batch
}

// pruneWhenDue prunes unless that was done within the retention.
func (c *Collector) pruneWhenDue() {
	if now := c.options.Clock(); now-c.prunedAt >= retention {
		c.prunedAt = now
		c.prune()
	}
}

// prune drops what was acknowledged before the retention, and gives back the room of all that was dropped.
func (c *Collector) prune() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	oldest := c.options.Clock() - retention
	for id, a := range c.acknowledged {
		if a.at < oldest {
			delete(c.acknowledged, id)
		}
	}
	kept := budgeter.Bytes(0)
	for _, list := range []map[fleet.InstanceID]*announcement{c.pending, c.inFlight, c.acknowledged} {
		for _, a := range list {
			kept += bytesOf(&a.instance)
		}
	}
	c.lease.ShrinkTo(kept)
}

// putBack keeps the announcements of a batch that was not delivered, unless the instances have announced themselves again or leave.
func (c *Collector) putBack(batch []*announcement) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	oldest := c.options.Clock() - retention
	for _, a := range batch {
		id := a.instance.ID
		switch later := c.pending[id]; {
		case c.inFlight[id] != a:
		case later != nil:
			later.replaced = slices.DeleteFunc(append(append(later.replaced, a), a.replaced...), func(x *announcement) bool { return x.at < oldest })
			a.replaced = nil
		default:
			c.pending[id] = a
			c.order = append(c.order, id)
		}
	}
	c.waiting.Update(int64(len(c.pending)))
}
