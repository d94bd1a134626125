// Package owner runs the dispatchers of the pools that this process owns, and sends placement requests for other pools to
// their owners.
package owner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/sharer"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	KindNoOwner Kind = iota + 1
	KindOwnerChanged
)

// Error returns the description of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "the pool has no owner", "the pool's owner changed"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Intervals of the main loop.
const (
	tickInterval   = 50 * time.Millisecond
	reportInterval = 400 * time.Millisecond
)

// replica is the local copy of the committed state. LeaseLeft returns how long this process may still act on it.
type replica interface {
	View(read func(s *state.State))
	LeaseLeft() time.Duration
}

// announcements are the instance announcements known to this process. Read blocks changes while its callback runs.
type announcements interface {
	Read(read func(s *sharer.Sharer))
}

// actionSender sends an action on a task to its target.
type actionSender interface {
	SendAction(address string, attempt fleet.AttemptID, action dispatcher.Action)
}

// Options are the dependencies of an Owner.
type Options struct {
	Entry         fleet.EntryID
	Messenger     *messenger.Messenger
	Replica       replica
	Announcements announcements
	ActionSender  actionSender
	Logger        *zap.Logger
	Clock         func() time.Duration
	// OnDecision is called with every decision of the owned pools; it may be nil.
	OnDecision func(pool fleet.PoolID, d dispatcher.Decision)
}

// Owner schedules the pools that this process owns, and requests placements in all others.
type Owner struct {
	options    Options
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mutex       sync.Mutex
	pools       map[fleet.PoolID]*pool
	lastSentAt  map[fleet.EntryID]time.Duration
	inFlight    map[fleet.AttemptID]InFlightAttempt
	remoteCalls map[*remoteCall]bool
	retired     bool
}

// pool is one owned pool with its dispatcher and the requests that wait for a ticket.
type pool struct {
	id              fleet.PoolID
	epoch           uint64
	appliedIndex    uint64
	dispatcher      *dispatcher.Dispatcher
	waiting         map[fleet.RequestID]chan Ticket
	permitRevisions map[fleet.CustomerID]uint64
	isolated        map[fleet.InstanceID]bool
	config          *configuration.Configuration
}

// Start starts an owner, which runs until Close.
func Start(o Options) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Owner{
		options:     o,
		ctx:         ctx,
		cancel:      cancel,
		pools:       map[fleet.PoolID]*pool{},
		lastSentAt:  map[fleet.EntryID]time.Duration{},
		inFlight:    map[fleet.AttemptID]InFlightAttempt{},
		remoteCalls: map[*remoteCall]bool{},
	}
	o.Messenger.Handle(topicPlace, w.handlePlacement)
	o.Messenger.Handle(topicEnd, w.handleEnd)
	o.Messenger.Handle(topicEntryReport, w.handleEntryReport)
	w.goroutines.Go(w.loop)
	return w
}

// Close stops the owner and waits for its loop.
func (w *Owner) Close() error {
	w.cancel()
	w.goroutines.Wait()
	return nil
}

func (w *Owner) loop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	lastReport := time.Duration(0)
	for {
		select {
		case <-w.ctx.Done():
			w.releaseAll()
			return
		case <-tick.C:
		}
		now := w.options.Clock()
		w.tick(now)
		if now-lastReport >= reportInterval {
			lastReport = now
			w.sendReports(now)
		}
	}
}

// tick updates the owned pools from the committed state and runs their dispatchers. Without a valid state lease it releases
// all pools.
func (w *Owner) tick(now time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.options.Replica.View(w.cancelStaleCalls)
	if w.retired || w.options.Replica.LeaseLeft() <= 0 {
		w.release(func(*pool) bool { return true })
		return
	}
	w.options.Replica.View(func(s *state.State) { w.syncPools(now, s) })
	for _, p := range w.pools {
		p.dispatcher.Tick(now)
		w.applyDecisions(p)
	}
}

