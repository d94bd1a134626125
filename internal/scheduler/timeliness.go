package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/triager"
)

// minRemainingShare is the part of its run time that a run is expected to need at least until it is reported as ended.
const minRemainingShare = 0.05

// timeliness is what is known of the progress of a job at one moment.
type timeliness struct {
	at        time.Duration
	rank      triager.Rank
	remaining time.Duration
	state     triager.Job
}

// timelinessOf returns whether a job can still be complete in time, from the expected run times of its steps and the progress of its runs.
// The objective of a job follows from how long its steps take, not from what its caller estimates.
func (s *Scheduler) timelinessOf(j *job) *timeliness {
	t := &j.timeliness
	if t.at == s.now && t.rank != 0 {
		return t
	}
	t.at = s.now
	t.remaining = 0
	for _, o := range j.occurrences {
		if o.dueMillis <= s.wallMillis {
			t.remaining = max(t.remaining, s.remainingChain(j, o))
		}
	}
	if s.now >= j.objectiveDue {
		s.updateObjective(j)
	}
	t.state = triager.Job{Elapsed: s.now - j.acceptedAt, Objective: j.objective, Remaining: t.remaining}
	t.rank = t.state.Rank()
	return t
}

// objectiveInterval is how often the objective of a job follows what has been learned of its run times.
const objectiveInterval = 200 * time.Millisecond

// updateObjective computes the objective and the due time of a job from the expected run times of its steps.
func (s *Scheduler) updateObjective(j *job) {
	j.objectiveDue = s.now + objectiveInterval
	chain := time.Duration(0)
	for _, o := range j.occurrences[:1] {
		chain = s.expectedChain(j, o)
	}
	objective := time.Duration(j.stretch*float64(chain)) + j.baseObjective
	if objective == j.objective {
		return
	}
	j.objective = objective
	j.dueAt = j.acceptedAt + objective
	s.activeJobs.unsorted = true
}

// remainingChain returns the expected time until the steps of an occurrence are done if all tasks that wait start as soon as they may.
func (s *Scheduler) remainingChain(j *job, o *occurrence) time.Duration {
	return longestChain(&j.Job, func(step int) time.Duration { return s.remainingStep(j, o.stages[step]) })
}

// remainingStep returns the expected time from the start of the waiting tasks of a stage until all are done. Steps of service tasks do not end.
func (s *Scheduler) remainingStep(j *job, st *stage) time.Duration {
	if st.doneCount == len(st.tasks) || st.step.Service {
		return 0
	}
	full := s.expectedRunTime(j, st).Typical()
	if st.waiting > 0 {
		return full
	}
	return max(full-(s.now-st.startedAt), time.Duration(minRemainingShare*float64(full)))
}
