package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Timing of explanations of waiting tasks.
const (
	waitingReportAfter    = 3 * time.Second // tasks usually start within a second
	waitingReportInterval = 5 * time.Second // per job
)

// WaitingTask explains why a task of a job that is due does not run.
type WaitingTask struct {
	Task   workload.TaskID
	Class  string
	Waited time.Duration
	// Inherited is set for a job accepted under an earlier leader. Waited may then count from its acceptance although the
	// task has run since.
	Inherited bool
	// Tasks is the number of tasks of the job that wait.
	Tasks  int
	Reason string
	Pool   fleet.PoolID
	// Free and Total are the capacity of the schedulable instances of the pool.
	Free, Total workload.Resources
}

// String returns the name that logs use.
func (c class) String() string {
	return [...]string{"service", "promoted", "on time", "best effort", "late", "expired"}[c]
}

// JobKnown reports whether the scheduler holds a job, and whether the job is finished there.
func (s *Scheduler) JobKnown(id workload.JobID) (known, finished bool) {
	j := s.jobs[id]
	return j != nil, j != nil && j.finished
}

// UnfinishedJobs iterates over the jobs that are not finished.
func (s *Scheduler) UnfinishedJobs() func(yield func(workload.JobID) bool) {
	return func(yield func(workload.JobID) bool) {
		for id, j := range s.jobs {
			if !j.finished && !yield(id) {
				return
			}
		}
	}
}

// Size returns the number of jobs and instances held.
func (s *Scheduler) Size() (jobs, instances int) { return len(s.jobs), len(s.instances.sorted) }

// waitingJob is a job with tasks that wait, and the one that waits longest.
type waitingJob struct {
	job   *job
	task  workload.Position
	since time.Duration
	tasks int
}

// ExplainWaiting explains for up to limit jobs why tasks of them have been due for longer than waitingReportAfter without
// running, jobs that were explained least recently first. total is the number of such jobs. It must be called regularly: the
// wait of a task that has run before, or that depends on others, counts from the first call that found it waiting.
func (s *Scheduler) ExplainWaiting(now time.Duration, limit int) (list []WaitingTask, total int) {
	s.now = now
	var jobs []waitingJob
	for _, j := range s.jobs {
		w, ok := s.findWaiting(j)
		if !ok {
			continue
		}
		total++
		if j.explainedAt == 0 || now-j.explainedAt >= waitingReportInterval {
			jobs = append(jobs, w)
		}
	}
	if len(jobs) == 0 {
		return nil, total
	}
	slices.SortFunc(jobs, func(a, b waitingJob) int {
		return cmp.Or(cmp.Compare(a.job.explainedAt, b.job.explainedAt), cmp.Compare(a.since, b.since), cmp.Compare(a.job.ID, b.job.ID))
	})
	for _, w := range jobs[:min(limit, len(jobs))] {
		w.job.explainedAt = now
		list = append(list, s.explain(w))
	}
	return list, total
}

// findWaiting returns the task of a job that waits longest, if it waits longer than waitingReportAfter.
func (s *Scheduler) findWaiting(j *job) (w waitingJob, ok bool) {
	if j.finished {
		return w, false
	}
	w = waitingJob{job: j, since: s.now}
	for index, o := range j.occurrences {
		if o.dueMillis > s.wallMillis {
			continue
		}
		for _, st := range o.stages {
			if st.doneCount == len(st.tasks) || !o.ready(j, st.stepIndex) {
				continue
			}
			for i := range st.tasks {
				p := workload.NewPosition(index, st.stepIndex, i)
				since := s.waitingSince(j, o, &st.tasks[i], st)
				if s.now-since <= waitingReportAfter {
					continue
				}
				w.tasks++
				if since < w.since {
					w.since, w.task = since, p
				}
			}
		}
	}
	return w, w.tasks > 0
}

// waitingSince returns since when a task of a ready stage has been waiting, or now if it does not wait.
func (s *Scheduler) waitingSince(j *job, o *occurrence, t *task, st *stage) time.Duration {
	if t.done || t.run != nil && !s.doubtful(t) {
		t.waitingSince = 0
		return s.now
	}
	if t.waitingSince == 0 {
		t.waitingSince = s.now
		if t.run == nil && t.lastInstance == "" && len(j.Steps[st.stepIndex].After) == 0 {
			t.waitingSince = max(j.acceptedAt, s.now-time.Duration(s.wallMillis-o.dueMillis)*time.Millisecond)
		}
	}
	return t.waitingSince
}