// syncPools acquires and releases pools as the committed ownership says, and updates the dispatchers of the owned ones.
func (w *Owner) syncPools(now time.Duration, s *state.State) {
	w.release(func(p *pool) bool {
		o := s.Owners[p.id]
		return o.Entry != w.options.Entry || o.Epoch != p.epoch
	})
	for id, o := range s.Owners {
		if o.Entry == w.options.Entry && w.pools[id] == nil {
			w.pools[id] = w.acquire(now, id, o.Epoch)
		}
	}
	w.options.Announcements.Read(func(announced *sharer.Sharer) {
		for _, p := range w.pools {
			p.update(now, s, announced)
			p.appliedIndex = s.AppliedIndex
		}
	})
}

func (w *Owner) acquire(now time.Duration, id fleet.PoolID, epoch uint64) *pool {
	p := &pool{
		id: id, epoch: epoch, dispatcher: dispatcher.New(id, now, dispatcher.WithRecovery()),
		waiting: map[fleet.RequestID]chan Ticket{}, permitRevisions: map[fleet.CustomerID]uint64{}, isolated: map[fleet.InstanceID]bool{},
	}
	adopted := 0
	for _, attempt := range w.inFlight {
		if attempt.Pool == id {
			p.adopt(now, w.options.Entry, attempt)
			adopted++
		}
	}
	event.PoolAcquired.Info(w.options.Logger, zap.String("pool", string(id)), zap.Uint64("epoch", epoch), zap.Int("adopted", adopted))
	return p
}

func (p *pool) adopt(now time.Duration, entry fleet.EntryID, attempt InFlightAttempt) {
	request := dispatcher.Request{ID: attempt.Request, Attempt: attempt.Attempt, Queue: attempt.Queue, Customer: attempt.Customer, Entry: entry}
	p.dispatcher.Adopt(now, request, attempt.Instance)
}

// release drops the matching pools. Their waiting requests get a ticket with OwnerChanged, on which the entry retries.
func (w *Owner) release(match func(p *pool) bool) {
	for id, p := range w.pools {
		if !match(p) {
			continue
		}
		delete(w.pools, id)
		for _, result := range p.waiting {
			result <- Ticket{OwnerChanged: true}
		}
		event.PoolReleased.Info(w.options.Logger, zap.String("pool", string(id)), zap.Uint64("epoch", p.epoch))
	}
}

// Retire releases all pools permanently. The attempts in flight here are still reported to the next owners.
func (w *Owner) Retire() {
	w.mutex.Lock()
	w.retired = true
	w.mutex.Unlock()
	w.releaseAll()
}

func (w *Owner) releaseAll() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.release(func(*pool) bool { return true })
}

// update passes the committed state and the instance announcements to the dispatcher.
func (p *pool) update(now time.Duration, s *state.State, announced *sharer.Sharer) {
	if p.config != s.Configuration() {
		p.config = s.Configuration()
		p.dispatcher.Configure(p.config)
	}
	for customer, pools := range s.Permits {
		permit := pools[p.id]
		p.dispatcher.SetPermit(customer, permit.Usable())
		p.permitRevisions[customer] = permit.Revision
	}
	present := map[fleet.InstanceID]bool{}
	for id, a := range s.Instances {
		observation, ok := announced.Get(id)
		if a.Pool != p.id || !ok {
			continue
		}
		present[id] = true
		serving := a.Phase == state.Serving && !a.Lost
		_, drained := s.DrainedDataCentres[a.DataCentre]
		p.dispatcher.UpdateInstance(now, dispatcher.InstanceView{Instance: observation.Instance, Schedulable: serving, Deprioritized: a.Deprioritized, Drained: drained, LastSeen: observation.LastSeen})
	}
	for _, id := range p.dispatcher.InstanceIDs() {
		if !present[id] {
			p.dispatcher.RemoveInstance(id)
		}
	}
}

// applyDecisions logs and executes the pending decisions of a pool's dispatcher.
func (w *Owner) applyDecisions(p *pool) {
	for _, d := range p.dispatcher.TakeDecisions() {
		w.applyDecision(p, d)
		if w.options.OnDecision != nil {
			w.options.OnDecision(p.id, d)
		}
	}
}

