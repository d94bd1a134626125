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

// TestLateStartOfEarlierSession guards against a second run of one task: a start of an earlier session of the term is carried out
// after the next session has polled the instance and found nothing there.
func TestLateStartOfEarlierSession(t *testing.T) {
	r := &singleReplica{state: state.New()}
	f := &lateFleet{bootedAt: time.Now()}
	job := workload.Job{ID: jobID, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 1000, Memory: 100}}}}
	instance := workload.Instance{ID: "i", Boot: 1, Pool: "p", Address: "a", Machine: "m", Capacity: workload.Resources{Processors: 4000, Memory: 4000}}
	r.commit(t, state.PublishCatalogue{Source: []byte("x"), Catalogue: routedCatalogue(1, "other")})
	r.commit(t, state.EnrolInstance{Instance: instance})
	r.commit(t, state.SubmitJob{Job: job, Queue: "q", At: state.Timestamp(wallMillis())})
	options := &Options{
		Entry: "k", Replica: r, Instances: f, Machines: f, Lease: 5 * time.Second, JobRetention: time.Minute, Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	}
	runSession := func(session uint64, until func() bool) {
		s := newTerm(t.Context(), options, newInstruments(options.Metrics), 1, session)
		done := make(chan struct{})
		go func() { defer close(done); s.run() }()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			f.mutex.Lock()
			reached := until()
			f.mutex.Unlock()
			if reached {
				break
			}
		}
		s.cancel()
		<-done
	}
	runSession(0, func() bool { return len(f.starts) > 0 })
	assert.Equal(t, len(f.starts), 1)
	polls := f.polls
	runSession(1, func() bool { return f.polls > polls+1 })
	late := f.starts[0]
	assert.Assert(t, late.Fence < f.highestFence, "run %d is still started: its fence is %d, the highest that the instance has seen is %d", late.Run, late.Fence, f.highestFence)
}
