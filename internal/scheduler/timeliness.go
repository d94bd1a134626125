package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/triager"
)

// timeliness is what is known of the progress of a job at one moment.
type timeliness struct {
	at    time.Duration
	rank  triager.Rank
	state triager.Job
}

// timelinessOf returns whether a job can still be complete in time, from the expected run times of its steps and the progress of its runs.
func (s *Scheduler) timelinessOf(j *job) *timeliness {
	t := &j.timeliness
	if t.at == s.now && t.rank != 0 {
		return t
	}
	left := time.Duration(0)
	for _, o := range j.occurrences {
		if o.dueMillis <= s.wallMillis {
			left = max(left, s.expectedChain(j, o).left)
		}
	}
	if s.now >= j.objectiveDue {
		s.updateObjective(j)
	}
	t.at = s.now
	t.state = triager.Job{Elapsed: s.now - j.acceptedAt, Objective: j.objective, Remaining: left}
	t.rank = t.state.Rank()
	return t
}

// updateObjective computes the objective and the due time of a job from the expected run times of its steps: an objective follows from how
// long the steps take, not from what the caller estimates.
func (s *Scheduler) updateObjective(j *job) {
	j.objectiveDue = s.now + chainRefreshInterval
	dueAt := s.expectedDueAt(j)
	if dueAt == j.dueAt {
		return
	}
	j.dueAt, j.objective = dueAt, dueAt-j.acceptedAt
	s.activeJobs.unsorted = true
}
