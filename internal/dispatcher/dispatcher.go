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
	MaxWaiting        = 20_000
	MaxObservationAge = 2500 * time.Millisecond
	entryTimeout      = 3 * time.Second
	reportGrace       = 3 * time.Second
	endedRetention    = 5 * time.Second
	urgentStartLimit  = 2 * time.Second
	ownerTickInterval = 100 * time.Millisecond
	leaseTimeout      = fleet.TaskLease + time.Duration(2*fleet.ClockDrift*float64(fleet.TaskLease))
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
type DecisionKind uint8

// Codes of decisions.
const (
	Placed DecisionKind = iota + 1
	Refused
	Preempted
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
	CauseQueueFull
	CauseCustomerLimit
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
	Kind     DecisionKind
	Request  Request
	Instance fleet.InstanceID
	Address  string
	Cause    Cause
	Action   Action
	Reason   string
	Waited   time.Duration
}

// Place is what the committed state and the announcements say of one instance.
type InstanceView struct {
	Instance fleet.Instance
	// Serving tells that the committed state lets the instance take new work.
	Schedulable bool
	// Fading tells to prefer other instances, because this one is stopped next.
	Deprioritized bool
	// Heard is the clock value of the last announcement.
	LastSeen time.Duration
}

// task is one attempt that counts as running.
type task struct {
	request        Request
	instance       fleet.InstanceID
	started        time.Duration
	lastConfirmed  time.Duration
	adopted        bool
	needs          fleet.Resources
	usage          fleet.Resources
	preemptions    int
	nextPreemption time.Duration
}

// row is one instance of the pool with what is placed on it.
type instanceRecord struct {
	view     InstanceView
	used     fleet.Resources
	tasks    int
	health   health
	observed bool
}

// Dispatcher decides for one pool.
type Dispatcher struct {
	pool          fleet.PoolID
	fifo          bool
	started       time.Duration
	recovering    bool
	queues        map[fleet.QueueID]configuration.Queue
	customers     *table.Table[fleet.CustomerID, *customer]
	instances     *table.Table[fleet.InstanceID, *instanceRecord]
	tasks         map[fleet.AttemptID]*task
	waiting       map[fleet.RequestID]*waitingRequest
	deadlines     deadlineHeap
	entryLastSeen map[fleet.EntryID]time.Duration
	estimates     map[fleet.QueueID]*estimate
	totalCapacity fleet.Resources
	// ready is the part of total on instances that may take new work.
	readyCapacity fleet.Resources
	busySlots     int
	tasksByDomain map[string]int
	poolResults   window
	sequence      uint64
	// ended holds when answered attempts ended, so that late reports do not bring them back.
	endedAt   map[fleet.AttemptID]time.Duration
	decisions []Decision
	endRate   rate
}

// Option sets a property of a new dispatcher.
type Option func(*Dispatcher)

// WithArrivalOrder serves requests first come, first served; it is the baseline that replay compares with.
func WithFIFO() Option { return func(d *Dispatcher) { d.fifo = true } }

// WithRebuild starts a dispatcher that follows an earlier owner of the pool and must learn what runs.
func WithRecovery() Option { return func(d *Dispatcher) { d.recovering = true } }

