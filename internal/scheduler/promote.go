package scheduler

// promotionShare is the largest part of a pool that late work may take ahead of on-time work. After a backlog of several seconds it
// is enough to run all late work before it expires, and it bounds the loss of on-time work in a lasting overload.
const promotionShare = 0.2

// promoteLate ranks late stages before on-time ones, by priority and then the oldest due time, while late work takes less of their pool
// than it needs for all of it to run before it expires, and less than promotionShare.
func (s *Scheduler) promoteLate(lists *candidateLists) {
	if len(lists[classLate]) == 0 {
		return
	}
	s.sumLateClaims()
	needed := s.neededByLate(lists[classLate])
	shares := map[*poolCapacity]float64{}
	late := lists[classLate][:0]
	for _, c := range lists[classLate] {
		pool := c.job.account.capacity
		share, known := shares[pool]
		if !known {
			share = pool.total.DominantShare(pool.lateClaims)
		}
		if share < min(promotionShare, needed[pool]) {
			share += pool.waitingShare(&c)
			c.class = classPromoted
			lists[classPromoted] = append(lists[classPromoted], c)
		} else {
			late = append(late, c)
		}
		shares[pool] = share
	}
	lists[classLate] = late
}

// neededByLate returns the share of each pool in which the waiting tasks of late stages can all run before they expire.
func (s *Scheduler) neededByLate(late []candidate) map[*poolCapacity]float64 {
	needed := map[*poolCapacity]float64{}
	for i := range late {
		c := &late[i]
		pool := c.job.account.capacity
		needed[pool] += pool.waitingShare(c) * s.lateRate(c.job, c.stage)
	}
	return needed
}

// sumLateClaims sums up the claims of the runs of late batch stages in each pool.
func (s *Scheduler) sumLateClaims() {
	for _, jobs := range [][]*job{s.activeJobs.jobs, s.finishedJobs} {
		for _, j := range jobs {
			if j.runCount > 0 && s.batchClassOf(j) == classLate {
				j.addBatchClaims()
			}
		}
	}
}

// addBatchClaims adds the claims of the job's batch runs on schedulable instances to the late claims of their pools.
func (j *job) addBatchClaims() {
	for _, o := range j.occurrences {
		for _, st := range o.stages {
			if st.step.Service {
				continue
			}
			for in, n := range st.runCounts {
				for ; n > 0 && in.capacity != nil; n-- {
					in.capacity.lateClaims = in.capacity.lateClaims.Add(st.claim)
				}
			}
		}
	}
}

// waitingShare returns the dominant share of a stage's waiting tasks in the capacity of the pool.
func (p *poolCapacity) waitingShare(c *candidate) float64 {
	return float64(c.stage.waiting) * p.total.DominantShare(c.stage.claim)
}
