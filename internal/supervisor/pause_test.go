package supervisor

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestExpiredLeasePausesLeadership guards against a leader that sends anything without the lease, and against one that
// forgets all runs whenever it regains the lease within a term: it would poll every instance before it starts anything.
func TestExpiredLeasePausesLeadership(t *testing.T) {
	const otherID = workload.JobID("00000000000000bb")
	s := startResumption(t)
	s.submit(submission(jobID, "/q/"))
	s.waitFor("the start of the job", func() bool { return s.fleet.runs(jobID) })
	s.replica.setLapsed(true)
	time.Sleep(200 * time.Millisecond) // requests under way end
	before := s.fleet.requests()
	assert.Equal(t, s.HandleRequest(t.Context(), submission(otherID, "/q/")).Outcome, forwarder.NotLeading)
	leads, _ := s.Leads()
	assert.Assert(t, !leads)
	time.Sleep(400 * time.Millisecond) // polls are sent every 80 ms otherwise
	assert.Equal(t, s.fleet.requests(), before, "sent without the lease")
	s.replica.setLapsed(false)
	s.submit(submission(otherID, "/q/"))
	s.waitFor("the start of the other job", func() bool { return s.fleet.runs(otherID) })
	assert.Assert(t, s.fleet.runs(jobID))
	assert.Equal(t, len(s.fleet.started), 2)
	assert.Equal(t, s.fleet.started[1].Run, workload.Run(1_000_000_000+2), "the second run of the term")
}

// TestNothingIsDecidedWithoutLease guards against a leader that plans while its lease has expired: it would use up run numbers
// for starts that are not sent, and commit what it decides, as the removal of an instance.
func TestNothingIsDecidedWithoutLease(t *testing.T) {
	const pause = 400 * time.Millisecond // eight checks of due times
	t.Run("start", func(t *testing.T) {
		s := startResumption(t)
		s.waitFor("a report of the instance", func() bool { return s.fleet.requests() > 0 })
		s.replica.setLapsed(true)
		assert.Equal(t, s.term.Load().handle(t.Context(), submission(jobID, "/q/")).Outcome, forwarder.Done)
		time.Sleep(pause)
		s.replica.setLapsed(false)
		s.waitFor("the start of the job", func() bool { return s.fleet.runs(jobID) })
		assert.Equal(t, s.fleet.started[0].Run, workload.Run(1_000_000_000+1), "runs were placed without the lease")
	})
	t.Run("deregistration", func(t *testing.T) {
		s := startResumption(t)
		enrolled := func() (enrolled bool) {
			s.replica.View(func(committed *state.State) { _, enrolled = committed.Workload.Enrolled["i"] })
			return enrolled
		}
		s.waitFor("a report of the instance", func() bool { return s.fleet.requests() > 0 })
		s.replica.setLapsed(true)
		departing := s.instance
		s.term.Load().handle(t.Context(), forwarder.Request{Operation: forwarder.Depart, Instance: &departing})
		time.Sleep(pause)
		assert.Assert(t, enrolled(), "deregistered without the lease")
		s.replica.setLapsed(false)
		s.waitFor("the deregistration", func() bool { return !enrolled() })
	})
}

// TestPausedTermEndsWithLeadership guards against a paused leader that goes on with what it knows although another keeper has led
// meanwhile, and against run numbers that are used again in a later term.
func TestPausedTermEndsWithLeadership(t *testing.T) {
	const otherID = workload.JobID("00000000000000bb")
	changes := map[string]func(s *resumption){
		"another leader": func(s *resumption) {
			s.replica.setDeposed(true)
			s.waitFor("the end of the session", func() bool { return s.term.Load() == nil })
			s.replica.leadNextTerm()
		},
		"next term at once": func(s *resumption) { s.replica.leadNextTerm() },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startResumption(t)
			s.submit(submission(jobID, "/q/"))
			s.waitFor("the start of the job", func() bool { return s.fleet.runs(jobID) })
			paused := s.term.Load()
			s.replica.setLapsed(true)
			time.Sleep(200 * time.Millisecond)
			assert.Equal(t, s.term.Load(), paused, "the term ended although no other began")
			assert.Assert(t, paused.ctx.Err() == nil)
			change(s)
			s.waitFor("the end of the paused term", func() bool { return paused.ctx.Err() != nil })
			s.waitFor("the next session", func() bool { next := s.term.Load(); return next != nil && next != paused })
			next := s.term.Load()
			assert.Equal(t, next.number, uint64(2))
			s.submit(submission(otherID, "/q/"))
			s.waitFor("the start of the other job", func() bool { return s.fleet.runs(otherID) })
			assert.Equal(t, len(s.fleet.started), 2, "the running job was started again")
			assert.Equal(t, s.fleet.started[1].Run, workload.Run(2_000_000_000+1), "the first run of the later term")
		})
	}
}

// pausedTerm is a term without its event loop, which schedules one reporting instance.
type pausedTerm struct {
	*term
	t       *testing.T
	now     time.Duration
	replica *lapsingReplica
	fleet   *responsiveFleet
}