// New returns the dispatcher of a pool, started at clock now.
func New(pool fleet.PoolID, now time.Duration, options ...Option) *Dispatcher {
	d := &Dispatcher{
		pool:          pool,
		started:       now,
		queues:        map[fleet.QueueID]configuration.Queue{},
		customers:     table.New[fleet.CustomerID, *customer](),
		instances:     table.New[fleet.InstanceID, *instanceRecord](),
		tasks:         map[fleet.AttemptID]*task{},
		waiting:       map[fleet.RequestID]*waitingRequest{},
		entryLastSeen: map[fleet.EntryID]time.Duration{},
		estimates:     map[fleet.QueueID]*estimate{},
		tasksByDomain: map[string]int{},
		endedAt:       map[fleet.AttemptID]time.Duration{},
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
	for _, customer := range c.Customers {
		known[customer.Name] = true
		d.customer(customer.Name).share = customer.Share
	}
	for id, customer := range d.customers.All() {
		if !known[id] {
			customer.permit = 0
		}
	}
}

// SetPermit sets how many tasks of a customer may run in the pool.
func (d *Dispatcher) SetPermit(id fleet.CustomerID, usable int) { d.customer(id).permit = usable }

func (d *Dispatcher) customer(id fleet.CustomerID) *customer {
	c, ok := d.customers.Get(id)
	if !ok {
		c = newCustomer(id)
		d.customers.Put(id, c)
	}
	return c
}

// SetPlace adds or updates an instance of the pool.
func (d *Dispatcher) UpdateInstance(now time.Duration, view InstanceView) {
	r, ok := d.instances.Get(view.Instance.ID)
	if ok && r.view.LastSeen == view.LastSeen && r.view.Schedulable == view.Schedulable && r.view.Deprioritized == view.Deprioritized && r.view.Instance.Sequence == view.Instance.Sequence {
		return
	}
	if !ok {
		r = &instanceRecord{}
		d.instances.Put(view.Instance.ID, r)
		d.countTasksOn(view.Instance, r)
	}
	d.setTotalCapacity(d.totalCapacity.Sub(r.view.Instance.Offers).Add(view.Instance.Offers))
	newer := view.LastSeen > r.view.LastSeen
	r.view = view
	if view.LastSeen > d.started || !d.recovering {
		r.observed = true
	}
	if newer {
		d.applyAnnouncedTasks(now, r)
	}
}

// recount counts the tasks that run on an instance that joins the pool.
func (d *Dispatcher) countTasksOn(i fleet.Instance, r *instanceRecord) {
	for _, x := range d.tasks {
		if x.instance == i.ID {
			r.used = r.used.Add(x.needs)
			r.tasks++
		}
	}
	d.tasksByDomain[i.Domain()] += r.tasks
}

// setTotal changes what the pool offers, and with it the use of every customer.
func (d *Dispatcher) setTotalCapacity(capacity fleet.Resources) {
	if capacity == d.totalCapacity {
		return
	}
	d.totalCapacity = capacity
	for _, c := range d.customers.All() {
		c.dominantUse = c.allocated.Dominant(capacity)
	}
}

// RemovePlace forgets an instance that left the pool; its tasks stay until they are proved over.
func (d *Dispatcher) RemoveInstance(id fleet.InstanceID) {
	r, ok := d.instances.Get(id)
	if !ok {
		return
	}
	d.tasksByDomain[r.view.Instance.Domain()] -= r.tasks
	d.setTotalCapacity(d.totalCapacity.Sub(r.view.Instance.Offers))
	d.instances.Delete(id)
}

// Places returns the ids of the instances of the pool.
func (d *Dispatcher) InstanceIDs() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, d.instances.Len())
	for id := range d.instances.All() {
		ids = append(ids, id)
	}
	return ids
}

// RunningOn returns the number of tasks that count as running on an instance.
func (d *Dispatcher) RunningOn(id fleet.InstanceID) int {
	if r, ok := d.instances.Get(id); ok {
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
	for id, c := range d.customers.All() {
		if c.running > 0 || c.waiting > 0 {
			loads.Put(id, Load{Running: c.running, Waiting: c.waiting, Urgent: c.urgentWaiting})
		}
	}
	return loads
}

// EndRate returns the smoothed number of tasks that end in a second.
func (d *Dispatcher) EndRate(now time.Duration) float64 { return d.endRate.perSecond(now) }

// Unlearned returns the slots on which tasks of an earlier owner may still run unseen.
func (d *Dispatcher) UnobservedSlots(now time.Duration) int {
	if !d.recovering {
		return 0
	}
	if now > d.started+leaseTimeout {
		d.recovering = false
		return 0
	}
	n := 0
	for _, r := range d.instances.All() {
		if !r.observed {
			n += max(r.view.Instance.Offers.Slots-r.tasks, 0)
		}
	}
	return n
}

// Take returns the decisions made since the last call.
func (d *Dispatcher) TakeDecisions() []Decision {
	list := d.decisions
	d.decisions = nil
	return list
}

func (d *Dispatcher) emit(x Decision) { d.decisions = append(d.decisions, x) }
