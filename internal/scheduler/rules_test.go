package scheduler_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestEndIsAcknowledgedAfterItsCommit guards against an end that is lost with the leader before it is committed: the
// instance must still report it to the next leader.
func TestEndIsAcknowledgedAfterItsCommit(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.advance(300 * time.Millisecond)
	for task := range f.placements(job) {
		f.endRun(id, task, workload.EndedDone)
	}
	f.now += 100 * time.Millisecond
	f.pollAll()
	ends, failed, batch := f.scheduler.TakeEnds()
	assert.Equal(t, len(ends), 1)
	request, _ := f.scheduler.NextPoll(f.now, id, false)
	assert.Equal(t, request.AckedEnd, uint64(0), "the end is not committed yet")
	f.commit(state.RecordRunEnds{Ends: ends, Failed: failed})
	f.scheduler.ConfirmEnds(batch)
	request, _ = f.scheduler.NextPoll(f.now, id, false)
	assert.Equal(t, request.AckedEnd, uint64(1))
}

// TestTaskIsNotStartedBeyondMaxAttempts uses a task that always fails, on a queue with two attempts. It must be started
// twice, and its job must fail.
func TestTaskIsNotStartedBeyondMaxAttempts(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("b", "p")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	for range 6 {
		f.advance(500 * time.Millisecond)
		for task, id := range f.placements(job) {
			f.endRun(id, task, workload.EndedFailed)
		}
	}
	assert.Equal(t, len(f.startOrders), 2)
	assert.Assert(t, f.state.Workload.Jobs[job].Failed)
}

// TestStepWaitsForItsDependencies checks that a step starts only when all tasks of the steps it depends on are done.
func TestStepWaitsForItsDependencies(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	job := f.submitJobTo("q",
		workload.Step{Count: 2, Resources: workload.Resources{Processors: 1000}},
		workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}, After: []int{0}})
	f.advance(500 * time.Millisecond)
	first := workload.TaskID{Job: job, Position: workload.NewPosition(0, 0, 0)}
	f.endRun(id, first, workload.EndedDone)
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.startOrders), 2, "started although one task of the first step is not done")
	f.endRun(id, workload.TaskID{Job: job, Position: workload.NewPosition(0, 0, 1)}, workload.EndedDone)
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.startOrders), 3)
}

// TestInstanceWithOrphanedRunGetsNoStart uses an instance that lists a run of an unknown job. The claim of the run is
// unknown as well, so another start could exceed the capacity of the instance.
func TestInstanceWithOrphanedRunGetsNoStart(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.runs[id][workload.TaskID{Job: "ffffffffffffffff"}] = 1
	f.now += 100 * time.Millisecond
	f.pollAll()
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	stops := 0
	for _, o := range f.scheduler.TakeOrders() {
		assert.Assert(t, o.Kind != scheduler.Start)
		if o.Kind == scheduler.Stop {
			stops++
		}
	}
	assert.Equal(t, stops, 1, "the orphaned run is not stopped")
}

// TestUnreconciledInstanceCountsAgainstLimit changes the leader while an instance is unreachable. The customer may have
// runs there that the new leader does not know, so the whole instance must count against the limit until it is polled
// or its leases have expired.
func TestUnreconciledInstanceCountsAgainstLimit(t *testing.T) {
	f := newTestFleet(t)
	c := f.state.Workload.Catalogue
	c.Version = 2
	c.Customers = []workload.Customer{{Name: "u", Keys: []string{"k"}, Limit: workload.Resources{Processors: 70000}}}
	f.commit(state.PublishCatalogue{Catalogue: c, Source: []byte("x")})
	f.addInstance("a", "p")
	f.addInstance("dark", "p")
	f.startLeader()
	delete(f.runs, "i-dark")
	job := workload.Job{ID: "00000000000000aa", Steps: []workload.Step{{Count: 10, Resources: workload.Resources{Processors: 6000}}}}
	f.commit(state.SubmitJob{Job: job, Queue: "q", Customer: "u", At: state.Timestamp(f.now.Milliseconds())})
	f.scheduler.AddJob(f.now, f.now.Milliseconds(), f.state.Workload.Jobs[job.ID], false)
	f.advance(time.Second)
	assert.Equal(t, len(f.startOrders), 1, "70 processors less the 64 of the unreconciled instance leave capacity for one task")
	f.advance(8 * time.Second)
	assert.Equal(t, len(f.placements(job.ID)), 10, "its leases have expired")
}

