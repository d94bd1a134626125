package supervisor

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// lateFleet has one instance, which leaves orders unanswered and may still carry them out later.
type lateFleet struct {
	unresponsiveFleet
	mutex        sync.Mutex
	bootedAt     time.Time
	starts       []scheduler.Order
	highestFence uint64
	polls        int
}

func (f *lateFleet) Order(_ context.Context, o scheduler.Order) (scheduler.Outcome, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if o.Kind == scheduler.Start {
		f.starts = append(f.starts, o)
	}
	return scheduler.Uncertain, context.DeadlineExceeded
}

func (f *lateFleet) Poll(_ context.Context, request scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.polls++
	f.highestFence = max(f.highestFence, request.Fence)
	return scheduler.StatusReport{Boot: 1, Clock: time.Since(f.bootedAt)}, scheduler.Accepted, nil
}

// TestLateStartOfEarlierLeadership guards against a second run of one task: a start of an earlier leadership of this process is carried
// out after the next one has polled the instance and found nothing there. The instance must have seen a higher fence by then.
func TestLateStartOfEarlierLeadership(t *testing.T) {
	r := &lapsingReplica{singleReplica: singleReplica{state: state.New()}}
	f := &lateFleet{bootedAt: time.Now()}
	job := workload.Job{ID: jobID, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 1000, Memory: 100}}}}
	instance := workload.Instance{ID: "i", Boot: 1, Pool: "p", Address: "a", Machine: "m", Capacity: workload.Resources{Processors: 4000, Memory: 4000}}
	_, errs := r.CommitAll(t.Context(), []state.Command{
		state.PublishCatalogue{Source: []byte("x"), Catalogue: routedCatalogue(1, "other")}, state.EnrolInstance{Instance: instance},
		state.SubmitJob{Job: job, Queue: "q", At: state.Timestamp(wallMillis())},
	})
	for _, err := range errs {
		assert.NilError(t, err)
	}
	s := Start(Options{
		Entry: "k", Replica: r, Instances: f, Machines: f, Lease: 5 * time.Second, JobRetention: time.Minute, Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	waitFor := func(what string, reached func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			f.mutex.Lock()
			done := reached()
			f.mutex.Unlock()
			if done {
				return
			}
		}
		t.Fatalf("%s: not within 10 s", what)
	}
	waitFor("the start", func() bool { return len(f.starts) > 0 })
	f.mutex.Lock()
	late := f.starts[0]
	f.mutex.Unlock()
	first := s.term.Load()
	first.cancel() // as a commit that fails does
	waitFor("the next leadership", func() bool { next := s.term.Load(); return next != nil && next != first })
	f.mutex.Lock()
	polls := f.polls
	f.mutex.Unlock()
	waitFor("polls of the next leadership", func() bool { return f.polls > polls+1 })
	f.mutex.Lock()
	defer f.mutex.Unlock()
	assert.Assert(t, late.Fence < f.highestFence, "run %d is still started: its fence is %d, the highest that the instance has seen is %d", late.Run, late.Fence, f.highestFence)
}
