package supervisor

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Limits and timing of the event loop of a term.
const (
	inboxCapacity      = 4096
	maxPostsPerBatch   = 256
	planDelay          = 4 * time.Millisecond   // batches events that arrive together; a commit takes longer
	idlePlanInterval   = 50 * time.Millisecond  // due times, leases and retries are checked at this interval
	pollCheckInterval  = time.Second            // a loop over all instances; those that are enrolled meanwhile are polled at once
	jobReleaseInterval = 2 * time.Second        // a job past its retention only costs memory
	maxFirstPolls      = 128                    // first polls in flight: those of a whole fleet would hold up the loop for seconds
	maxOrdersInFlight  = 3                      // concurrent orders to one instance, to limit the connections opened
	missedPollBackoff  = 200 * time.Millisecond // an unresponsive instance is polled five times a second
)

// term is one period of leadership of this process. An event loop owns the scheduler; other goroutines post functions to it.
type term struct {
	options     *Options
	instruments *instruments
	number      uint64
	ctx         context.Context
	cancel      context.CancelFunc
	inbox       chan func()
	ready       atomic.Bool
	mutex       sync.Mutex
	goroutines  sync.WaitGroup
	closed      bool
	// firstPolls has a slot for each instance that is polled for the first time.
	firstPolls chan struct{}
	jobQueue   *jobQueue
	// jobRoom, waveRoom and instanceRoom charge what was accepted.
	jobRoom      *reservations[workload.JobID]
	waveRoom     *reservations[uint64]
	instanceRoom *reservations[fleet.InstanceID]
	// explaining is set while the placement of a job is being explained.
	explaining atomic.Bool

	// The fields below are accessed only by the loop.
	scheduler            *scheduler.Scheduler
	dispatchers          map[fleet.InstanceID]*dispatcher
	committingEnds       bool
	pendingRegistrations []registration
	registrationInFlight bool
	settledLogged        bool
	pausedAt             time.Duration // zero while the lease is held
	lastRelease          time.Duration
	drainsRestatedAt     time.Duration
	loggedDrains         map[fleet.DataCentreID]bool // those of the start of the term and of the changes that were logged since
	lastPollCheck        time.Duration
	// postsWithoutPlan counts the functions of a batch after which the scheduler need not run.
	postsWithoutPlan   int
	logLimiter         logLimiter
	mismatched         map[workload.JobID]mismatch
	committingForecast bool
	planPacer          planPacer
	pollPacer          pollPacer
	admission          admission
	catalogueClock     catalogueClock

	// drained holds the data centres in which nothing may be started. The loop replaces the map; senders of orders read it.
	drained atomic.Pointer[map[fleet.DataCentreID]bool]

	load load
}

// dispatcher limits the orders in flight to one boot of an instance. Once ctx is cancelled the boot is not polled, and gets no order that waits.
type dispatcher struct {
	ctx   context.Context
	slots chan struct{}
	// started receives when a start is sent.
	started chan struct{}
	cancel  context.CancelFunc
}

// acquire waits for a slot, and returns false if ctx ends first.
func (d *dispatcher) acquire() bool {
	select {
	case d.slots <- struct{}{}:
	case <-d.ctx.Done():
		return false
	}
	if d.ctx.Err() != nil {
		<-d.slots
		return false
	}
	return true
}

func newTerm(ctx context.Context, o *Options, m *instruments, number uint64) *term {
	t := &term{options: o, instruments: m, number: number, inbox: make(chan func(), inboxCapacity), firstPolls: make(chan struct{}, maxFirstPolls), jobQueue: newJobQueue(defaultJobLimits), jobRoom: newReservations[workload.JobID](o.Jobs), waveRoom: newReservations[uint64](o.Waves), instanceRoom: newReservations[fleet.InstanceID](o.EnrolledInstances), dispatchers: map[fleet.InstanceID]*dispatcher{}, loggedDrains: map[fleet.DataCentreID]bool{}, pollPacer: pollPacer{limits: defaultPollLimits}}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t
}

// leads reports whether this member holds the leader lease, without which nothing may be sent.
func (t *term) leads() bool {
	number, ok := t.options.Replica.Leads()
	return ok && number == t.number && t.ctx.Err() == nil
}

// lasts reports whether this member is still the leader of the term. If it regains an expired lease in the same term, no other
// keeper has led in between: a quorum that has joined a later term acknowledges nothing in this one.
func (t *term) lasts() bool {
	number, ok := t.options.Replica.LeaderTerm()
	return ok && number == t.number && t.ctx.Err() == nil
}

// run runs the event loop until the term ends, and then ends the goroutines of the term.
func (t *term) run() {
	t.start()
	reason := t.loop()
	lapsed := -t.options.Replica.LeaderLeaseLeft()
	t.cancel()
	t.logLoad(time.Now())
	t.close()
	t.instruments.resetGauges()
	event.LeadershipEnded.Info(t.options.Logger, zap.Uint64("term", t.number), zap.String("reason", reason), zap.Duration("lapsed", lapsed))
}

// spawn starts a goroutine that close waits for; after close it starts none.
func (t *term) spawn(run func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.closed {
		t.goroutines.Go(run)
	}
}

// close ends the goroutines of the term. No command of the term is proposed after that.
func (t *term) close() {
	t.cancel()
	t.mutex.Lock()
	t.closed = true
	t.mutex.Unlock()
	t.goroutines.Wait()
	t.jobRoom.close()
	t.waveRoom.close()
	t.instanceRoom.close()
}