// newPausedTerm returns a term that has led for ten seconds and whose lease has expired.
func newPausedTerm(t *testing.T, jobs ...workload.Job) *pausedTerm {
	t.Helper()
	p := &pausedTerm{t: t, now: monotonicNow(), replica: &lapsingReplica{singleReplica: singleReplica{state: state.New()}}, fleet: &responsiveFleet{}}
	catalogue := routedCatalogue(1, "other")
	catalogue.Queues[1].Pool, catalogue.Queues[1].Advice = "p", &workload.Advice{Validity: time.Minute}
	p.replica.commit(t, state.PublishCatalogue{Catalogue: catalogue})
	p.replica.commit(t, state.EnrolInstance{Instance: workload.Instance{
		ID: "i", Boot: 1, Pool: "p", Address: "a", Machine: "m", Capacity: workload.Resources{Processors: 4000, Memory: 4000},
	}})
	for _, j := range jobs {
		queue := routedCatalogue(1, "p").Queues[0].Name
		if j.Spec == "advised" {
			queue = "r"
		}
		p.replica.commit(t, state.SubmitJob{Job: j, Queue: queue, At: state.Timestamp(wallMillis())})
	}
	o := &Options{Replica: p.replica, Instances: p.fleet, Machines: p.fleet, Adviser: p.fleet, Logger: zap.NewNop()}
	p.term = newTerm(t.Context(), o, newInstruments(metrics.NewRegistry()), 1)
	p.replica.View(func(s *state.State) {
		p.scheduler = scheduler.New(p.now, wallMillis(), scheduler.Options{Fence: 1, LeaseDuration: time.Minute, LeadingSince: p.now - 10*time.Second}, &s.Workload)
	})
	p.replica.setLapsed(true)
	return p
}

func (p *pausedTerm) report(runs ...scheduler.ReportedRun) {
	p.now += time.Second
	p.scheduler.HandleReport(p.now, "i", p.now, scheduler.StatusReport{Boot: 1, Clock: p.now, Running: runs})
}

func (p *pausedTerm) tick() {
	p.now += time.Second
	p.scheduler.Tick(p.now, wallMillis())
}

// checkRepeated checks that send finds a request, sends nothing as there is no lease, and finds the request again a second
// later.
func (p *pausedTerm) checkRepeated(send func() (found bool)) {
	p.t.Helper()
	for range 2 {
		assert.Assert(p.t, send(), "no request")
		p.drainInbox()
		assert.Equal(p.t, p.fleet.requests(), 0)
	}
}

// TestUnsentRequestIsRepeated guards against a request that is held back because the lease has expired and then forgotten by a
// leadership that continues: its task, machine or step would wait for ever.
func TestUnsentRequestIsRepeated(t *testing.T) {
	service := workload.Step{Count: 1, Service: true, Resources: workload.Resources{Processors: 1000, Memory: 100}}
	takeOrder := func(p *pausedTerm, kind scheduler.OrderKind) bool {
		for _, o := range p.scheduler.TakeOrders() {
			if o.Kind == kind {
				p.sendOrder(o)
				return true
			}
		}
		return false
	}
	t.Run("start", func(t *testing.T) {
		p := newPausedTerm(t, workload.Job{ID: jobID, Steps: []workload.Step{service}})
		p.report()
		p.checkRepeated(func() bool { p.tick(); return takeOrder(p, scheduler.Start) })
	})
	t.Run("stop", func(t *testing.T) {
		p := newPausedTerm(t, workload.Job{ID: jobID, Steps: []workload.Step{service}})
		p.report(scheduler.ReportedRun{Task: workload.TaskID{Job: jobID}, Run: 1, Percent: 100})
		p.scheduler.CancelJob(p.now, jobID)
		p.checkRepeated(func() bool { p.tick(); return takeOrder(p, scheduler.Stop) })
	})
	t.Run("throttle", func(t *testing.T) {
		bestEffort := service
		bestEffort.BestEffort = true
		service := service
		service.TailLatencyTarget = 100 * time.Millisecond
		p := newPausedTerm(t, workload.Job{ID: jobID, Steps: []workload.Step{service, bestEffort}})
		runs := []scheduler.ReportedRun{
			{Task: workload.TaskID{Job: jobID, Position: workload.NewPosition(0, 0, 0)}, Run: 1, Percent: 100, TailMillis: 200},
			{Task: workload.TaskID{Job: jobID, Position: workload.NewPosition(0, 1, 0)}, Run: 2, Percent: 100},
		}
		p.checkRepeated(func() bool { p.report(runs...); return takeOrder(p, scheduler.Throttle) })
	})
	t.Run("advice", func(t *testing.T) {
		p := newPausedTerm(t, workload.Job{ID: jobID, Spec: "advised", Steps: []workload.Step{service}})
		p.report()
		p.checkRepeated(func() bool {
			p.tick()
			requests := p.scheduler.TakeAdviceRequests()
			for _, o := range requests {
				p.requestAdvice(o)
			}
			return len(requests) > 0
		})
	})
	takeMachineOrder := func(p *pausedTerm) bool {
		for range 10 {
			p.report()
			p.tick()
			if orders := p.scheduler.TakeMachineOrders(); len(orders) > 0 {
				p.sendMachineOrder(orders[0])
				return true
			}
		}
		return false
	}
	t.Run("maintenance", func(t *testing.T) {
		p := newPausedTerm(t)
		p.replica.commit(t, state.AddWave{Wave: workload.Wave{Number: 7, Machines: []string{"m"}, TimeLimit: time.Minute}})
		p.replica.View(func(s *state.State) { p.scheduler.AddWave(p.now, wallMillis(), s.Workload.Waves[7]) })
		p.checkRepeated(func() bool { return takeMachineOrder(p) })
	})
	t.Run("move", func(t *testing.T) {
		large := service
		large.Count, large.Resources.Processors = 4, 4000
		p := newPausedTerm(t, workload.Job{ID: jobID, Steps: []workload.Step{large}})
		p.scheduler.SetCatalogue(&workload.Catalogue{Version: 2, Queues: routedCatalogue(2, "p").Queues, Pools: []workload.Pool{{Name: "p"}, {Name: "standby", Standby: true}}})
		p.scheduler.SetMachines([]scheduler.Machine{{Name: "m-2", Pool: "standby", Available: true}})
		p.checkRepeated(func() bool { return takeMachineOrder(p) })
	})
}
