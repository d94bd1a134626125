package supervisor

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// lapsingReplica is a consensus group of one member that leads term 1 throughout. Its leader lease can lapse, and it can hold
// proposals back, which are then committed in the order in which they were proposed.
type lapsingReplica struct {
	singleReplica
	lapsed  bool
	holding bool
	queue   []heldProposal
	// proposed and abandoned count the batches that were held back, and those whose proposer has stopped waiting.
	proposed, abandoned int
}

type heldProposal struct {
	commands  []state.Command
	committed chan []state.Reply
}

func (r *lapsingReplica) Leads() (uint64, bool) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return 1, !r.lapsed
}

func (r *lapsingReplica) CommitAll(ctx context.Context, commands []state.Command) ([]state.Reply, []error) {
	p := heldProposal{commands: commands, committed: make(chan []state.Reply, 1)}
	r.mutex.Lock()
	r.queue = append(r.queue, p)
	if r.holding {
		r.proposed++
	} else {
		r.commitQueue()
	}
	r.mutex.Unlock()
	errs := make([]error, len(commands))
	select {
	case replies := <-p.committed:
		for i := range replies {
			errs[i] = replies[i].Err()
		}
		return replies, errs
	case <-ctx.Done():
	}
	r.mutex.Lock()
	r.abandoned++
	r.mutex.Unlock()
	for i := range errs {
		errs[i] = ctx.Err()
	}
	return make([]state.Reply, len(commands)), errs
}

func (r *lapsingReplica) commitQueue() {
	for _, p := range r.queue {
		var replies []state.Reply
		for _, c := range p.commands {
			r.index++
			replies = append(replies, r.state.ApplyCommand(r.index, c))
		}
		p.committed <- replies
	}
	r.queue = nil
}

// hold begins to hold proposals back.
func (r *lapsingReplica) hold() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.holding, r.proposed, r.abandoned = true, 0, 0
}

// release commits the proposals that were held back, and later ones at once.
func (r *lapsingReplica) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.holding = false
	r.commitQueue()
}

func (r *lapsingReplica) setLapsed(lapsed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lapsed = lapsed
}

func (r *lapsingReplica) counts() (proposed, abandoned int) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.proposed, r.abandoned
}

// responsiveFleet is one instance that executes all orders, on a machine for which the platform accepts all orders.
type responsiveFleet struct {
	unresponsiveFleet
	mutex    sync.Mutex
	boot     int64
	bootedAt time.Time
	running  []scheduler.ReportedRun
	started  []scheduler.Order
	machines []scheduler.MachineOrder
}

func (f *responsiveFleet) Order(_ context.Context, o scheduler.Order) (scheduler.Outcome, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running = slices.DeleteFunc(f.running, func(r scheduler.ReportedRun) bool { return r.Task == o.Task && r.Run == o.Run })
	if o.Kind == scheduler.Start {
		f.running = append(f.running, scheduler.ReportedRun{Task: o.Task, Run: o.Run, Percent: 100})
		f.started = append(f.started, o)
	}
	return scheduler.Accepted, nil
}

func (f *responsiveFleet) Poll(context.Context, scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return scheduler.StatusReport{Boot: f.boot, Clock: time.Since(f.bootedAt), Running: slices.Clone(f.running)}, scheduler.Accepted, nil
}

func (f *responsiveFleet) OrderMachine(_ context.Context, _ fleet.EntryID, _ uint64, o scheduler.MachineOrder) (scheduler.MachineOutcome, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.machines = append(f.machines, o)
	return scheduler.MachineDone, nil
}

// runs reports whether the instance runs a task of the job.
func (f *responsiveFleet) runs(id workload.JobID) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.running, func(r scheduler.ReportedRun) bool { return r.Task.Job == id })
}

func (f *responsiveFleet) maintained(machine string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.machines, func(o scheduler.MachineOrder) bool { return o.Machine == machine && o.Pool == "" })
}

// resumption is a supervisor with one enrolled instance in pool p, and what its leadership depends on.
type resumption struct {
	*Supervisor
	t        *testing.T
	replica  *lapsingReplica
	fleet    *responsiveFleet
	instance workload.Instance
}

// routedCatalogue is a catalogue of queue q in pool p, and of queue r in the given pool.
func routedCatalogue(version uint64, pool fleet.PoolID) workload.Catalogue {
	queue := workload.Queue{Host: "h", MaxAttempts: 2, Objective: time.Second, AuthExempt: true}
	q, r := queue, queue
	q.Name, q.Prefix, q.Pool = "q", "/q/", "p"
	r.Name, r.Prefix, r.Pool = "r", "/r/", pool
	return workload.Catalogue{Version: version, Queues: []workload.Queue{q, r}, Pools: []workload.Pool{{Name: "p"}, {Name: "other"}}}
}

