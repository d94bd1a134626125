// Package leader runs the planner on the process that leads, and carries out what it decides.
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

// Topics of this package.
const (
	topicReport messenger.Topic = iota + 60
	topicWaitApplied
	topicExplain
)

// Intervals of the loop.
const (
	tickInterval          = 100 * time.Millisecond
	reportInterval        = 200 * time.Millisecond
	platformRetryInterval = 10 * time.Second
	resolveTimeout        = 3 * time.Second
	// checkpointAfter is how long a drained instance may run its tasks before they are asked to checkpoint.
	checkpointAfter = 5 * time.Second
	commitTimeout   = 5 * time.Second
	explainTimeout  = time.Second
	maxReportAge    = 3 * time.Second
)

// replica is the committed state and its membership.
type replica interface {
	View(read func(s *state.State))
	Status() replicator.Status
	CommitAll(ctx context.Context, commands []state.Command) ([]state.Reply, []error)
}

// sights are the announcements known here.
type announcements interface {
	Read(read func(s *sharer.Sharer))
}

// Platform drains and reboots instances.
type Platform interface {
	Drain(ctx context.Context, id fleet.InstanceID) error
	// Reboot reboots an instance unless it has booted since boot, so that a late request does no harm.
	Reboot(ctx context.Context, id fleet.InstanceID, boot string) error
}

// presser carries an action about a task to its target.
type actionSender interface {
	SendAction(address string, attempt fleet.AttemptID, action dispatcher.Action)
}

// fetcher asks a target what became of an attempt.
type outcomeFetcher interface {
	Outcome(ctx context.Context, address string, attempt fleet.AttemptID) (state.SettleClaim, bool)
}

// Options are what a leader needs to start.
type Options struct {
	Entry          fleet.EntryID
	Messenger      *messenger.Messenger
	Replica        replica
	Announcements  announcements
	Platform       Platform
	ActionSender   actionSender
	OutcomeFetcher outcomeFetcher
	// Reports returns what the pools owned here tell the leader.
	Reports func() []planner.PoolReport
	Logger  *zap.Logger
	Clock   func() time.Duration
	// Observe gets every view before it is planned on; it may be nil.
	OnView func(v *planner.View)
}

// Leader takes part in planning on every process and plans on the one that leads.
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

// Start runs until Close.
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

// report tells the leader about the pools owned here.
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

// Reports returns the latest reports of the pools, as the leader knows them.
func (l *Leader) Reports() []planner.PoolReport {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := make([]planner.PoolReport, 0, len(l.reports))
	for _, r := range l.reports {
		list = append(list, r.report)
	}
	return list
}

// plan runs one tick of the planner and commits its steps.
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
