package courier

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// Limits of the share of work that carriers get.
const (
	directInstances     = 96  // a leader serves as many by itself at a fifth of a small core
	instancesPerCarrier = 128 // fewer and fuller batches than with all that could carry
	sweepInterval       = 100 * time.Millisecond
	routeRetention      = 5 * time.Second // of an instance without exchanges; long polls take 2 s
)

// DispatcherOptions are the dependencies of a dispatcher.
type DispatcherOptions struct {
	Transport Transport
	// Direct sends exchanges from this process.
	Direct Exchanger
	// Leads returns the term that this process leads under a valid lease.
	Leads func() (term uint64, ok bool)
	// LeaseLeft returns the remaining time of the leader lease.
	LeaseLeft func() time.Duration
	// Carriers returns the processes that may carry exchanges, in a lasting order.
	Carriers func() []fleet.EntryID
	// Clock returns the time since boot, including suspended time.
	Clock  func() time.Duration
	Logger *zap.Logger
}

// Dispatcher sends the exchanges of the leader: by itself in a small fleet, through carriers in a large one. One process at a time writes
// to an instance: another takes over once no exchange with it is under way, or once the permission of the one before has run out.
type Dispatcher struct {
	options    DispatcherOptions
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mutex sync.Mutex
	// lastID begins at random: results for an earlier process of this entry may still arrive.
	lastID uint64
	links  map[fleet.EntryID]*link
	routes map[fleet.InstanceID]*route
	// carriers are the processes that may carry exchanges, and active the links that share the instances, in a lasting order.
	carriers []fleet.EntryID
	active   []*link
}

// route is who writes to an instance.
type route struct {
	link *link // nil for this process
	// dataCentre is where the instance is, once it was polled.
	dataCentre fleet.DataCentreID
	underWay   int
	usedAt     time.Duration
	// blockedUntil is when the permission of a carrier that was lost has run out.
	blockedUntil time.Duration
}

// StartDispatcher starts a dispatcher, which runs until Close.
func StartDispatcher(o DispatcherOptions) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{options: o, ctx: ctx, cancel: cancel, lastID: rand.Uint64(), links: map[fleet.EntryID]*link{}, routes: map[fleet.InstanceID]*route{}}
	o.Transport.Handle(topicResults, d.handleResults)
	d.goroutines.Go(d.sweepLoop)
	return d
}

// Close fails the exchanges under way and waits for the goroutines.
func (d *Dispatcher) Close() error {
	d.cancel()
	d.goroutines.Wait()
	return nil
}

// Order sends an order to its instance.
func (d *Dispatcher) Order(ctx context.Context, o scheduler.Order) (scheduler.Outcome, error) {
	l, release, err := d.route(ctx, o.Instance, "")
	if err != nil {
		return scheduler.Unsent, err
	}
	defer release()
	if l == nil {
		if !d.leads(o.Fence) {
			return scheduler.Unsent, &Error{Op: "send", Kind: KindNotPermitted}
		}
		return d.options.Direct.Order(ctx, o)
	}
	r := d.exchange(ctx, l, exchange{Order: &o}, 2*o.Timeout) // the carrier may have to probe the instance first
	return r.Outcome, r.err()
}

// Poll requests the status report of an instance.
func (d *Dispatcher) Poll(ctx context.Context, request scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	l, release, err := d.route(ctx, request.Instance, request.DataCentre)
	if err != nil {
		return scheduler.StatusReport{}, scheduler.Unsent, err
	}
	defer release()
	if l == nil {
		if !d.leads(request.Fence) {
			return scheduler.StatusReport{}, scheduler.Unsent, &Error{Op: "send", Kind: KindNotPermitted}
		}
		return d.options.Direct.Poll(ctx, request)
	}
	r := d.exchange(ctx, l, exchange{Poll: &request}, request.Timeout)
	if r.Report == nil {
		return scheduler.StatusReport{}, r.Outcome, r.err()
	}
	return *r.Report, r.Outcome, r.err()
}

// leads reports whether this process leads the term of a fence under a valid lease, after it may have waited for a carrier.
func (d *Dispatcher) leads(fence uint64) bool {
	term, ok := d.options.Leads()
	return ok && term == fence
}

func (r result) err() error {
	if r.Failure == "" {
		return nil
	}
	return errors.New(r.Failure)
}

// route returns the link that writes to an instance, or nil for this process, and counts an exchange until release is called. It waits
// until a carrier that was lost can no longer send. dataCentre is that of the instance, or empty if it is not known here.
func (d *Dispatcher) route(ctx context.Context, id fleet.InstanceID, dataCentre fleet.DataCentreID) (l *link, release func(), err error) {
	for {
		d.mutex.Lock()
		now := d.options.Clock()
		r := d.routes[id]
		if r == nil {
			r = &route{}
			d.routes[id] = r
		}
		if dataCentre != "" {
			r.dataCentre = dataCentre
		}
		wait := r.blockedUntil - now
		if wait <= 0 {
			if r.underWay == 0 {
				r.link = d.chooseLink(id, r.dataCentre)
			}
			r.underWay++
			r.usedAt = now
			l = r.link
			d.mutex.Unlock()
			return l, func() { d.release(r) }, nil
		}
		d.mutex.Unlock()
		select {
		case <-ctx.Done():
			return nil, nil, &Error{Op: "send", Kind: KindNotPermitted, Err: ctx.Err()}
		case <-time.After(wait):
		}
	}
}

