package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// class orders work of different kinds in a full pool.
type class int

const (
	classServing class = iota
	classRescued
	classTimely
	classFilling
	classLate
	classHopeless
)

// candidate is a stage with tasks that wait for an instance.
type candidate struct {
	job   *job
	round int
	stage *stage
	class class
	// anchors is how many instances of the pool hold standing tasks, and racks how many tasks of the stage each rack has;
	// both are known for standing stages only.
	anchors int
	racks   map[string]int
}

// Tick makes all decisions that are due.
func (s *Scheduler) Tick(now time.Duration, wall int64) {
	s.now = now
	s.wall = wall
	s.age()
	s.sweepJobs()
	s.retryStops()
	s.stopStandstills()
	s.tickDraining()
	s.tickWaves()
	s.place()
	s.planMoves()
}

// place starts what waits: class after class and priority after priority, and within one the customers that have less
// than their share of the pool before the others.
func (s *Scheduler) place() {
	pools := s.openInstances()
	list := s.rescue(s.candidates(), pools)
	if len(list) == 0 {
		return
	}
	use := s.sharesOf(list, pools)
	for len(list) > 0 {
		n := equals(list)
		var others []candidate
		for _, c := range list[:n] {
			if c.class != classServing && !use.below(c.job.pool, c.job.customer) {
				others = append(others, c)
				continue
			}
			s.placeStage(c, pools)
		}
		for _, c := range others {
			s.placeStage(c, pools)
		}
		list = list[n:]
	}
}

// equals returns how many candidates at the head of the list have the same class and priority.
func equals(list []candidate) int {
	n := 1
	for n < len(list) && list[n].class == list[0].class && list[n].job.priority == list[0].job.priority {
		n++
	}
	return n
}

func (s *Scheduler) placeStage(c candidate, pools map[fleet.PoolID][]*instance) {
	pool := c.job.pool
	instances := s.advised(c, pools[pool])
	if c.stage.isGang(c.job) {
		s.placeGang(c, instances)
	} else if !s.placeTasks(c, instances) && c.class == classServing {
		s.demandOf(pool).stuck = s.now
		pools[pool] = keepRoom(c, pools[pool])
	}
}

// keepRoom takes the instance that comes closest to having room for a standing task off the list, so that work that
// ends does not fill it again.
func keepRoom(c candidate, instances []*instance) []*instance {
	step := &c.job.Steps[c.stage.step]
	best := -1
	for i, in := range instances {
		suits := in.Capacity.Fits(step.Claim()) && (step.PerInstance == 0 || in.count(c) < step.PerInstance) &&
			(step.Label == "" || slices.Contains(in.Labels, step.Label))
		if suits && (best < 0 || in.lacks(step) < instances[best].lacks(step)) {
			best = i
		}
	}
	if best < 0 {
		return instances
	}
	return slices.Delete(slices.Clone(instances), best, best+1)
}

// lacks returns the part of the instance that must still come free for a task of the step.
func (in *instance) lacks(step *workload.Step) float64 {
	return in.Capacity.Share(step.Claim().Add(in.used)) - 1
}

