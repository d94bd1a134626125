// Package dispatcher admits, orders and places the work of one pool.
//
// It is a pure state machine: inputs carry a clock value, and decisions come out with their reasons.
package dispatcher

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/table"
)

// Bounds of queues and of the liveness of what the dispatcher hears.
const (
	MaxWaiting       = 20_000
	SuspectAfter     = 2500 * time.Millisecond
	entrySilentAfter = 3 * time.Second
	reportMargin     = 3 * time.Second
	endedMemory      = 5 * time.Second
	urgentStart      = 2 * time.Second
	ownerTick        = 100 * time.Millisecond
	leaseMargin      = fleet.TaskLease + time.Duration(2*fleet.ClockDrift*float64(fleet.TaskLease))
)

// Request is one ask for a placement.
type Request struct {
	ID       fleet.RequestID
	Attempt  fleet.AttemptID
	Queue    fleet.QueueID
	Customer fleet.CustomerID
	Entry    fleet.EntryID
	Deadline time.Duration
	// Avoid lists instances that failed this request before.
	Avoid []fleet.InstanceID
}

// Code tells decisions apart.
type Code uint8

// Codes of decisions.
const (
	Placed Code = iota + 1
	Refused
	Pressed
	Isolated
	Released
	Adopted
	Ended
)

// Cause is why a request was refused.
type Cause uint8

// Causes of refusals.
const (
	CauseNone Cause = iota
	CauseNeverFits
	CauseFull
	CauseLimit
	CauseDeadline
	CauseCancelled
	CauseUnknownQueue
	CauseEntryGone
)

// String describes the cause to callers.
func (c Cause) String() string {
	return [...]string{"", "no instance of the pool can ever hold the request", "the queue is too long for the time left",
		"the customer is at its upper limit", "the time ran out before a place was free", "cancelled while waiting",
		"the queue is not configured", "the entry stopped asking"}[c]
}

// Action is what a target is told about a task that takes more than it may.
type Action string

// Actions, in the order of escalation.
const (
	Throttle   Action = "throttle"
	Checkpoint Action = "checkpoint"
	Stop       Action = "stop"
)

// Decision is one output with its reason.
type Decision struct {
	Code     Code
	Request  Request
	Instance fleet.InstanceID
	Address  string
	Cause    Cause
	Action   Action
	Reason   string
	Waited   time.Duration
}

// Place is what the committed state and the announcements say of one instance.
type Place struct {
	Instance fleet.Instance
	// Serving tells that the committed state lets the instance take new work.
	Serving bool
	// Fading tells to prefer other instances, because this one is stopped next.
	Fading bool
	// Heard is the clock value of the last announcement.
	Heard time.Duration
}

// task is one attempt that counts as running.
type task struct {
	request  Request
	instance fleet.InstanceID
	started  time.Duration
	proof    time.Duration
	adopted  bool
	needs    fleet.Resources
	usage    fleet.Resources
	pressed  int
	pressAt  time.Duration
}

// row is one instance of the pool with what is placed on it.
type row struct {
	place  Place
	used   fleet.Resources
	tasks  int
	health health
	fresh  bool
}

// Dispatcher decides for one pool.
type Dispatcher struct {
	pool      fleet.PoolID
	fifo      bool
	started   time.Duration
	rebuild   bool
	queues    map[fleet.QueueID]configuration.Queue
	customers *table.Table[fleet.CustomerID, *customer]
	rows      *table.Table[fleet.InstanceID, *row]
	tasks     map[fleet.AttemptID]*task
	waiting   map[fleet.RequestID]*item
	deadlines deadlineHeap
	entries   map[fleet.EntryID]time.Duration
	sizes     map[fleet.QueueID]*estimate
	total     fleet.Resources
	// ready is the part of total on instances that may take new work.
	ready     fleet.Resources
	busySlots int
	domains   map[string]int
	results   window
	sequence  uint64
	// ended holds when answered attempts ended, so that late reports do not bring them back.
	ended     map[fleet.AttemptID]time.Duration
	decisions []Decision
	ends      rate
}

// Option sets a property of a new dispatcher.
type Option func(*Dispatcher)

// WithArrivalOrder serves requests first come, first served; it is the baseline that replay compares with.
func WithArrivalOrder() Option { return func(d *Dispatcher) { d.fifo = true } }

// WithRebuild starts a dispatcher that follows an earlier owner of the pool and must learn what runs.
func WithRebuild() Option { return func(d *Dispatcher) { d.rebuild = true } }

