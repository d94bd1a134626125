package supervisor

import (
	"context"
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
	jobReleaseInterval = 2 * time.Second        // a job past its retention only costs memory
	maxOrdersInFlight  = 3                      // concurrent orders to one instance, to limit the connections opened
	minPollInterval    = 80 * time.Millisecond  // run ends close in time are fetched with one poll
	missedPollBackoff  = 200 * time.Millisecond // an unresponsive instance is polled five times a second
)

// term is one period of leadership of this process. An event loop owns the scheduler; other goroutines post functions to it.
type term struct {
	options     *Options
	instruments *instruments
	number      uint64
	resumptions uint64
	ctx         context.Context
	cancel      context.CancelFunc
	inbox       chan func()
	ready       atomic.Bool
	mutex       sync.Mutex
	goroutines  sync.WaitGroup
	closed      bool

	// The fields below are accessed only by the loop.
	scheduler            *scheduler.Scheduler
	dispatchers          map[fleet.InstanceID]*dispatcher
	committingEnds       bool
	pendingRegistrations []registration
	registrationInFlight bool
	settledLogged        bool
	lastRelease          time.Duration
	pacer                planPacer
	logLimiter           logLimiter
}

// dispatcher limits the orders in flight to one boot of an instance and cancels its polling.
type dispatcher struct {
	slots  chan struct{}
	cancel context.CancelFunc
}

func newTerm(ctx context.Context, o *Options, m *instruments, number, resumptions uint64) *term {
	t := &term{options: o, instruments: m, number: number, resumptions: resumptions, inbox: make(chan func(), inboxCapacity), dispatchers: map[fleet.InstanceID]*dispatcher{}}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t
}

func (t *term) leads() bool {
	number, ok := t.options.Replica.Leads()
	return ok && number == t.number && t.ctx.Err() == nil
}

// run runs the event loop until another keeper may lead, and then ends the goroutines of the term.
func (t *term) run() {
	t.start()
	reason := t.loop()
	t.cancel()
	t.close()
	event.LeadershipEnded.Info(t.options.Logger, zap.Uint64("term", t.number), zap.String("reason", reason))
}

// spawn starts a goroutine that close waits for; after close it starts none.
func (t *term) spawn(run func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.closed {
		t.goroutines.Go(run)
	}
}

func (t *term) close() {
	t.mutex.Lock()
	t.closed = true
	t.mutex.Unlock()
	t.goroutines.Wait()
}

// start builds the scheduler from the committed state and runs it once.
func (t *term) start() {
	now := monotonicNow()
	jobs, instances := 0, 0
	t.options.Replica.View(func(s *state.State) {
		t.scheduler = scheduler.New(now, wallMillis(), scheduler.Options{
			Fence: t.number, Session: t.resumptions, LeaseDuration: t.options.Lease, LeadingSince: now,
		}, &s.Workload)
		t.ready.Store(s.Workload.Catalogue.Version > 0)
		jobs, instances = len(s.Workload.Jobs), len(s.Workload.Enrolled)
	})
	event.LeadershipAcquired.Info(t.options.Logger, zap.Uint64("term", t.number), zap.Int("jobs", jobs), zap.Int("instances", instances))
	t.runScheduler()
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
			f()
			t.drainInbox()
			if planTimer == nil {
				planTimer = time.After(t.pacer.delay(monotonicNow(), planDelay))
			}
			continue
		case <-ticker.C:
			if planTimer == nil {
				planTimer = time.After(t.pacer.delay(monotonicNow(), 0))
			}
			continue
		case <-planTimer:
			planTimer = nil
		}
		if !t.leads() {
			return "lease is over"
		}
		start := monotonicNow()
		t.runScheduler()
		t.pacer.record(start, monotonicNow())
		if t.scheduler.Superseded() {
			return "superseded by a newer leader: fencing token rejected"
		}
	}
}

// drainInbox runs the functions already posted, up to maxPostsPerBatch.
func (t *term) drainInbox() {
	for range maxPostsPerBatch {
		select {
		case f := <-t.inbox:
			f()
		default:
			return
		}
	}
}