// doubtful reports whether the run of a task may not exist: it was not confirmed by a recent status report, or is being
// stopped.
func (s *Scheduler) doubtful(t *task) bool {
	r := t.run
	return r.stopping || r.status != statusRunning || !r.reported || t.instance.failedPolls > 0 || s.now-t.instance.clockReadAt > waitingReportAfter
}

// explain returns what holds the waiting task of a job.
func (s *Scheduler) explain(w waitingJob) WaitingTask {
	j, p := w.job, w.task
	c := candidate{job: j, occurrence: p.Occurrence(), stage: j.stage(p)}
	c.class = s.classOf(j, c.stage)
	pool := s.summarisePool(j.pool)
	explained := WaitingTask{
		Task: workload.TaskID{Job: j.ID, Position: p}, Class: c.class.String(), Waited: s.now - w.since, Inherited: j.inherited, Tasks: w.tasks,
		Pool: j.pool, Free: pool.free, Total: pool.total,
	}
	explained.Reason = s.reasonForWaiting(c, p, pool)
	if level := s.describeLevel(j); level != "" && !c.stage.step.Service {
		explained.Reason += "; level " + level
	}
	explained.Reason += s.describeBacklog(j.pool)
	return explained
}

// reasonForWaiting returns what holds a task of a stage, in the order in which the scheduler checks it.
func (s *Scheduler) reasonForWaiting(c candidate, p workload.Position, pool poolSummary) string {
	t := c.job.task(p)
	step := &c.job.Steps[c.stage.stepIndex]
	if t.run != nil {
		return s.describeRun(t)
	}
	if !c.job.runsReconciled(s.lastCordons()) {
		return "unreconciled: " + s.describeUnreconciled(c.job)
	}
	requested := step.Resources
	if step.Gang {
		requested = workload.Resources{}
		for i := range c.stage.tasks {
			if other := &c.stage.tasks[i]; other.run != nil {
				return "gang: " + s.describeRun(other)
			}
			requested = requested.Add(step.Resources)
		}
	}
	if !s.withinLimit(c.job, requested) {
		reason := fmt.Sprintf("customer limit: %q uses %s of %s, asks for %s", c.job.customer, s.customerUsage[c.job.customer],
			s.catalogue.CustomerLimit(c.job.customer), requested)
		if len(s.unreconciled) > 0 {
			reason += fmt.Sprintf(", and %d unreconciled instances count as used", len(s.unreconciled))
		}
		return reason
	}
	if k := c.job.suspectAt(p).streak; k != nil && s.now < k.heldUntil {
		return fmt.Sprintf("held back for %s: %s", rounded(k.heldUntil-s.now), k.describe(s.crashesOf(c.job.pool)))
	}
	if suspect := c.job.suspectAt(p); suspect.suspicion() != unsuspected {
		return fmt.Sprintf("set apart: %s; of %d schedulable instances none has room and no young runs", describeCrashes(suspect.crashes), len(pool.schedulable))
	}
	return s.describeRoom(c, step, pool)
}

// describeRun describes the run that a task is believed to have.
func (s *Scheduler) describeRun(t *task) string {
	r, in := t.run, t.instance
	state := [...]string{"none", "ordered", "running", "uncertain", "ended"}[r.status]
	if r.stopping {
		state += ", stopping"
	}
	if !r.reported {
		state += ", never reported"
	}
	return fmt.Sprintf("run %d is believed to exist: %s, ordered %s ago, on %s, which reported %s ago with %d failed polls since", r.number, state,
		rounded(s.now-r.orderedAt), in.ID, rounded(s.now-in.clockReadAt), in.failedPolls)
}

