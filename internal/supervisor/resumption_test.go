package supervisor

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

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
		instance: workload.Instance{ID: "i", Boot: 1, Pool: "p", Address: "a", Machine: "m", DataCentre: "a", Capacity: workload.Resources{Processors: 4000, Memory: 4000}},
	}
	_, errs := s.replica.CommitAll(t.Context(), []state.Command{state.PublishCatalogue{Source: []byte("x"), Catalogue: routedCatalogue(1, "other")}})
	assert.NilError(t, errs[0])
	s.Supervisor = Start(Options{
		Entry: "k", Replica: s.replica, Instances: s.fleet, Machines: s.fleet, Lease: 5400 * time.Millisecond, JobRetention: time.Minute, DataCentres: []fleet.DataCentreID{"configured"},
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

// commitAcrossResumption sends a request whose command is proposed, interrupts the leadership, and lets the command commit once the
// leadership has resumed in the same term. It has resumed when it accepts an announcement, or when it waits for a proposal of
// its own.
func (s *resumption) commitAcrossResumption(request forwarder.Request, interrupt func(s *resumption)) {
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
	interrupt(s)
	cancel()
	<-answered
	s.replica.setLapsed(false)
	s.replica.setRefusing(false)
	s.waitFor("the resumption", func() bool { proposed, _ := s.replica.counts(); return proposed > before || s.announce() })
	s.replica.release()
}

// expireLease lets the lease lapse until the session has ended, or for a second.
func expireLease(s *resumption) {
	s.replica.setLapsed(true)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, abandoned := s.replica.counts(); abandoned > 0 {
			return
		}
	}
}

// failCommit ends the session by refusing a command of its own.
func failCommit(s *resumption) {
	s.t.Helper()
	s.failEnrolment()
	s.waitFor("the end of the session", func() bool { _, abandoned := s.replica.counts(); return abandoned > 0 })
}

// failEnrolment refuses all proposals from now on, the enrolment of another instance among them.
func (s *resumption) failEnrolment() {
	s.replica.setRefusing(true)
	in := workload.Instance{ID: "i-2", Boot: 1, Pool: "p", Address: "a-2", Machine: "m-2", Sequence: 1, Clock: time.Second}
	s.HandleRequest(s.t.Context(), forwarder.Request{Operation: forwarder.Announce, Instance: &in})
}

func submission(id workload.JobID, prefix string) forwarder.Request {
	job := &workload.Job{ID: id, Steps: []workload.Step{{Count: 1, Service: true, Resources: workload.Resources{Processors: 1000, Memory: 100}}}}
	return forwarder.Request{Operation: forwarder.SubmitJob, Host: "h", Path: prefix + string(id), Job: job}
}

func (s *resumption) submit(request forwarder.Request) {
	s.t.Helper()
	assert.Equal(s.t, handleWhenLeading(s.t, s.Supervisor, request).Outcome, forwarder.Done)
}

// TestCommandCommittedAfterResumptionTakesEffect guards against a leader that resumes within a term, reads the committed
// state, and never hears of commands which it had proposed before and which commit later: an accepted job of which nothing is
// started, a cancelled job that runs on, a catalogue or a wave that is ignored.
func TestCommandCommittedAfterResumptionTakesEffect(t *testing.T) {
	interruptions := map[string]func(s *resumption){"lease expires": expireLease, "commit fails": failCommit}
	for name, interrupt := range interruptions {
		t.Run("submission, "+name, func(t *testing.T) {
			t.Parallel()
			s := startResumption(t)
			s.commitAcrossResumption(submission(jobID, "/q/"), interrupt)
			s.submit(submission(jobID, "/q/"))
			s.waitFor("the start of the job", func() bool { s.announce(); return s.fleet.runs(jobID) })
		})
		t.Run("cancellation, "+name, func(t *testing.T) {
			t.Parallel()
			s := startResumption(t)
			s.submit(submission(jobID, "/q/"))
			s.waitFor("the start of the job", func() bool { return s.fleet.runs(jobID) })
			s.commitAcrossResumption(forwarder.Request{Operation: forwarder.CancelJob, Host: "h", Path: "/q/" + string(jobID)}, interrupt)
			s.waitFor("the end of the job's run", func() bool { s.announce(); return !s.fleet.runs(jobID) })
		})
		t.Run("catalogue, "+name, func(t *testing.T) {
			t.Parallel()
			s := startResumption(t)
			catalogue := routedCatalogue(2, "p")
			s.commitAcrossResumption(forwarder.Request{Operation: forwarder.Publish, Catalogue: &catalogue, Source: []byte("y")}, interrupt)
			s.submit(submission(jobID, "/r/"))
			s.waitFor("the start of a job in the new pool of its queue", func() bool { s.announce(); return s.fleet.runs(jobID) })
		})
		t.Run("wave, "+name, func(t *testing.T) {
			t.Parallel()
			s := startResumption(t)
			wave := &workload.Wave{Number: 7, Machines: []string{"m"}, TimeLimit: time.Minute, MaxConcurrent: 1}
			s.commitAcrossResumption(forwarder.Request{Operation: forwarder.OpenWave, Wave: wave}, interrupt)
			s.waitFor("the maintenance of the machine", func() bool { s.announce(); return s.fleet.maintained("m") })
		})
	}
}

// TestDeregistrationCommittedAfterSessionIsKnownToNext guards against a session that starts a task on an instance which the
// committed state has lost to a deregistration by the session before. The next leader would not poll the instance, and would start
// the task a second time.
func TestDeregistrationCommittedAfterSessionIsKnownToNext(t *testing.T) {
	s := startResumption(t)
	in := s.instance
	depart := forwarder.Request{Operation: forwarder.Depart, Instance: &in}
	s.commitAcrossResumption(depart, func(s *resumption) {
		s.term.Load().cancel() // as a failed commit does
		s.waitFor("the end of the session", func() bool { _, abandoned := s.replica.counts(); return abandoned > 0 })
	})
	s.submit(submission(jobID, "/q/"))
	s.waitFor("the start of the job", func() bool { s.announce(); return s.fleet.runs(jobID) })
	s.replica.View(func(committed *state.State) {
		_, enrolled := committed.Workload.Enrolled["i"]
		assert.Assert(t, enrolled, "started on an instance that is not enrolled")
	})
}

// TestSessionBeginsWithCommittedBarrier guards against a session that handles requests before it knows the commands of earlier
// leaderships, or that leads a term twice: the term is the fence of its orders.
func TestSessionBeginsWithCommittedBarrier(t *testing.T) {
	s := startResumption(t)
	s.replica.hold()
	s.failEnrolment()
	s.waitFor("the failed commit and five refused barriers", func() bool { return s.replica.refusals() >= 6 })
	checkNotLeading := func() {
		t.Helper()
		assert.Assert(t, !s.announce(), "accepted before the barrier is committed")
		leads, _ := s.Leads()
		assert.Assert(t, !leads)
	}
	checkNotLeading()
	s.replica.setRefusing(false)
	s.waitFor("a barrier", func() bool { proposed, _ := s.replica.counts(); return proposed > 0 })
	checkNotLeading()
	s.replica.release()
	s.waitFor("an announcement", s.announce)
	s.submit(submission(jobID, "/q/"))
	s.waitFor("the start of the job", func() bool { return s.fleet.runs(jobID) })
	assert.Equal(t, s.fleet.started[0].Run, workload.Run(2_000_000_000+1), "the first run of term 2")
}
