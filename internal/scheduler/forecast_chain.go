package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// chainRefreshInterval is how long the expected durations of a job are used again.
const chainRefreshInterval = 200 * time.Millisecond

// chain is the expected duration of the longest chain of dependent steps of an occurrence.
type chain struct {
	// whole is that of all steps, of which the objective is a multiple; left is that of what has not run yet, if everything starts at once.
	whole, left time.Duration
}

// cachedChain is a chain that was computed recently.
type cachedChain struct {
	chain
	refreshAt time.Duration
}

// expectedChain returns the typical durations of an occurrence. It does not allocate.
func (s *Scheduler) expectedChain(j *job, o *occurrence) chain {
	c := &o.chain
	if s.now < c.refreshAt {
		return c.chain
	}
	c.refreshAt = s.now + chainRefreshInterval
	c.whole = longestChain(&j.Job, s.scratch(len(j.Steps)), func(step int) time.Duration { return s.expectedStageWhole(j, o.stages[step]) })
	c.left = longestChain(&j.Job, s.scratch(len(j.Steps)), func(step int) time.Duration { return s.expectedStageLeft(j, o.stages[step]) })
	return c.chain
}

// expectedDueAt returns when a job is due by the expected duration of its chain instead of the caller's estimates.
func (s *Scheduler) expectedDueAt(j *job) time.Duration {
	return j.acceptedAt + time.Duration(j.stretch*float64(s.expectedChain(j, j.occurrences[0]).whole)) + j.constant
}

// expectedStage returns the typical time until n tasks of a stage that start now are all done.
func (s *Scheduler) expectedStage(j *job, st *stage, n int) time.Duration {
	return s.expectedRunTime(j, st).TypicalLast(n)
}

// expectedStageWhole returns the typical duration of a stage of which all tasks start together. A run that takes many times as long as the
// others counts as soon as its progress shows it, since the objective of the job follows from it too.
func (s *Scheduler) expectedStageWhole(j *job, st *stage) time.Duration {
	longest := max(s.expectedStage(j, st, len(st.tasks)), st.longestRun)
	if st.waiting+st.doneCount == len(st.tasks) {
		return longest
	}
	for i := range st.tasks {
		if t := &st.tasks[i]; t.run != nil && !t.done {
			if full, shown := t.instance.shownDuration(t.run); shown {
				longest = max(longest, s.usualDuration(t.instance, full))
			}
		}
	}
	return longest
}

// expectedStageLeft returns the typical time until all tasks of a stage are done if those that wait start now.
func (s *Scheduler) expectedStageLeft(j *job, st *stage) time.Duration {
	longest := time.Duration(0)
	if st.waiting > 0 {
		longest = s.expectedStage(j, st, st.waiting)
	}
	if st.waiting+st.doneCount == len(st.tasks) {
		return longest
	}
	typical := s.expectedRunTime(j, st).Typical()
	for i := range st.tasks {
		if t := &st.tasks[i]; t.run != nil && !t.done {
			longest = max(longest, s.typicalLeft(t.instance, t.run, typical))
		}
	}
	return longest
}

// typicalLeft returns the time that a run needs at its present pace. Unlike expectedRemainder it is no distribution, and costs little.
func (s *Scheduler) typicalLeft(in *instance, r *run, typical time.Duration) time.Duration {
	startedAt := in.startOf(r, typical)
	if startedAt == 0 {
		return typical
	}
	full := typical
	if shown, ok := in.shownDuration(r); ok {
		full = shown
	}
	return max(0, startedAt+full-s.now)
}

// shownDuration returns the duration of a run by its progress; ok is false if its start is not known or it has shown too little.
func (in *instance) shownDuration(r *run) (d time.Duration, ok bool) {
	if r.startedAt == 0 || !r.reported || r.percent < minShownPercent {
		return 0, false
	}
	return (in.receivedAt(r.progressedAt) - r.startedAt) * 100 / time.Duration(r.percent), true
}

// usualDuration returns how long a run would have taken on an instance of usual speed. Objectives do not grow with slow instances.
func (s *Scheduler) usualDuration(in *instance, d time.Duration) time.Duration {
	return time.Duration(float64(d) * min(1, s.forecaster.InstanceSpeed(in.ID).Factor))
}

// scratch returns a slice of n zeros whose memory is used again.
func (s *Scheduler) scratch(n int) []time.Duration {
	if cap(s.finishes) < n {
		s.finishes = make([]time.Duration, n)
	}
	clear(s.finishes[:n])
	return s.finishes[:n]
}

// ExpectedJob is what the scheduler expects of a job.
type ExpectedJob struct {
	// Chain is the typical duration of the longest chain of its steps, and Left that of what has not run yet.
	Chain, Left time.Duration
	// DueAt is the end of its objective by that duration, and EstimatedDueAt that by the caller's estimates.
	DueAt, EstimatedDueAt time.Duration
}

// ExpectedJob returns what is expected of the first occurrence of a job; ok is false if the job is not known.
func (s *Scheduler) ExpectedJob(id workload.JobID) (e ExpectedJob, ok bool) {
	j := s.jobs[id]
	if j == nil {
		return e, false
	}
	c := s.expectedChain(j, j.occurrences[0])
	estimated := time.Duration(j.stretch*float64(criticalPath(&j.Job))) + j.constant
	return ExpectedJob{Chain: c.whole, Left: c.left, DueAt: s.expectedDueAt(j), EstimatedDueAt: j.acceptedAt + estimated}, true
}
