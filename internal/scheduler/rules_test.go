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

// TestEndIsAcknowledgedAfterItsCommit answers a leader that is lost between an end and its commit: the instance must still
// list the end to the next one.
func TestEndIsAcknowledgedAfterItsCommit(t *testing.T) {
	b := newBench(t)
	id := b.join("a", "p")
	b.pass(time.Second)
	job := b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	b.pass(300 * time.Millisecond)
	for task := range b.where(job) {
		b.end(id, task, workload.EndedDone)
	}
	b.now += 100 * time.Millisecond
	b.look()
	ends, failed, batch := b.scheduler.TakeEnds()
	assert.Equal(t, len(ends), 1)
	q, _ := b.scheduler.NextPoll(b.now, id, false)
	assert.Equal(t, q.AckedEnd, uint64(0), "the end is not committed yet")
	b.commit(state.RecordRunEnds{Ends: ends, Failed: failed})
	b.scheduler.ConfirmEnds(batch)
	q, _ = b.scheduler.NextPoll(b.now, id, false)
	assert.Equal(t, q.AckedEnd, uint64(1))
}

// TestTaskIsNotStartedBeyondItsAttempts answers work that can never be done: a queue that allows two failed runs gets two.
func TestTaskIsNotStartedBeyondItsAttempts(t *testing.T) {
	b := newBench(t)
	b.join("a", "p")
	b.join("b", "p")
	b.pass(time.Second)
	job := b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	for range 6 {
		b.pass(500 * time.Millisecond)
		for task, id := range b.where(job) {
			b.end(id, task, workload.EndedFailed)
		}
	}
	assert.Equal(t, len(b.starts), 2)
	assert.Assert(t, b.state.Workload.Jobs[job].Failed)
}

// TestStepWaitsForTheStepsBefore checks that a step starts only when all tasks of the steps that it names are done.
func TestStepWaitsForTheStepsBefore(t *testing.T) {
	b := newBench(t)
	id := b.join("a", "p")
	b.pass(time.Second)
	job := b.submitTo("q",
		workload.Step{Count: 2, Resources: workload.Resources{Processors: 1000}},
		workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}, After: []int{0}})
	b.pass(500 * time.Millisecond)
	first := workload.TaskID{Job: job, Position: workload.NewPosition(0, 0, 0)}
	b.end(id, first, workload.EndedDone)
	b.pass(500 * time.Millisecond)
	assert.Equal(t, len(b.starts), 2, "one task of the first step is not done")
	b.end(id, workload.TaskID{Job: job, Position: workload.NewPosition(0, 0, 1)}, workload.EndedDone)
	b.pass(500 * time.Millisecond)
	assert.Equal(t, len(b.starts), 3)
}

// TestInstanceWithUnknownRunsGetsNoWork answers an instance that lists runs of a job that is no longer known: what they take is
// not known either.
func TestInstanceWithUnknownRunsGetsNoWork(t *testing.T) {
	b := newBench(t)
	id := b.join("a", "p")
	b.runs[id][workload.TaskID{Job: "ffffffffffffffff"}] = 1
	b.now += 100 * time.Millisecond
	b.look()
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
	b.scheduler.Tick(b.now, b.now.Milliseconds())
	stops := 0
	for _, o := range b.scheduler.TakeOrders() {
		assert.Assert(t, o.Kind != scheduler.Start)
		if o.Kind == scheduler.Stop {
			stops++
		}
	}
	assert.Equal(t, stops, 1, "the unknown run is stopped")
}

// TestUnseenInstanceCountsAgainstTheLimit answers a change of leader with an instance in the dark: what the customer may have
// running there counts in full until the instance was seen.
func TestUnseenInstanceCountsAgainstTheLimit(t *testing.T) {
	b := newBench(t)
	c := b.state.Workload.Catalogue
	c.Version = 2
	c.Customers = []workload.Customer{{Name: "u", Keys: []string{"k"}, Limit: workload.Resources{Processors: 70000}}}
	b.commit(state.PublishCatalogue{Catalogue: c, Source: []byte("x")})
	b.join("a", "p")
	b.join("dark", "p")
	b.lead()
	delete(b.runs, "i-dark")
	job := workload.Job{ID: "00000000000000aa", Steps: []workload.Step{{Count: 10, Resources: workload.Resources{Processors: 6000}}}}
	b.commit(state.SubmitJob{Job: job, Queue: "q", Customer: "u", At: state.Timestamp(b.now.Milliseconds())})
	b.scheduler.AddJob(b.now, b.now.Milliseconds(), b.state.Workload.Jobs[job.ID], false)
	b.pass(time.Second)
	assert.Equal(t, len(b.starts), 1, "70 processors less the 64 of the unseen instance leave room for one task")
	b.pass(8 * time.Second)
	assert.Equal(t, len(b.where(job.ID)), 10, "its lease is over")
}

