package scheduler

import (
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// promotionShare is the part of a pool that late work may take ahead of on-time work. After a backlog of several seconds it
// is enough to run all late work before it expires, and it bounds the loss of on-time work in a lasting overload.
const promotionShare = 0.2

// promoteLate ranks late stages before on-time ones, by priority and then the oldest due time, while late work takes less
// than promotionShare of their pool.
func (s *Scheduler) promoteLate(lists *candidateLists, pools poolCapacities) {
	lateShares := map[fleet.PoolID]float64{}
	late := lists[classLate][:0]
	for _, c := range lists[classLate] {
		id := c.job.pool
		pool := pools.of(id)
		if _, known := lateShares[id]; !known {
			lateShares[id] = s.lateShare(pool)
		}
		if lateShares[id] >= promotionShare {
			late = append(late, c)
			continue
		}
		lateShares[id] += pool.waitingShare(&c)
		c.class = classPromoted
		lists[classPromoted] = append(lists[classPromoted], c)
	}
	lists[classLate] = late
}

// lateShare returns the dominant share of late work in the capacity of the pool.
func (s *Scheduler) lateShare(pool *poolCapacity) float64 {
	late := workload.Resources{}
	for _, in := range pool.instances {
		for _, r := range in.runs {
			if s.classOf(r.job, r.job.stage(r.task.Position)) == classLate {
				late = late.Add(r.claim)
			}
		}
	}
	return pool.total.DominantShare(late)
}

// waitingShare returns the dominant share of a stage's waiting tasks in the capacity of the pool.
func (p *poolCapacity) waitingShare(c *candidate) float64 {
	return float64(c.waitingTasks()) * p.total.DominantShare(c.stage.claim)
}
