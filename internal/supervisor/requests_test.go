package supervisor

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

const jobID = workload.JobID("00000000000000aa")

// startWithQueue returns a leading supervisor whose catalogue has one queue, and the replica that it commits to.
func startWithQueue(t *testing.T) (*Supervisor, *singleReplica) {
	t.Helper()
	r := &singleReplica{state: state.New()}
	r.commit(t, state.PublishCatalogue{Source: []byte("x"), Catalogue: workload.Catalogue{
		Version: 1,
		Queues:  []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Objective: time.Second, AuthExempt: true}},
		Pools:   []workload.Pool{{Name: "p"}},
	}})
	s := Start(Options{
		Entry: "k", Replica: r, Instances: unresponsiveFleet{}, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s, r
}

func (r *singleReplica) commit(t *testing.T, c state.Command) {
	t.Helper()
	_, errs := r.CommitAll(t.Context(), []state.Command{c})
	assert.NilError(t, errs[0])
}

// handleWhenLeading repeats a request until the supervisor leads.
func handleWhenLeading(t *testing.T, s *Supervisor, request forwarder.Request) forwarder.Response {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if response := s.HandleRequest(context.Background(), request); response.Outcome != forwarder.NotLeading {
			return response
		}
	}
	t.Fatal("the supervisor did not lead within 30 s")
	return forwarder.Response{}
}

// TestJobIsCompletedOnceAllRunEndsAreCommitted guards against a job that is reported as completed before the end of its last
// run is committed, or as queued or cancelled afterwards.
func TestJobIsCompletedOnceAllRunEndsAreCommitted(t *testing.T) {
	s, r := startWithQueue(t)
	inspect := forwarder.Request{Operation: forwarder.InspectJob, Host: "h", Path: "/q/" + string(jobID)}
	assert.Equal(t, handleWhenLeading(t, s, inspect).Outcome, forwarder.UnknownJob)
	job := &workload.Job{ID: jobID, Steps: []workload.Step{{Count: 2, Resources: workload.Resources{Processors: 1000}}}}
	submit := forwarder.Request{Operation: forwarder.SubmitJob, Host: "h", Path: "/q/" + string(jobID), Job: job}
	assert.Equal(t, handleWhenLeading(t, s, submit).Outcome, forwarder.Done)
	assert.Equal(t, handleWhenLeading(t, s, submit).Outcome, forwarder.Done, "submitted again")
	assert.Equal(t, handleWhenLeading(t, s, inspect).Phase, workload.Queued)
	for i, want := range []workload.Phase{workload.Queued, workload.Completed} {
		id := workload.TaskID{Job: jobID, Position: workload.NewPosition(0, 0, i)}
		r.commit(t, state.RecordRunEnds{Ends: []state.RunEnd{{Task: id, Run: 1}}, At: 1})
		assert.Equal(t, handleWhenLeading(t, s, inspect).Phase, want)
	}
	cancel := forwarder.Request{Operation: forwarder.CancelJob, Host: "h", Path: "/q/" + string(jobID)}
	assert.Equal(t, handleWhenLeading(t, s, cancel).Outcome, forwarder.Done)
	assert.Equal(t, handleWhenLeading(t, s, inspect).Phase, workload.Completed, "a cancellation does not change a completed job")
}

// TestEndedJobKeepsItsPhase guards against a caller that is told that a job was cancelled or has failed, and later that it is completed: its last
// run may end as done after that.
func TestEndedJobKeepsItsPhase(t *testing.T) {
	for phase, end := range map[workload.Phase]state.Command{
		workload.Cancelled: state.CancelJob{Job: jobID, At: 1},
		workload.Failed:    state.RecordRunEnds{Failed: []workload.JobID{jobID}, At: 1},
	} {
		t.Run(string(phase), func(t *testing.T) {
			s, r := startWithQueue(t)
			inspect := forwarder.Request{Operation: forwarder.InspectJob, Host: "h", Path: "/q/" + string(jobID)}
			assert.Equal(t, handleWhenLeading(t, s, inspect).Outcome, forwarder.UnknownJob)
			r.commit(t, state.SubmitJob{Job: workload.Job{ID: jobID, Steps: []workload.Step{{Count: 1}}}, Queue: "q", At: 1})
			r.commit(t, end)
			assert.Equal(t, handleWhenLeading(t, s, inspect).Phase, phase)
			r.commit(t, state.RecordRunEnds{Ends: []state.RunEnd{{Task: workload.TaskID{Job: jobID}, Run: 1}}, At: 1})
			assert.Equal(t, handleWhenLeading(t, s, inspect).Phase, phase)
		})
	}
}

// TestWaveIsCompletedOnceMaintenanceOfAllMachinesHasStarted checks the state of a wave that operators read while its machines
// are maintained one after the other.
func TestWaveIsCompletedOnceMaintenanceOfAllMachinesHasStarted(t *testing.T) {
	s, r := startWithQueue(t)
	inspect := forwarder.Request{Operation: forwarder.InspectWave, Wave: &workload.Wave{Number: 7}}
	assert.Equal(t, handleWhenLeading(t, s, inspect).Outcome, forwarder.UnknownJob)
	wave := &workload.Wave{Number: 7, Machines: []string{"m-1", "m-2"}, TimeLimit: time.Minute, MaxConcurrent: 1}
	open := forwarder.Request{Operation: forwarder.OpenWave, Wave: wave}
	assert.Equal(t, handleWhenLeading(t, s, open).Outcome, forwarder.Done)
	assert.Equal(t, handleWhenLeading(t, s, open).Outcome, forwarder.Done, "opened again")
	for _, machine := range wave.Machines {
		assert.Assert(t, !handleWhenLeading(t, s, inspect).Finished, "before the maintenance of %s starts", machine)
		r.commit(t, state.RecordMaintenanceStart{Wave: 7, Machine: machine})
	}
	assert.Assert(t, handleWhenLeading(t, s, inspect).Finished)
}
