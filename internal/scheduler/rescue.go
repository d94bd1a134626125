package scheduler

import (
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// rescueShare is the part of a pool that late work may take before timely work: after a backlog of some seconds it serves
// all that is late before it becomes hopeless, and a lasting overload costs timely work no more than this.
const promotionShare = 0.2

// rescue puts late stages before timely ones, oldest first, while late work takes less than its share of their pool.
func (s *Scheduler) promoteLate(list []candidate, pools map[fleet.PoolID][]*instance) []candidate {
	if !slices.ContainsFunc(list, func(c candidate) bool { return c.class == classLate }) {
		return list
	}
	lateShares := map[fleet.PoolID]float64{}
	for i := range list {
		c := &list[i]
		pool := c.job.pool
		if c.class != classLate {
			continue
		}
		if _, known := lateShares[pool]; !known {
			lateShares[pool] = s.lateShare(pools[pool])
		}
		if lateShares[pool] < promotionShare {
			c.class = classPromoted
			lateShares[pool] += waitingShare(c, pools[pool])
		}
	}
	slices.SortStableFunc(list, compareCandidates)
	return list
}

// lateShare returns the part of the instances that late work takes.
func (s *Scheduler) lateShare(instances []*instance) float64 {
	total, late := workload.Resources{}, workload.Resources{}
	for _, in := range instances {
		total = total.Add(in.Capacity)
		for _, r := range in.runs {
			if s.classOf(r.job, r.job.stage(r.task.Position)) == classLate {
				late = late.Add(r.claim)
			}
		}
	}
	return total.DominantShare(late)
}

// waitingShare returns the part of the instances that the waiting tasks of a stage take.
func waitingShare(c *candidate, instances []*instance) float64 {
	total := workload.Resources{}
	for _, in := range instances {
		total = total.Add(in.Capacity)
	}
	return float64(c.waitingTasks()) * total.DominantShare(c.job.Steps[c.stage.stepIndex].Claim())
}
