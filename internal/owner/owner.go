// Package owner runs the dispatchers of the pools that this process owns, and asks the owners of the others.
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
	KindMoved
)

// Error names the kind.
func (k Kind) Error() string {
	return [...]string{"none", "the pool has no owner", "the pool's owner changed"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Intervals of the loop.
const (
	tickInterval = 50 * time.Millisecond
	pollInterval = 400 * time.Millisecond
)

// replica is the committed state as this process may act on it.
type replica interface {
	View(read func(s *state.State))
	LeaseLeft() time.Duration
}

// sights are the announcements known here; Read holds off changes while it runs.
type sights interface {
	Read(read func(s *sharer.Sharer))
}

// presser carries an action about a task to its target.
type presser interface {
	Press(address string, attempt fleet.AttemptID, action dispatcher.Action)
}

// Options are what an owner needs to start.
type Options struct {
	Entry     fleet.EntryID
	Messenger *messenger.Messenger
	Replica   replica
	Sights    sights
	Presser   presser
	Logger    *zap.Logger
	Clock     func() time.Duration
	// Observe gets every decision; it may be nil.
	Observe func(pool fleet.PoolID, d dispatcher.Decision)
}

// Owner serves the pools that this process owns.
type Owner struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mutex   sync.Mutex
	pools   map[fleet.PoolID]*pool
	stamps  map[fleet.EntryID]time.Duration
	carried map[fleet.AttemptID]Carried
	asking  map[*asking]bool
	retired bool
}

// pool is one owned pool.
type pool struct {
	id      fleet.PoolID
	epoch   uint64
	applied uint64
	logic   *dispatcher.Dispatcher
	waiting map[fleet.RequestID]chan Ticket
	acting  map[fleet.CustomerID]uint64
	sick    map[fleet.InstanceID]bool
	config  *configuration.Configuration
}

// Start runs an owner until Close.
func Start(o Options) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Owner{
		options: o,
		ctx:     ctx,
		cancel:  cancel,
		pools:   map[fleet.PoolID]*pool{},
		stamps:  map[fleet.EntryID]time.Duration{},
		carried: map[fleet.AttemptID]Carried{},
		asking:  map[*asking]bool{},
	}
	o.Messenger.Handle(topicAsk, w.takeAsk)
	o.Messenger.Handle(topicEnd, w.takeEnd)
	o.Messenger.Handle(topicPoll, w.takePoll)
	w.wait.Go(w.loop)
	return w
}

// Close stops the owner and waits for its loop.
func (w *Owner) Close() error {
	w.cancel()
	w.wait.Wait()
	return nil
}

func (w *Owner) loop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	polled := time.Duration(0)
	for {
		select {
		case <-w.ctx.Done():
			w.leaveAll()
			return
		case <-tick.C:
		}
		now := w.options.Clock()
		w.tick(now)
		if now-polled >= pollInterval {
			polled = now
			w.poll(now)
		}
	}
}

// tick follows the committed state and lets each owned pool decide.
func (w *Owner) tick(now time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.options.Replica.View(w.giveUp)
	if w.retired || w.options.Replica.LeaseLeft() <= 0 {
		w.leave(func(*pool) bool { return true })
		return
	}
	w.options.Replica.View(func(s *state.State) { w.follow(now, s) })
	for _, p := range w.pools {
		p.logic.Tick(now)
		w.publish(p)
	}
}

// follow takes over and gives up pools, and brings the owned ones up to date.
func (w *Owner) follow(now time.Duration, s *state.State) {
	w.leave(func(p *pool) bool {
		o := s.Owners[p.id]
		return o.Entry != w.options.Entry || o.Epoch != p.epoch
	})
	for id, o := range s.Owners {
		if o.Entry == w.options.Entry && w.pools[id] == nil {
			w.pools[id] = w.takeOver(now, id, o.Epoch)
		}
	}
	w.options.Sights.Read(func(known *sharer.Sharer) {
		for _, p := range w.pools {
			p.update(now, s, known)
			p.applied = s.AppliedIndex
		}
	})
}

func (w *Owner) takeOver(now time.Duration, id fleet.PoolID, epoch uint64) *pool {
	p := &pool{
		id: id, epoch: epoch, logic: dispatcher.New(id, now, dispatcher.WithRecovery()),
		waiting: map[fleet.RequestID]chan Ticket{}, acting: map[fleet.CustomerID]uint64{}, sick: map[fleet.InstanceID]bool{},
	}
	adopted := 0
	for _, c := range w.carried {
		if c.Pool == id {
			p.adopt(now, w.options.Entry, c)
			adopted++
		}
	}
	event.PoolTaken.Info(w.options.Logger, zap.String("pool", string(id)), zap.Uint64("epoch", epoch), zap.Int("adopted", adopted))
	return p
}

func (p *pool) adopt(now time.Duration, entry fleet.EntryID, c Carried) {
	q := dispatcher.Request{ID: c.Request, Attempt: c.Attempt, Queue: c.Queue, Customer: c.Customer, Entry: entry}
	p.logic.Adopt(now, q, c.Instance)
}

// leave gives up pools and tells their waiting requests to ask again.
func (w *Owner) leave(match func(p *pool) bool) {
	for id, p := range w.pools {
		if !match(p) {
			continue
		}
		delete(w.pools, id)
		for _, c := range p.waiting {
			c <- Ticket{Moved: true}
		}
		event.PoolLeft.Info(w.options.Logger, zap.String("pool", string(id)), zap.Uint64("epoch", p.epoch))
	}
}