func startResumption(t *testing.T) *resumption {
	t.Helper()
	s := &resumption{
		t: t, replica: &lapsingReplica{singleReplica: singleReplica{state: state.New()}},
		fleet:    &responsiveFleet{boot: 1, bootedAt: time.Now()},
		instance: workload.Instance{ID: "i", Boot: 1, Pool: "p", Address: "a", Machine: "m", Capacity: workload.Resources{Processors: 4000, Memory: 4000}},
	}
	_, errs := s.replica.CommitAll(t.Context(), []state.Command{state.PublishCatalogue{Source: []byte("x"), Catalogue: routedCatalogue(1, "other")}})
	assert.NilError(t, errs[0])
	s.Supervisor = Start(Options{
		Entry: "k", Replica: s.replica, Instances: s.fleet, Machines: s.fleet, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(func() {
		s.replica.release()
		assert.NilError(t, s.Close())
	})
	s.waitFor("an announcement", s.announce)
	s.waitFor("the enrolment of the instance", func() (enrolled bool) {
		s.replica.View(func(committed *state.State) { _, enrolled = committed.Workload.Enrolled["i"] })
		return enrolled
	})
	return s
}

// announce sends one announcement of the instance and reports whether a leader has accepted it.
func (s *resumption) announce() bool {
	s.instance.Sequence++
	s.instance.Clock = time.Since(s.fleet.bootedAt)
	in := s.instance
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	return s.HandleRequest(ctx, forwarder.Request{Operation: forwarder.Announce, Instance: &in}).Outcome == forwarder.Done
}

func (s *resumption) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("%s: not within 12 s", what)
}

// commitAcrossResumption sends a request whose command is proposed, lets the lease lapse and come back, and lets the command
// commit once the leadership has resumed. The leadership has resumed when it accepts an announcement, or when it waits for a
// proposal of its own.
func (s *resumption) commitAcrossResumption(request forwarder.Request) {
	s.t.Helper()
	s.replica.hold()
	ctx, cancel := context.WithCancel(s.t.Context())
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		s.HandleRequest(ctx, request)
	}()
	s.waitFor("the proposal", func() bool { proposed, _ := s.replica.counts(); return proposed > 0 })
	before, _ := s.replica.counts()
	s.replica.setLapsed(true)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, abandoned := s.replica.counts(); abandoned > 0 {
			break
		}
	}
	cancel()
	<-answered
	s.replica.setLapsed(false)
	s.waitFor("the resumption", func() bool { proposed, _ := s.replica.counts(); return proposed > before || s.announce() })
	s.replica.release()
}

func submission(id workload.JobID, prefix string) forwarder.Request {
	job := &workload.Job{ID: id, Steps: []workload.Step{{Count: 1, Service: true, Resources: workload.Resources{Processors: 1000, Memory: 100}}}}
	return forwarder.Request{Operation: forwarder.SubmitJob, Host: "h", Path: prefix + string(id), Job: job}
}

func (s *resumption) submit(request forwarder.Request) {
	s.t.Helper()
	assert.Equal(s.t, handleWhenLeading(s.t, s.Supervisor, request).Outcome, forwarder.Done)
}

// TestCommandCommittedAfterResumptionTakesEffect guards against a leader that regains its lease within a term, reads the
// committed state, and never hears of commands which it had proposed before and which commit later: an accepted job of
// which nothing is started, a cancelled job that runs on, a catalogue or a wave that is ignored.
func TestCommandCommittedAfterResumptionTakesEffect(t *testing.T) {
	t.Run("submission", func(t *testing.T) {
		t.Parallel()
		s := startResumption(t)
		s.commitAcrossResumption(submission(jobID, "/q/"))
		s.submit(submission(jobID, "/q/"))
		s.waitFor("the start of the job", func() bool { s.announce(); return s.fleet.runs(jobID) })
	})
	t.Run("cancellation", func(t *testing.T) {
		t.Parallel()
		s := startResumption(t)
		s.submit(submission(jobID, "/q/"))
		s.waitFor("the start of the job", func() bool { return s.fleet.runs(jobID) })
		s.commitAcrossResumption(forwarder.Request{Operation: forwarder.CancelJob, Host: "h", Path: "/q/" + string(jobID)})
		s.waitFor("the end of the job's run", func() bool { s.announce(); return !s.fleet.runs(jobID) })
	})
	t.Run("catalogue", func(t *testing.T) {
		t.Parallel()
		s := startResumption(t)
		catalogue := routedCatalogue(2, "p")
		s.commitAcrossResumption(forwarder.Request{Operation: forwarder.Publish, Catalogue: &catalogue, Source: []byte("y")})
		s.submit(submission(jobID, "/r/"))
		s.waitFor("the start of a job in the new pool of its queue", func() bool { s.announce(); return s.fleet.runs(jobID) })
	})
	t.Run("wave", func(t *testing.T) {
		t.Parallel()
		s := startResumption(t)
		wave := &workload.Wave{Number: 7, Machines: []string{"m"}, TimeLimit: time.Minute, MaxConcurrent: 1}
		s.commitAcrossResumption(forwarder.Request{Operation: forwarder.OpenWave, Wave: wave})
		s.waitFor("the maintenance of the machine", func() bool { s.announce(); return s.fleet.maintained("m") })
	})
}

// TestSessionBeginsWithCommittedBarrier guards against a session that handles requests before it knows the commands of earlier
// sessions, or that uses up one of the 1000 blocks of run numbers of its term without having started a run.
func TestSessionBeginsWithCommittedBarrier(t *testing.T) {
	s := startResumption(t)
	s.replica.setLapsed(true)
	s.waitFor("the end of the session", func() bool { return s.term.Load() == nil })
	s.replica.hold()
	for range 5 {
		before, abandoned := s.replica.counts()
		s.replica.setLapsed(false)
		s.waitFor("a barrier", func() bool { proposed, _ := s.replica.counts(); return proposed > before })
		assert.Assert(t, !s.announce(), "accepted before the barrier is committed")
		leads, _ := s.Leads()
		assert.Assert(t, !leads)
		s.replica.setLapsed(true)
		s.waitFor("the end of the wait", func() bool { _, now := s.replica.counts(); return now > abandoned })
	}
	s.replica.setLapsed(false)
	s.replica.release()
	s.waitFor("an announcement", s.announce)
	s.submit(submission(jobID, "/q/"))
	s.waitFor("the start of the job", func() bool { return s.fleet.runs(jobID) })
	assert.Equal(t, s.fleet.started[0].Run, workload.Run(1_000_000_000+1_000_000+1), "the first run of the second session of term 1")
}
