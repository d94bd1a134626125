package scheduler

import (
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// job is what the scheduler knows of one job.
type job struct {
	workload.Job
	queue    fleet.QueueID
	pool     fleet.PoolID
	pools    []fleet.PoolID
	customer fleet.CustomerID
	priority int
	attempts int
	// at is when the job was accepted, and due the end of its latency objective.
	at        time.Duration
	due       time.Duration
	objective time.Duration
	old       bool
	// accepted is the log index of the submission.
	accepted uint64
	over     bool
	overAt   time.Duration
	begun    bool
	placed   int
	left     int
	rounds   []*round
	// advice is what the policy service has said of each step, by the place of its first task.
	advice map[workload.Place]*advice
}

// round is one occurrence of the steps of a job.
type round struct {
	dueWall int64
	steps   []*stage
}

// stage is one step of a round.
type stage struct {
	step  int
	tasks []task
	done  int
}

// task is one task of a stage.
type task struct {
	run        *run
	on         *instance
	last       fleet.InstanceID
	done       bool
	checkpoint string
	failures   []workload.Run
}

func (j *job) step(p workload.Place) *workload.Step { return &j.Steps[p.Step()] }

func (j *job) stage(p workload.Place) *stage { return j.rounds[p.Occurrence()].steps[p.Step()] }

func (j *job) task(p workload.Place) *task { return &j.stage(p).tasks[p.Index()] }

// holds reports whether the job has a task at the place.
func (j *job) holds(p workload.Place) bool {
	return p.Occurrence() < len(j.rounds) && p.Step() < len(j.Steps) && p.Index() < j.Steps[p.Step()].Count
}

// AddJob takes a committed job; old jobs may already run somewhere.
func (s *Scheduler) AddJob(now time.Duration, wall int64, r *state.JobRecord, old bool) {
	s.now = now
	s.wall = wall
	if s.jobs[r.Job.ID] != nil || !r.Active() && !old {
		return
	}
	s.worked = s.worked || slices.ContainsFunc(r.Job.Steps, func(st workload.Step) bool { return !st.Standing })
	j := &job{Job: r.Job, queue: r.Queue, customer: r.Customer, pools: slices.Clone(r.Pools), attempts: defaultTries, old: old, accepted: r.Accepted, left: r.Job.Tasks()}
	for k := range r.Job.Occurrences() {
		j.rounds = append(j.rounds, newRound(&j.Job, k))
	}
	s.route(j)
	j.at = now - time.Duration(wall-int64(r.At))*time.Millisecond
	j.due = j.at + j.objective
	for p := range r.Done {
		if j.holds(p) {
			s.markDone(j, p)
		}
	}
	for p, runs := range r.Failures {
		if j.holds(p) {
			j.task(p).failures = append(j.task(p).failures, runs...)
		}
	}
	j.begun = len(r.Done) > 0 || len(r.Failures) > 0
	if !r.Active() {
		j.over, j.overAt = true, now
	}
	s.jobs[j.ID] = j
}

func newRound(j *workload.Job, k int) *round {
	r := &round{}
	if j.Times > 0 {
		r.dueWall = j.FirstDue + int64(k)*j.Interval.Milliseconds()
	}
	for i, st := range j.Steps {
		r.steps = append(r.steps, &stage{step: i, tasks: make([]task, st.Count)})
	}
	return r
}

// route takes the pool, priority and objective of the job's queue; a job of a removed queue keeps them.
func (s *Scheduler) route(j *job) {
	q, ok := s.catalogue.Named(j.queue)
	if !ok {
		return
	}
	j.pool = q.Pool
	if !slices.Contains(j.pools, j.pool) {
		j.pools = append(j.pools, j.pool)
	}
	j.priority = q.Priority
	j.attempts = max(1, q.Attempts)
	j.objective = time.Duration(q.Stretch*float64(chain(&j.Job))) + q.Objective
}

// chain returns the estimate of the longest chain of steps.
func chain(j *workload.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, st := range j.Steps {
		start := time.Duration(0)
		for _, a := range st.After {
			start = max(start, ends[a])
		}
		estimate := st.Estimate
		if estimate == 0 {
			estimate = fallbackChain
		}
		ends[i] = start + estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// accounted reports whether it is known where every run of the job is; an instance that was not seen yet may run some,
// unless it was closed before the job was accepted.
func (s *Scheduler) accounted(j *job) bool {
	if !j.old {
		return true
	}
	for id := range s.unsettled {
		in := s.instances[id]
		closedBefore := in.closedAt > 0 && in.closedAt < j.accepted
		if slices.Contains(j.pools, in.Pool) && !closedBefore {
			return false
		}
	}
	return true
}

func (s *Scheduler) markDone(j *job, p workload.Place) {
	t := j.task(p)
	if t.done {
		return
	}
	t.done = true
	j.stage(p).done++
	j.left--
}

// Cancel stops a job.
func (s *Scheduler) Cancel(now time.Duration, id workload.JobID) {
	s.now = now
	if j := s.jobs[id]; j != nil && !j.over {
		s.end(j, "cancelled")
	}
}

// end stops all runs of a job that needs no more of them.
func (s *Scheduler) end(j *job, reason string) {
	j.over, j.overAt = true, s.now
	for _, ro := range j.rounds {
		for _, st := range ro.steps {
			for i := range st.tasks {
				if t := &st.tasks[i]; t.run != nil {
					s.stop(t.on, t.run, reason)
				}
			}
		}
	}
}

// sweepJobs forgets jobs of which nothing can run any more, not even by an order that is carried out late.
func (s *Scheduler) sweepJobs() {
	for id, j := range s.jobs {
		if j.over && j.placed == 0 && s.now-j.overAt > forgetOver && s.Settled() {
			delete(s.jobs, id)
		}
	}
}

// Begun reports whether a task of the job has started; ok is false for a job that is not active.
func (s *Scheduler) Begun(id workload.JobID) (begun, ok bool) {
	j := s.jobs[id]
	if j == nil || j.over {
		return false, false
	}
	return j.begun, true
}

// Pending counts the jobs of a queue of which no task has started.
func (s *Scheduler) Pending(queue fleet.QueueID) int {
	n := 0
	for _, j := range s.jobs {
		if j.queue == queue && !j.begun && !j.over {
			n++
		}
	}
	return n
}

func (s *Scheduler) keepCheckpoint(r *run) {
	if !r.job.step(r.task.Place).Gang {
		r.job.task(r.task.Place).checkpoint = r.saved
		return
	}
	st := r.job.stage(r.task.Place)
	for i := range st.tasks {
		st.tasks[i].checkpoint = r.saved
	}
}
