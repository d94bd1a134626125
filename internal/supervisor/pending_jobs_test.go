package supervisor

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// slowReplica commits no job before release is closed.
type slowReplica struct {
	*singleReplica
	release chan struct{}
}

func (r slowReplica) CommitAll(ctx context.Context, commands []state.Command) ([]state.Reply, []error) {
	if _, isJob := commands[0].(state.SubmitJob); isJob {
		<-r.release
	}
	return r.singleReplica.CommitAll(ctx, commands)
}

// TestJobsAreRefusedUnderLoad guards against a leader that takes more jobs than it can commit, and against a refusal that is not true: what was refused is
// never committed, and a job that is still being accepted is not refused when it is handed in again.
func TestJobsAreRefusedUnderLoad(t *testing.T) {
	r := slowReplica{&singleReplica{state: state.New()}, make(chan struct{})}
	r.commit(t, state.PublishCatalogue{Source: []byte("x"), Catalogue: workload.Catalogue{
		Version: 1, Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", AuthExempt: true}}, Pools: []workload.Pool{{Name: "p"}},
	}})
	s := Start(Options{
		Entry: "k", Replica: r, Instances: unresponsiveFleet{}, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	submit := func(n int, timeout time.Duration) forwarder.Response {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		id := fmt.Sprintf("%016x", n)
		job := &workload.Job{ID: workload.JobID(id), Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 1000}}}}
		return s.HandleRequest(ctx, forwarder.Request{Operation: forwarder.SubmitJob, Host: "h", Path: "/q/" + id, Job: job})
	}
	handleWhenLeading(t, s, forwarder.Request{Operation: forwarder.CountJobs, Host: "h", Path: "/q/"})
	refused, accepted := 0, []int{}
	for n := 1; refused == 0 && n < 100000; n++ {
		switch response := submit(n, time.Millisecond); response.Outcome {
		case forwarder.Uncertain:
			accepted = append(accepted, n)
		case forwarder.Refused:
			refused = n
			assert.Assert(t, response.RetryAfter > maxJobWait)
		default:
			t.Fatalf("job %d: %+v", n, response)
		}
	}
	assert.Assert(t, refused > maxJobCommits, "%d", refused)
	for _, n := range []int{accepted[0], accepted[len(accepted)-1]} {
		assert.Equal(t, submit(n, time.Millisecond).Outcome, forwarder.Uncertain, "job %d is handed in again", n)
	}
	cancelled := make(chan forwarder.Response)
	go func() {
		cancelled <- s.HandleRequest(t.Context(), forwarder.Request{Operation: forwarder.CancelJob, Host: "h", Path: fmt.Sprintf("/q/%016x", accepted[0])})
	}()
	time.Sleep(20 * time.Millisecond)
	close(r.release)
	assert.Equal(t, (<-cancelled).Outcome, forwarder.Done, "a job that is still being accepted is cancelled")
	for _, n := range accepted {
		assert.Equal(t, submit(n, time.Minute).Outcome, forwarder.Done)
	}
	r.View(func(s *state.State) { assert.Equal(t, len(s.Workload.Jobs), len(accepted)) })
	assert.Equal(t, submit(refused, time.Minute).Outcome, forwarder.Done)
}