// Retire gives up all pools for good; what is carried here is still reported to their next owners.
func (w *Owner) Retire() {
	w.mutex.Lock()
	w.retired = true
	w.mutex.Unlock()
	w.leaveAll()
}

func (w *Owner) leaveAll() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leave(func(*pool) bool { return true })
}

// update hands the committed state and the announcements to the dispatcher.
func (p *pool) update(now time.Duration, s *state.State, known *sharer.Sharer) {
	if p.config != s.Configuration() {
		p.config = s.Configuration()
		p.logic.Configure(p.config)
	}
	for customer, pools := range s.Permits {
		permit := pools[p.id]
		p.logic.SetPermit(customer, permit.Usable())
		p.acting[customer] = permit.Revision
	}
	present := map[fleet.InstanceID]bool{}
	for id, a := range s.Instances {
		seen, ok := known.Get(id)
		if a.Pool != p.id || !ok {
			continue
		}
		present[id] = true
		serving := a.Phase == state.Serving && !a.Lost
		p.logic.UpdateInstance(now, dispatcher.InstanceView{Instance: seen.Instance, Schedulable: serving, Deprioritized: a.Deprioritized, LastSeen: seen.LastSeen})
	}
	for _, id := range p.logic.InstanceIDs() {
		if !present[id] {
			p.logic.RemoveInstance(id)
		}
	}
}

// publish carries out the decisions of a pool.
func (w *Owner) publish(p *pool) {
	for _, d := range p.logic.TakeDecisions() {
		w.carryOut(p, d)
		if w.options.Observe != nil {
			w.options.Observe(p.id, d)
		}
	}
}

func (w *Owner) carryOut(p *pool, d dispatcher.Decision) {
	logger := w.options.Logger
	attempt, instance := zap.String("attempt", string(d.Request.Attempt)), zap.String("instance", string(d.Instance))
	pool, customer := zap.String("pool", string(p.id)), zap.String("customer", string(d.Request.Customer))
	switch d.Kind {
	case dispatcher.Placed:
		event.TaskPlaced.Info(logger, zap.String("request", string(d.Request.ID)), attempt, pool, customer, instance, zap.String("reason", d.Reason))
		life := min(fleet.TicketLife, w.options.Replica.LeaseLeft())
		p.reply(d.Request.ID, Ticket{
			Instance: d.Instance, Address: d.Address, Echo: w.stamps[d.Request.Entry], Life: life, Reason: d.Reason,
		})
	case dispatcher.Refused:
		event.RequestRefused.Info(logger, zap.String("request", string(d.Request.ID)), zap.String("queue", string(d.Request.Queue)),
			customer, zap.Int("status", 0), zap.String("reason", d.Reason))
		p.reply(d.Request.ID, Ticket{Cause: d.Cause, Reason: d.Reason})
	case dispatcher.Preempted:
		event.TaskPressed.Info(logger, attempt, instance, zap.String("action", string(d.Action)))
		w.press(d)
	case dispatcher.Isolated:
		p.sick[d.Instance] = true
		event.InstanceIsolate.Warn(logger, instance, zap.String("failures", d.Reason))
	case dispatcher.Released:
		delete(p.sick, d.Instance)
		event.InstanceProbed.Info(logger, instance)
	case dispatcher.Adopted:
		event.TaskAdopted.Info(logger, attempt, pool, customer, instance)
	case dispatcher.Ended:
		event.TaskEnded.Info(logger, attempt, pool, instance, zap.Bool("success", false), zap.Duration("took", d.Waited))
	}
}

func (w *Owner) press(d dispatcher.Decision) {
	w.options.Sights.Read(func(s *sharer.Sharer) {
		if seen, ok := s.Get(d.Instance); ok {
			w.options.Presser.Press(seen.Instance.Address, d.Request.Attempt, d.Action)
		}
	})
}

func (p *pool) reply(id fleet.RequestID, t Ticket) {
	if c, ok := p.waiting[id]; ok {
		delete(p.waiting, id)
		c <- t
	}
}

// Reports returns what the owned pools tell the leader.
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
		Pool: p.id, Entry: entry, Epoch: p.epoch, Applied: p.applied, EndRate: p.logic.EndRate(now),
		Customers: map[fleet.CustomerID]planner.CustomerReport{}, Busy: map[fleet.InstanceID]int{}, Sick: map[fleet.InstanceID]bool{},
	}
	loads := p.logic.Loads()
	unlearned := p.logic.UnobservedSlots(now)
	for customer, revision := range p.acting {
		load, _ := loads.Get(customer)
		r.Customers[customer] = planner.CustomerReport{Load: load, Revision: revision, Unlearned: unlearned}
	}
	for customer, load := range loads.All() {
		if _, listed := r.Customers[customer]; !listed {
			r.Customers[customer] = planner.CustomerReport{Load: load, Unlearned: unlearned}
		}
	}
	for _, id := range p.logic.InstanceIDs() {
		if n := p.logic.RunningOn(id); n > 0 {
			r.Busy[id] = n
		}
	}
	for id := range p.sick {
		r.Sick[id] = true
	}
	return r
}
