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
func (b *bench) submitFor(customer fleet.CustomerID, tasks int) {
	b.index++
	id := workload.JobID("c" + string(customer) + time.Duration(b.index).String())
	step := workload.Step{Count: tasks, Resources: workload.Resources{Processors: 8000}, Estimate: 400 * time.Millisecond}
	b.commit(state.SubmitJob{
		Job: workload.Job{ID: id, Steps: []workload.Step{step}}, Queue: "q", Customer: customer, At: state.Timestamp(b.now.Milliseconds()),
	})
	b.scheduler.AddJob(b.now, b.now.Milliseconds(), b.state.Workload.Jobs[id], false)
}

// running counts the running tasks of each customer.
func (b *bench) running() map[fleet.CustomerID]int {
	found := map[fleet.CustomerID]int{}
	for _, runs := range b.runs {
		for task := range runs {
			found[b.state.Workload.Jobs[task.Job].Customer]++
		}
	}
	return found
}

// endAll ends what runs.
func (b *bench) endAll() {
	for id, runs := range b.runs {
		for task := range runs {
			b.end(id, task, workload.EndedDone)
		}
	}
}

// TestFullPoolIsSharedByWeight answers a flood of one customer on a full pool: the other gets its share although all its
// work is younger, and what a customer does not use is lent.
func TestFullPoolIsSharedByWeight(t *testing.T) {
	b := newBench(t)
	b.publish(func(c *workload.Catalogue) {
		c.Customers = []workload.Customer{{Name: "large", Keys: []string{"l"}, Weight: 3}, {Name: "small", Keys: []string{"s"}, Weight: 1}}
	})
	for _, name := range []string{"a", "b", "c", "d"} {
		b.join(name, "p")
	}
	b.join("x", "o")
	b.join("y", "o")
	b.pass(time.Second)
	for range 40 {
		b.submitFor("large", 4)
	}
	b.pass(200 * time.Millisecond)
	assert.Equal(t, b.running()["large"], 32, "nobody else asks")
	for range 20 {
		b.submitFor("small", 1)
	}
	got := map[fleet.CustomerID]int{}
	for range 4 {
		b.endAll()
		b.pass(100 * time.Millisecond)
		b.pass(100 * time.Millisecond)
		for customer, n := range b.running() {
			got[customer] += n
		}
	}
	assert.Equal(t, got["small"], 20, "eight of 32 at a time, until all are served")
	assert.Equal(t, got["small"]+got["large"], 4*32)
}
