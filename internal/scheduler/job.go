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
	queue       fleet.QueueID
	pool        fleet.PoolID
	pools       []fleet.PoolID
	customer    fleet.CustomerID
	priority    int
	maxAttempts int
	// at is when the job was accepted, and due the end of its latency objective.
	acceptedAt time.Duration
	dueAt      time.Duration
	objective  time.Duration
	inherited  bool
	// accepted is the log index of the submission.
	acceptedIndex uint64
	finished      bool
	finishedAt    time.Duration
	started       bool
	runCount      int
	tasksLeft     int
	occurrences   []*occurrence
	// advice is what the policy service has said of each step, by the place of its first task.
	advice map[workload.Position]*advice
}

// round is one occurrence of the steps of a job.
type occurrence struct {
	dueMillis int64
	stages    []*stage
}

// stage is one step of a round.
type stage struct {
	stepIndex int
	tasks     []task
	doneCount int
}

// task is one task of a stage.
type task struct {
	run          *run
	instance     *instance
	lastInstance fleet.InstanceID
	done         bool
	checkpoint   string
	failedRuns   []workload.Run
}

func (j *job) step(p workload.Position) *workload.Step { return &j.Steps[p.Step()] }

func (j *job) stage(p workload.Position) *stage {
	return j.occurrences[p.Occurrence()].stages[p.Step()]
}

func (j *job) task(p workload.Position) *task { return &j.stage(p).tasks[p.Index()] }

// holds reports whether the job has a task at the place.
func (j *job) hasTask(p workload.Position) bool {
	return p.Occurrence() < len(j.occurrences) && p.Step() < len(j.Steps) && p.Index() < j.Steps[p.Step()].Count
}

// AddJob takes a committed job; old jobs may already run somewhere.
func (s *Scheduler) AddJob(now time.Duration, wallMillis int64, record *state.JobRecord, inherited bool) {
	s.now = now
	s.wallMillis = wallMillis
	if s.jobs[record.Job.ID] != nil || !record.Active() && !inherited {
		return
	}
	s.batchWorkSeen = s.batchWorkSeen || slices.ContainsFunc(record.Job.Steps, func(st workload.Step) bool { return !st.Service })
	j := &job{Job: record.Job, queue: record.Queue, customer: record.Customer, pools: slices.Clone(record.Pools), maxAttempts: defaultAttempts, inherited: inherited, acceptedIndex: record.Accepted, tasksLeft: record.Job.TaskCount()}
	for index := range record.Job.OccurrenceCount() {
		j.occurrences = append(j.occurrences, newOccurrence(&j.Job, index))
	}
	s.applyQueue(j)
	j.acceptedAt = now - time.Duration(wallMillis-int64(record.At))*time.Millisecond
	j.dueAt = j.acceptedAt + j.objective
	for p := range record.Done {
		if j.hasTask(p) {
			s.markDone(j, p)
		}
	}
	for p, runs := range record.Failures {
		if j.hasTask(p) {
			j.task(p).failedRuns = append(j.task(p).failedRuns, runs...)
		}
	}
	j.started = len(record.Done) > 0 || len(record.Failures) > 0
	if !record.Active() {
		j.finished, j.finishedAt = true, now
	}
	s.jobs[j.ID] = j
}

func newOccurrence(j *workload.Job, index int) *occurrence {
	o := &occurrence{}
	if j.Repetitions > 0 {
		o.dueMillis = j.FirstDueMillis + int64(index)*j.Interval.Milliseconds()
	}
	for i, st := range j.Steps {
		o.stages = append(o.stages, &stage{stepIndex: i, tasks: make([]task, st.Count)})
	}
	return o
}

// route takes the pool, priority and objective of the job's queue; a job of a removed queue keeps them.
func (s *Scheduler) applyQueue(j *job) {
	q, ok := s.catalogue.QueueByName(j.queue)
	if !ok {
		return
	}
	j.pool = q.Pool
	if !slices.Contains(j.pools, j.pool) {
		j.pools = append(j.pools, j.pool)
	}
	j.priority = q.Priority
	j.maxAttempts = max(1, q.MaxAttempts)
	j.objective = time.Duration(q.Stretch*float64(criticalPath(&j.Job))) + q.Objective
}

// chain returns the estimate of the longest chain of steps.
func criticalPath(j *workload.Job) time.Duration {
	finishes := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, st := range j.Steps {
		start := time.Duration(0)
		for _, a := range st.After {
			start = max(start, finishes[a])
		}
		estimate := st.Estimate
		if estimate == 0 {
			estimate = defaultStepEstimate
		}
		finishes[i] = start + estimate
		longest = max(longest, finishes[i])
	}
	return longest
}

// accounted reports whether it is known where every run of the job is; an instance that was not seen yet may run some,
// unless it was closed before the job was accepted.
func (s *Scheduler) runsReconciled(j *job) bool {
	if !j.inherited {
		return true
	}
	for id := range s.unreconciled {
		in := s.instances[id]
		cordonedBefore := in.cordonIndex > 0 && in.cordonIndex < j.acceptedIndex
		if slices.Contains(j.pools, in.Pool) && !cordonedBefore {
			return false
		}
	}
	return true
}

func (s *Scheduler) markDone(j *job, p workload.Position) {
	t := j.task(p)
	if t.done {
		return
	}
	t.done = true
	j.stage(p).doneCount++
	j.tasksLeft--
}

// Cancel stops a job.
func (s *Scheduler) CancelJob(now time.Duration, id workload.JobID) {
	s.now = now
	if j := s.jobs[id]; j != nil && !j.finished {
		s.finishJob(j, "cancelled")
	}
}

// end stops all runs of a job that needs no more of them.
func (s *Scheduler) finishJob(j *job, reason string) {
	j.finished, j.finishedAt = true, s.now
	for _, o := range j.occurrences {
		for _, st := range o.stages {
			for i := range st.tasks {
				if t := &st.tasks[i]; t.run != nil {
					s.stopRun(t.instance, t.run, reason)
				}
			}
		}
	}
}

// sweepJobs forgets jobs of which nothing can run any more, not even by an order that is carried out late.
func (s *Scheduler) forgetFinishedJobs() {
	for id, j := range s.jobs {
		if j.finished && j.runCount == 0 && s.now-j.finishedAt > finishedJobRetention && s.Reconciled() {
			delete(s.jobs, id)
		}
	}
}

// Begun reports whether a task of the job has started; ok is false for a job that is not active.
func (s *Scheduler) JobStarted(id workload.JobID) (started, ok bool) {
	j := s.jobs[id]
	if j == nil || j.finished {
		return false, false
	}
	return j.started, true
}

// Pending counts the jobs of a queue of which no task has started.
func (s *Scheduler) PendingJobs(queue fleet.QueueID) int {
	n := 0
	for _, j := range s.jobs {
		if j.queue == queue && !j.started && !j.finished {
			n++
		}
	}
	return n
}

func (s *Scheduler) storeCheckpoint(r *run) {
	if !r.job.step(r.task.Position).Gang {
		r.job.task(r.task.Position).checkpoint = r.checkpoint
		return
	}
	st := r.job.stage(r.task.Position)
	for i := range st.tasks {
		st.tasks[i].checkpoint = r.checkpoint
	}
}
