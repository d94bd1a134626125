package scheduler

import (
	"cmp"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// maxVacate is how many standing tasks are moved to empty one instance: each costs its users about a second, an instance
// that goes to standby saves its price until the next peak.
const maxVacate = 4

// vacate empties an instance of a pool that has had too many for a while and no idle one: its standing tasks move to
// the others one after the other, within the availability budgets of their steps.
func (s *Scheduler) vacate(p fleet.PoolID) {
	in := s.vacatingOf(p)
	d := s.demands[p]
	switch {
	case in != nil && d.deficit() >= 0:
		in.vacating = false
	case in != nil:
		s.moveStanding(in)
	case d.deficit() < 0 && s.now-d.surplus >= idleBeforeOff && s.standbyPool() != "":
		if in = s.vacatable(p); in != nil {
			in.vacating = true
			s.decisions = append(s.decisions, Decision{What: "instance vacated", Instance: in.ID, Machine: in.Machine, Reason: "pool " + string(p) + " can do without it"})
			s.moveStanding(in)
		}
	}
}

func (s *Scheduler) vacatingOf(p fleet.PoolID) *instance {
	for _, in := range s.instances {
		if in.Pool == p && in.vacating {
			return in
		}
	}
	return nil
}

// vacatable returns the instance of a pool with the fewest tasks, all of them standing and with room elsewhere.
func (s *Scheduler) vacatable(p fleet.PoolID) *instance {
	var best *instance
	for _, in := range s.instances {
		if in.Pool != p || in.Machine == "" || !s.open(in) || len(in.runs) == 0 || len(in.runs) > maxVacate || !s.movesAway(in) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(len(in.runs), len(best.runs)), cmp.Compare(in.ID, best.ID)) < 0 {
			best = in
		}
	}
	return best
}

// movesAway reports whether all that runs on the instance may be stopped and has room on another one.
func (s *Scheduler) movesAway(in *instance) bool {
	in.vacating = true // its own room does not count
	defer func() { in.vacating = false }()
	for _, r := range in.runs {
		step := r.job.step(r.task.Place)
		if !step.Standing || step.MayMiss == 0 || step.Gang || r.progress != running || r.percent < 100 || !s.roomElsewhere(r, step) {
			return false
		}
	}
	return true
}

// moveStanding stops the tasks of a vacating instance whose steps allow it now; they are placed again at once.
func (s *Scheduler) moveStanding(in *instance) {
	for _, r := range in.runs {
		if !r.stopping && r.progress == running && s.mayStop(r, r.job.step(r.task.Place)) {
			s.stop(in, r, "vacated")
		}
	}
}
