package supervisor

import (
	"context"
	"fmt"
	"sync/atomic"
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

// slicingReplica commits after a disk sync and records the largest commit and the number of commits.
type slicingReplica struct {
	singleReplica
	largest, commits atomic.Int64
}

func (r *slicingReplica) CommitAll(ctx context.Context, commands []state.Command) ([]state.Reply, []error) {
	time.Sleep(9 * time.Millisecond)
	r.largest.Store(max(r.largest.Load(), int64(len(commands))))
	r.commits.Add(1)
	return r.singleReplica.CommitAll(ctx, commands)
}

// emptyFleet answers polls after a while and counts those in flight that do not wait.
type emptyFleet struct {
	unresponsiveFleet
	first, mostFirst, polled atomic.Int64
}

func (f *emptyFleet) Poll(ctx context.Context, request scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	wait := request.Wait
	if wait == 0 {
		f.mostFirst.Store(max(f.mostFirst.Load(), f.first.Add(1)))
		defer f.first.Add(-1)
		defer f.polled.Add(1)
		wait = 5 * time.Millisecond
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return scheduler.StatusReport{Clock: time.Second, Boot: 1}, scheduler.Accepted, nil
}

func batchOf(first, n int) []workload.Instance {
	list := make([]workload.Instance, n)
	for i := range list {
		name := fmt.Sprint(first + i)
		list[i] = workload.Instance{ID: fleet.InstanceID("i-" + name), Boot: 1, Pool: "p", Address: "a-" + name, Machine: "m-" + name, Sequence: 1, Clock: time.Second,
			Capacity: workload.Resources{Processors: 4000, Memory: 4000}}
	}
	return list
}

func (r *singleReplica) enrolled() (n int) {
	r.View(func(s *state.State) { n = len(s.Workload.Enrolled) })
	return n
}

// TestFleetIsEnrolledInSlices guards against the start of a fleet that takes all the time of the leader: one commit for each instance, one that
// holds up others with thousands of them, or polls of all instances at once. Load: 3,000 first announcements at once.
func TestFleetIsEnrolledInSlices(t *testing.T) {
	const instances = 3000
	r, f := &slicingReplica{singleReplica: singleReplica{state: state.New()}}, &emptyFleet{}
	s := Start(Options{
		Entry: "k", Replica: r, Instances: f, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	for first := 0; first < instances; first += forwarder.MaxBatch {
		batch := batchOf(first, min(forwarder.MaxBatch, instances-first))
		response := handleWhenLeading(t, s, forwarder.Request{Operation: forwarder.AnnounceBatch, Instances: batch})
		assert.Equal(t, response.Outcome, forwarder.Done)
	}
	for end := time.Now().Add(30 * time.Second); f.polled.Load() < instances && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, r.enrolled(), instances)
	assert.Assert(t, f.polled.Load() >= instances, "%d instances polled", f.polled.Load())
	assert.Assert(t, r.largest.Load() <= maxRegistrationsPerCommit, "%d enrolments in a commit", r.largest.Load())
	assert.Assert(t, r.commits.Load() < instances/maxRegistrationsPerCommit*4, "%d commits", r.commits.Load())
	assert.Assert(t, f.mostFirst.Load() <= maxFirstPolls, "%d first polls at once", f.mostFirst.Load())
}

// TestBatchCommitsChangesOfEnrolledBoots guards against a capacity that has shrunk and that the next leader does not know: the copy of the keeper
// that collected the announcement was old, so the boot is enrolled already.
func TestBatchCommitsChangesOfEnrolledBoots(t *testing.T) {
	r := &singleReplica{state: state.New()}
	s := Start(Options{
		Entry: "k", Replica: r, Instances: unresponsiveFleet{}, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	batch := batchOf(0, 20)
	assert.Equal(t, handleWhenLeading(t, s, forwarder.Request{Operation: forwarder.AnnounceBatch, Instances: batch}).Outcome, forwarder.Done)
	batch[7].Sequence, batch[7].Capacity.Processors = 2, 1000
	assert.Equal(t, handleWhenLeading(t, s, forwarder.Request{Operation: forwarder.AnnounceBatch, Instances: batch}).Outcome, forwarder.Done)
	r.View(func(s *state.State) { assert.Equal(t, s.Workload.Enrolled["i-7"].Capacity.Processors, int64(1000)) })
}

// TestRestartWithinBatchesStaysEnrolled guards against a later boot that is missing from the committed state, because its earlier boot at the
// same address is deregistered after it.
func TestRestartWithinBatchesStaysEnrolled(t *testing.T) {
	r := &singleReplica{state: state.New()}
	s := Start(Options{
		Entry: "k", Replica: r, Instances: unresponsiveFleet{}, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	for boot := int64(1); boot <= 10; boot++ {
		batch := batchOf(0, 2)
		batch[0].Boot, batch[1].Boot = boot, boot
		if boot%2 == 0 {
			batch[1].ID = "j" // another id on the same machine
		}
		assert.Equal(t, handleWhenLeading(t, s, forwarder.Request{Operation: forwarder.AnnounceBatch, Instances: batch}).Outcome, forwarder.Done)
	}
	check := func() (ok bool) {
		r.View(func(s *state.State) {
			_, earlier := s.Workload.Enrolled["i-1"]
			ok = s.Workload.Enrolled["i-0"].Boot == 10 && s.Workload.Enrolled["j"].Boot == 10 && !earlier
		})
		return ok
	}
	for end := time.Now().Add(30 * time.Second); !check() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond) // a late deregistration would come with the next run of the scheduler
	assert.Assert(t, check())
}

// TestIdleFleetIsNotPlannedAtEachPoll guards against a leader that runs the scheduler for each report of an instance without work. Load: 300 idle instances
// that answer long polls after 20 ms, as many as 3,000 that wait; the scheduler runs every 50 ms for what is due.
func TestIdleFleetIsNotPlannedAtEachPoll(t *testing.T) {
	const instances = 300
	r, f, registry := &singleReplica{state: state.New()}, &idleFleet{}, metrics.NewRegistry()
	s := Start(Options{
		Entry: "k", Replica: r, Instances: f, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: registry,
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	for first := 0; first < instances; first += 100 {
		handleWhenLeading(t, s, forwarder.Request{Operation: forwarder.AnnounceBatch, Instances: batchOf(first, 100)})
	}
	for end := time.Now().Add(30 * time.Second); f.polled.Load() < 5*instances && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	plans, polls := metrics.GetOrRegisterTimer("plan", registry), f.polled.Load()
	before := plans.Count()
	time.Sleep(time.Second)
	assert.Assert(t, f.polled.Load()-polls > 300, "%d polls", f.polled.Load()-polls)
	assert.Assert(t, plans.Count()-before <= 30, "%d plans", plans.Count()-before)
}

// idleFleet answers all polls after 20 ms.
type idleFleet struct {
	unresponsiveFleet
	polled atomic.Int64
}

func (f *idleFleet) Poll(context.Context, scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	time.Sleep(20 * time.Millisecond)
	f.polled.Add(1)
	return scheduler.StatusReport{Clock: monotonicNow(), Boot: 1}, scheduler.Accepted, nil
}

// TestChangesAreCommittedBeforeEnrolmentsOfOthers guards against a draining that is not acknowledged in time because the enrolments of a fleet are committed
// first, and against one that is committed before the enrolment of its own boot, or before a deregistration with others, and lost.
func TestChangesAreCommittedBeforeEnrolmentsOfOthers(t *testing.T) {
	s := &term{}
	var order []string
	queue := func(enqueue func(fleet.InstanceID, state.Command, func()), id fleet.InstanceID, what string) {
		enqueue(id, state.Barrier{}, func() { order = append(order, string(id)+" "+what) })
	}
	queue(s.enqueueRegistration, "a", "enrolled")
	queue(s.enqueueRegistration, "b", "enrolled")
	queue(s.enqueueRegistration, "c", "enrolled")
	s.pendingRegistrations = append(s.pendingRegistrations, registration{[]fleet.InstanceID{"d", "e"}, state.Barrier{}, func() { order = append(order, "d e deregistered") }})
	queue(s.enqueueUrgent, "e", "smaller")
	queue(s.enqueueUrgent, "z", "draining")
	queue(s.enqueueUrgent, "b", "smaller")
	queue(s.enqueueUrgent, "b", "draining")
	queue(s.enqueueUrgent, "z", "departed")
	for _, r := range s.pendingRegistrations {
		r.onCommit()
	}
	assert.DeepEqual(t, order, []string{"z draining", "z departed", "a enrolled", "b enrolled", "b smaller", "b draining", "c enrolled", "d e deregistered", "e smaller"})
}
