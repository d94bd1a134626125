// Package leader runs the planner on the leading process, commits its steps and executes them.
package leader

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/sharer"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/table"
)

// Message topics of this package.
const (
	topicReport messenger.Topic = iota + 60
	topicWaitApplied
	topicExplain
	topicReadIndex
)

// Intervals and timeouts of the main loop.
const (
	tickInterval          = 100 * time.Millisecond
	reportInterval        = 200 * time.Millisecond
	platformRetryInterval = 10 * time.Second
	resolveTimeout        = 3 * time.Second
	// checkpointAfter is how long the tasks of a draining instance may run before they are asked to checkpoint.
	checkpointAfter = 5 * time.Second
	commitTimeout   = 5 * time.Second
	explainTimeout  = time.Second
	maxReportAge    = 3 * time.Second
)

// replica is the local copy of the committed state and the status of its replication.
type replica interface {
	View(read func(s *state.State))
	Status() replicator.Status
	Applied() (uint64, <-chan struct{})
	Leads() (term uint64, ok bool)
	CommitAll(ctx context.Context, commands []state.Command) ([]state.Reply, []error)
}

// announcements are the instance announcements known to this process.
type announcements interface {
	Read(read func(s *sharer.Sharer))
}

// Platform drains and reboots instances.
type Platform interface {
	Drain(ctx context.Context, id fleet.InstanceID) error
	// Reboot reboots an instance unless its boot id differs from boot, so that a late request does not reboot it twice.
	Reboot(ctx context.Context, id fleet.InstanceID, boot string) error
}

// actionSender sends an action on a task to its target.
type actionSender interface {
	SendAction(address string, attempt fleet.AttemptID, action dispatcher.Action)
}

// outcomeFetcher asks a target for the outcome of an attempt. It returns false if it gets no recorded outcome.
type outcomeFetcher interface {
	Outcome(ctx context.Context, address string, attempt fleet.AttemptID) (state.SettleClaim, bool)
}

// Options are the dependencies of a Leader.
type Options struct {
	Entry          fleet.EntryID
	Messenger      *messenger.Messenger
	Replica        replica
	Announcements  announcements
	Platform       Platform
	ActionSender   actionSender
	OutcomeFetcher outcomeFetcher
	// Reports returns the reports of the pools that this process owns.
	Reports func() []planner.PoolReport
	Logger  *zap.Logger
	Clock   func() time.Duration
	// OnView is called with every view before the planner uses it; it may be nil.
	OnView func(v *planner.View)
}

// Leader runs on every process: all report the pools that they own, and the leading one plans.
type Leader struct {
	options    Options
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mutex         sync.Mutex
	reports       map[fleet.PoolID]timedReport
	history       *history
	planner       *planner.Planner
	term          uint64
	lastRequested map[platformAction]time.Duration
	resolveTicks  map[fleet.RequestID]int
}

type timedReport struct {
	report     planner.PoolReport
	receivedAt time.Duration
}

// Start starts a Leader, which runs until Close.
func Start(o Options) *Leader {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Leader{
		options:       o,
		ctx:           ctx,
		cancel:        cancel,
		reports:       map[fleet.PoolID]timedReport{},
		history:       newHistory(),
		lastRequested: map[platformAction]time.Duration{},
		resolveTicks:  map[fleet.RequestID]int{},
	}
	o.Messenger.Handle(topicReport, l.handleReport)
	o.Messenger.Handle(topicWaitApplied, l.handleWaitApplied)
	o.Messenger.Handle(topicExplain, l.handleExplain)
	o.Messenger.Handle(topicReadIndex, l.handleReadIndex)
	l.goroutines.Go(l.loop)
	return l
}

// Close stops the leader and waits for its loop.
func (l *Leader) Close() error {
	l.cancel()
	l.goroutines.Wait()
	return nil
}

func (l *Leader) loop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	lastReport := time.Duration(0)
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
		if now := l.options.Clock(); now-lastReport >= reportInterval {
			lastReport = now
			l.sendReports(now)
		}
		if s := l.options.Replica.Status(); s.Leading {
			l.plan(s)
		}
	}
}

