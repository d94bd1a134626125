// Package supervisor runs the scheduler on the leading keeper: it answers calls, commits, and carries orders to instances.
package supervisor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/bootclock"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Replica is the member of the consensus group that the supervisor leads with.
type Replica interface {
	// Leads returns the term that this member leads at this very moment.
	Leads() (term uint64, ok bool)
	View(read func(s *state.State))
	CommitAll(ctx context.Context, commands []state.Command) ([]state.Reply, []error)
}

// Instances carries orders and looks to instances.
type Instances interface {
	Order(ctx context.Context, o scheduler.Order) (scheduler.Outcome, error)
	Poll(ctx context.Context, q scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error)
}

// Machines asks the platform for planned work on machines.
type Machines interface {
	OrderMachine(ctx context.Context, holder fleet.EntryID, fence uint64, o scheduler.MachineOrder) (scheduler.MachineOutcome, error)
	ListMachines(ctx context.Context) ([]scheduler.Machine, error)
}

// Adviser asks the policy service which instances may run a step, and returns a ticket for each that may.
type Adviser interface {
	Advise(ctx context.Context, step workload.TaskID, instances []fleet.InstanceID) (map[fleet.InstanceID]string, error)
}

// Options are what a supervisor needs to start.
type Options struct {
	Entry     fleet.EntryID
	Replica   Replica
	Instances Instances
	Machines  Machines
	Adviser   Adviser
	// Lease is how long tasks outlive the last contact.
	Lease time.Duration
	// Retain is how long the state of a job that is over is kept.
	JobRetention time.Duration
	Logger       *zap.Logger
	Metrics      metrics.Registry
}

const leadershipCheckInterval = 20 * time.Millisecond // a new leader orders within two of these

// Supervisor leads while its replica does.
type Supervisor struct {
	options     Options
	instruments *instruments
	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	term        atomic.Pointer[term]
	// last is the latest term led and stretch how often it was taken up again.
	lastTerm    uint64
	resumptions uint64
}

// Start runs a supervisor until Close.
func Start(o Options) *Supervisor {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Supervisor{options: o, ctx: ctx, cancel: cancel, instruments: newInstruments(o.Metrics)}
	s.goroutines.Go(s.run)
	return s
}

// Close ends the leadership and waits for everything that it started.
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

// lead runs one term until it is over.
func (s *Supervisor) runTerm(number uint64) {
	s.resumptions++
	if number != s.lastTerm {
		s.lastTerm, s.resumptions = number, 0
	}
	t := newTerm(s.ctx, &s.options, s.instruments, number, s.resumptions)
	s.instruments.termsLed.Inc(1)
	s.term.Store(t)
	t.run()
	s.term.Store(nil)
}

// Answer answers a call; it is NotLeading where another keeper must be asked.
func (s *Supervisor) HandleRequest(ctx context.Context, request forwarder.Ask) forwarder.Answer {
	t := s.term.Load()
	if t == nil || !t.leads() {
		return forwarder.Answer{Verdict: forwarder.NotLeading}
	}
	return t.handle(ctx, request)
}

// Leads reports whether this process leads and has a catalogue in force.
func (s *Supervisor) Leads() (leads, ready bool) {
	t := s.term.Load()
	if t == nil || !t.leads() {
		return false, false
	}
	return true, t.ready.Load()
}

func monotonicNow() time.Duration { return bootclock.Now() }

func wallMillis() int64 { return time.Now().UnixMilli() }