func (s *Scheduler) openInstances() map[fleet.PoolID][]*instance {
	pools := map[fleet.PoolID][]*instance{}
	for _, in := range s.instances {
		if s.open(in) {
			pools[in.Pool] = append(pools[in.Pool], in)
		}
	}
	for _, list := range pools {
		slices.SortFunc(list, func(a, b *instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	return pools
}

// candidates returns the stages that wait, in the order in which they are served: work that lasts, then what can
// still meet its objective by priority and due time, then what is late.
func (s *Scheduler) candidates() []candidate {
	var list []candidate
	for _, j := range s.jobs {
		if j.over || !s.accounted(j) {
			continue
		}
		for k, ro := range j.rounds {
			if ro.dueWall > s.wall {
				continue
			}
			for _, st := range ro.steps {
				if st.done < len(st.tasks) && ro.ready(j, st.step) {
					list = append(list, candidate{job: j, round: k, stage: st, class: s.classOf(j, st)})
				}
			}
		}
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.job.priority, b.job.priority),
		cmp.Compare(a.job.due, b.job.due),
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.stage.step, b.stage.step),
	)
}

func (s *Scheduler) classOf(j *job, st *stage) class {
	step := j.Steps[st.step]
	switch {
	case step.Standing && step.Fills:
		return classFilling
	case step.Standing:
		return classServing
	case s.now < j.due:
		return classTimely
	case s.now < j.due+(lateFactor-1)*j.objective:
		return classLate
	default:
		return classHopeless
	}
}

// ready reports whether the steps before a step are done.
func (ro *round) ready(j *job, step int) bool {
	for _, a := range j.Steps[step].After {
		if ro.steps[a].done < len(ro.steps[a].tasks) {
			return false
		}
	}
	return true
}

func (st *stage) isGang(j *job) bool { return j.Steps[st.step].Gang }

// placeTasks starts the waiting tasks of a stage and reports whether all found an instance.
func (s *Scheduler) placeTasks(c candidate, instances []*instance) bool {
	for i := range c.stage.tasks {
		t := &c.stage.tasks[i]
		if t.done || t.run != nil {
			continue
		}
		if !s.inLimit(c.job, c.job.Steps[c.stage.step].Need) {
			return true
		}
		in := s.choose(c, t, instances)
		if in == nil {
			return false
		}
		id := workload.TaskID{Job: c.job.ID, Place: workload.At(c.round, c.stage.step, i)}
		r := &run{task: id, number: s.nextRun()}
		s.start(in, c.job, r)
		s.note("run placed", r, in, "room")
	}
	return true
}

// inLimit reports whether a customer may have one more need running; an instance that was not seen yet may be full of its work.
func (s *Scheduler) inLimit(j *job, n workload.Need) bool {
	total := s.usage[j.customer].Add(n)
	for id := range s.unsettled {
		total = total.Add(s.instances[id].Capacity)
	}
	return total.Within(s.catalogue.Limit(j.customer))
}

// choose returns the instance that suits a task best, or nil.
func (s *Scheduler) choose(c candidate, t *task, instances []*instance) *instance {
	step := &c.job.Steps[c.stage.step]
	if step.Standing {
		c.spread(instances)
	}
	var best *instance
	bestScore := 0.0
	for _, in := range instances {
		if !in.admits(c, step) {
			continue
		}
		score := in.score(c, step, t)
		if best == nil || score > bestScore {
			best, bestScore = in, score
		}
	}
	return best
}

// admits reports whether a task of the step may start on the instance.
func (in *instance) admits(c candidate, step *workload.Step) bool {
	if !in.free().Fits(step.Claim()) || step.Fills && in.Capacity.Processors < step.Need.Processors {
		return false
	}
	if step.Label != "" && !slices.Contains(in.Labels, step.Label) {
		return false
	}
	return step.PerInstance == 0 || in.count(c) < step.PerInstance
}

// count returns how many tasks of the candidate's stage are on the instance.
func (in *instance) count(c candidate) int {
	n := 0
	for id := range in.runs {
		if id.Job == c.job.ID && id.Place.Step() == c.stage.step && id.Place.Occurrence() == c.round {
			n++
		}
	}
	return n
}

// Weights of a placement, in parts of a whole instance.
const (
	weightData    = 100.0 // away from its data a task takes two to three times as long
	weightFault   = 20.0  // an instance that failed tasks lately is the last choice
	weightLast    = 10.0  // a run that was lost or failed is tried elsewhere
	weightDisturb = 5.0   // filling and serving tasks disturb each other
	weightAnchor  = 4.0   // standing tasks on few instances let the others go to standby when other work ends
	weightRack    = 0.5   // a rack that is lost should not take all tasks of a standing step
	weightPack    = 1.0   // packed instances leave others empty for maintenance and moves
	weightSame    = 0.3   // nor an instance; both stay below what an instance more would cost
)

func (in *instance) score(c candidate, step *workload.Step, t *task) float64 {
	score := 0.0
	if step.DataRack != "" && in.Rack == step.DataRack {
		score += weightData
	}
	score -= weightFault * float64(min(in.faults, 3))
	if t.last == in.ID {
		score -= weightLast
	}
	load := float64(in.used.Processors) / float64(max(1, in.Capacity.Processors))
	if !step.Standing {
		return score + weightPack*load
	}
	anchor := false
	for _, r := range in.runs {
		other := r.job.step(r.task.Place)
		anchor = anchor || other.Standing
		if step.TailTarget > 0 && other.Fills || step.Fills && other.TailTarget > 0 || step.TailTarget > 0 && other.TailTarget > 0 {
			score -= weightDisturb
		}
	}
	if anchor || c.anchors < leastPool {
		score += weightAnchor
	}
	return score + weightPack*load - weightSame*float64(in.count(c)) - weightRack*float64(c.racks[in.Rack])
}

// spread notes where the tasks of a standing stage run, and how many instances hold standing tasks.
func (c *candidate) spread(instances []*instance) {
	c.anchors, c.racks = 0, map[string]int{}
	for _, in := range instances {
		anchor := false
		for _, r := range in.runs {
			anchor = anchor || r.job.step(r.task.Place).Standing
		}
		if anchor {
			c.anchors++
		}
		c.racks[in.Rack] += in.count(*c)
	}
}

// stopStandstills stops tasks that make no progress, so that they run elsewhere.
func (s *Scheduler) stopStandstills() {
	for _, in := range s.instances {
		if in.misses > 0 || !in.looked {
			continue
		}
		for _, r := range in.runs {
			if r.standsStill(in.heard) {
				in.faults++
				s.stop(in, r, "stands still")
			}
		}
	}
}

// standsStill reports whether looks until a moment have shown no progress for too long.
func (r *run) standsStill(heard time.Duration) bool {
	step := r.job.step(r.task.Place)
	if r.progress != running || r.stopping || !r.begun || r.percent >= 100 || step.Gang || step.Fills {
		return false
	}
	if step.Standing {
		return heard-r.moved > standstillLong
	}
	return heard-r.moved > standstill
}