// TestFillingTasksGiveWayToServingOnes answers filling tasks that disturb a serving one: they are slowed down before its tail
// is over its target, stopped in place when it is, and let go on once it is well below.
func TestFillingTasksGiveWayToServingOnes(t *testing.T) {
	b := newBench(t)
	b.join("a", "p")
	b.pass(time.Second)
	serving := b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 8000}, Service: true, TailLatencyTarget: 40 * time.Millisecond})
	b.submit(workload.Step{Count: 1, Resources: workload.Resources{Processors: 8000}, Service: true, BestEffort: true})
	b.pass(500 * time.Millisecond)
	task := workload.TaskID{Job: serving}
	b.tails[task] = 36
	b.pass(100 * time.Millisecond)
	assert.Equal(t, b.paces[len(b.paces)-1].ThrottlePercent, 50)
	b.tails[task] = 60
	b.pass(100 * time.Millisecond)
	assert.Equal(t, b.paces[len(b.paces)-1].ThrottlePercent, 0)
	b.tails[task] = 10
	b.pass(600 * time.Millisecond)
	assert.Equal(t, b.paces[len(b.paces)-1].ThrottlePercent, 100)
}

// TestWaveKeepsWithinItsNumberAndBudget answers a wave over the instances that hold a standing step: two machines at once, and
// never two tasks of a step away that may miss one.
func TestWaveKeepsWithinItsNumberAndBudget(t *testing.T) {
	b := newBench(t)
	c := b.state.Workload.Catalogue
	c.Version = 2
	c.Pools = []workload.Pool{{Name: "p"}, {Name: "o"}} // without standby, so that room for two tasks stays
	b.commit(state.PublishCatalogue{Catalogue: c, Source: []byte("x")})
	b.lead()
	b.join("x", "o")
	b.join("y", "o")
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		b.join(name, "p")
	}
	b.pass(time.Second)
	job := b.submit(workload.Step{Count: 4, Resources: workload.Resources{Processors: 1000}, Service: true, MaxPerInstance: 1, MaxUnavailable: 1})
	b.pass(4 * time.Second)
	var machines []string
	for id := range b.instancesOf(job) {
		machines = append(machines, "m-"+strings.TrimPrefix(string(id), "i-"))
	}
	assert.Equal(t, len(machines), 4)
	w := workload.Wave{Number: 1, Machines: machines, TimeLimit: 30 * time.Second, MaxConcurrent: 2}
	b.commit(state.AddWave{Wave: w, At: state.Timestamp(b.now.Milliseconds())})
	b.scheduler.AddWave(b.now, b.now.Milliseconds(), b.state.Workload.Waves[1])
	asked := map[string]bool{}
	for range 50 {
		b.pass(100 * time.Millisecond)
		assert.Assert(t, len(b.where(job)) >= 3, "two tasks are away")
		for _, o := range b.machines {
			if o.Pool == "" {
				asked[o.Machine] = true
			}
		}
		assert.Assert(t, len(asked) <= 2, "three machines are maintained at once")
	}
	assert.Equal(t, len(asked), 2, "both machines are empty and asked for")
}

// TestRunNumbersRiseOverALapsedLease answers a leader whose lease runs out for a moment and that leads on with the same token:
// its runs must have higher numbers than those that it ordered before.
func TestRunNumbersRiseOverALapsedLease(t *testing.T) {
	highest := workload.Run(0)
	for stretch := range uint64(3) {
		b := newBench(t)
		b.scheduler = scheduler.New(b.now, b.now.Milliseconds(), scheduler.Options{
			Fence: 7, Session: stretch, LeaseDuration: 5 * time.Second, LeadingSince: b.now,
		}, &b.state.Workload)
		b.join("a", "p")
		b.submit(workload.Step{Count: 5, Resources: workload.Resources{Processors: 1000}})
		b.pass(time.Second)
		assert.Equal(t, len(b.starts), 5)
		for _, o := range b.starts {
			assert.Assert(t, o.Run > highest)
		}
		highest = b.starts[4].Run
	}
}
