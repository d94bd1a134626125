package scheduler

import (
	"fmt"
	"math"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// verdict says what an instance of the pool does for a stage.
type verdict struct {
	instance *instance
	// ruledOut is why it takes no task, else it takes a number of them.
	ruledOut string
	takes    int
	score    float64
	// repeats is the number of instances before it with the same reason.
	repeats int
}

// Reasons that rule an instance out beside those for which nothing may start there.
const (
	ruledOutLabel    = "without the label"
	ruledOutSize     = "too small"
	ruledOutFull     = "full"
	ruledOutMost     = "has the most tasks of the step"
	ruledOutSuspect  = "has a task on probation"
	ruledOutReserved = "reserved for service tasks"
	ruledOutTicket   = "without advice"
	ruledOutLarge    = "reserved for a waiting task"
	ruledOutSlow     = "too slow for the job to be in time"
)

// judgeInstances judges the instances of the pool of a candidate, in the order of their IDs.
func (s *Scheduler) judgeInstances(c *candidate) []verdict {
	var list []verdict
	var schedulable []*instance
	for _, in := range s.instances.sorted {
		if in.Pool == c.job.pool && s.schedulable(in) {
			schedulable = append(schedulable, in)
		}
	}
	s.measureSpread(c, schedulable)
	for _, in := range s.instances.sorted {
		if in.Pool != c.job.pool {
			continue
		}
		v := verdict{instance: in, ruledOut: s.ruleOut(c, in)}
		if v.ruledOut == "" {
			v.takes = in.roomFor(c.stage)
			v.score = math.Round(100*s.score(in, c, &task{})) / 100
		}
		list = append(list, v)
	}
	return list
}

// ruleOut returns why an instance takes no task of a candidate, or nothing.
func (s *Scheduler) ruleOut(c *candidate, in *instance) string {
	step := c.stage.step
	switch {
	case step.RequiredLabel != "" && !slices.Contains(in.Labels, step.RequiredLabel):
		return ruledOutLabel
	case !in.Capacity.Fits(step.Claim()) || step.BestEffort && in.Capacity.Processors < step.Resources.Processors:
		return ruledOutSize
	case !s.schedulable(in):
		return s.unschedulableReason(in)
	case in.suspectRuns > 0:
		return ruledOutSuspect
	case !in.free().Fits(c.stage.claim):
		return ruledOutFull
	case step.MaxPerInstance > 0 && c.stage.runCounts[in] >= step.MaxPerInstance:
		return ruledOutMost
	case !in.accepts(c.stage):
		return ruledOutReserved
	case c.job.adviceConfig != nil && c.job.ID != "" && c.job.ticketFor(workload.NewPosition(c.occurrence, c.stage.stepIndex, 0), in) == "":
		return ruledOutTicket
	case !step.Service && in.reservation != nil && in.reservation.stage != c.stage:
		return ruledOutLarge
	case s.tooSlow(in, c):
		return ruledOutSlow
	default:
		return ""
	}
}

// roomFor returns how many tasks of a stage fit on an instance that takes some, at most those that wait.
func (in *instance) roomFor(st *stage) int {
	n, free := int64(st.waiting), in.free()
	for _, r := range [...]struct{ free, claim int64 }{{free.Processors, st.claim.Processors}, {free.Memory, st.claim.Memory}, {free.Accelerators, st.claim.Accelerators}} {
		if r.claim > 0 {
			n = min(n, r.free/r.claim)
		}
	}
	if st.step.MaxPerInstance > 0 {
		n = min(n, int64(st.step.MaxPerInstance-st.runCounts[in]))
	}
	return int(n)
}

// neededChanges returns what would have to change for the waiting tasks of a stage that find no room.
func (s *Scheduler) neededChanges(c *candidate, step StepPlacement, verdicts []verdict) []string {
	list := []string{}
	requested := c.stage.step.Resources
	if c.stage.step.Gang {
		requested = requested.Scale(float64(len(c.stage.tasks)))
	}
	if !s.withinLimit(c.job, requested) {
		list = append(list, fmt.Sprintf("customer limit: uses %s of %s, asks for %s", c.job.customerUsage, c.job.limit, requested))
	}
	if step.Fits >= step.Waiting {
		return list
	}
	possible := func(v verdict) bool { return v.ruledOut != ruledOutLabel && v.ruledOut != ruledOutSize }
	if !slices.ContainsFunc(verdicts, possible) {
		return append(list, s.impossible(c))
	}
	for _, reason := range reasons(step.RuledOut) {
		switch reason {
		case ruledOutLabel, ruledOutSize:
		case ruledOutFull:
			list = append(list, fmt.Sprintf("%d of %d instances are full: %d more tasks of %s need room", step.RuledOut[reason], len(verdicts), step.Waiting-step.Fits, step.Claim))
		default:
			list = append(list, fmt.Sprintf("%d of %d instances: %s", step.RuledOut[reason], len(verdicts), reason))
		}
	}
	if c.stage.step.Gang && step.Fits == 0 {
		list = append(list, "gang: all tasks need room together")
	}
	return append(list[:min(len(list), maxExplainedChanges)], s.describePoolSize(c.job.pool))
}

// impossible says which other pools have instances that could hold a task.
func (s *Scheduler) impossible(c *candidate) string {
	step := c.stage.step
	pools := map[string]int{}
	for _, in := range s.instances.sorted {
		if in.Capacity.Fits(step.Claim()) && (step.RequiredLabel == "" || slices.Contains(in.Labels, step.RequiredLabel)) {
			pools[string(in.Pool)]++
		}
	}
	what := "of " + step.Claim().String()
	if step.RequiredLabel != "" {
		what += fmt.Sprintf(" with label %q", step.RequiredLabel)
	}
	if len(pools) == 0 {
		return fmt.Sprintf("no instance of the fleet can hold a task %s: it waits until one joins", what)
	}
	return fmt.Sprintf("no instance of the pool can hold a task %s; those of pools %v can, once they move", what, reasons(pools)[:min(len(pools), maxExplainedSteps)])
}

// describePoolSize says how many instances the pool has and wants, and how many machines on standby it could get.
func (s *Scheduler) describePoolSize(pool fleet.PoolID) string {
	standby := 0
	for _, name := range s.machineNames {
		if s.standbyAvailable(name) && !s.machineDrained(name) && !s.refusedMoves[refusedMove{name, pool}] {
			standby++
		}
	}
	d := s.demands[pool]
	if d == nil {
		return fmt.Sprintf("the pool gets no machines; %d are on standby", standby)
	}
	return fmt.Sprintf("the pool has %d instances and gets %d; %d machines are on standby", d.available, d.desired, standby)
}
