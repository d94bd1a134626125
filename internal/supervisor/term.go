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

// Timing of the loop of a term.
const (
	inboxLength  = 4096
	maxDrain     = 256
	planDelay    = 4 * time.Millisecond   // gathers what arrives together; a commit takes longer
	idleInterval = 50 * time.Millisecond  // due times, leases and retries are checked this often
	tidyInterval = 2 * time.Second        // released jobs only cost memory
	laneParallel = 3                      // orders at once to one instance, so that few connections are opened
	lookGap      = 80 * time.Millisecond  // ends that come together are taken with one look
	missPause    = 200 * time.Millisecond // a silent instance is asked five times a second
)

// term is one leadership of this process.
type term struct {
	options *Options
	gauges  *gauges
	number  uint64
	stretch uint64
	ctx     context.Context
	cancel  context.CancelFunc
	inbox   chan func()
	ready   atomic.Bool
	mutex   sync.Mutex
	wait    sync.WaitGroup
	over    bool

	// The rest belongs to the loop.
	scheduler   *scheduler.Scheduler
	lanes       map[fleet.InstanceID]*lane
	noting      bool
	roster      []registration
	registering bool
	settled     bool
	tidied      time.Duration
	lines       lineBudget
}

// lane carries orders to one boot of an instance.
type lane struct {
	slots  chan struct{}
	cancel context.CancelFunc
}

func newTerm(ctx context.Context, o *Options, g *gauges, number, stretch uint64) *term {
	t := &term{options: o, gauges: g, number: number, stretch: stretch, inbox: make(chan func(), inboxLength), lanes: map[fleet.InstanceID]*lane{}}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t
}

func (t *term) leads() bool {
	number, ok := t.options.Replica.Leads()
	return ok && number == t.number && t.ctx.Err() == nil
}

// run schedules until another keeper may lead.
func (t *term) run() {
	t.begin()
	reason := t.loop()
	t.cancel()
	t.close()
	event.LeadershipEnded.Info(t.options.Logger, zap.Uint64("term", t.number), zap.String("reason", reason))
}

// spawn runs f until the term has ended; a term that is over starts nothing more.
func (t *term) spawn(f func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.over {
		t.wait.Go(f)
	}
}

func (t *term) close() {
	t.mutex.Lock()
	t.over = true
	t.mutex.Unlock()
	t.wait.Wait()
}

func (t *term) begin() {
	now := clock()
	jobs, instances := 0, 0
	t.options.Replica.View(func(s *state.State) {
		t.scheduler = scheduler.New(now, wall(), scheduler.Options{
			Fence: t.number, Session: t.stretch, LeaseDuration: t.options.Lease, LeadingSince: now,
		}, &s.Workload)
		t.ready.Store(s.Workload.Catalogue.Version > 0)
		jobs, instances = len(s.Workload.Jobs), len(s.Workload.Enrolled)
	})
	event.LeadershipBegun.Info(t.options.Logger, zap.Uint64("term", t.number), zap.Int("jobs", jobs), zap.Int("instances", instances))
	t.plan()
}

func (t *term) loop() (reason string) {
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	var due <-chan time.Time
	for {
		select {
		case <-t.ctx.Done():
			return "stopped"
		case f := <-t.inbox:
			f()
			t.drain()
			if due == nil {
				due = time.After(planDelay)
			}
			continue
		case <-due:
			due = nil
		case <-idle.C:
		}
		if !t.leads() {
			return "lease is over"
		}
		t.plan()
		if t.scheduler.Superseded() {
			return "an instance has seen a newer leader"
		}
	}
}

func (t *term) drain() {
	for range maxDrain {
		select {
		case f := <-t.inbox:
			f()
		default:
			return
		}
	}
}

