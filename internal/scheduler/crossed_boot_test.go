package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestLateAnswerOfOtherAddress guards against a second run of one task: the response that another instance serves the address of an instance
// arrives after the instance is known at another address, or with a later boot, where it runs tasks.
func TestLateAnswerOfOtherAddress(t *testing.T) {
	for _, tc := range []struct {
		name    string
		address string
		reboots bool
	}{
		{"same boot at another address", "elsewhere", false},
		{"later boot at another address", "elsewhere", true},
		{"later boot at the same address", "a", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(t)
			id := f.addInstance("a", "p")
			f.advance(time.Second)
			request, _ := f.scheduler.NextPoll(f.now, id, false)
			earlier := submitAndTakeStart(f)
			f.now += 10 * time.Millisecond
			next := f.state.Workload.Enrolled[id]
			next.Address, next.Sequence = tc.address, next.Sequence+1
			if tc.reboots {
				next.Boot += 500
				f.enrol(next)
			} else {
				f.scheduler.HandleAnnouncement(f.now, next)
			}
			f.advance(time.Second)
			job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
			f.advance(time.Second)
			assert.Equal(t, len(f.placements(job)), 1)
			f.scheduler.TakeDecisions()
			f.scheduler.HandlePollFailure(f.now, request, scheduler.Mismatched)
			f.scheduler.HandleOrderOutcome(f.now, earlier, scheduler.Mismatched)
			for _, d := range f.scheduler.TakeDecisions() {
				assert.Check(t, d.What != "run lost", "the run is taken for lost: %s", d.Reason)
			}
		})
	}
}
