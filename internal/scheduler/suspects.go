package scheduler

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// placeSuspects starts the waiting suspects before any other task: those that did not cause the crash have waited for its
// instance already. If one finds no instance without young runs, it keeps one of its pool from getting more, so that its turn comes.
func (s *Scheduler) placeSuspects(lists *candidateLists) {
	reserved := map[*poolCapacity]bool{}
	for _, list := range lists {
		for i := range list {
			c := &list[i]
			if c.stage.suspects == 0 || c.stage.waiting == 0 || c.job.finished {
				continue
			}
			pool := c.job.account.capacity
			placed := c.stage.step.Gang && s.placeSuspectGang(c, pool) || !c.stage.step.Gang && s.placeSuspectTasks(c, pool)
			if !placed && !reserved[pool] {
				reserved[pool] = true
				pool.instances = withoutYoungest(c, pool.instances)
			}
		}
	}
}

// placeSuspectTasks starts the suspects of a stage, and returns false if one finds no instance.
func (s *Scheduler) placeSuspectTasks(c *candidate, pool *poolCapacity) bool {
	instances := s.advisedInstances(c, pool.instances)
	for i := range c.stage.tasks {
		t := &c.stage.tasks[i]
		if t.done || t.run != nil || t.suspicion() == unsuspected || s.heldBack(c, i) {
			continue
		}
		if !s.withinLimit(c.job, c.stage.step.Resources) {
			return true
		}
		in := pool.chooseForSuspect(c, t, instances)
		if in == nil {
			return false
		}
		if !s.mayStartSuspect(c, i) {
			if c.job.finished {
				return true
			}
			continue
		}
		id := workload.TaskID{Job: c.job.ID, Position: workload.NewPosition(c.occurrence, c.stage.stepIndex, i)}
		r := &run{task: id, number: s.nextRunNumber()}
		pool.probations += boolToInt(in.suspectRuns == 0)
		s.startRun(in, c.job, r)
		s.logRunDecision("run placed", r, in, "suspect")
	}
	return true
}

// placeSuspectGang starts a suspected gang on instances without young runs, and returns false if they have too little capacity.
func (s *Scheduler) placeSuspectGang(c *candidate, pool *poolCapacity) bool {
	if s.heldBack(c, 0) {
		return true
	}
	var settled []*instance
	for _, in := range s.advisedInstances(c, pool.instances) {
		if in.suspects(&c.stage.tasks[0]) == 0 {
			settled = append(settled, in)
		}
	}
	if !s.mayStartSuspect(c, 0) {
		return true
	}
	s.placeGang(c, settled)
	return c.stage.waiting == 0
}

// mayStartSuspect reports whether a suspect may be started now. It gives up one with too many crashes, and first has it committed that the
// task is about to be started, so that the start counts if this leader is lost.
func (s *Scheduler) mayStartSuspect(c *candidate, index int) bool {
	p := workload.NewPosition(c.occurrence, c.stage.stepIndex, index)
	count := c.job.task(p).crashes
	if proven(count, false) {
		s.giveUp(c.job, Decision{Task: workload.TaskID{Job: c.job.ID, Position: p}, Reason: describeCrashes(count) + "; the last under an earlier leader"})
		return false
	}
	if count.Pending {
		return true
	}
	count.Pending = true
	s.commitCrashes(c.job, p, count)
	return false
}

// chooseForSuspect returns the instance for a suspect, or nil: on a machine that has not crashed under it if there is one, with the fewest
// runs that a crash would end, the oldest boot first.
func (p *poolCapacity) chooseForSuspect(c *candidate, suspect *task, instances []*instance) *instance {
	crashedBefore := func(in *instance) int { return boolToInt(slices.Contains(suspect.crashes.Hosts, in.host())) }
	atMost := max(1, int(maxProbationShare*float64(len(p.instances))))
	var best *instance
	for _, in := range instances {
		if in.suspectRuns == 0 && p.probations >= atMost {
			continue
		}
		if !in.free().Fits(c.stage.claim) || !in.suits(c.stage) || !in.mayTakeSuspect(suspect) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(boolToInt(in.cold), boolToInt(best.cold)), cmp.Compare(crashedBefore(in), crashedBefore(best)), cmp.Compare(len(in.runs), len(best.runs)), cmp.Compare(in.Boot, best.Boot)) < 0 {
			best = in
		}
	}
	return best
}

// mayTakeSuspect reports whether a crash after the start of a suspect would have no suspects but those of its group.
func (in *instance) mayTakeSuspect(t *task) bool {
	if in.loneSuspectRuns > 0 || in.suspects(t) > in.suspectRuns {
		return false
	}
	return t.suspicion() == suspectedInGroup && in.suspectRuns < suspectGroup || in.suspectRuns == 0
}

// suspects returns the number of runs that a crash would speak against as much as against a run of the task.
func (in *instance) suspects(t *task) int {
	n := 0
	for _, r := range in.runs {
		n += boolToInt(in.isSuspect(r, t.crashes.MinAge, t.crashes.MaxAge))
	}
	return n
}

func (in *instance) unsettledRuns() int {
	n := 0
	for _, r := range in.runs {
		n += boolToInt(!r.settled(in))
	}
	return n
}

// withoutYoungest returns the instances without the one that is closest to having only settled runs.
func withoutYoungest(c *candidate, instances []*instance) []*instance {
	best, fewest := -1, 0
	for i, in := range instances {
		if !in.Capacity.Fits(c.stage.claim) || !in.suits(c.stage) {
			continue
		}
		if n := in.unsettledRuns(); best < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	if best < 0 {
		return instances
	}
	return slices.Delete(slices.Clone(instances), best, best+1)
}
