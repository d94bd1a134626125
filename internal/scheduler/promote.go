package scheduler

import (
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// promotionShare is the part of a pool that late work may take ahead of on-time work. After a backlog of several seconds it
// is enough to run all late work before it expires, and it bounds the loss of on-time work in a lasting overload.
const promotionShare = 0.2

// promoteLate ranks late stages before on-time ones, by priority and then the oldest due time, while late work takes less
// than promotionShare of their pool.
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

// lateShare returns the dominant share of late work in the capacity of the instances.
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

// waitingShare returns the dominant share of a stage's waiting tasks in the capacity of the instances.
func waitingShare(c *candidate, instances []*instance) float64 {
	total := workload.Resources{}
	for _, in := range instances {
		total = total.Add(in.Capacity)
	}
	return float64(c.waitingTasks()) * total.DominantShare(c.job.Steps[c.stage.stepIndex].Claim())
}