// TestBestEffortTasksAreThrottledByTailLatency guards the tail latency of a service task against best-effort tasks on
// its instance: they must be throttled before it exceeds its target, paused when it does, and released once it is well
// below.
func TestBestEffortTasksAreThrottledByTailLatency(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	service := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 8000}, Service: true, TailLatencyTarget: 40 * time.Millisecond})
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 8000}, Service: true, BestEffort: true})
	f.advance(500 * time.Millisecond)
	task := workload.TaskID{Job: service}
	f.tailMillis[task] = 36
	f.advance(100 * time.Millisecond)
	assert.Equal(t, f.throttleOrders[len(f.throttleOrders)-1].ThrottlePercent, 50)
	f.tailMillis[task] = 60
	f.advance(100 * time.Millisecond)
	assert.Equal(t, f.throttleOrders[len(f.throttleOrders)-1].ThrottlePercent, 0)
	f.tailMillis[task] = 10
	f.advance(600 * time.Millisecond)
	assert.Equal(t, f.throttleOrders[len(f.throttleOrders)-1].ThrottlePercent, 100)
}

// TestWaveKeepsConcurrencyAndAvailabilityBudget runs a wave over the instances of a service step. At most two machines
// may be in maintenance at once, and at most one task of the step may be unavailable.
func TestWaveKeepsConcurrencyAndAvailabilityBudget(t *testing.T) {
	f := newTestFleet(t)
	c := f.state.Workload.Catalogue
	c.Version = 2
	c.Pools = []workload.Pool{{Name: "p"}, {Name: "o"}} // without a standby pool, so that capacity for two tasks remains
	f.commit(state.PublishCatalogue{Catalogue: c, Source: []byte("x")})
	f.startLeader()
	f.addInstance("x", "o")
	f.addInstance("y", "o")
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		f.addInstance(name, "p")
	}
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 4, Resources: workload.Resources{Processors: 1000}, Service: true, MaxPerInstance: 1, MaxUnavailable: 1})
	f.advance(4 * time.Second)
	var machines []string
	for id := range f.instancesOf(job) {
		machines = append(machines, "m-"+strings.TrimPrefix(string(id), "i-"))
	}
	assert.Equal(t, len(machines), 4)
	wave := workload.Wave{Number: 1, Machines: machines, TimeLimit: 30 * time.Second, MaxConcurrent: 2}
	f.commit(state.AddWave{Wave: wave, At: state.Timestamp(f.now.Milliseconds())})
	f.scheduler.AddWave(f.now, f.now.Milliseconds(), f.state.Workload.Waves[1])
	ordered := map[string]bool{}
	for range 50 {
		f.advance(100 * time.Millisecond)
		assert.Assert(t, len(f.placements(job)) >= 3, "two tasks are unavailable")
		for _, o := range f.machineOrders {
			if o.Pool == "" {
				ordered[o.Machine] = true
			}
		}
		assert.Assert(t, len(ordered) <= 2, "three machines are in maintenance at once")
	}
	assert.Equal(t, len(ordered), 2, "both machines are empty, and their maintenance is ordered")
}