// post queues f for the loop; it returns false if the term ended first.
func (t *term) post(f func()) bool {
	select {
	case t.inbox <- f:
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
	for _, id := range t.scheduler.EnrolledInstances() {
		t.startPolling(id)
	}
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
	t.logDecisions(now)
	t.releaseJobs(now)
	if !t.settledLogged && t.scheduler.Reconciled() {
		t.settledLogged = true
		event.RunsReconciled.Info(t.options.Logger, zap.Uint64("term", t.number))
	}
}

// commitAsync commits a command and calls callback in the loop with the outcome, without a timeout.
func (t *term) commitAsync(c state.Command, callback func(reply state.Reply, err error)) {
	t.spawn(func() {
		start := time.Now()
		replies, errs := t.options.Replica.CommitAll(t.ctx, []state.Command{c})
		t.instruments.commitDuration.UpdateSince(start)
		t.post(func() { callback(replies[0], errs[0]) })
	})
}

// commitEnds commits the ends of runs, one batch at a time so that the ends of each instance are acknowledged in order.
func (t *term) commitEnds() {
	if t.committingEnds {
		return
	}
	ends, failed, batch := t.scheduler.TakeEnds()
	if batch == 0 {
		return
	}
	t.committingEnds = true
	completed := t.scheduler.TakeCompleted()
	for _, id := range failed {
		event.JobFailed.Info(t.options.Logger, zap.String("job", string(id)))
	}
	t.commitAsync(state.RecordRunEnds{Ends: ends, Failed: failed, At: state.Timestamp(wallMillis())}, func(_ state.Reply, err error) {
		if err != nil {
			t.cancel()
			return
		}
		t.committingEnds = false
		t.scheduler.ConfirmEnds(batch)
		for _, c := range completed {
			event.JobCompleted.Info(t.options.Logger, zap.String("job", string(c.Job)), zap.Duration("took", c.Elapsed))
		}
	})
}

// commitInstanceChanges deregisters instances, enrols those again for which the platform refused planned work, and commits which
// instances are cordoned because they do not respond and which are uncordoned.
func (t *term) commitInstanceChanges() {
	for _, id := range t.scheduler.TakeDeregistrations() {
		if d := t.dispatchers[id]; d != nil {
			d.cancel()
			delete(t.dispatchers, id)
		}
		t.enqueueRegistration(state.DeregisterInstances{Instances: []fleet.InstanceID{id}}, func() {})
	}
	for _, in := range t.scheduler.TakeEnrolments() {
		t.enrol(in)
	}
	if list := t.scheduler.TakeCordons(); len(list) > 0 {
		t.enqueueRegistration(state.CordonInstances{Instances: list}, func() {})
	}
	if list := t.scheduler.TakeUncordons(); len(list) > 0 {
		t.enqueueRegistration(state.UncordonInstances{Instances: list}, func() { t.scheduler.ConfirmUncordoned(list) })
	}
}

// registration is a pending change to the enrolled instances.
type registration struct {
	command  state.Command
	onCommit func()
}

// enqueueRegistration queues a change to the enrolled instances. Changes are committed in order, so that the deregistration of
// an earlier boot cannot take effect after the enrolment of the later one.
func (t *term) enqueueRegistration(c state.Command, onCommit func()) {
	t.pendingRegistrations = append(t.pendingRegistrations, registration{c, onCommit})
	t.commitRegistrations()
}

// commitRegistrations commits all queued changes as one batch, unless a batch is in flight.
func (t *term) commitRegistrations() {
	if t.registrationInFlight || len(t.pendingRegistrations) == 0 {
		return
	}
	t.registrationInFlight = true
	batch := t.pendingRegistrations
	t.pendingRegistrations = nil
	commands := make([]state.Command, len(batch))
	for i, r := range batch {
		commands[i] = r.command
	}
	t.spawn(func() {
		_, errs := t.options.Replica.CommitAll(t.ctx, commands)
		t.post(func() { t.handleRegistrationsCommitted(batch, errs) })
	})
}

func (t *term) handleRegistrationsCommitted(batch []registration, errs []error) {
	t.registrationInFlight = false
	for i, r := range batch {
		if errs[i] != nil {
			t.cancel() // which instances are enrolled is unknown now; the next term reads it from the committed state
			return
		}
		r.onCommit()
	}
	t.commitRegistrations()
}

// releaseJobs deletes the records of jobs whose retention is over.
func (t *term) releaseJobs(now time.Duration) {
	if now-t.lastRelease < jobReleaseInterval {
		return
	}
	t.lastRelease = now
	var jobs []workload.JobID
	cutoff := state.Timestamp(wallMillis() - t.options.JobRetention.Milliseconds())
	t.options.Replica.View(func(s *state.State) {
		for id, r := range s.Workload.Jobs {
			if !r.Active() && r.FinishedAt < cutoff {
				jobs = append(jobs, id)
			}
		}
	})
	if len(jobs) > 0 {
		t.commitAsync(state.DeleteJobs{Jobs: jobs}, func(state.Reply, error) {})
	}
}
