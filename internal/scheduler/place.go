package scheduler

import (
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// poolCapacity is what the tasks of a pool can be placed on in one planning run.
type poolCapacity struct {
	// instances are the schedulable ones without those reserved for service tasks, and total the capacity of all of them.
	instances []*instance
	total     workload.Resources
	// activeWeight is the sum of the weights of the customers with running or waiting batch tasks in the pool.
	activeWeight float64
	// lateClaims is what late batch runs claim on the schedulable instances.
	lateClaims workload.Resources
	// full holds claims that fit on no instance. The free capacity only shrinks while tasks are placed.
	full []workload.Resources
	// probations is the number of instances with runs on probation.
	probations int
	// reserved is the number of instances with reservations for waiting batch tasks, and withheld that of those that instances lacks.
	reserved, withheld int
	// runs is the number of batch runs on the instances, and claimed what they claim; both are zero until they are needed.
	runs    int
	claimed workload.Resources
}

type poolCapacities map[fleet.PoolID]*poolCapacity

func (p poolCapacities) of(id fleet.PoolID) *poolCapacity {
	if p[id] == nil {
		p[id] = &poolCapacity{}
	}
	return p[id]
}

// hasRoom reports whether the claim may fit on an instance.
func (p *poolCapacity) hasRoom(claim workload.Resources) bool {
	return !slices.ContainsFunc(p.full, claim.Fits)
}

// Tick makes all decisions that are due at the given time.
func (s *Scheduler) Tick(now time.Duration, wallMillis int64) {
	s.now = now
	s.wallMillis = wallMillis
	due := s.dueInstances()
	s.expireInstances(due.unsettled)
	s.forgetFinishedJobs()
	s.retryStops()
	s.stopStalledRuns(due.reported)
	s.evacuateDraining(due.draining)
	s.tickWaves()
	s.placeWaiting()
	s.planMoves()
}

// placeWaiting starts waiting tasks by class, then by priority. Within one class and priority, customers below their fair
// share of the pool go first.
func (s *Scheduler) placeWaiting() {
	pools := s.schedulableInstances()
	lists := s.candidates()
	s.weighCustomers(lists, pools)
	s.promoteLate(lists)
	s.probeSuspects()
	s.unreconciledCapacity = workload.Resources{}
	for id := range s.unreconciled {
		s.unreconciledCapacity = s.unreconciledCapacity.Add(s.instances.byID[id].largestCapacity)
	}
	s.placeSuspects(lists)
	s.keepReservations(pools)
	clear(s.rackOutlooks)
	for class, list := range lists {
		if class == int(classPromoted) {
			pools.withholdReserved()
		}
		for len(list) > 0 {
			n := equalRankPrefix(list)
			s.placeEqualRank(list[:n])
			list = list[n:]
		}
	}
}

// placeEqualRank places the candidates of one class and priority, with shares of the fleet those of customers that are ahead last.
func (s *Scheduler) placeEqualRank(list []candidate) {
	if !s.options.FleetShares {
		s.placeEqualLevel(list)
		return
	}
	s.sortByLevel(list)
	for len(list) > 0 {
		n := equalLevelPrefix(list)
		s.placeEqualLevel(list[:n])
		list = list[n:]
	}
}

// placeEqualLevel places the candidates of customers below their fair share of the pool before the others.
func (s *Scheduler) placeEqualLevel(list []candidate) {
	var overShare []*candidate
	for i := range list {
		c := &list[i]
		if c.class != classService && !c.belowShare() {
			overShare = append(overShare, c)
			continue
		}
		s.placeStage(c)
	}
	for _, c := range overShare {
		s.placeStage(c)
	}
}

// equalRankPrefix returns the number of candidates at the head of the list with the same priority.
func equalRankPrefix(list []candidate) int {
	n := 1
	for n < len(list) && list[n].job.priority == list[0].job.priority {
		n++
	}
	return n
}

func (s *Scheduler) placeStage(c *candidate) {
	if c.stage.waiting == 0 || c.job.finished {
		return
	}
	pool := c.job.account.capacity
	s.placeOnReserved(c)
	if c.stage.step.Gang {
		if c.stage.suspects == 0 && !s.placeGang(c, s.advisedInstances(c, pool.instances)) {
			s.reserveRoom(c, pool)
		}
	} else if !s.placeTasks(c, pool) {
		if c.class != classService {
			s.reserveRoom(c, pool)
			return
		}
		d := s.demandOf(c.job.pool)
		d.unplacedAt, d.unplaced = s.now, c.stage.waiting
		pool.instances = withoutReserved(c, pool.instances)
	}
}

// withoutReserved returns the instances without the one that is closest to having capacity for the waiting service task,
// so that batch work does not fill it again.
func withoutReserved(c *candidate, instances []*instance) []*instance {
	step := c.stage.step
	best, least := -1, 0.0
	for i, in := range instances {
		eligible := in.Capacity.Fits(c.stage.claim) && (step.MaxPerInstance == 0 || c.stage.runCounts[in] < step.MaxPerInstance) &&
			(step.RequiredLabel == "" || slices.Contains(in.Labels, step.RequiredLabel))
		if !eligible {
			continue
		}
		if shortfall := in.shortfall(c.stage.claim); best < 0 || shortfall < least {
			best, least = i, shortfall
		}
	}
	if best < 0 {
		return instances
	}
	return slices.Delete(slices.Clone(instances), best, best+1)
}

// shortfall returns the part of the instance's capacity that must be released before the claim fits.
func (in *instance) shortfall(claim workload.Resources) float64 {
	return in.Capacity.DominantShare(claim.Add(in.claimed)) - 1
}

// schedulableInstances returns the capacity of each pool for one planning run. The lists get the lengths of the run before, since growing them
// takes most of the time with thousands of instances.
func (s *Scheduler) schedulableInstances() poolCapacities {
	pools := poolCapacities{}
	var pool *poolCapacity
	var poolID fleet.PoolID
	for _, in := range s.instances.sorted {
		if !s.schedulable(in) {
			in.capacity = nil
			continue
		}
		if pool == nil || in.Pool != poolID {
			pool, poolID = pools.of(in.Pool), in.Pool
		}
		if pool.instances == nil {
			pool.instances = make([]*instance, 0, s.poolSizes[poolID]+1)
		}
		in.capacity = pool
		pool.instances = append(pool.instances, in)
		if in.suspectRuns > 0 {
			pool.probations++
		}
		pool.total = pool.total.Add(in.Capacity)
	}
	s.measureWarmups(pools)
	for id, p := range pools {
		s.poolSizes[id] = len(p.instances)
	}
	return pools
}

// placeTasks starts the waiting tasks of a stage. It returns false if a task finds no instance; a task held back by its
// customer's limit does not count.
func (s *Scheduler) placeTasks(c *candidate, pool *poolCapacity) bool {
	instances := s.advisedInstances(c, pool.instances)
	for i := range c.stage.tasks {
		t := &c.stage.tasks[i]
		if t.done || t.run != nil || t.suspicion() != unsuspected || s.heldBack(c, i) {
			continue
		}
		if !s.withinLimit(c.job, c.stage.step.Resources) {
			return true
		}
		if s.waitsForRack(c, instances) {
			continue
		}
		if !pool.hasRoom(c.stage.claim) {
			return false
		}
		in, hasRoom := s.chooseInstance(c, t, instances)
		if !hasRoom && c.job.adviceConfig == nil {
			pool.full = append(pool.full, c.stage.claim)
		}
		if in == nil {
			return false
		}
		id := workload.TaskID{Job: c.job.ID, Position: workload.NewPosition(c.occurrence, c.stage.stepIndex, i)}
		r := &run{task: id, number: s.nextRunNumber()}
		s.startRun(in, c.job, r)
		s.logRunDecision("run placed", r, in, in.roomReason())
	}
	return true
}

// withinLimit reports whether the job's customer stays within its limit with the requested resources. Each unreconciled
// instance counts as fully used by the customer.
func (s *Scheduler) withinLimit(j *job, requested workload.Resources) bool {
	return j.customerUsage.Add(requested).Add(s.unreconciledCapacity).WithinLimit(j.limit)
}

// chooseInstance returns the instance with the highest score for a task, or nil. hasRoom reports whether the task's claim
// fits on any of the instances. An instance that is too slow for the job is chosen only if no other could take the task.
func (s *Scheduler) chooseInstance(c *candidate, t *task, instances []*instance) (best *instance, hasRoom bool) {
	bestScore, measured := 0.0, false
	var bestSlow *instance
	slowScore := 0.0
	for _, in := range instances {
		if !in.free().Fits(c.stage.claim) {
			continue
		}
		hasRoom = true
		if !in.accepts(c.stage) {
			continue
		}
		if !measured {
			measured = true
			s.measureSpread(c, instances)
		}
		score := s.score(in, c, t)
		if in.slowdown > 0 && s.tooSlow(in, c) {
			if bestSlow == nil || score > slowScore {
				bestSlow, slowScore = in, score
			}
			continue
		}
		if best == nil || score > bestScore {
			best, bestScore = in, score
		}
	}
	if best == nil && bestSlow != nil && !c.awaitsUsualSpeed(instances) {
		best = bestSlow
	}
	return best, hasRoom
}

// admits reports whether a task of the stage may start on the instance.
func (in *instance) admits(st *stage) bool { return in.free().Fits(st.claim) && in.accepts(st) }

// accepts reports whether a task of the stage may start on the instance if it has the capacity. Nothing starts beside a suspect on
// probation, so that a crash has few suspects.
func (in *instance) accepts(st *stage) bool {
	return in.suspectRuns == 0 && (in.reservedUntil == 0 || st.step.Service && !st.step.BestEffort) && in.suits(st)
}

// suits reports whether the instance is of the kind that the stage asks for and has fewer tasks of it than the step allows.
func (in *instance) suits(st *stage) bool {
	step := st.step
	if step.BestEffort && in.Capacity.Processors < step.Resources.Processors {
		return false
	}
	if step.RequiredLabel != "" && !slices.Contains(in.Labels, step.RequiredLabel) {
		return false
	}
	return step.MaxPerInstance == 0 || st.runCounts[in] < step.MaxPerInstance
}

// interferingRuns returns the number of runs that tasks of the step and their neighbours slow down.
func (in *instance) interferingRuns(step *workload.Step) int {
	n := 0
	for _, r := range in.runs {
		other := r.job.step(r.task.Position)
		if step.TailLatencyTarget > 0 && other.BestEffort || step.BestEffort && other.TailLatencyTarget > 0 || step.TailLatencyTarget > 0 && other.TailLatencyTarget > 0 {
			n++
		}
	}
	return n
}

// measureSpread sets the spread of the customer's work for a batch stage. For a service stage it counts its tasks in each rack, and the instances
// that run service tasks.
func (s *Scheduler) measureSpread(c *candidate, instances []*instance) {
	if !c.stage.step.Service {
		c.spread = s.spreadOf(c)
		return
	}
	c.serviceInstances, c.tasksPerRack = 0, map[string]int{}
	for _, in := range instances {
		if in.serviceRuns > 0 {
			c.serviceInstances++
		}
		c.tasksPerRack[in.Rack] += c.stage.runCounts[in]
	}
}

// stopStalledRuns stops runs that make no progress, so that their tasks run elsewhere. Only a later report can show that a run stands still.
func (s *Scheduler) stopStalledRuns(reported []*instance) {
	for _, in := range reported {
		if in.failedPolls > 0 || !in.polled || in.stallsCheckedAt == in.clockReadAt {
			continue
		}
		in.stallsCheckedAt = in.clockReadAt
		for _, r := range in.runs {
			if r.stalled(in.reportedAt) {
				in.recentFailures++
				s.stopRun(in, r, "stands still")
			}
		}
	}
}

// stalled reports whether the reports up to reportedAt have shown no progress within the stall timeout. Both times are on the clock of the
// instance: a report that was long on its way says nothing about the time since.
func (r *run) stalled(reportedAt time.Duration) bool {
	step := r.job.step(r.task.Position)
	if r.status != statusRunning || r.stopping || !r.reported || r.percent >= 100 || step.Gang || step.BestEffort {
		return false
	}
	if step.Service {
		return reportedAt-r.progressedAt > serviceStallTimeout
	}
	return reportedAt-r.progressedAt > stallTimeout
}
