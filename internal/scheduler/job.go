package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/accountant"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// job is the scheduling state of one job.
type job struct {
	workload.Job
	queue    fleet.QueueID
	pool     fleet.PoolID
	pools    []fleet.PoolID
	customer fleet.CustomerID
	account  *account
	// level is that of the customer when the job was begun, or the better one that it has reached since.
	level accountant.Level
	// customerUsage is what all runs of the customer use.
	customerUsage *workload.Resources
	priority      int
	maxAttempts   int
	// dueAt is acceptedAt plus the latency objective.
	acceptedAt time.Duration
	dueAt      time.Duration
	objective  time.Duration
	// stretch and constant are those of the queue: objective is stretch times the critical path plus constant. The critical path follows
	// the expected run times of the steps from objectiveDue on.
	stretch      float64
	constant     time.Duration
	objectiveDue time.Duration
	timeliness   timeliness
	// adviceConfig is that of the queue, and limit that of the customer.
	adviceConfig *workload.Advice
	limit        workload.Resources
	inherited    bool
	// acceptedIndex is the log index of the submission.
	acceptedIndex uint64
	finished      bool
	finishedAt    time.Duration
	started       bool
	// runCount is the number of runs of the job on all instances.
	runCount    int
	tasksLeft   int
	occurrences []*occurrence
	// estimateRatio is that of all stages.
	estimateRatio estimateRatio
	// advice holds the responses of the policy service for each step, by the position of its first task.
	advice map[workload.Position]*advice
	// explainedAt is when ExplainWaiting explained the wait of a task of the job last.
	explainedAt time.Duration
}

// occurrence is one execution of the steps of a job.
type occurrence struct {
	dueMillis int64
	stages    []*stage
	chain     cachedChain
}

// stage is one step of an occurrence.
type stage struct {
	stepIndex int
	step      *workload.Step
	claim     workload.Resources
	tasks     []task
	doneCount int
	// waiting is the number of tasks that are not done and have no run.
	waiting int
	// longestRun is the duration of the longest finished run, as on an instance of usual speed.
	longestRun time.Duration
	// runCounts is the number of runs on each instance that has some.
	runCounts map[*instance]int
	// rackWaitSince is when a task first waited for the rack of its data.
	rackWaitSince time.Duration
	// suspects is the number of suspected tasks; a gang counts as one.
	suspects int
	// expectation is nil until it is asked for: a job with many occurrences has far more stages than run.
	expectation *expectation
}

// task is one task of a stage.
type task struct {
	run          *run
	instance     *instance
	lastInstance fleet.InstanceID
	done         bool
	checkpoint   string
	failedRuns   []workload.Run
	// waitingSince is zero unless ExplainWaiting found the task waiting.
	waitingSince time.Duration
	crashes      state.CrashCount
	// assumedCrash is set if a crash was counted for a run of an earlier leader that no instance has listed yet.
	assumedCrash bool
	// crashedRun is the run whose crash was counted last. The members of a gang share its number.
	crashedRun workload.Run
	// heldFor is the batch that must be committed before the task is started again.
	heldFor uint64
	// streak is nil unless the instance of the latest run crashed.
	streak *streak
}

func (j *job) step(p workload.Position) *workload.Step { return &j.Steps[p.Step()] }

func (j *job) stage(p workload.Position) *stage {
	return j.occurrences[p.Occurrence()].stages[p.Step()]
}

func (j *job) task(p workload.Position) *task { return &j.stage(p).tasks[p.Index()] }

// hasTask reports whether the job has a task at the position.
func (j *job) hasTask(p workload.Position) bool {
	return p.Occurrence() < len(j.occurrences) && p.Step() < len(j.Steps) && p.Index() < j.Steps[p.Step()].Count
}

