package supervisor

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/forecaster"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// admissionFixture is a leader with one instance of one processor, to which callers hand in jobs of 100 processor-seconds.
type admissionFixture struct {
	supervisor *Supervisor
	replica    *singleReplica
	logs       *observer.ObservedLogs
	registry   metrics.Registry
	submitted  int
}

func startAdmission(t *testing.T, refuse bool) *admissionFixture {
	t.Helper()
	f := &admissionFixture{replica: &singleReplica{state: state.New()}, registry: metrics.NewRegistry()}
	f.replica.commit(t, state.PublishCatalogue{Source: []byte("x"), Catalogue: workload.Catalogue{
		Version: 1, Pools: []workload.Pool{{Name: "p"}},
		Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Objective: time.Second, Stretch: 2, AuthExempt: true}},
	}})
	learned := forecaster.New()
	for range 40 {
		learned.Observe(forecaster.Run{Subject: forecaster.Subject{Queue: "q", Estimate: time.Second}, Actual: time.Second, Tasks: 1})
	}
	summary, err := learned.Summary()
	assert.NilError(t, err)
	f.replica.commit(t, state.RecordForecast{Summary: summary})
	instances := &endingFleet{bootedAt: time.Now(), started: map[workload.TaskID]time.Time{}}
	core, logs := observer.New(zap.InfoLevel)
	f.logs = logs
	f.supervisor = Start(Options{
		Entry: "k", Replica: f.replica, Instances: instances, Machines: instances, Lease: 5 * time.Second, JobRetention: time.Minute, RefuseHopelessJobs: refuse,
		Logger: zap.New(core), Metrics: f.registry,
	})
	t.Cleanup(func() { assert.NilError(t, f.supervisor.Close()) })
	in := workload.Instance{ID: "i", Boot: 1, Pool: "p", Address: "a", Machine: "m", Capacity: workload.Resources{Processors: 1000, Memory: 4000}, Sequence: 1}
	handleWhenLeading(t, f.supervisor, forwarder.Request{Operation: forwarder.Announce, Instance: &in})
	return f
}

func (f *admissionFixture) submit(n int, change func(j *workload.Job)) forwarder.Response {
	id := fmt.Sprintf("%016x", n)
	job := &workload.Job{ID: workload.JobID(id), Steps: []workload.Step{{Count: 100, Estimate: time.Second, Resources: workload.Resources{Processors: 1000}}}}
	if change != nil {
		change(job)
	}
	return f.supervisor.HandleRequest(context.Background(), forwarder.Request{Operation: forwarder.SubmitJob, Host: "h", Path: "/q/" + id, Job: job})
}

// submitUntilRefused hands in jobs at 50 a second, 5,000 times what the instance can do, until one is refused.
func (f *admissionFixture) submitUntilRefused(limit time.Duration) (number int, response forwarder.Response) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.submitted++
		if response = f.submit(f.submitted, nil); response.Outcome != forwarder.Done {
			break
		}
	}
	return f.submitted, response
}

// TestHopelessJobIsRefused guards against jobs that are committed although far more waits than can be done before they are worth nothing, and
// against the refusal of what was accepted before or does not end by itself. Load: 5,000 times the capacity.
func TestHopelessJobIsRefused(t *testing.T) {
	f := startAdmission(t, true)
	number, response := f.submitUntilRefused(20 * time.Second)
	assert.Equal(t, response.Outcome, forwarder.Refused, response.Detail)
	assert.Assert(t, response.RetryAfter >= time.Second && response.RetryAfter%time.Second == 0, "%s", response.RetryAfter)
	committed := func(n int) (exists bool) {
		f.replica.View(func(s *state.State) { exists = s.Workload.Jobs[workload.JobID(fmt.Sprintf("%016x", n))] != nil })
		return exists
	}
	assert.Assert(t, !committed(number))
	assert.Equal(t, f.submit(1, nil).Outcome, forwarder.Done, "handed in again")
	for i, change := range []func(j *workload.Job){
		func(j *workload.Job) { j.Steps[0].Service = true },
		func(j *workload.Job) { j.FirstDueMillis, j.Repetitions = 1, 1 },
		func(j *workload.Job) { j.Steps[0].Resources.Processors = 2000 },
	} {
		assert.Equal(t, f.submit(1_000_000+i, change).Outcome, forwarder.Done)
		assert.Assert(t, committed(1_000_000+i))
	}
	refused := metrics.GetOrRegisterCounter("jobs-hopeless.q", f.registry).Count()
	assert.Equal(t, refused, int64(1))
	for end := time.Now().Add(10 * time.Second); f.logs.FilterMessage(event.JobHopeless.Name).Len() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	fields := f.logs.FilterMessage(event.JobHopeless.Name).All()[0].ContextMap()
	assert.Equal(t, fields["job"], fmt.Sprintf("%016x", number))
	assert.Equal(t, fields["pool"], "p")
}

// TestNothingIsRefusedByDefault guards against refusals where the settings do not ask for them. Load: as above, for a second.
func TestNothingIsRefusedByDefault(t *testing.T) {
	f := startAdmission(t, false)
	_, response := f.submitUntilRefused(time.Second)
	assert.Equal(t, response.Outcome, forwarder.Done)
	assert.Assert(t, f.submitted > 10)
}

// TestAbandonedCallIsNotAccepted guards against a job that is accepted after its caller has left, and perhaps been told by a later copy of the
// call that it was not run.
func TestAbandonedCallIsNotAccepted(t *testing.T) {
	f := startAdmission(t, true)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	command := state.SubmitJob{Job: workload.Job{ID: jobID, Steps: []workload.Step{{Count: 1}}}, Queue: "q"}
	assert.Equal(t, f.supervisor.term.Load().examineJob(ctx, command, "p", 1).Outcome, forwarder.Uncertain)
	inspect := forwarder.Request{Operation: forwarder.InspectJob, Host: "h", Path: "/q/" + string(jobID)}
	assert.Equal(t, handleWhenLeading(t, f.supervisor, inspect).Outcome, forwarder.UnknownJob)
}