func (w *Owner) applyDecision(p *pool, d dispatcher.Decision) {
	logger := w.options.Logger
	attempt, instance := zap.String("attempt", string(d.Request.Attempt)), zap.String("instance", string(d.Instance))
	pool, customer := zap.String("pool", string(p.id)), zap.String("customer", string(d.Request.Customer))
	switch d.Kind {
	case dispatcher.Placed:
		event.TaskPlaced.Info(logger, zap.String("request", string(d.Request.ID)), attempt, pool, customer, instance, zap.String("reason", d.Reason))
		validFor := min(fleet.TicketLifetime, w.options.Replica.LeaseLeft())
		p.reply(d.Request.ID, Ticket{
			Instance: d.Instance, Address: d.Address, ValidFrom: w.lastSentAt[d.Request.Entry], ValidFor: validFor, Reason: d.Reason,
		})
	case dispatcher.Refused:
		event.RequestRefused.Info(logger, zap.String("request", string(d.Request.ID)), zap.String("queue", string(d.Request.Queue)),
			customer, zap.Int("status", 0), zap.String("reason", d.Reason))
		p.reply(d.Request.ID, Ticket{Cause: d.Cause, Reason: d.Reason})
	case dispatcher.Preempted:
		event.TaskPreempted.Info(logger, attempt, instance, zap.String("action", string(d.Action)))
		w.preempt(d)
	case dispatcher.Isolated:
		p.isolated[d.Instance] = true
		event.InstanceIsolated.Warn(logger, instance, zap.String("failures", d.Reason))
	case dispatcher.Released:
		delete(p.isolated, d.Instance)
		event.InstanceReleased.Info(logger, instance)
	case dispatcher.Adopted:
		event.TaskAdopted.Info(logger, attempt, pool, customer, instance)
	case dispatcher.Ended:
		event.TaskEnded.Info(logger, attempt, pool, instance, zap.Bool("success", false), zap.Duration("took", d.Waited))
	}
}

func (w *Owner) preempt(d dispatcher.Decision) {
	w.options.Announcements.Read(func(s *sharer.Sharer) {
		if observation, ok := s.Get(d.Instance); ok {
			w.options.ActionSender.SendAction(observation.Instance.Address, d.Request.Attempt, d.Action)
		}
	})
}

func (p *pool) reply(id fleet.RequestID, ticket Ticket) {
	if result, ok := p.waiting[id]; ok {
		delete(p.waiting, id)
		result <- ticket
	}
}

// Reports returns the reports of the owned pools to the leader.
func (w *Owner) Reports() []planner.PoolReport {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.options.Clock()
	list := make([]planner.PoolReport, 0, len(w.pools))
	for _, p := range w.pools {
		list = append(list, p.report(now, w.options.Entry))
	}
	return list
}

func (p *pool) report(now time.Duration, entry fleet.EntryID) planner.PoolReport {
	r := planner.PoolReport{
		Pool: p.id, Entry: entry, Epoch: p.epoch, Applied: p.appliedIndex, EndRate: p.dispatcher.EndRate(now),
		Customers: map[fleet.CustomerID]planner.CustomerReport{}, Busy: map[fleet.InstanceID]int{}, Sick: map[fleet.InstanceID]bool{},
	}
	loads := p.dispatcher.Loads()
	unobserved := p.dispatcher.UnobservedSlots(now)
	for customer, revision := range p.permitRevisions {
		load, _ := loads.Get(customer)
		r.Customers[customer] = planner.CustomerReport{Load: load, Revision: revision, Unlearned: unobserved}
	}
	for customer, load := range loads.All() {
		if _, listed := r.Customers[customer]; !listed {
			r.Customers[customer] = planner.CustomerReport{Load: load, Unlearned: unobserved}
		}
	}
	for _, id := range p.dispatcher.InstanceIDs() {
		if n := p.dispatcher.RunningOn(id); n > 0 {
			r.Busy[id] = n
		}
	}
	for id := range p.isolated {
		r.Sick[id] = true
	}
	return r
}