// describeUnreconciled counts the unreconciled instances on which a job may have runs, and names the first.
func (s *Scheduler) describeUnreconciled(j *job) string {
	n, first := 0, fleet.InstanceID("")
	for id := range s.unreconciled {
		in := s.instances.byID[id]
		if !slices.Contains(j.pools, in.Pool) || in.cordonIndex > 0 && in.cordonIndex < j.acceptedIndex {
			continue
		}
		n++
		if first == "" || id < first {
			first = id
		}
	}
	in := s.instances.byID[first]
	return fmt.Sprintf("%d instances may have runs of the job, first %s with %d failed polls, leases expire in %s", n, first, in.failedPolls,
		rounded(s.leasesExpiredAt(in)-s.now))
}

// describeRoom describes why no instance of the pool admits a task of the step.
func (s *Scheduler) describeRoom(c candidate, step *workload.Step, pool poolSummary) string {
	admitting, full, unlabelled, atMax, noTicket := 0, 0, 0, 0, 0
	q, ok := s.catalogue.QueueByName(c.job.queue)
	needsTicket := ok && q.Advice != nil
	for _, in := range pool.schedulable {
		switch {
		case step.RequiredLabel != "" && !slices.Contains(in.Labels, step.RequiredLabel):
			unlabelled++
		case !in.admits(c.stage) && in.free().Fits(step.Claim()):
			atMax++
		case !in.admits(c.stage):
			full++
		case needsTicket && c.job.ticketFor(workload.NewPosition(c.occurrence, c.stage.stepIndex, 0), in) == "":
			noTicket++
		default:
			admitting++
		}
	}
	what := "no instance with room"
	switch {
	case admitting > 0 && step.Gang:
		what = "gang: too little room together"
	case admitting > 0:
		what = "room, but reserved or not yet planned"
	case noTicket > 0:
		what = "no advice"
	}
	return fmt.Sprintf("%s for %s: of %d schedulable instances %d admit it, %d are full, %d lack the label, %d have the most tasks, %d have no ticket%s",
		what, step.Claim(), len(pool.schedulable), admitting, full, unlabelled, atMax, noTicket, s.describeKeptRoom(c, pool)+pool.describeOthers())
}

// describeBacklog describes the work of a pool in which new jobs may be refused.
func (s *Scheduler) describeBacklog(pool fleet.PoolID) string {
	p := s.backlog.Pool(pool)
	if p == nil {
		return ""
	}
	return fmt.Sprintf("; backlog: %.0f processor-seconds on at most %.0f processors", p.Total(), p.Processors())
}

// poolSummary is the capacity of the schedulable instances of a pool, and why others are not schedulable.
type poolSummary struct {
	schedulable []*instance
	free, total workload.Resources
	others      map[string]int
}

func (s *Scheduler) summarisePool(pool fleet.PoolID) poolSummary {
	p := poolSummary{others: map[string]int{}}
	for _, in := range s.instances.sorted {
		if in.Pool != pool {
			continue
		}
		if !s.schedulable(in) {
			p.others[s.unschedulableReason(in)]++
			continue
		}
		p.schedulable = append(p.schedulable, in)
		p.free, p.total = p.free.Add(in.free()), p.total.Add(in.Capacity)
	}
	return p
}

func (p poolSummary) describeOthers() string {
	var list []string
	for reason, n := range p.others {
		list = append(list, fmt.Sprintf("%d %s", n, reason))
	}
	if len(list) == 0 {
		return ""
	}
	slices.Sort(list)
	return "; not schedulable: " + strings.Join(list, ", ")
}

// unschedulableReason returns why nothing may be started on an instance.
func (s *Scheduler) unschedulableReason(in *instance) string {
	switch {
	case s.drained(in.DataCentre):
		return "in drained data centre " + string(in.DataCentre)
	case in.departed || in.Draining:
		return "draining"
	case in.evacuating:
		return "evacuating"
	case !in.enrolled, in.bootUncommitted:
		return "not enrolled"
	case in.consolidating:
		return "consolidating"
	case in.reclaimed:
		return "reclaimed for another pool"
	case in.failedPolls > 0:
		return "failing polls"
	case in.uncordoning:
		return "uncordoning"
	case in.cordoned:
		return "cordoned"
	case !in.polled:
		return "not polled"
	case in.hasOrphans:
		return "with orphaned runs"
	default:
		return "in backoff"
	}
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