// sendReports sends the reports of the pools that this process owns to the leader.
func (l *Leader) sendReports(now time.Duration) {
	reports := l.options.Reports()
	s := l.options.Replica.Status()
	if len(reports) == 0 || s.Leader == "" {
		return
	}
	if s.Leader == l.options.Entry {
		l.storeReports(now, reports)
		return
	}
	l.options.Messenger.Send(s.Leader, topicReport, reports)
}

func (l *Leader) handleReport(_ context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var reports []planner.PoolReport
	if err := messenger.Codec.Decode(payload, &reports); err != nil {
		return nil, err
	}
	l.storeReports(l.options.Clock(), reports)
	return nil, nil
}

// storeReports keeps the latest report of each pool, and drops reports of an earlier ownership epoch.
func (l *Leader) storeReports(now time.Duration, reports []planner.PoolReport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range reports {
		if old, ok := l.reports[r.Pool]; ok && old.report.Epoch > r.Epoch {
			continue
		}
		l.reports[r.Pool] = timedReport{report: r, receivedAt: now}
	}
}

// Reports returns the latest report of each pool that this process has received as leader.
func (l *Leader) Reports() []planner.PoolReport {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := make([]planner.PoolReport, 0, len(l.reports))
	for _, r := range l.reports {
		list = append(list, r.report)
	}
	return list
}

// plan runs one tick of the planner, commits its steps, and starts the platform requests and claim queries that the state requires.
// A new term starts with a new planner.
func (l *Leader) plan(s replicator.Status) {
	if l.planner == nil || l.term != s.Term {
		l.planner = planner.New(time.Now())
		l.term = s.Term
	}
	var steps []planner.Step
	var orphans []state.Claim
	var disrupted []state.Assignment
	observations := l.observations()
	l.options.Replica.View(func(committed *state.State) {
		v := &planner.View{
			Now: time.Now(), State: committed, Observations: observations, Reports: l.freshReports(),
			Entries: entriesWithLease(committed, s), LeaseExpired: s.LeaseExpired,
		}
		if l.options.OnView != nil {
			l.options.OnView(v)
		}
		steps = l.planner.Tick(v)
		orphans = planner.OrphanedClaims(committed, s.LeaseExpired)
		disrupted = disruptedInstances(committed)
	})
	l.commit(steps)
	l.requestPlatformActions(disrupted)
	l.resolveOrphans(orphans)
}

// entriesWithLease returns the members that hold a state lease.
func entriesWithLease(committed *state.State, s replicator.Status) []fleet.EntryID {
	var list []fleet.EntryID
	for id := range committed.Members {
		if s.LeaseActive(id) {
			list = append(list, id)
		}
	}
	return list
}

func (l *Leader) observations() *table.Table[fleet.InstanceID, planner.Observation] {
	now := l.options.Clock()
	observations := table.New[fleet.InstanceID, planner.Observation]()
	l.options.Announcements.Read(func(announced *sharer.Sharer) {
		for _, observation := range announced.All() {
			observations.Put(observation.Instance.ID, planner.Observation{Instance: observation.Instance, Age: now - observation.LastSeen})
		}
	})
	return observations
}

// freshReports returns the reports that are younger than maxReportAge.
func (l *Leader) freshReports() *table.Table[fleet.PoolID, planner.PoolReport] {
	now := l.options.Clock()
	reports := table.New[fleet.PoolID, planner.PoolReport]()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, r := range l.reports {
		if now-r.receivedAt < maxReportAge {
			reports.Put(id, r.report)
		}
	}
	return reports
}

// commit commits the steps in order and logs each with its reason.
func (l *Leader) commit(steps []planner.Step) {
	if len(steps) == 0 {
		return
	}
	commands := make([]state.Command, len(steps))
	for i, s := range steps {
		commands[i] = s.Command
	}
	ctx, cancel := context.WithTimeout(l.ctx, commitTimeout)
	defer cancel()
	_, errs := l.options.Replica.CommitAll(ctx, commands)
	for i, s := range steps {
		l.recordStep(s, errs[i])
	}
}
