// Package supervisor runs the scheduler on the leading keeper: it handles requests, commits commands and sends orders to instances.
package supervisor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/bootclock"
	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Replica is the local member of the consensus group.
type Replica interface {
	// Leads returns the term in which this member holds the leader lease now; ok is false if it does not hold it.
	Leads() (term uint64, ok bool)
	// LeaderLeaseLeft returns the remaining time of the leader lease; it is negative since the lease expired.
	LeaderLeaseLeft() time.Duration
	// LeaderTerm returns the term of which this member is the leader, with or without the lease; ok is false if there is none.
	LeaderTerm() (term uint64, ok bool)
	// View calls read with the committed state.
	View(read func(s *state.State))
	// CommitAll commits commands in order and returns a reply and an error for each. It returns early once ctx ends; the commands
	// may still be committed then, but only before any that are passed to a later call.
	CommitAll(ctx context.Context, commands []state.Command) ([]state.Reply, []error)
	// Resign gives up the leadership of a term. This member may lead again in a later one.
	Resign(term uint64)
}

// Instances sends orders and polls to instances.
type Instances interface {
	Order(ctx context.Context, o scheduler.Order) (scheduler.Outcome, error)
	Poll(ctx context.Context, request scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error)
}

// Machines requests moves and maintenance of machines from the platform.
type Machines interface {
	// OrderMachine sends an order; holder and fence name the leader and its term, so that the platform refuses an earlier leader.
	OrderMachine(ctx context.Context, holder fleet.EntryID, fence uint64, o scheduler.MachineOrder) (scheduler.MachineOutcome, error)
	ListMachines(ctx context.Context) ([]scheduler.Machine, error)
}

// Adviser requests from the policy service which instances may run a step, and returns a ticket for each of them.
type Adviser interface {
	Advise(ctx context.Context, step workload.TaskID, instances []fleet.InstanceID) (map[fleet.InstanceID]string, error)
}

// Options are the dependencies and settings of a supervisor.
type Options struct {
	Entry     fleet.EntryID
	Replica   Replica
	Instances Instances
	Machines  Machines
	Adviser   Adviser
	// Lease is how long tasks keep running after the last contact of their instance with a leader.
	Lease time.Duration
	// MachineOrderRate is how many machine orders a second the platform accepts from all keepers; zero selects a default.
	MachineOrderRate float64
	// DataCentres are those that the settings name; requests may also name those of instances.
	DataCentres []fleet.DataCentreID
	// RefuseHopelessJobs has jobs refused that can certainly not be complete while they are worth anything.
	RefuseHopelessJobs bool
	// FleetShares gives customers their share of the fleet over the last seconds.
	FleetShares bool
	// JobRetention is how long the record of a job is kept after its end.
	JobRetention time.Duration
	// Jobs, Waves and EnrolledInstances are what accepted ones may take of the memory; without a share they are not charged.
	Jobs              *budgeter.Share
	Waves             *budgeter.Share
	EnrolledInstances *budgeter.Share
	Logger            *zap.Logger
	Metrics           metrics.Registry
}

const leadershipCheckInterval = 20 * time.Millisecond // a new leader sends orders within two intervals

// Supervisor runs a scheduler while its replica leads.
type Supervisor struct {
	options     Options
	instruments *instruments
	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	term        atomic.Pointer[term]
	// lastTerm is the latest term in which a scheduler was run.
	lastTerm uint64
}

// Start runs a supervisor until Close.
func Start(o Options) *Supervisor {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Supervisor{options: o, ctx: ctx, cancel: cancel, instruments: newInstruments(o.Metrics)}
	s.goroutines.Go(s.run)
	return s
}

// Close ends the current term and waits for all its goroutines.
func (s *Supervisor) Close() error {
	s.cancel()
	s.goroutines.Wait()
	return nil
}

func (s *Supervisor) run() {
	ticker := time.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for {
		if number, ok := s.options.Replica.Leads(); ok {
			s.runTerm(number)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runTerm runs a scheduler until its leadership ends. Requests are handled once it knows all commands of the earlier ones.
//
// A term has one scheduler, because the term is the fencing token of its orders: an order of a scheduler that ended within the term, as
// after a commit that failed, may still be carried out and would not be told from those of the next. So the leadership is given up.
func (s *Supervisor) runTerm(number uint64) {
	if number == s.lastTerm {
		event.LeadershipGivenUp.Info(s.options.Logger, zap.Uint64("term", number))
		s.options.Replica.Resign(number)
		return
	}
	t := newTerm(s.ctx, &s.options, s.instruments, number)
	defer t.close()
	if !t.commitBarrier() {
		return
	}
	s.lastTerm = number
	s.instruments.termsLed.Inc(1)
	s.term.Store(t)
	t.run()
	s.term.Store(nil)
}

// HandleRequest handles a request; the outcome is NotLeading if it must go to another keeper.
func (s *Supervisor) HandleRequest(ctx context.Context, request forwarder.Request) forwarder.Response {
	t := s.term.Load()
	if t == nil || !t.leads() {
		return forwarder.Response{Outcome: forwarder.NotLeading}
	}
	return t.handle(ctx, request)
}

// Leads reports whether this process leads and whether a catalogue is in force.
func (s *Supervisor) Leads() (leads, ready bool) {
	t := s.term.Load()
	if t == nil || !t.leads() {
		return false, false
	}
	return true, t.ready.Load()
}

// monotonicNow returns the time since boot.
func monotonicNow() time.Duration { return bootclock.Now() }

// wallMillis returns the Unix time in milliseconds.
func wallMillis() int64 { return time.Now().UnixMilli() }
