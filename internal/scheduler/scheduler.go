// Package scheduler decides which task runs on which instance. It is a state machine without I/O: the caller passes in
// committed state, instance reports and the time, and collects the orders to send and the task ends to commit.
package scheduler

import (
	"maps"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/accountant"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forecaster"
	"github.com/sapphiresail/sapphiresail/internal/namer"
	"github.com/sapphiresail/sapphiresail/internal/reserver"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// OrderKind is the kind of an order to an instance.
type OrderKind uint8

// Kinds of orders.
const (
	Start OrderKind = iota + 1
	Stop
	Throttle
	// ImmediatePoll requests a poll that returns without waiting for an end.
	ImmediatePoll
)

// String returns the name that logs and metrics use.
func (k OrderKind) String() string { return namer.Name(k, "none", "start", "stop", "pace", "glance") }

// Order is a command to an instance. It concerns one run, unless its kind is ImmediatePoll.
type Order struct {
	Kind       OrderKind        `cbor:"1,keyasint"`
	Instance   fleet.InstanceID `cbor:"2,keyasint"`
	Address    string           `cbor:"3,keyasint"`
	Task       workload.TaskID  `cbor:"4,keyasint"`
	Run        workload.Run     `cbor:"5,keyasint"`
	Spec       string           `cbor:"6,keyasint,omitempty"`
	Checkpoint string           `cbor:"7,keyasint,omitempty"`
	// Deadline is the end of the lease, on the clock of the instance.
	Deadline        time.Duration `cbor:"8,keyasint,omitempty"`
	Fence           uint64        `cbor:"9,keyasint"`
	ThrottlePercent int           `cbor:"10,keyasint,omitempty"`
	// Ticket is the policy service's authorisation of the start; it is empty on queues without advice.
	Ticket string `cbor:"11,keyasint,omitempty"`
	// Timeout is how long the sender waits for the response of the instance.
	Timeout time.Duration `cbor:"12,keyasint,omitempty"`
	// Reason is for the log.
	Reason string `cbor:"-"`
	// DataCentre is where the instance is.
	DataCentre fleet.DataCentreID `cbor:"-"`
	// Boot is the one for which the order was made. It is not on the wire; the sender has to reach it.
	Boot int64 `cbor:"13,keyasint,omitempty"`
}

// Outcome is the result of an order or poll as far as the leader knows it.
type Outcome uint8

// Outcomes of an order or poll.
const (
	// Accepted means that the instance executed the order.
	Accepted Outcome = iota + 1
	// Fenced means that the instance has seen a higher fencing token.
	Fenced
	// Rejected means that the instance refused the order and will never execute it.
	Rejected
	// Unhealthy means that the instance is unhealthy and did nothing.
	Unhealthy
	// Mismatched means that another boot serves the address.
	Mismatched
	// Refused means that no process accepted the connection.
	Refused
	// Uncertain means that the order may still be executed.
	Uncertain
	// Unsent means that the order was never sent, because the leader lease had expired.
	Unsent
	// Unpolled means that the order was never sent, because the instance is not polled yet or any more.
	Unpolled
	// Uncarried means that the process that was to send the exchange did not answer. An order may still be executed; of the instance a
	// poll shows nothing.
	Uncarried
	// Withheld means that the start was never sent, because the data centre of the instance was drained after it was ordered.
	Withheld
	// Restarted means that the order was never sent, because another boot of the instance answered.
	Restarted
)

// String returns the name that logs and metrics use.
func (o Outcome) String() string {
	return namer.Name(o, "none", "accepted", "fenced", "rejected", "unhealthy", "mismatched", "refused", "uncertain", "unsent", "unpolled", "uncarried", "withheld", "restarted")
}

// Timing and limits of decisions.
const (
	clockDrift               = fleet.MaxClockDrift     // bound on the relative drift of instance clocks
	leaseExpiryMargin        = 250 * time.Millisecond  // delivery of an order in flight and killing the run at lease expiry
	orderRetryInterval       = 250 * time.Millisecond  // instances answer within milliseconds, so a lost order is repeated soon
	rejectedStartBackoff     = 100 * time.Millisecond  // one poll shows what the instance really runs
	silentInstanceRetention  = 20 * time.Second        // instances announce themselves every 1.5 s
	finishedJobRetention     = 15 * time.Second        // an order may be executed 12 s late
	defaultStepEstimate      = 500 * time.Millisecond  // for a step without an estimate
	defaultAttempts          = 3                       // for a queue that is no longer configured
	unschedulableFailedPolls = 1                       // consecutive failed polls that make an instance unschedulable
	runsPerFence             = 1_000_000_000           // run numbers of one term: 11 days at 1,000 starts a second
	shortPollWait            = 700 * time.Millisecond  // detects a stalled task within two polls
	longPollWait             = 2 * time.Second         // longest wait that instances allow
	stallTimeout             = 1500 * time.Millisecond // progress is reported in steps of 1% of a task that takes seconds
	serviceStallTimeout      = 4 * time.Second         // a service task reports no progress while it starts
	unhealthyBackoff         = 2 * time.Second
)

// Options describe one leadership and the lease duration of the deployment.
type Options struct {
	// Fence is the fencing token of this leadership, higher than that of any earlier one.
	Fence uint64
	// LeaseDuration is how long runs continue after the last contact, under this and all earlier leaders.
	LeaseDuration time.Duration
	// LeadingSince is when the leadership began.
	LeadingSince time.Duration
	// MachineOrderRate is how many machine orders a second the platform accepts from all keepers; zero selects a default.
	MachineOrderRate float64
	// DrainedDataCentres are the data centres on whose instances nothing is started.
	DrainedDataCentres map[fleet.DataCentreID]bool
	// WithoutCriteria are the placement criteria that do not apply.
	WithoutCriteria Criteria
	// FleetShares gives customers their share of the fleet over the last seconds.
	FleetShares bool
}

// Scheduler places the tasks of all jobs. It is not safe for concurrent use.
type Scheduler struct {
	options    Options
	now        time.Duration
	wallMillis int64 // Unix time
	catalogue  *workload.Catalogue
	instances  instanceTable
	jobs       map[workload.JobID]*job
	activeJobs jobQueue
	// finishedJobs are the finished jobs that are still known, the first finished first.
	finishedJobs []*job
	// candidateLists is kept to use its memory again.
	candidateLists candidateLists
	// poolSizes are the numbers of schedulable instances in the planning run before.
	poolSizes map[fleet.PoolID]int
	// newlyEnrolled are the instances whose enrolment was confirmed since TakeEnrolled.
	newlyEnrolled []*instance
	customerUsage map[fleet.CustomerID]*workload.Resources
	accounts      map[poolCustomer]*account
	// accountant holds the accounts over the whole fleet, and fleetUsages what is charged to them.
	accountant  *accountant.Accountant
	fleetUsages map[fleet.CustomerID]*fleetUsage
	// sortedByLevel is kept to use its memory again.
	sortedByLevel   []candidate
	placementRound  uint64
	runCounter      uint64
	orders          []Order
	ends            []state.RunEnd
	crashes         []state.TaskCrashes
	failedJobs      []workload.JobID
	completedJobs   []CompletedJob
	deregistrations []fleet.InstanceID
	// deregistered are the committed boots and those of deregistrations. Their earlier announcements may still arrive.
	deregistered state.DeregisteredBoots
	// enrolments are the instances to enrol that were not taken yet.
	enrolments []*instance
	// enrolling holds the enrolments of each ID that the caller has to commit, in order; cancelled ones are nil.
	enrolling          map[fleet.InstanceID][]*instance
	cordons            []fleet.InstanceID
	stopping           []stoppingRun
	adviceRequests     []AdviceRequest
	adviceInFlight     bool
	adviceBackoffUntil time.Duration
	uncordons          []fleet.InstanceID
	lastBatch          uint64
	committedBatch     uint64
	superseded         bool
	unreconciled       map[fleet.InstanceID]bool
	// unreconciledCapacity is the sum over the unreconciled instances in the current planning run.
	unreconciledCapacity workload.Resources
	decisions            []Decision
	waves                map[uint64]*wave
	machines             map[string]*machine
	// machineNames are the keys of machines in order.
	machineNames  []string
	machineOrders []MachineOrder
	moves         map[string]*move
	machineBudget machineBudget
	// unansweredMoves is the number of moves whose order is in flight.
	unansweredMoves int
	demands         map[fleet.PoolID]*demand
	refusedMoves    map[refusedMove]bool
	// reserved are the instances with reservations for service tasks.
	reserved    []*instance
	waveReports []WaveReport
	// platformFencedAt is when the platform first answered a machine order of this term, zero before that.
	platformFencedAt time.Duration
	// batchWorkSeen is set by the first job with a batch step; until then the demand is unknown.
	batchWorkSeen  bool
	probations     []probation
	crashHistories map[fleet.PoolID]*crashHistory
	// drainedDataCentres is replaced rather than changed.
	drainedDataCentres map[fleet.DataCentreID]bool
	machineDataCentres map[string]fleet.DataCentreID
	movesPlannedAt     time.Duration
	machinesListedAt   time.Duration
	// machineListRequestedAt is when the latest list of machines that was applied was requested.
	machineListRequestedAt time.Duration
	forecaster             *forecaster.Forecaster
	// finishes is kept to use its memory again.
	finishes []time.Duration
	// forecastError is why the committed summary of run times was ignored.
	forecastError error
	// forecastTakenAt is when a summary of run times was due last.
	forecastTakenAt time.Duration
	// reservations are those for waiting batch tasks.
	reservations []*reservation
	// rackOutlooks are those of the racks that tasks wait for, in the current planning run.
	rackOutlooks map[poolRack]*rackOutlook
	// spreads are those of the batch work of each customer in each pool, and rackIndexes the indexes of racks in them.
	spreads     map[poolCustomer]*spread
	rackIndexes map[string]int
	// outlook and slots are kept to use their memory again.
	outlook reserver.Outlook
	slots   []time.Duration
	// backlog is the one that was measured last, nil if none is.
	backlog *Backlog
}

// Decision is one decision for the log.
type Decision struct {
	// What is the name of the decision in logs and metrics.
	What     string
	Task     workload.TaskID
	Run      workload.Run
	Instance fleet.InstanceID
	Machine  string
	Reason   string
}

// Routine reports whether the decision is a start or the end of a run that is done.
func (d Decision) Routine() bool {
	return d.What == "run placed" || d.What == "run ended" && d.Reason == string(workload.EndedDone)
}

// New returns a scheduler for one leadership, initialised from the committed state.
func New(now time.Duration, wallMillis int64, options Options, committed *state.Workload) *Scheduler {
	catalogue := committed.Catalogue
	s := &Scheduler{
		options:          options,
		now:              now,
		wallMillis:       wallMillis,
		catalogue:        &catalogue,
		instances:        newInstanceTable(),
		jobs:             map[workload.JobID]*job{},
		customerUsage:    map[fleet.CustomerID]*workload.Resources{},
		accounts:         map[poolCustomer]*account{},
		accountant:       accountant.New(now),
		fleetUsages:      map[fleet.CustomerID]*fleetUsage{},
		enrolling:        map[fleet.InstanceID][]*instance{},
		unreconciled:     map[fleet.InstanceID]bool{},
		waves:            map[uint64]*wave{},
		machines:         map[string]*machine{},
		moves:            map[string]*move{},
		machineBudget:    newMachineBudget(now, options.MachineOrderRate),
		poolSizes:        map[fleet.PoolID]int{},
		demands:          map[fleet.PoolID]*demand{},
		refusedMoves:     map[refusedMove]bool{},
		crashHistories:   map[fleet.PoolID]*crashHistory{},
		machinesListedAt: -machineListInterval,

		drainedDataCentres: options.DrainedDataCentres,
		machineDataCentres: map[string]fleet.DataCentreID{},
		deregistered:       state.DeregisteredBoots{},
		forecaster:         forecaster.New(),
		rackOutlooks:       map[poolRack]*rackOutlook{},
		spreads:            map[poolCustomer]*spread{},
		rackIndexes:        map[string]int{},
		forecastTakenAt:    now,
	}
	maps.Copy(s.machineDataCentres, committed.MachineDataCentres)
	maps.Copy(s.deregistered, committed.Deregistered)
	s.restoreForecast(committed.Forecast)
	for id, e := range committed.Enrolled {
		in := s.addInstance(e)
		in.enrolled = true
		in.drainCommitted = e.Draining
		in.committedCapacity = e.Capacity
		in.committedWarmAt = e.WarmAt()
		in.clockReadAt = options.LeadingSince
		in.inherited, in.earlierLeases = true, true
		in.fromCommitted = true
		in.cordonIndex = committed.Cordoned[id]
		in.cordoned = in.cordonIndex > 0
		s.unreconciled[id] = true
	}
	for _, r := range committed.Jobs {
		s.AddJob(now, wallMillis, r, true)
	}
	for _, r := range committed.Waves {
		s.AddWave(now, wallMillis, r)
		s.waves[r.Wave.Number].inherited = true
	}
	return s
}

// SetCatalogue replaces the catalogue and applies it to all jobs.
func (s *Scheduler) SetCatalogue(c *workload.Catalogue) {
	s.catalogue = c
	s.activeJobs.unsorted = true
	for _, j := range s.jobs {
		s.applyCatalogue(j)
	}
}

// Superseded reports whether an instance or the platform has seen a higher fencing token.
func (s *Scheduler) Superseded() bool { return s.superseded }

// TakeOrders returns the orders issued since the last call.
func (s *Scheduler) TakeOrders() []Order {
	list := s.orders
	s.orders = nil
	return list
}

// TakeDecisions returns the decisions made since the last call.
func (s *Scheduler) TakeDecisions() []Decision {
	list := s.decisions
	s.decisions = nil
	return list
}

// TakeEnds returns the ends and failed jobs to commit and the number of their batch, for ConfirmEnds. The number is zero
// when there are none.
func (s *Scheduler) TakeEnds() (ends []state.RunEnd, failed []workload.JobID, batch uint64) {
	if len(s.ends) == 0 && len(s.failedJobs) == 0 && len(s.crashes) == 0 {
		return nil, nil, 0
	}
	ends, failed = s.ends, s.failedJobs
	s.ends, s.failedJobs = nil, nil
	s.lastBatch++
	return ends, failed, s.lastBatch
}

// TakeCrashes returns the counts of crashes to commit with the batch that TakeEnds returned last.
func (s *Scheduler) TakeCrashes() []state.TaskCrashes {
	list := s.crashes
	s.crashes = nil
	return list
}

// CompletedJob is a job whose last end is in the batch that TakeEnds returned last.
type CompletedJob struct {
	Job workload.JobID
	// Elapsed is the time since the job was accepted.
	Elapsed time.Duration
}

// TakeCompleted returns the jobs that are complete once the batch that TakeEnds returned last is committed.
func (s *Scheduler) TakeCompleted() []CompletedJob {
	list := s.completedJobs
	s.completedJobs = nil
	return list
}

// ConfirmEnds records that a batch of ends is committed. Batches are committed in order.
func (s *Scheduler) ConfirmEnds(batch uint64) { s.committedBatch = max(s.committedBatch, batch) }

// Reconciled reports whether the runs that earlier leaders started are known on every instance.
func (s *Scheduler) Reconciled() bool { return len(s.unreconciled) == 0 }

func (s *Scheduler) nextRunNumber() workload.Run {
	s.runCounter++
	return workload.Run(s.options.Fence*runsPerFence + s.runCounter)
}

func (s *Scheduler) logRunDecision(event string, r *run, in *instance, reason string) {
	s.decisions = append(s.decisions, Decision{What: event, Task: r.task, Run: r.number, Instance: in.ID, Reason: reason})
}
