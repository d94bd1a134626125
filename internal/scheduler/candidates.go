package scheduler

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/accountant"
	"github.com/sapphiresail/sapphiresail/internal/triager"
)

// class is the rank of a kind of work when a pool is full; lower values are placed first.
type class int

const (
	classService class = iota
	classPromoted
	classOnTime
	classBestEffort
	classLate
	classExpired
	classCount
)

// candidate is a stage with tasks that wait for placement.
type candidate struct {
	job        *job
	occurrence int
	stage      *stage
	class      class
	// level is set for timely stages only.
	level accountant.Level
	// serviceInstances is the number of schedulable instances that run service tasks, and tasksPerRack the number of tasks
	// of the stage in each rack. Both are set for service stages only.
	serviceInstances int
	tasksPerRack     map[string]int
	// requirement is set for batch stages, once it is required.
	requirement requirement
	required    bool
	// spread is that of the customer's batch work over racks, nil if it is of no concern.
	spread *spread
}

// candidateLists holds the candidates of each class in placement order: by priority and due time.
type candidateLists [classCount][]candidate

// candidates returns the stages with unfinished tasks that may run now. Service stages come first, then stages that can still
// meet their objective, best-effort stages, late stages and expired stages.
func (s *Scheduler) candidates() *candidateLists {
	lists := &s.candidateLists
	for class := range lists {
		clear(lists[class])
		lists[class] = lists[class][:0]
	}
	unreconciled := s.lastCordons()
	for _, j := range s.activeJobs.sorted() {
		if !j.runsReconciled(unreconciled) {
			continue
		}
		for i := range j.Steps {
			for index, o := range j.occurrences {
				st := o.stages[i]
				if o.dueMillis <= s.wallMillis && st.doneCount < len(st.tasks) && o.ready(j, i) {
					class := s.classOf(j, st)
					lists[class] = append(lists[class], candidate{job: j, occurrence: index, stage: st, class: class})
				}
			}
		}
	}
	return lists
}

func (s *Scheduler) classOf(j *job, st *stage) class {
	step := st.step
	switch {
	case step.Service && step.BestEffort:
		return classBestEffort
	case step.Service:
		return classService
	default:
		return s.batchClassOf(j)
	}
}

// batchClassOf returns the class of the batch stages of a job.
func (s *Scheduler) batchClassOf(j *job) class {
	switch s.timelinessOf(j).rank {
	case triager.Timely:
		return classOnTime
	case triager.Late:
		return classLate
	default:
		return classExpired
	}
}

// ready reports whether the steps that a step depends on are done.
func (o *occurrence) ready(j *job, step int) bool {
	for _, a := range j.Steps[step].After {
		if o.stages[a].doneCount < len(o.stages[a].tasks) {
			return false
		}
	}
	return true
}

// jobQueue holds the unfinished jobs in placement order.
type jobQueue struct {
	jobs     []*job
	unsorted bool
}

func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.dueAt, b.dueAt), cmp.Compare(a.ID, b.ID))
}

func (q *jobQueue) add(j *job) {
	if q.unsorted {
		q.jobs = append(q.jobs, j)
		return
	}
	i, _ := slices.BinarySearchFunc(q.jobs, j, compareJobs)
	q.jobs = slices.Insert(q.jobs, i, j)
}

// sorted returns the unfinished jobs by priority, due time and ID.
func (q *jobQueue) sorted() []*job {
	q.jobs = slices.DeleteFunc(q.jobs, func(j *job) bool { return j.finished })
	if q.unsorted {
		slices.SortFunc(q.jobs, compareJobs)
		q.unsorted = false
	}
	return q.jobs
}
