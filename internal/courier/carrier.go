package courier

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// CarrierOptions are the dependencies of a carrier.
type CarrierOptions struct {
	Transport  Transport
	Instances  Exchanger
	DataCentre fleet.DataCentreID
	// Term returns the latest term that this process knows; the permissions of earlier terms are void.
	Term func() uint64
	// Clock returns the time since boot, including suspended time.
	Clock   func() time.Duration
	Metrics metrics.Registry
}

// Carrier sends the exchanges of a leader in another process to instances.
type Carrier struct {
	options     CarrierOptions
	incarnation uint64
	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	carried     metrics.Counter
	refused     metrics.Counter

	mutex       sync.Mutex
	closed      bool
	highestTerm uint64
	replies     map[fleet.EntryID]*reply
}

// reply collects the results for a leader until they are sent.
type reply struct {
	acknowledged uint64
	results      []result
	scheduled    bool
}

// StartCarrier starts to carry exchanges until Close.
func StartCarrier(o CarrierOptions) *Carrier {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Carrier{
		options: o, incarnation: rand.Uint64(), ctx: ctx, cancel: cancel, replies: map[fleet.EntryID]*reply{},
		carried: metrics.GetOrRegisterCounter("exchanges-carried", o.Metrics), refused: metrics.GetOrRegisterCounter("exchanges-not-permitted", o.Metrics),
	}
	o.Transport.Handle(topicBatch, c.handleBatch)
	o.Transport.Handle(topicClock, c.handleClock)
	return c
}

// Close ends the exchanges under way and waits for them.
func (c *Carrier) Close() error {
	c.cancel()
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.goroutines.Wait()
	return nil
}

// spawn starts a goroutine that Close waits for; after Close it starts none.
func (c *Carrier) spawn(run func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closed {
		c.goroutines.Go(run)
	}
}

func (c *Carrier) handleClock(context.Context, fleet.EntryID, []byte) (any, error) {
	return introduction{Clock: c.readClock(), DataCentre: c.options.DataCentre}, nil
}

func (c *Carrier) readClock() clockReading {
	return clockReading{Incarnation: c.incarnation, Now: c.options.Clock()}
}

func (c *Carrier) handleBatch(_ context.Context, from fleet.EntryID, payload []byte) (any, error) {
	var b batch
	if err := messenger.Codec.Decode(payload, &b); err != nil {
		return nil, err
	}
	c.mutex.Lock()
	c.highestTerm = max(c.highestTerm, b.Permission.Term)
	c.mutex.Unlock()
	c.answer(from, b.Number, nil)
	for _, e := range b.Exchanges {
		c.spawn(func() { c.answer(from, b.Number, c.carry(b.Permission, e)) })
	}
	return nil, nil
}

// permitted reports whether an exchange may be sent now. It is asked right before each one is sent: this process may have been
// suspended since the batch arrived, another leader may have been elected, or the permission may be for an earlier start of it.
func (c *Carrier) permitted(p permission) bool {
	c.mutex.Lock()
	latest := c.highestTerm
	c.mutex.Unlock()
	return p.Incarnation == c.incarnation && p.Term >= max(latest, c.options.Term()) && c.options.Clock() < p.Until
}

// carry sends an exchange and returns its result.
func (c *Carrier) carry(p permission, e exchange) *result {
	r := &result{ID: e.ID, Outcome: scheduler.Unsent}
	if !c.permitted(p) {
		c.refused.Inc(1)
		r.Failure = KindNotPermitted.Error()
		return r
	}
	c.carried.Inc(1)
	var err error
	switch {
	case e.Order != nil:
		r.Outcome, err = c.options.Instances.Order(c.ctx, *e.Order)
	case e.Poll != nil:
		var report scheduler.StatusReport
		report, r.Outcome, err = c.options.Instances.Poll(c.ctx, *e.Poll)
		if r.Outcome == scheduler.Accepted {
			r.Report = &report
		}
	}
	if err != nil {
		r.Failure = err.Error()
	}
	return r
}

// answer adds a result, or only the acknowledgement of a batch, to the next message to the leader.
func (c *Carrier) answer(leader fleet.EntryID, number uint64, r *result) {
	c.mutex.Lock()
	next := c.replies[leader]
	if next == nil {
		next = &reply{}
		c.replies[leader] = next
	}
	next.acknowledged = max(next.acknowledged, number)
	if r != nil {
		next.results = append(next.results, *r)
	}
	scheduled := next.scheduled
	next.scheduled = true
	c.mutex.Unlock()
	if !scheduled {
		time.AfterFunc(batchDelay, func() { c.flush(leader) })
	}
}

func (c *Carrier) flush(leader fleet.EntryID) {
	c.mutex.Lock()
	next := c.replies[leader]
	delete(c.replies, leader)
	closed := c.closed
	c.mutex.Unlock()
	if next != nil && !closed {
		c.options.Transport.Send(leader, topicResults, results{Clock: c.readClock(), Acknowledged: next.acknowledged, Results: next.results})
	}
}