// TestRunNumbersIncreaseAcrossTerms uses a leader that gives up its term and leads the next one. Its new runs must have higher numbers
// than those it ordered before.
func TestRunNumbersIncreaseAcrossTerms(t *testing.T) {
	highest := workload.Run(0)
	for term := range uint64(3) {
		f := newTestFleet(t)
		f.scheduler = scheduler.New(f.now, f.now.Milliseconds(), scheduler.Options{
			Fence: 7 + term, LeaseDuration: 5 * time.Second, LeadingSince: f.now,
		}, &f.state.Workload)
		f.addInstance("a", "p")
		f.submitJob(workload.Step{Count: 5, Resources: workload.Resources{Processors: 1000}})
		f.advance(time.Second)
		assert.Equal(t, len(f.startOrders), 5)
		for _, o := range f.startOrders {
			assert.Assert(t, o.Run > highest)
		}
		highest = f.startOrders[4].Run
	}
}

// TestLateProcessingDoesNotShortenLeases guards against runs that lapse on a slow leader: a report that waited to be processed must
// not make the next lease shorter by its wait. Load pattern: each report waits 2 s on the leader, each long poll takes 2 s.
func TestLateProcessingDoesNotShortenLeases(t *testing.T) {
	const processingDelay, responseDelay, lease = 2 * time.Second, 2 * time.Second, 5400 * time.Millisecond
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}, Service: true})
	f.advance(300 * time.Millisecond)
	assert.Equal(t, len(f.placements(job)), 1)
	clock := func() time.Duration { return time.Minute + f.now }
	deadline := clock() + lease // of the start, sent just now
	for range 5 {
		request, ok := f.scheduler.NextPoll(f.now, id, true)
		assert.Assert(t, ok)
		assert.Assert(t, clock() < deadline, "the lease was over before it was renewed")
		deadline = max(deadline, request.Deadline)
		assert.Assert(t, request.Deadline <= clock()+lease, "lease is longer than the deployment allows")
		sentAt := f.now
		f.now += responseDelay
		report := scheduler.StatusReport{Clock: clock(), ReceivedAt: f.now}
		for task, run := range f.runs[id] {
			report.Running = append(report.Running, scheduler.ReportedRun{Task: task, Run: run, Percent: 100})
		}
		f.now += processingDelay
		f.scheduler.HandleReport(f.now, id, sentAt, report)
	}
}

// TestPollNeedFollowsTheRuns guards against a poll that settles what an instance runs, brings the end of a run or renews a lease being
// delayed like one of an empty instance.
func TestPollNeedFollowsTheRuns(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	assert.Equal(t, f.scheduler.PollNeed(id), scheduler.PollToReconcile, "nothing is known of its runs")
	f.advance(time.Second)
	assert.Equal(t, f.scheduler.PollNeed(id), scheduler.PollWhenIdle)
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}, Service: true})
	f.advance(300 * time.Millisecond)
	assert.Equal(t, f.scheduler.PollNeed(id), scheduler.PollForEnds)
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	assert.Equal(t, f.scheduler.PollNeed(id), scheduler.PollForEnds, "a start is in flight")
	for _, o := range f.scheduler.TakeOrders() {
		f.scheduler.HandleOrderOutcome(f.now, o, scheduler.Uncertain)
		assert.Equal(t, f.scheduler.PollNeed(id), scheduler.PollToReconcile, "the start is uncertain")
		f.executeOrder(o)
	}
	f.advance(300 * time.Millisecond)
	assert.Equal(t, f.scheduler.PollNeed(id), scheduler.PollForEnds)
	for task := range f.placements(job) {
		f.endRun(id, task, workload.EndedDone)
	}
	f.pollAll()
	assert.Equal(t, f.scheduler.PollNeed(id), scheduler.PollAfterCommit)
	f.advance(300 * time.Millisecond)
	assert.Equal(t, f.scheduler.PollNeed(id), scheduler.PollForEnds)
	f.failPoll(id, scheduler.Uncertain)
	assert.Equal(t, f.scheduler.PollNeed(id), scheduler.PollToReconcile, "a poll failed")
}
