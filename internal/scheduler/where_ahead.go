package scheduler

import (
	"cmp"
	"time"
)

// tasksAhead returns the number of waiting tasks of the pool that come before those of a job by class, priority, level and due time.
func (s *Scheduler) tasksAhead(j *job, class class, dueAt time.Duration) int {
	n := 0
	for _, other := range s.activeJobs.jobs {
		if other.finished || other.pool != j.pool || other.ID == j.ID {
			continue
		}
		for _, o := range other.occurrences {
			for _, st := range o.stages {
				if st.waiting > 0 && o.dueMillis <= s.wallMillis && o.ready(other, st.stepIndex) && s.comesBefore(other, st, j, class, dueAt) {
					n += st.waiting
				}
			}
		}
	}
	return n
}

// comesBefore compares a stage with a job, by the rank of the last planning run.
func (s *Scheduler) comesBefore(other *job, st *stage, j *job, class class, dueAt time.Duration) bool {
	its := classOfRank(other.timeliness.rank)
	if st.step.Service {
		its = classService
		if st.step.BestEffort {
			its = classBestEffort
		}
	}
	levels := 0
	if class == classOnTime {
		levels = cmp.Compare(s.levelOf(other), s.levelOf(j))
	}
	return cmp.Or(cmp.Compare(its, class), cmp.Compare(other.priority, j.priority), levels, cmp.Compare(other.dueAt, dueAt), cmp.Compare(other.ID, j.ID)) < 0
}
