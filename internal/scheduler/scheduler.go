// Package scheduler decides which task runs on which instance: a pure state machine that takes what callers,
// instances and the committed state say, with a clock, and hands out orders and ends to commit.
package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// OrderKind tells orders to instances apart.
type OrderKind uint8

// Kinds of orders.
const (
	Start OrderKind = iota + 1
	Stop
	Throttle
	// Glance asks for a look that does not wait.
	ImmediatePoll
)

// String names the kind.
func (k OrderKind) String() string { return [...]string{"none", "start", "stop", "pace", "glance"}[k] }

// Order is one thing to tell an instance.
type Order struct {
	Kind       OrderKind
	Instance   fleet.InstanceID
	Address    string
	Task       workload.TaskID
	Run        workload.Run
	Spec       string
	Checkpoint string
	// Deadline is on the clock of the instance.
	Deadline        time.Duration
	Fence           uint64
	ThrottlePercent int
	// Ticket is what the policy service gave for the start, on queues with advice.
	Ticket string
	// Reason tells why, for the log.
	Reason string
}

// Outcome is what is known of an order after it was sent.
type Outcome uint8

// Outcomes of an order.
const (
	// Accepted orders were carried out.
	Accepted Outcome = iota + 1
	// Fenced orders were refused because a newer leader has spoken.
	Fenced
	// Rejected orders were refused and never run.
	Rejected
	// Unhealthy instances have done nothing.
	Unhealthy
	// Mismatched orders met another boot at the address.
	Mismatched
	// Refused connections reached no process.
	Refused
	// Uncertain orders may still be carried out.
	Uncertain
)

// String names the outcome.
func (o Outcome) String() string {
	return [...]string{"none", "accepted", "fenced", "rejected", "unhealthy", "mismatched", "refused", "uncertain"}[o]
}

// Timing of decisions.
const (
	clockDrift               = fleet.ClockDrift        // stated bound on the clocks of instances
	leaseExpiryMargin        = 250 * time.Millisecond  // delivery of an order that was under way, and the kill at the lapse
	orderRetryInterval       = 250 * time.Millisecond  // an instance answers within milliseconds, so a lost order is repeated soon
	rejectedStartBackoff     = 100 * time.Millisecond  // one look settles what an instance really runs
	silentInstanceRetention  = 20 * time.Second        // instances announce themselves every 1.5 s
	finishedJobRetention     = 15 * time.Second        // orders may be carried out twelve seconds late
	defaultStepEstimate      = 500 * time.Millisecond  // work of a step without an estimate
	defaultAttempts          = 3                       // attempts of a queue that is no longer configured
	lateFactor               = 3                       // beyond three times its objective a job earns nothing
	unschedulableFailedPolls = 1                       // failed looks after which an instance gets no work
	runsPerFence             = 1_000_000_000           // run numbers of one term; a thousand stretches of it
	runsPerSession           = 1_000_000               // an hour of 300 starts a second
	shortPollWait            = 700 * time.Millisecond  // finds tasks that stand still within two looks
	longPollWait             = 2 * time.Second         // the longest wait that instances allow
	stallTimeout             = 1500 * time.Millisecond // progress shows in steps of a hundredth of a task of seconds
	serviceStallTimeout      = 4 * time.Second         // a standing task shows no progress while it starts
	unhealthyBackoff         = 2 * time.Second
)

// Options are the bounds that the deployment sets.
type Options struct {
	// Fence is the fencing token of this leadership, higher than any before.
	Fence uint64
	// Stretch counts how often this process has begun to lead with the same token, after its lease had run out in between.
	Session uint64
	// Lease is how long tasks outlive the last contact, for this leader and all before it.
	LeaseDuration time.Duration
	// Led is when the leadership began.
	LeadingSince time.Duration
}

// Scheduler places the tasks of all jobs.
type Scheduler struct {
	options       Options
	now           time.Duration
	wallMillis    int64 // milliseconds since 1970
	catalogue     *workload.Catalogue
	instances     map[fleet.InstanceID]*instance
	jobs          map[workload.JobID]*job
	customerUsage map[fleet.CustomerID]workload.Resources
	// poolUse is what each customer's work that ends takes of each pool.
	poolUsage          map[poolCustomer]workload.Resources
	runCounter         uint64
	orders             []Order
	ends               []state.End
	failedJobs         []workload.JobID
	completedJobs      []CompletedJob
	deregistrations    []fleet.InstanceID
	enrolments         []workload.Instance
	cordons            []fleet.InstanceID
	adviceRequests     []AdviceRequest
	adviceInFlight     bool
	adviceBackoffUntil time.Duration
	uncordons          []fleet.InstanceID
	lastBatch          uint64
	committedBatch     uint64
	superseded         bool
	unreconciled       map[fleet.InstanceID]bool
	decisions          []Decision
	waves              map[uint64]*wave
	machines           map[string]*machine
	machineOrders      []MachineOrder
	moves              map[string]*move
	demands            map[fleet.PoolID]*demand
	refusedMoves       map[refusedMove]bool
	// worked is set once a job with work that ends has come; until then nothing is known of the demand.
	batchWorkSeen    bool
	movesPlannedAt   time.Duration
	machinesListedAt time.Duration
}

