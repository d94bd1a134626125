package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// submitJobFor submits a job of tasks with an estimate of 400 ms for a customer.
func (f *testFleet) submitJobFor(customer fleet.CustomerID, tasks int) {
	f.index++
	id := workload.JobID("c" + string(customer) + time.Duration(f.index).String())
	step := workload.Step{Count: tasks, Resources: workload.Resources{Processors: 8000}, Estimate: 400 * time.Millisecond}
	f.commit(state.SubmitJob{
		Job: workload.Job{ID: id, Steps: []workload.Step{step}}, Queue: "q", Customer: customer, At: state.Timestamp(f.now.Milliseconds()),
	})
	f.scheduler.AddJob(f.now, f.now.Milliseconds(), f.state.Workload.Jobs[id], false)
}

// runningByCustomer returns the number of running tasks of each customer.
func (f *testFleet) runningByCustomer() map[fleet.CustomerID]int {
	counts := map[fleet.CustomerID]int{}
	for _, runs := range f.runs {
		for task := range runs {
			counts[f.state.Workload.Jobs[task.Job].Customer]++
		}
	}
	return counts
}

// endAllRuns ends all runs as done.
func (f *testFleet) endAllRuns() {
	for id, runs := range f.runs {
		for task := range runs {
			f.endRun(id, task, workload.EndedDone)
		}
	}
}

// TestFullPoolIsSharedByWeight floods a pool with jobs of one customer. It guards against starvation of another
// customer, which must get its weighted share although all its jobs are younger, and against idle capacity: unused
// shares go to others.
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
	assert.Equal(t, f.runningByCustomer()["large"], 32, "the only active customer gets the whole pool")
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
	assert.Equal(t, started["small"], 20, "eight of 32 at a time, until all have run")
	assert.Equal(t, started["small"]+started["large"], 4*32)
}
