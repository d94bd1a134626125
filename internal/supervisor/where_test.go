package supervisor

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestExplainPlacement guards against an explanation that hands the job in, and against answers that do not say what is unknown.
func TestExplainPlacement(t *testing.T) {
	s, r := startWithQueue(t)
	explain := func(queue fleet.QueueID, id workload.JobID) forwarder.Response {
		job := &workload.Job{ID: id, Steps: []workload.Step{{Count: 2, Resources: workload.Resources{Processors: 1000}}}}
		return handleWhenLeading(t, s, forwarder.Request{Operation: forwarder.ExplainPlacement, Queue: queue, Job: job})
	}
	response := explain("q", "")
	assert.Equal(t, response.Outcome, forwarder.Done, response.Detail)
	var p scheduler.Placement
	assert.NilError(t, json.Unmarshal(response.Source, &p))
	assert.Equal(t, p.Pool, fleet.PoolID("p"))
	assert.Assert(t, cmp.Contains(p.Changes[0], "no instance of the fleet"))
	r.View(func(s *state.State) { assert.Equal(t, len(s.Workload.Jobs), 0) })
	assert.Equal(t, explain("x", "").Outcome, forwarder.UnknownQueue)
	assert.Equal(t, explain("", jobID).Outcome, forwarder.UnknownJob)
	assert.Equal(t, explain("", "").Outcome, forwarder.Invalid)
	submit := forwarder.Request{Operation: forwarder.SubmitJob, Host: "h", Path: "/q/" + string(jobID), Job: &workload.Job{ID: jobID, Steps: []workload.Step{{Count: 1}}}}
	assert.Equal(t, handleWhenLeading(t, s, submit).Outcome, forwarder.Done)
	assert.Equal(t, explain("", jobID).Outcome, forwarder.Done)
	s.term.Load().explaining.Store(true)
	assert.Equal(t, explain("", jobID).Outcome, forwarder.Refused, "while another is under way")
}