// Decision is one line for the log.
type Decision struct {
	What     string
	Task     workload.TaskID
	Run      workload.Run
	Instance fleet.InstanceID
	Machine  string
	Reason   string
}

// Routine reports whether the decision is a start or an end that went well.
func (d Decision) Routine() bool {
	return d.What == "run placed" || d.What == "run ended" && d.Reason == string(workload.EndedDone)
}

// New returns a scheduler for one leadership, with what the committed state holds.
func New(now time.Duration, wallMillis int64, options Options, committed *state.Workload) *Scheduler {
	catalogue := committed.Catalogue
	s := &Scheduler{
		options:          options,
		now:              now,
		wallMillis:       wallMillis,
		catalogue:        &catalogue,
		instances:        map[fleet.InstanceID]*instance{},
		jobs:             map[workload.JobID]*job{},
		customerUsage:    map[fleet.CustomerID]workload.Resources{},
		poolUsage:        map[poolCustomer]workload.Resources{},
		unreconciled:     map[fleet.InstanceID]bool{},
		waves:            map[uint64]*wave{},
		machines:         map[string]*machine{},
		moves:            map[string]*move{},
		demands:          map[fleet.PoolID]*demand{},
		refusedMoves:     map[refusedMove]bool{},
		machinesListedAt: -machineListInterval,
	}
	for id, e := range committed.Enrolled {
		in := s.addInstance(e)
		in.enrolled = true
		in.clockReadAt = options.LeadingSince
		in.inherited = true
		in.cordonIndex = committed.Closed[id]
		in.cordoned = in.cordonIndex > 0
		s.unreconciled[id] = true
	}
	for _, r := range committed.Jobs {
		s.AddJob(now, wallMillis, r, true)
	}
	for _, r := range committed.Waves {
		s.AddWave(now, wallMillis, r)
	}
	return s
}

// SetCatalogue puts a new catalogue in force.
func (s *Scheduler) SetCatalogue(c *workload.Catalogue) {
	s.catalogue = c
	for _, j := range s.jobs {
		s.applyQueue(j)
	}
}

// Superseded reports whether an instance has seen a newer leader.
func (s *Scheduler) Superseded() bool { return s.superseded }

// Orders returns the orders made since the last call.
func (s *Scheduler) TakeOrders() []Order {
	list := s.orders
	s.orders = nil
	return list
}

// Decisions returns the log lines made since the last call.
func (s *Scheduler) TakeDecisions() []Decision {
	list := s.decisions
	s.decisions = nil
	return list
}

// Ends returns ends to commit and the number of their batch; Committed takes that number back.
func (s *Scheduler) TakeEnds() (ends []state.End, failed []workload.JobID, batch uint64) {
	if len(s.ends) == 0 && len(s.failedJobs) == 0 {
		return nil, nil, 0
	}
	ends, failed = s.ends, s.failedJobs
	s.ends, s.failedJobs = nil, nil
	s.lastBatch++
	return ends, failed, s.lastBatch
}

// Completed is a job whose last end is in the batch that was taken last.
type CompletedJob struct {
	Job workload.JobID
	// Took is the time since the job was accepted.
	Elapsed time.Duration
}

// Completed returns the jobs that are complete once the batch that was taken last is committed.
func (s *Scheduler) TakeCompleted() []CompletedJob {
	list := s.completedJobs
	s.completedJobs = nil
	return list
}

// Committed records that a batch of ends is committed; batches are committed in order.
func (s *Scheduler) ConfirmEnds(batch uint64) { s.committedBatch = max(s.committedBatch, batch) }

// Struck returns instances that run nothing any more and may leave the committed state.
func (s *Scheduler) TakeDeregistrations() []fleet.InstanceID {
	list := s.deregistrations
	s.deregistrations = nil
	return list
}

// Settled reports whether it is known where every task that an earlier leader started runs.
func (s *Scheduler) Reconciled() bool { return len(s.unreconciled) == 0 }

func (s *Scheduler) nextRunNumber() workload.Run {
	s.runCounter++
	return workload.Run(s.options.Fence*runsPerFence + s.options.Session*runsPerSession + s.runCounter)
}

func (s *Scheduler) logRunDecision(event string, r *run, in *instance, reason string) {
	s.decisions = append(s.decisions, Decision{What: event, Task: r.task, Run: r.number, Instance: in.ID, Reason: reason})
}
