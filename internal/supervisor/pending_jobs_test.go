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
		select {
		case <-r.release:
		case <-ctx.Done():
			errs := make([]error, len(commands))
			for i := range errs {
				errs[i] = ctx.Err()
			}
			return make([]state.Reply, len(commands)), errs
		}
	}
	return r.singleReplica.CommitAll(ctx, commands)
}

func startSlowAcceptance(t *testing.T) (*Supervisor, slowReplica) {
	t.Helper()
	r := slowReplica{&singleReplica{state: state.New()}, make(chan struct{})}
	_, errs := r.CommitAll(t.Context(), []state.Command{state.PublishCatalogue{Source: []byte("x"), Catalogue: workload.Catalogue{
		Version: 1, Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", AuthExempt: true}}, Pools: []workload.Pool{{Name: "p"}},
	}}})
	assert.NilError(t, errs[0])
	s := Start(Options{
		Entry: "k", Replica: r, Instances: unresponsiveFleet{}, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	handleWhenLeading(t, s, forwarder.Request{Operation: forwarder.CountJobs, Host: "h", Path: "/q/"})
	return s, r
}

func submitNumber(ctx context.Context, s *Supervisor, n int, timeout time.Duration) forwarder.Response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	id := fmt.Sprintf("%016x", n)
	job := &workload.Job{ID: workload.JobID(id), Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 1000}}}}
	return s.HandleRequest(ctx, forwarder.Request{Operation: forwarder.SubmitJob, Host: "h", Path: "/q/" + id, Job: job})
}

func (r slowReplica) jobs() (n int) {
	r.View(func(s *state.State) { n = len(s.Workload.Jobs) })
	return n
}

// TestHeldJobsAreAnsweredOnce guards against a burst of jobs that occupies the leader, and against an answer that is not true: a job that waits
// is neither refused nor unknown when it is handed in again, looked up or cancelled, and it is committed once. Load: jobs of ten commits while none ends.
func TestHeldJobsAreAnsweredOnce(t *testing.T) {
	s, r := startSlowAcceptance(t)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	jobs := 10 * defaultJobLimits.jobsPerCommit
	responses := make(chan forwarder.Response, jobs+2)
	for n := range jobs {
		go func() { responses <- submitNumber(t.Context(), s, n, time.Minute) }()
	}
	queue := s.term.Load().jobQueue
	accepting := func(n int) bool { return queue.find(workload.JobID(fmt.Sprintf("%016x", n))) != nil }
	ready := func() bool { return queue.held() >= jobs/2 && accepting(3) && accepting(jobs-1) } // the requests below concern these two
	for end := time.Now().Add(30 * time.Second); !ready() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, submitNumber(t.Context(), s, 1, time.Millisecond).Outcome, forwarder.Uncertain)
	inspect := forwarder.Request{Operation: forwarder.InspectJob, Host: "h", Path: fmt.Sprintf("/q/%016x", jobs-1)}
	cancel := forwarder.Request{Operation: forwarder.CancelJob, Host: "h", Path: fmt.Sprintf("/q/%016x", 3)}
	for _, request := range []forwarder.Request{inspect, cancel} {
		go func() { responses <- s.HandleRequest(t.Context(), request) }()
	}
	time.Sleep(20 * time.Millisecond)
	close(r.release)
	for range jobs + 2 {
		assert.Equal(t, (<-responses).Outcome, forwarder.Done)
	}
	assert.Equal(t, r.jobs(), jobs)
	assert.Equal(t, s.term.Load().jobQueue.held(), 0)
}

// TestHeldJobOfLostLeaderWasNotRun guards against callers that are told that the outcome of their job is unknown although it was never proposed.
func TestHeldJobOfLostLeaderWasNotRun(t *testing.T) {
	s, r := startSlowAcceptance(t)
	jobs := 4 * defaultJobLimits.jobsPerCommit * defaultJobLimits.commits
	responses := make(chan forwarder.Response, jobs)
	for n := range jobs {
		go func() { responses <- submitNumber(t.Context(), s, n, time.Minute) }()
	}
	for end := time.Now().Add(30 * time.Second); s.term.Load().jobQueue.held() < jobs/2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, s.Close())
	uncertain := 0
	for range jobs {
		if response := <-responses; response.Outcome == forwarder.Uncertain {
			uncertain++
		} else {
			assert.Equal(t, response.Outcome, forwarder.NotLeading)
		}
	}
	assert.Assert(t, uncertain <= defaultJobLimits.jobsPerCommit*defaultJobLimits.commits, "%d", uncertain)
	assert.Equal(t, r.jobs(), 0)
}

// TestJobQueue guards against jobs that overtake others, against more commits under way than the limits allow, and against the commit of a job whose
// caller has gone.
func TestJobQueue(t *testing.T) {
	q := newJobQueue(jobLimits{commits: 2, jobsPerCommit: 2})
	add := func(id workload.JobID) *pendingJob { return q.add(state.SubmitJob{Job: workload.Job{ID: id}}, 1) }
	ids := func(batch []*pendingJob) (list []workload.JobID) {
		for _, p := range batch {
			list = append(list, p.command.Job.ID)
		}
		return list
	}
	jobs := map[workload.JobID]*pendingJob{}
	for _, id := range []workload.JobID{"a", "b", "c", "d", "e", "f", "g"} {
		jobs[id] = add(id)
	}
	assert.Equal(t, add("f"), jobs["f"], "handed in again")
	first, second := q.take(0), q.take(0)
	assert.DeepEqual(t, ids(first), []workload.JobID{"a", "b"})
	assert.DeepEqual(t, ids(second), []workload.JobID{"c", "d"})
	assert.Equal(t, len(q.take(0)), 0, "two commits are under way")
	q.leave(time.Second, jobs["e"])
	q.leave(time.Second, jobs["f"])
	assert.Assert(t, !q.giveUp(jobs["a"]), "proposed")
	q.finish(first)
	assert.DeepEqual(t, ids(q.take(time.Second+abandonedAfter+1)), []workload.JobID{"f", "g"})
	assert.Assert(t, q.find("e") == nil)
	assert.Equal(t, q.held(), 0)
	h := add("h")
	assert.Assert(t, q.giveUp(h))
	q.finish(second)
	assert.Equal(t, len(q.take(0)), 0)
}
