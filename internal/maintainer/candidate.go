package maintainer

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/namer"
)

// StepID identifies a service step among those of one decision.
type StepID int

// Obstacle is why the maintenance of a machine cannot be prepared now.
type Obstacle uint8

// Obstacles to maintenance.
const (
	// Unobstructed machines can be evacuated or maintained.
	Unobstructed Obstacle = iota
	// Moving machines change their pool, or an order of another wave concerns them.
	Moving
	// Unsettled instances have not reported what they run.
	Unsettled
	// Unreachable instances do not answer, and their leases have not expired.
	Unreachable
	// Leaving instances shut down by themselves and still run tasks.
	Leaving
	// Missing machines have had no instance for too short a time to tell a restart from a loss.
	Missing
	// Refused machines were busy when their maintenance was ordered.
	Refused
	// LongTasks are batch tasks that are expected to end after the time limit.
	LongTasks
	// Relocating machines have service tasks whose availability budgets let them leave only after the time limit.
	Relocating
)

// String returns the name that logs and metrics use.
func (o Obstacle) String() string {
	return namer.Name(o, "none", "moving", "unsettled", "unreachable", "leaving", "missing", "refused", "long tasks", "relocating")
}

// Candidate is a machine of a wave whose maintenance has not begun and has no order in flight.
type Candidate struct {
	Machine string
	Pool    fleet.PoolID
	// Standby is set for machines without an instance that can be maintained at once.
	Standby bool
	// Drained is set for machines that get no work because their data centre is drained.
	Drained bool
	// Doubtful is set for machines that have no answering instance, or one that shuts down; maintenance may be refused.
	Doubtful bool
	Obstacle Obstacle
	// HoldsPlace is set for machines that count as down already, because an order was not answered.
	HoldsPlace bool
	// Evacuating is set once nothing more starts on the machine because of this wave.
	Evacuating bool
	// Empty is set if nothing runs on the machine and all ends of its runs are committed.
	Empty bool
	// BatchLeft is the expected time until the batch tasks have ended by themselves.
	BatchLeft time.Duration
	// ServiceTasks are the service tasks on the machine, by step.
	ServiceTasks []ServiceTasks
}

// ServiceTasks are the tasks of one service step on a machine.
type ServiceTasks struct {
	Step  StepID
	Count int
	// Budget is how many tasks of the step may be unavailable at once.
	Budget int
}

// AddServiceTask adds a task of a service step.
func (c *Candidate) AddServiceTask(step StepID, budget int) {
	for i := range c.ServiceTasks {
		if t := &c.ServiceTasks[i]; t.Step == step {
			t.Count++
			return
		}
	}
	c.ServiceTasks = append(c.ServiceTasks, ServiceTasks{Step: step, Count: 1, Budget: budget})
}

// relocation returns the time in which the service tasks leave the machine one after the other.
func (c *Candidate) relocation() time.Duration {
	longest := time.Duration(0)
	for _, t := range c.ServiceTasks {
		longest = max(longest, relocations(t.Count, t.Budget))
	}
	return longest
}

// evacuation returns the expected time until the machine is empty.
func (c *Candidate) evacuation() time.Duration {
	if c.Empty {
		return 0
	}
	return max(c.BatchLeft, c.relocation())
}

// relocations returns the time in which tasks of a step are relocated within its budget.
func relocations(count, budget int) time.Duration {
	budget = max(1, budget)
	return time.Duration((count+budget-1)/budget) * relocationTime
}
