package supervisor

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestIncompleteRequestsAreRefused guards against one request without the fields of its operation, from a process of another version, that ends the
// leader and, as it is sent again, the next ones.
func TestIncompleteRequestsAreRefused(t *testing.T) {
	s, r := startWithQueue(t)
	for operation := range forwarder.OperationCount + 2 {
		t.Run(fmt.Sprint(int(operation)), func(t *testing.T) {
			response := handleWhenLeading(t, s, forwarder.Request{Operation: operation, Host: "h", Path: "/q/" + string(jobID)})
			assert.Assert(t, response.Outcome != 0)
		})
	}
	for name, request := range map[string]forwarder.Request{
		"job without steps": {Operation: forwarder.SubmitJob, Job: &workload.Job{ID: jobID}},
		"negative count":    {Operation: forwarder.SubmitJob, Job: &workload.Job{ID: jobID, Steps: []workload.Step{{Count: -1}}}},
		"later step first":  {Operation: forwarder.SubmitJob, Job: &workload.Job{ID: jobID, Steps: []workload.Step{{Count: 1, After: []int{7}}}}},
		"no instance":       {Operation: forwarder.Announce, Instance: &workload.Instance{}},
	} {
		t.Run(name, func(t *testing.T) {
			request.Host, request.Path = "h", "/q/"+string(jobID)
			assert.Equal(t, handleWhenLeading(t, s, request).Outcome, forwarder.Invalid)
		})
	}
	r.View(func(s *state.State) { assert.Equal(t, len(s.Workload.Jobs)+len(s.Workload.Enrolled), 0) })
}
