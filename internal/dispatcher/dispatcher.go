// Package dispatcher admits requests, orders them by fair share and places them on the instances of one pool.
//
// It is a deterministic state machine without I/O: each input carries a clock value, and the outputs are decisions with reasons.
package dispatcher

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/namer"
	"github.com/sapphiresail/sapphiresail/internal/table"
)

// Limits on the queue length, on the age of observations and on the start of urgent work.
const (
	MaxWaiting        = 20_000
	MaxObservationAge = 2500 * time.Millisecond
	entryTimeout      = 3 * time.Second
	reportGrace       = 3 * time.Second
	endedRetention    = 5 * time.Second
	urgentStartLimit  = 2 * time.Second
	ownerTickInterval = 100 * time.Millisecond
	// leaseTimeout is the task lease with an allowance for the clock drift of both sides.
	leaseTimeout = fleet.TaskLease + time.Duration(2*fleet.MaxClockDrift*float64(fleet.TaskLease))
)

// Request asks for the placement of one attempt.
type Request struct {
	ID       fleet.RequestID
	Attempt  fleet.AttemptID
	Queue    fleet.QueueID
	Customer fleet.CustomerID
	Entry    fleet.EntryID
	Deadline time.Duration
	// Avoid lists the instances on which earlier attempts of the request failed.
	Avoid []fleet.InstanceID
}

// DecisionKind is the kind of a decision.
type DecisionKind uint8

// Kinds of decisions.
const (
	Placed DecisionKind = iota + 1
	Refused
	Preempted
	Isolated
	Released
	Adopted
	Ended
)

// Cause is the reason for which a request was refused.
type Cause uint8

// Causes of a refusal; CauseNone means that the request was not refused.
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

// String returns the description of the cause that callers receive.
func (c Cause) String() string {
	return namer.Name(c, "", "no instance of the pool can ever hold the request", "the queue is too long for the time left",
		"the customer is at its upper limit", "the time ran out before a place was free", "cancelled while waiting",
		"the queue is not configured", "the entry stopped asking")
}

// Action is the preemption that a target applies to a task over its share.
type Action string

// Preemption actions, in the order of escalation.
const (
	Throttle   Action = "throttle"
	Checkpoint Action = "checkpoint"
	Stop       Action = "stop"
)

// Decision is one output of the dispatcher with its reason; the owner of the pool carries it out.
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

// InstanceView combines the committed state and the latest announcement of one instance.
type InstanceView struct {
	Instance fleet.Instance
	// Schedulable reports whether the committed state lets the instance take new work.
	Schedulable bool
	// Deprioritized makes placement prefer other instances, because this one is the next to be stopped.
	Deprioritized bool
	// Drained is set for an instance in a drained data centre: it takes no new work, and its capacity does not count for shares.
	Drained bool
	// LastSeen is the clock value at the latest announcement.
	LastSeen time.Duration
}

// task is one attempt that counts as running.
type task struct {
	request  Request
	instance fleet.InstanceID
	started  time.Duration
	// lastConfirmed is the clock value at which an entry or a target last reported the attempt.
	lastConfirmed time.Duration
	// adopted marks a task that only a target reports; no entry has it in flight.
	adopted        bool
	needs          fleet.Resources
	usage          fleet.Resources
	preemptions    int
	nextPreemption time.Duration
}

// instanceRecord is one instance of the pool with the tasks placed on it and its health.
type instanceRecord struct {
	view   InstanceView
	used   fleet.Resources
	tasks  int
	health health
	// observed is set once the announced tasks of the instance are known to this owner.
	observed bool
}

// Dispatcher is the scheduler of one pool. It isn't safe for concurrent use.
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
	// totalCapacity is that of all instances outside drained data centres, and drainedInstances the number of those inside.
	totalCapacity    fleet.Resources
	drainedInstances int
	// readyCapacity is the part of totalCapacity on instances that may take new work.
	readyCapacity fleet.Resources
	busySlots     int
	tasksByDomain map[string]int
	poolResults   window
	sequence      uint64
	// endedAt holds when completed attempts ended, so that late reports don't add them again.
	endedAt   map[fleet.AttemptID]time.Duration
	decisions []Decision
	endRate   rate
}

// Option configures a new dispatcher.
type Option func(*Dispatcher)

// WithFIFO serves requests in order of arrival; replay uses it as a baseline.
func WithFIFO() Option { return func(d *Dispatcher) { d.fifo = true } }

// WithRecovery starts a dispatcher that takes a pool over from an earlier owner and has to discover its running tasks.
func WithRecovery() Option { return func(d *Dispatcher) { d.recovering = true } }

// New returns the dispatcher of a pool with its clock at now.
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

