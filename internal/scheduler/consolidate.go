package scheduler

import (
	"cmp"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// maxRelocatedTasks is the number of service tasks that may be relocated to empty one instance. Each relocation costs the
// task's users about 1 s; an instance on standby saves its price until the next peak.
const maxRelocatedTasks = 4

// consolidate empties one instance of a pool that has a lasting surplus and no idle instance. Its service tasks move to
// other instances one after the other, within the availability budgets of their steps.
func (s *Scheduler) consolidate(pool fleet.PoolID) {
	in := s.consolidatingInstance(pool)
	d := s.demands[pool]
	switch {
	case in != nil && d.deficit() >= 0:
		in.consolidating = false
	case in != nil:
		s.relocateServiceTasks(in)
	case d.deficit() < 0 && s.now-d.surplusSince >= scaleInDelay && s.standbyPool() != "":
		if in = s.consolidationCandidate(pool); in != nil {
			in.consolidating = true
			s.decisions = append(s.decisions, Decision{What: "instance vacated", Instance: in.ID, Machine: in.Machine, Reason: "pool " + string(pool) + " has surplus instances"})
			s.relocateServiceTasks(in)
		}
	}
}

// consolidatingInstance returns the instance of a pool that is being emptied, or nil.
func (s *Scheduler) consolidatingInstance(pool fleet.PoolID) *instance {
	for _, in := range s.instances.sorted {
		if in.Pool == pool && in.consolidating {
			return in
		}
	}
	return nil
}

// consolidationCandidate returns the instance of a pool with the fewest runs that can all be relocated, or nil.
func (s *Scheduler) consolidationCandidate(pool fleet.PoolID) *instance {
	var best *instance
	for _, in := range s.instances.sorted {
		if in.Pool != pool || in.Machine == "" || !s.schedulable(in) || len(in.runs) == 0 || len(in.runs) > maxRelocatedTasks || !s.canRelocateAll(in) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(len(in.runs), len(best.runs)), cmp.Compare(in.ID, best.ID)) < 0 {
			best = in
		}
	}
	return best
}

// canRelocateAll reports whether all runs on the instance are service runs that may be stopped and fit on another instance.
func (s *Scheduler) canRelocateAll(in *instance) bool {
	in.consolidating = true // excludes its own capacity from the search
	defer func() { in.consolidating = false }()
	for _, r := range in.runs {
		step := r.job.step(r.task.Position)
		if !step.Service || step.MaxUnavailable == 0 || step.Gang || r.status != statusRunning || r.percent < 100 || !s.fitsElsewhere(r) {
			return false
		}
	}
	return true
}

// relocateServiceTasks stops the runs of a consolidating instance that the availability budgets of their steps allow now.
// Their tasks are placed again immediately.
func (s *Scheduler) relocateServiceTasks(in *instance) {
	for _, r := range in.runs {
		if !r.stopping && r.status == statusRunning && s.budgetAllowsStop(r, r.job.step(r.task.Position)) {
			s.stopRun(in, r, "vacated")
		}
	}
}