// AddJob adds a committed job. An inherited job was accepted under an earlier leader and may already have runs.
func (s *Scheduler) AddJob(now time.Duration, wallMillis int64, record *state.JobRecord, inherited bool) {
	s.now = now
	s.wallMillis = wallMillis
	if s.jobs[record.Job.ID] != nil || !record.Active() && !inherited {
		return
	}
	if err := record.Job.Validate(); err != nil {
		s.refuseJob(record, err)
		return
	}
	s.batchWorkSeen = s.batchWorkSeen || slices.ContainsFunc(record.Job.Steps, func(st workload.Step) bool { return !st.Service })
	j := &job{Job: record.Job, queue: record.Queue, customer: record.Customer, pools: slices.Clone(record.Pools), maxAttempts: defaultAttempts, inherited: inherited, acceptedIndex: record.AcceptedIndex, tasksLeft: record.Job.TaskCount()}
	for index := range record.Job.OccurrenceCount() {
		j.occurrences = append(j.occurrences, newOccurrence(&j.Job, index))
	}
	if s.customerUsage[j.customer] == nil {
		s.customerUsage[j.customer] = &workload.Resources{}
	}
	j.customerUsage = s.customerUsage[j.customer]
	s.applyCatalogue(j)
	j.acceptedAt = now - time.Duration(wallMillis-int64(record.AcceptedAt))*time.Millisecond
	j.dueAt = j.acceptedAt + j.objective
	for p := range record.Completed {
		if j.hasTask(p) {
			s.markDone(j, p)
		}
	}
	for p, runs := range record.FailedRuns {
		if j.hasTask(p) {
			j.task(p).failedRuns = append(j.task(p).failedRuns, runs...)
		}
	}
	for p, count := range record.Crashes {
		if j.hasTask(p) {
			s.inheritCrashes(j, p, count)
		}
	}
	j.started = len(record.Completed) > 0 || len(record.Crashes) > 0 || len(record.FailedRuns) > 0
	if !record.Active() {
		s.markFinished(j)
	} else {
		s.activeJobs.add(j)
	}
	s.jobs[j.ID] = j
}

// refuseJob fails a committed job that no version of the program should have accepted, so that it ends no leader. It has never run.
func (s *Scheduler) refuseJob(record *state.JobRecord, reason error) {
	if !record.Active() {
		return
	}
	s.decisions = append(s.decisions, Decision{What: "job refused", Task: workload.TaskID{Job: record.Job.ID}, Reason: reason.Error()})
	s.failedJobs = append(s.failedJobs, record.Job.ID)
}

func newOccurrence(j *workload.Job, index int) *occurrence {
	o := &occurrence{}
	if j.Repetitions > 0 {
		o.dueMillis = j.FirstDueMillis + int64(index)*j.Interval.Milliseconds()
	}
	for i := range j.Steps {
		step := &j.Steps[i]
		o.stages = append(o.stages, &stage{stepIndex: i, step: step, claim: step.Claim(), tasks: make([]task, step.Count), waiting: step.Count, runCounts: map[*instance]int{}})
	}
	return o
}

// applyCatalogue copies the customer's limit, and pool, priority, attempts, latency objective and advice of the queue. If
// the queue was removed, the job needs no advice and keeps the other values.
func (s *Scheduler) applyCatalogue(j *job) {
	j.limit = s.catalogue.CustomerLimit(j.customer)
	j.adviceConfig = nil
	q, ok := s.catalogue.QueueByName(j.queue)
	if !ok {
		return
	}
	j.adviceConfig = q.Advice
	j.pool = q.Pool
	if !slices.Contains(j.pools, j.pool) {
		j.pools = append(j.pools, j.pool)
	}
	j.priority = q.Priority
	j.maxAttempts = max(1, q.MaxAttempts)
	j.stretch, j.constant = q.Stretch, q.Objective
	j.objective = time.Duration(q.Stretch*float64(criticalPath(&j.Job))) + q.Objective
	j.objectiveDue, j.timeliness.rank = 0, 0
}

// criticalPath returns the estimated duration of the longest chain of dependent steps.
func criticalPath(j *workload.Job) time.Duration {
	return longestChain(j, make([]time.Duration, len(j.Steps)), func(step int) time.Duration { return cmp.Or(j.Steps[step].Estimate, defaultStepEstimate) })
}