// New returns the dispatcher of a pool, started at clock now.
func New(pool fleet.PoolID, now time.Duration, options ...Option) *Dispatcher {
	d := &Dispatcher{
		pool:      pool,
		started:   now,
		queues:    map[fleet.QueueID]configuration.Queue{},
		customers: table.New[fleet.CustomerID, *customer](),
		rows:      table.New[fleet.InstanceID, *row](),
		tasks:     map[fleet.AttemptID]*task{},
		waiting:   map[fleet.RequestID]*item{},
		entries:   map[fleet.EntryID]time.Duration{},
		sizes:     map[fleet.QueueID]*estimate{},
		domains:   map[string]int{},
		ended:     map[fleet.AttemptID]time.Duration{},
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Configure sets the queues of the pool and the shares of the customers.
func (d *Dispatcher) Configure(c *configuration.Configuration) {
	d.queues = map[fleet.QueueID]configuration.Queue{}
	for _, q := range c.Queues {
		if q.Pool == d.pool {
			d.queues[q.Name] = q
		}
	}
	known := map[fleet.CustomerID]bool{}
	for _, t := range c.Customers {
		known[t.Name] = true
		d.customer(t.Name).share = t.Share
	}
	for id, t := range d.customers.All() {
		if !known[id] {
			t.permit = 0
		}
	}
}

// SetPermit sets how many tasks of a customer may run in the pool.
func (d *Dispatcher) SetPermit(id fleet.CustomerID, usable int) { d.customer(id).permit = usable }

func (d *Dispatcher) customer(id fleet.CustomerID) *customer {
	t, ok := d.customers.Get(id)
	if !ok {
		t = newCustomer(id)
		d.customers.Put(id, t)
	}
	return t
}

// SetPlace adds or updates an instance of the pool.
func (d *Dispatcher) SetPlace(now time.Duration, p Place) {
	r, ok := d.rows.Get(p.Instance.ID)
	if ok && r.place.Heard == p.Heard && r.place.Serving == p.Serving && r.place.Fading == p.Fading && r.place.Instance.Sequence == p.Instance.Sequence {
		return
	}
	if !ok {
		r = &row{}
		d.rows.Put(p.Instance.ID, r)
		d.recount(p.Instance, r)
	}
	d.setTotal(d.total.Sub(r.place.Instance.Offers).Add(p.Instance.Offers))
	renewed := p.Heard > r.place.Heard
	r.place = p
	if p.Heard > d.started || !d.rebuild {
		r.fresh = true
	}
	if renewed {
		d.learnTasks(now, r)
	}
}

// recount counts the tasks that run on an instance that joins the pool.
func (d *Dispatcher) recount(i fleet.Instance, r *row) {
	for _, x := range d.tasks {
		if x.instance == i.ID {
			r.used = r.used.Add(x.needs)
			r.tasks++
		}
	}
	d.domains[i.Domain()] += r.tasks
}

// setTotal changes what the pool offers, and with it the use of every customer.
func (d *Dispatcher) setTotal(total fleet.Resources) {
	if total == d.total {
		return
	}
	d.total = total
	for _, t := range d.customers.All() {
		t.use = t.held.Dominant(total)
	}
}

// RemovePlace forgets an instance that left the pool; its tasks stay until they are proved over.
func (d *Dispatcher) RemovePlace(id fleet.InstanceID) {
	r, ok := d.rows.Get(id)
	if !ok {
		return
	}
	d.domains[r.place.Instance.Domain()] -= r.tasks
	d.setTotal(d.total.Sub(r.place.Instance.Offers))
	d.rows.Delete(id)
}

// Places returns the ids of the instances of the pool.
func (d *Dispatcher) Places() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, d.rows.Len())
	for id := range d.rows.All() {
		ids = append(ids, id)
	}
	return ids
}

// RunningOn returns the number of tasks that count as running on an instance.
func (d *Dispatcher) RunningOn(id fleet.InstanceID) int {
	if r, ok := d.rows.Get(id); ok {
		return r.tasks
	}
	n := 0
	for _, t := range d.tasks {
		if t.instance == id {
			n++
		}
	}
	return n
}

// Load is what a pool reports about one customer.
type Load struct {
	Running int `cbor:"1,keyasint" json:"running"`
	Waiting int `cbor:"2,keyasint" json:"waiting"`
	Urgent  int `cbor:"3,keyasint" json:"urgent"`
}

// Loads returns the use and demand of each customer that has any, in order of their ids.
func (d *Dispatcher) Loads() *table.Table[fleet.CustomerID, Load] {
	loads := table.New[fleet.CustomerID, Load]()
	for id, t := range d.customers.All() {
		if t.running > 0 || t.waiting > 0 {
			loads.Put(id, Load{Running: t.running, Waiting: t.waiting, Urgent: t.urgentWaiting})
		}
	}
	return loads
}

// EndRate returns the smoothed number of tasks that end in a second.
func (d *Dispatcher) EndRate(now time.Duration) float64 { return d.ends.per(now) }

// Unlearned returns the slots on which tasks of an earlier owner may still run unseen.
func (d *Dispatcher) Unlearned(now time.Duration) int {
	if !d.rebuild {
		return 0
	}
	if now > d.started+leaseMargin {
		d.rebuild = false
		return 0
	}
	n := 0
	for _, r := range d.rows.All() {
		if !r.fresh {
			n += max(r.place.Instance.Offers.Slots-r.tasks, 0)
		}
	}
	return n
}

// Take returns the decisions made since the last call.
func (d *Dispatcher) Take() []Decision {
	list := d.decisions
	d.decisions = nil
	return list
}

func (d *Dispatcher) decide(x Decision) { d.decisions = append(d.decisions, x) }