// commitBarrier commits a barrier and reports whether it is applied and the term still lasts.
//
// Earlier terms of this process may have proposed commands that are not committed yet, and their callbacks are gone. The
// scheduler is built from one reading of the committed state, so all of these commands must be in it or never be committed:
// close has waited for the goroutines that propose them, the replicator keeps proposals in order from its inbox to the log,
// and entries are applied in the order of the log. A proposal that Raft has refused or that a later term has overwritten is
// never committed.
func (t *term) commitBarrier() bool {
	committed := make(chan error, 1)
	t.spawn(func() {
		_, errs := t.commitAll([]state.Command{state.Barrier{}})
		committed <- errs[0]
	})
	ticker := time.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-committed:
			return err == nil && t.lasts()
		case <-ticker.C:
			if !t.lasts() {
				return false
			}
		}
	}
}

// start builds the scheduler from the committed state and runs it once.
func (t *term) start() {
	now := monotonicNow()
	jobs, instances, forecastBytes := 0, 0, 0
	t.options.Replica.View(func(s *state.State) {
		drained := t.readDrains(s)
		maps.Copy(t.loggedDrains, drained)
		t.scheduler = scheduler.New(now, wallMillis(), scheduler.Options{
			Fence: t.number, LeaseDuration: t.options.Lease, LeadingSince: now, MachineOrderRate: t.options.MachineOrderRate, DrainedDataCentres: drained,
			FleetShares: t.options.FleetShares,
		}, &s.Workload)
		t.ready.Store(s.Workload.Catalogue.Version > 0)
		t.settleReservations(s)
		jobs, instances, forecastBytes = len(s.Workload.Jobs), len(s.Workload.Enrolled), len(s.Workload.Forecast)
	})
	t.catalogueAge() // begins to count
	event.LeadershipAcquired.Info(t.options.Logger, zap.Uint64("term", t.number), zap.Int("jobs", jobs), zap.Int("instances", instances))
	t.logForecastError(forecastBytes)
	t.load.reset(time.Now())
	t.plan()
}

// loop runs posted functions and the scheduler, and returns the reason why the leadership ended.
func (t *term) loop() (reason string) {
	ticker := time.NewTicker(idlePlanInterval)
	defer ticker.Stop()
	var planTimer <-chan time.Time
	for {
		select {
		case <-t.ctx.Done():
			return "stopped"
		case f := <-t.inbox:
			if planWanted := t.runBatch(f); planWanted && planTimer == nil {
				planTimer = time.After(t.planPacer.delay(monotonicNow(), planDelay))
			}
			continue
		case <-ticker.C:
			if planTimer == nil {
				planTimer = time.After(t.planPacer.delay(monotonicNow(), 0))
			}
			continue
		case <-planTimer:
			planTimer = nil
		}
		if !t.lasts() {
			return "no longer the leader of the term"
		}
		if t.paused() {
			continue
		}
		t.plan()
		if t.scheduler.Superseded() {
			return "superseded by a newer leader: fencing token rejected"
		}
	}
}

// paused reports whether the lease has expired. Until it is regained the scheduler keeps what it knows and decides nothing.
func (t *term) paused() bool {
	now := monotonicNow()
	if !t.leads() {
		if t.pausedAt == 0 {
			t.pausedAt = now
			t.instruments.leaseLapses.Inc(1)
		}
		return true
	}
	if t.pausedAt > 0 {
		event.LeadershipResumed.Info(t.options.Logger, zap.Uint64("term", t.number), zap.Duration("paused", now-t.pausedAt))
		t.pausedAt = 0
	}
	return false
}

// drainInbox runs the functions already posted, up to maxPostsPerBatch, and returns their number.
func (t *term) drainInbox() int {
	for n := range maxPostsPerBatch {
		select {
		case f := <-t.inbox:
			f()
		default:
			return n
		}
	}
	return maxPostsPerBatch
}

// skipPlan says that the function that the loop runs changes nothing on which a decision depends but the time. Thousands of idle instances
// would otherwise have the scheduler run all the time.
func (t *term) skipPlan() { t.postsWithoutPlan++ }

// post queues f for the loop; it returns false if the term ended first.
func (t *term) post(f func()) bool {
	select {
	case t.inbox <- t.sampled(f):
		return true
	case <-t.ctx.Done():
		return false
	}
}

// postAndWait runs f in the loop and waits for it; it returns false if ctx or the term ended first.
func (t *term) postAndWait(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	if !t.post(func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	return false
}

// runScheduler makes the decisions that are due and starts the orders, requests and commits that follow from them.
func (t *term) runScheduler() {
	now := monotonicNow()
	t.scheduler.Tick(now, wallMillis())
	t.measureBacklog(now)
	t.startPolls(now)
	for _, o := range t.scheduler.TakeOrders() {
		t.dispatch(o)
	}
	for _, o := range t.scheduler.TakeMachineOrders() {
		t.spawn(func() { t.sendMachineOrder(o) })
	}
	for _, o := range t.scheduler.TakeAdviceRequests() {
		t.spawn(func() { t.requestAdvice(o) })
	}
	if t.scheduler.MachineListDue() {
		t.spawn(t.listMachines)
	}
	t.commitEnds()
	t.commitInstanceChanges()
	t.commitForecast()
	t.logDecisions(now)
	t.logWaves()
	t.releaseJobs(now)
	if !t.settledLogged && t.scheduler.Reconciled() {
		t.settledLogged = true
		event.RunsReconciled.Info(t.options.Logger, zap.Uint64("term", t.number))
	}
}
