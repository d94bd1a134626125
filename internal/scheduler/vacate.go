package scheduler

import (
	"cmp"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// maxVacate is how many standing tasks are moved to empty one instance: each costs its users about a second, an instance
// that goes to standby saves its price until the next peak.
const maxRelocatedTasks = 4

// vacate empties an instance of a pool that has had too many for a while and no idle one: its standing tasks move to
// the others one after the other, within the availability budgets of their steps.
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
			s.decisions = append(s.decisions, Decision{What: "instance vacated", Instance: in.ID, Machine: in.Machine, Reason: "pool " + string(pool) + " can do without it"})
			s.relocateServiceTasks(in)
		}
	}
}

func (s *Scheduler) consolidatingInstance(pool fleet.PoolID) *instance {
	for _, in := range s.instances {
		if in.Pool == pool && in.consolidating {
			return in
		}
	}
	return nil
}

// vacatable returns the instance of a pool with the fewest tasks, all of them standing and with room elsewhere.
func (s *Scheduler) consolidationCandidate(pool fleet.PoolID) *instance {
	var best *instance
	for _, in := range s.instances {
		if in.Pool != pool || in.Machine == "" || !s.schedulable(in) || len(in.runs) == 0 || len(in.runs) > maxRelocatedTasks || !s.canRelocateAll(in) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(len(in.runs), len(best.runs)), cmp.Compare(in.ID, best.ID)) < 0 {
			best = in
		}
	}
	return best
}

// movesAway reports whether all that runs on the instance may be stopped and has room on another one.
func (s *Scheduler) canRelocateAll(in *instance) bool {
	in.consolidating = true // its own room does not count
	defer func() { in.consolidating = false }()
	for _, r := range in.runs {
		step := r.job.step(r.task.Position)
		if !step.Service || step.MaxUnavailable == 0 || step.Gang || r.status != statusRunning || r.percent < 100 || !s.fitsElsewhere(r, step) {
			return false
		}
	}
	return true
}

// moveStanding stops the tasks of a vacating instance whose steps allow it now; they are placed again at once.
func (s *Scheduler) relocateServiceTasks(in *instance) {
	for _, r := range in.runs {
		if !r.stopping && r.status == statusRunning && s.budgetAllowsStop(r, r.job.step(r.task.Position)) {
			s.stopRun(in, r, "vacated")
		}
	}
}