func (d *Dispatcher) release(r *route) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r.underWay--
	r.usedAt = d.options.Clock()
}

// exchange has a carrier send an exchange and waits for its result, or until the carrier is silent.
func (d *Dispatcher) exchange(ctx context.Context, l *link, e exchange, timeout time.Duration) result {
	pending := make(chan result, 1)
	d.mutex.Lock()
	if !l.usable {
		d.mutex.Unlock()
		return result{Outcome: scheduler.Unsent, Failure: KindSilent.Error()}
	}
	d.lastID++
	e.ID = d.lastID
	l.pending[e.ID] = pending
	l.queue = append(l.queue, e)
	scheduled := l.scheduled
	l.scheduled = true
	d.mutex.Unlock()
	if !scheduled {
		time.AfterFunc(batchDelay, func() { d.flush(l) })
	}
	timer := time.NewTimer(timeout + resultAllowance)
	defer timer.Stop()
	select {
	case r := <-pending:
		return r
	case <-ctx.Done():
	case <-d.ctx.Done():
	case <-timer.C:
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(l.pending, e.ID)
	if r := d.routes[e.instance()]; r != nil {
		r.blockedUntil = max(r.blockedUntil, l.permittedUntil) // the carrier may still send it
	}
	return result{Outcome: scheduler.Uncarried, Failure: KindSilent.Error()}
}

// flush sends the queued exchanges of a link. Without a lease nothing is sent.
func (d *Dispatcher) flush(l *link) {
	term, leads := d.options.Leads()
	leaseLeft := d.options.LeaseLeft()
	d.mutex.Lock()
	l.scheduled = false
	queue := l.queue
	l.queue = nil
	if len(queue) == 0 {
		d.mutex.Unlock()
		return
	}
	now := d.options.Clock()
	if !leads || leaseLeft <= 0 || !l.usable {
		for _, e := range queue {
			l.resolve(result{ID: e.ID, Outcome: scheduler.Unsent, Failure: KindNotPermitted.Error()})
		}
		d.mutex.Unlock()
		return
	}
	l.lastNumber++
	b := batch{Permission: l.permission(now, term, leaseLeft), Number: l.lastNumber, Exchanges: queue}
	l.permittedUntil = max(l.permittedUntil, now+leaseLeft)
	if l.unacknowledgedSince == 0 {
		l.unacknowledgedSince = now
	}
	d.mutex.Unlock()
	d.options.Transport.Send(l.carrier, topicBatch, b)
}

func (l *link) resolve(r result) {
	if pending := l.pending[r.ID]; pending != nil {
		delete(l.pending, r.ID)
		pending <- r
	}
}

func (d *Dispatcher) handleResults(_ context.Context, from fleet.EntryID, payload []byte) (any, error) {
	var m results
	if err := messenger.Codec.Decode(payload, &m); err != nil {
		return nil, err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	l := d.links[from]
	if l == nil {
		return nil, nil
	}
	now := d.options.Clock()
	l.heardAt = now
	if l.usable {
		l.clock, l.clockReadAt = m.Clock, now
		l.acknowledge(now, m.Acknowledged)
	}
	for _, r := range m.Results {
		l.resolve(r)
	}
	return nil, nil
}

// acknowledge records that the carrier has the batches up to number. Those after it were sent later, so the wait for them begins anew. A
// number that was not sent is one of an earlier process of this entry.
func (l *link) acknowledge(now time.Duration, number uint64) {
	if number <= l.acknowledged || number > l.lastNumber {
		return
	}
	l.acknowledged = number
	l.unacknowledgedSince = 0
	if number < l.lastNumber {
		l.unacknowledgedSince = now
	}
}

func (d *Dispatcher) sweepLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.sweep()
		}
	}
}

// sweep finds carriers that are silent, chooses those that share the instances, and forgets instances without exchanges.
func (d *Dispatcher) sweep() {
	_, leads := d.options.Leads()
	var carriers []fleet.EntryID
	if leads {
		carriers = d.options.Carriers()
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.options.Clock()
	for _, l := range d.links {
		if l.silent(now) {
			d.doubtOthers(l)
			d.lose(l, now)
		}
	}
	for id, r := range d.routes {
		if r.underWay == 0 && now-r.usedAt > routeRetention && now > r.blockedUntil {
			delete(d.routes, id)
		}
	}
	d.carriers = carriers
	d.choose(now, carriers)
}

// lose fails the exchanges of a carrier that does not answer, and keeps others from its instances until it may no longer send.
func (d *Dispatcher) lose(l *link, now time.Duration) {
	event.CarrierLost.Warn(d.options.Logger, zap.String("carrier", string(l.carrier)), zap.Int("exchanges", len(l.pending)), zap.Duration("silent", now-l.heardAt))
	l.fail(now)
	d.blockRoutes(l)
}

// doubtOthers has the carriers asked of which nothing was heard since a lost one fell silent: a partition often cuts off several.
func (d *Dispatcher) doubtOthers(lost *link) {
	for _, l := range d.links {
		if l != lost && l.usable && l.heardAt < lost.unacknowledgedSince {
			l.doubted = true
		}
	}
}

// blockRoutes keeps others from writing to the instances of a lost carrier until it may no longer send to them.
func (d *Dispatcher) blockRoutes(l *link) {
	for _, r := range d.routes {
		if r.link == l {
			r.blockedUntil = l.permittedUntil
			r.link = nil
		}
	}
}
