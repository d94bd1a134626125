package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// submitFor hands in a job of short tasks for a customer.
func (f *testFleet) submitJobFor(customer fleet.CustomerID, tasks int) {
	f.index++
	id := workload.JobID("c" + string(customer) + time.Duration(f.index).String())
	step := workload.Step{Count: tasks, Resources: workload.Resources{Processors: 8000}, Estimate: 400 * time.Millisecond}
	f.commit(state.SubmitJob{
		Job: workload.Job{ID: id, Steps: []workload.Step{step}}, Queue: "q", Customer: customer, At: state.Timestamp(f.now.Milliseconds()),
	})
	f.scheduler.AddJob(f.now, f.now.Milliseconds(), f.state.Workload.Jobs[id], false)
}

// running counts the running tasks of each customer.
func (f *testFleet) runningByCustomer() map[fleet.CustomerID]int {
	counts := map[fleet.CustomerID]int{}
	for _, runs := range f.runs {
		for task := range runs {
			counts[f.state.Workload.Jobs[task.Job].Customer]++
		}
	}
	return counts
}

// endAll ends what runs.
func (f *testFleet) endAllRuns() {
	for id, runs := range f.runs {
		for task := range runs {
			f.endRun(id, task, workload.EndedDone)
		}
	}
}

// TestFullPoolIsSharedByWeight answers a flood of one customer on a full pool: the other gets its share although all its
// work is younger, and what a customer does not use is lent.
func TestFullPoolIsSharedByWeight(t *testing.T) {
	f := newTestFleet(t)
	f.changeCatalogue(func(c *workload.Catalogue) {
		c.Customers = []workload.Customer{{Name: "large", Keys: []string{"l"}, Weight: 3}, {Name: "small", Keys: []string{"s"}, Weight: 1}}
	})
	for _, name := range []string{"a", "b", "c", "d"} {
		f.addInstance(name, "p")
	}
	f.addInstance("x", "o")
	f.addInstance("y", "o")
	f.advance(time.Second)
	for range 40 {
		f.submitJobFor("large", 4)
	}
	f.advance(200 * time.Millisecond)
	assert.Equal(t, f.runningByCustomer()["large"], 32, "nobody else asks")
	for range 20 {
		f.submitJobFor("small", 1)
	}
	started := map[fleet.CustomerID]int{}
	for range 4 {
		f.endAllRuns()
		f.advance(100 * time.Millisecond)
		f.advance(100 * time.Millisecond)
		for customer, n := range f.runningByCustomer() {
			started[customer] += n
		}
	}
	assert.Equal(t, started["small"], 20, "eight of 32 at a time, until all are served")
	assert.Equal(t, started["small"]+started["large"], 4*32)
}