// longestChain returns the duration of the longest chain of dependent steps. finishes has room for each step.
func longestChain(j *workload.Job, finishes []time.Duration, duration func(step int) time.Duration) time.Duration {
	longest := time.Duration(0)
	for i, st := range j.Steps {
		start := time.Duration(0)
		for _, a := range st.After {
			start = max(start, finishes[a])
		}
		finishes[i] = start + duration(i)
		longest = max(longest, finishes[i])
	}
	return longest
}

// lastCordons returns the log index of the last cordon of an unreconciled instance in each pool that has some, and the
// highest index if one of them was not cordoned.
func (s *Scheduler) lastCordons() map[fleet.PoolID]uint64 {
	last := map[fleet.PoolID]uint64{}
	for id := range s.unreconciled {
		in := s.instances.byID[id]
		index := in.cordonIndex
		if index == 0 {
			index = math.MaxUint64
		}
		last[in.Pool] = max(last[in.Pool], index)
	}
	return last
}

// runsReconciled reports whether every run of the job is known. An instance that this leader has not polled yet may run
// tasks of the job unless it was cordoned before the job was accepted.
func (j *job) runsReconciled(lastCordons map[fleet.PoolID]uint64) bool {
	if !j.inherited || len(lastCordons) == 0 {
		return true
	}
	return !slices.ContainsFunc(j.pools, func(pool fleet.PoolID) bool {
		index, unreconciled := lastCordons[pool]
		return unreconciled && index >= j.acceptedIndex
	})
}

func (s *Scheduler) markDone(j *job, p workload.Position) {
	t := j.task(p)
	if t.done {
		return
	}
	t.done = true
	st := j.stage(p)
	st.doneCount++
	if t.run == nil {
		st.waiting--
	}
	j.tasksLeft--
}

// CancelJob stops all runs of a job.
func (s *Scheduler) CancelJob(now time.Duration, id workload.JobID) {
	s.now = now
	if j := s.jobs[id]; j != nil && !j.finished {
		s.finishJob(j, "cancelled")
	}
}

// finishJob marks a job as finished and stops its runs.
func (s *Scheduler) finishJob(j *job, reason string) {
	s.markFinished(j)
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

func (s *Scheduler) markFinished(j *job) {
	j.finished, j.finishedAt = true, s.now
	s.finishedJobs = append(s.finishedJobs, j)
}

// forgetFinishedJobs removes finished jobs once no run can exist any more, not even from an order that is executed late.
func (s *Scheduler) forgetFinishedJobs() {
	if !s.Reconciled() {
		return
	}
	n := slices.IndexFunc(s.finishedJobs, func(j *job) bool { return s.now-j.finishedAt <= finishedJobRetention })
	if n < 0 {
		n = len(s.finishedJobs)
	}
	var withRuns []*job
	for _, j := range s.finishedJobs[:n] {
		if j.runCount > 0 {
			withRuns = append(withRuns, j)
			continue
		}
		delete(s.jobs, j.ID)
	}
	s.finishedJobs = slices.Replace(s.finishedJobs, 0, n, withRuns...)
}

// JobStarted reports whether a task of the job has been started. ok is false if the job is not active.
func (s *Scheduler) JobStarted(id workload.JobID) (started, ok bool) {
	j := s.jobs[id]
	if j == nil || j.finished {
		return false, false
	}
	return j.started, true
}

// HoldsJob reports whether the scheduler has the tasks of a job in memory, also for some time after its end.
func (s *Scheduler) HoldsJob(id workload.JobID) bool { return s.jobs[id] != nil }

// PendingJobs returns the number of active jobs of a queue of which no task has been started.
func (s *Scheduler) PendingJobs(queue fleet.QueueID) int {
	n := 0
	for _, j := range s.activeJobs.jobs {
		if j.queue == queue && !j.started && !j.finished {
			n++
		}
	}
	return n
}

// storeCheckpoint keeps the last checkpoint of a run for the next run of its task, or of the whole gang.
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