// post hands f to the loop and reports whether the term still runs.
func (t *term) post(f func()) bool {
	select {
	case t.inbox <- f:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// ask runs f in the loop and waits for it.
func (t *term) ask(ctx context.Context, f func()) bool {
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

// plan lets the scheduler decide and carries out what it decided.
func (t *term) plan() {
	now := clock()
	t.scheduler.Tick(now, wall())
	for _, id := range t.scheduler.EnrolledInstances() {
		t.follow(id)
	}
	for _, o := range t.scheduler.TakeOrders() {
		t.send(o)
	}
	for _, o := range t.scheduler.TakeMachineOrders() {
		t.spawn(func() { t.orderMachine(o) })
	}
	for _, o := range t.scheduler.TakeAdviceRequests() {
		t.spawn(func() { t.consult(o) })
	}
	if t.scheduler.MachineListDue() {
		t.spawn(t.listMachines)
	}
	t.commitEnds()
	t.strike()
	t.log(now)
	t.tidy(now)
	if !t.settled && t.scheduler.Reconciled() {
		t.settled = true
		event.SchedulingSettled.Info(t.options.Logger, zap.Uint64("term", t.number))
	}
}

// commit proposes a command and calls then in the loop with the outcome, however long that takes.
func (t *term) commit(c state.Command, then func(reply state.Reply, err error)) {
	t.spawn(func() {
		began := time.Now()
		replies, errs := t.options.Replica.CommitAll(t.ctx, []state.Command{c})
		t.gauges.commits.UpdateSince(began)
		t.post(func() { then(replies[0], errs[0]) })
	})
}

// commitEnds commits what has ended, one batch at a time so that cursors move in order.
func (t *term) commitEnds() {
	if t.noting {
		return
	}
	ends, failed, batch := t.scheduler.TakeEnds()
	if batch == 0 {
		return
	}
	t.noting = true
	completed := t.scheduler.TakeCompleted()
	for _, id := range failed {
		event.JobFailed.Info(t.options.Logger, zap.String("job", string(id)))
	}
	t.commit(state.RecordRunEnds{Ends: ends, Failed: failed, At: state.Timestamp(wall())}, func(_ state.Reply, err error) {
		if err != nil {
			t.cancel()
			return
		}
		t.noting = false
		t.scheduler.ConfirmEnds(batch)
		for _, c := range completed {
			event.JobCompleted.Info(t.options.Logger, zap.String("job", string(c.Job)), zap.Duration("took", c.Elapsed))
		}
	})
}

// strike takes instances out of the committed state, puts those in again whose planned work was refused, and records which
// are silent.
func (t *term) strike() {
	for _, id := range t.scheduler.TakeDeregistrations() {
		if l := t.lanes[id]; l != nil {
			l.cancel()
			delete(t.lanes, id)
		}
		t.register(state.DeregisterInstances{Instances: []fleet.InstanceID{id}}, func() {})
	}
	for _, in := range t.scheduler.TakeEnrolments() {
		t.enrol(in)
	}
	if list := t.scheduler.TakeCordons(); len(list) > 0 {
		t.register(state.CordonInstances{Instances: list}, func() {})
	}
	if list := t.scheduler.TakeUncordons(); len(list) > 0 {
		t.register(state.UncordonInstances{Instances: list}, func() { t.scheduler.ConfirmUncordoned(list) })
	}
}

// registration is a change of the enrolled instances.
type registration struct {
	command state.Command
	then    func()
}

// register queues a change of the enrolled instances: they are committed in order, so that a strike never follows the
// enrolment that came after it.
func (t *term) register(c state.Command, then func()) {
	t.roster = append(t.roster, registration{c, then})
	t.pumpRegister()
}

func (t *term) pumpRegister() {
	if t.registering || len(t.roster) == 0 {
		return
	}
	t.registering = true
	batch := t.roster
	t.roster = nil
	commands := make([]state.Command, len(batch))
	for i, r := range batch {
		commands[i] = r.command
	}
	t.spawn(func() {
		_, errs := t.options.Replica.CommitAll(t.ctx, commands)
		t.post(func() { t.registered(batch, errs) })
	})
}

func (t *term) registered(batch []registration, errs []error) {
	t.registering = false
	for i, r := range batch {
		if errs[i] != nil {
			t.cancel() // what is enrolled is not known any more; the next term reads it
			return
		}
		r.then()
	}
	t.pumpRegister()
}

// tidy releases jobs that nobody may ask for any more.
func (t *term) tidy(now time.Duration) {
	if now-t.tidied < tidyInterval {
		return
	}
	t.tidied = now
	var jobs []workload.JobID
	before := state.Timestamp(wall() - t.options.Retain.Milliseconds())
	t.options.Replica.View(func(s *state.State) {
		for id, r := range s.Workload.Jobs {
			if !r.Active() && r.FinishedAt < before {
				jobs = append(jobs, id)
			}
		}
	})
	if len(jobs) > 0 {
		t.commit(state.DeleteJobs{Jobs: jobs}, func(state.Reply, error) {})
	}
}