// Configure sets the queues of the pool and the shares of the customers; a customer that is no longer configured loses its permit.
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

// SetPermit limits the tasks of a customer that may run in the pool at once.
func (d *Dispatcher) SetPermit(id fleet.CustomerID, usable int) { d.customer(id).permit = usable }

func (d *Dispatcher) customer(id fleet.CustomerID) *customer {
	c, ok := d.customers.Get(id)
	if !ok {
		c = newCustomer(id)
		d.customers.Put(id, c)
	}
	return c
}

// UpdateInstance adds or updates an instance of the pool and applies its announced tasks.
func (d *Dispatcher) UpdateInstance(now time.Duration, view InstanceView) {
	r, ok := d.instances.Get(view.Instance.ID)
	if ok && r.view.LastSeen == view.LastSeen && r.view.Schedulable == view.Schedulable &&
		r.view.Deprioritized == view.Deprioritized && r.view.Drained == view.Drained && r.view.Instance.Sequence == view.Instance.Sequence {
		return
	}
	if !ok {
		r = &instanceRecord{}
		d.instances.Put(view.Instance.ID, r)
		d.countTasksOn(view.Instance, r)
	}
	d.setTotalCapacity(d.totalCapacity.Sub(r.view.shared()).Add(view.shared()))
	d.drainedInstances += countDrained(view) - countDrained(r.view)
	newer := view.LastSeen > r.view.LastSeen
	r.view = view
	if view.LastSeen > d.started || !d.recovering {
		r.observed = true
	}
	if newer {
		d.applyAnnouncedTasks(now, r)
	}
}

// countTasksOn counts the known tasks on an instance that joins the pool.
func (d *Dispatcher) countTasksOn(i fleet.Instance, r *instanceRecord) {
	for _, x := range d.tasks {
		if x.instance == i.ID {
			r.used = r.used.Add(x.needs)
			r.tasks++
		}
	}
	d.tasksByDomain[i.FailureDomain()] += r.tasks
}

// setTotalCapacity sets the capacity of the pool and recomputes the dominant use of every customer.
func (d *Dispatcher) setTotalCapacity(capacity fleet.Resources) {
	if capacity == d.totalCapacity {
		return
	}
	d.totalCapacity = capacity
	for _, c := range d.customers.All() {
		c.dominantUse = c.allocated.DominantShare(capacity)
	}
}

// RemoveInstance removes an instance that left the pool; its tasks stay until they are known to have ended.
func (d *Dispatcher) RemoveInstance(id fleet.InstanceID) {
	r, ok := d.instances.Get(id)
	if !ok {
		return
	}
	d.tasksByDomain[r.view.Instance.FailureDomain()] -= r.tasks
	d.setTotalCapacity(d.totalCapacity.Sub(r.view.shared()))
	d.drainedInstances -= countDrained(r.view)
	d.instances.Delete(id)
}

// InstanceIDs returns the ids of the instances of the pool.
func (d *Dispatcher) InstanceIDs() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, d.instances.Len())
	for id := range d.instances.All() {
		ids = append(ids, id)
	}
	return ids
}

// RunningOn returns the number of tasks that count as running on an instance, also on one that left the pool.
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

// Load is the number of running and waiting tasks of one customer in a pool.
type Load struct {
	Running int `cbor:"1,keyasint" json:"running"`
	Waiting int `cbor:"2,keyasint" json:"waiting"`
	Urgent  int `cbor:"3,keyasint" json:"urgent"`
}

// Loads returns the load of each customer with running or waiting tasks, in order of the customer ids.
func (d *Dispatcher) Loads() *table.Table[fleet.CustomerID, Load] {
	loads := table.New[fleet.CustomerID, Load]()
	for id, c := range d.customers.All() {
		if c.running > 0 || c.waiting > 0 {
			loads.Put(id, Load{Running: c.running, Waiting: c.waiting, Urgent: c.urgentWaiting})
		}
	}
	return loads
}

// EndRate returns the exponentially smoothed number of tasks that end per second.
func (d *Dispatcher) EndRate(now time.Duration) float64 { return d.endRate.perSecond(now) }

// UnobservedSlots returns the number of slots on which unreported tasks of an earlier owner may still run. It is 0 once their
// leases have expired.
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
			n += max(r.view.Instance.Capacity.Slots-r.tasks, 0)
		}
	}
	return n
}

// TakeDecisions returns the decisions made since the last call.
func (d *Dispatcher) TakeDecisions() []Decision {
	list := d.decisions
	d.decisions = nil
	return list
}

func (d *Dispatcher) emit(x Decision) { d.decisions = append(d.decisions, x) }
