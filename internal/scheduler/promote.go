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
	if len(lists[classLate]) == 0 {
		return
	}
	lateShares := s.lateShares(pools)
	late := lists[classLate][:0]
	for _, c := range lists[classLate] {
		id := c.job.pool
		if lateShares[id] >= promotionShare {
			late = append(late, c)
			continue
		}
		lateShares[id] += pools.of(id).waitingShare(&c)
		c.class = classPromoted
		lists[classPromoted] = append(lists[classPromoted], c)
	}
	lists[classLate] = late
}

// lateShares returns the dominant share of late work in the schedulable capacity of each pool.
func (s *Scheduler) lateShares(pools poolCapacities) map[fleet.PoolID]float64 {
	late := map[fleet.PoolID]workload.Resources{}
	for _, jobs := range [][]*job{s.activeJobs.jobs, s.finishedJobs} {
		for _, j := range jobs {
			if j.runCount > 0 && s.batchClassOf(j) == classLate {
				s.addBatchClaims(j, late)
			}
		}
	}
	shares := map[fleet.PoolID]float64{}
	for id, claims := range late {
		shares[id] = pools.of(id).total.DominantShare(claims)
	}
	return shares
}

// addBatchClaims adds the claims of a job's batch runs on schedulable instances to those of their pools.
func (s *Scheduler) addBatchClaims(j *job, claims map[fleet.PoolID]workload.Resources) {
	for _, o := range j.occurrences {
		for _, st := range o.stages {
			if st.step.Service {
				continue
			}
			for in, n := range st.runCounts {
				for ; n > 0 && s.schedulable(in); n-- {
					claims[in.Pool] = claims[in.Pool].Add(st.claim)
				}
			}
		}
	}
}

// waitingShare returns the dominant share of a stage's waiting tasks in the capacity of the pool.
func (p *poolCapacity) waitingShare(c *candidate) float64 {
	return float64(c.stage.waiting) * p.total.DominantShare(c.stage.claim)
}
