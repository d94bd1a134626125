package checker

import "time"

// Answer is what a caller learned from one submission of a job. Refused says that it was not run, Unknown leaves it open.
type Answer uint8

// Answers to a submission.
const (
	Acknowledged Answer = iota + 1
	Refused
	Unknown
)

// Phase is the state of a job that a caller was told. Gone is the answer that the job is not known.
type Phase string

// Phases of a job.
const (
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
	Gone      Phase = "gone"
)

// Terminal reports whether a job in the phase has ended.
func (p Phase) Terminal() bool { return p == Completed || p == Failed || p == Cancelled }

type job struct {
	customer        string
	tasks, doneTask int
	// open is set while a submission may have been accepted without its caller knowing; broken, once a run has failed or was lost with its instance.
	started, open, refused, acknowledged, cancelled, broken bool
	// phase is the first terminal phase that a caller was told, at phaseAt.
	phase   Phase
	phaseAt time.Duration
}

// Submit records that a job is about to be submitted for the first time.
func (c *Checker) Submit(id, customer string, tasks int) {
	defer c.lock()()
	c.jobs[id] = &job{customer: customer, tasks: tasks}
}

// Answer records the answer to one submission of a job.
func (c *Checker) Answer(at time.Duration, id string, a Answer) {
	defer c.lock()()
	j := c.jobs[id]
	switch a {
	case Acknowledged:
		j.acknowledged = true
	case Refused:
		j.refused = true
		c.check(at, RefusalTrue, !j.started || j.open || j.acknowledged, "job %s runs and was refused as not run", id)
	case Unknown:
		j.open = true
	}
}

// Cancel records that a cancellation of a job is about to be sent.
func (c *Checker) Cancel(id string) {
	defer c.lock()()
	c.jobs[id].cancelled = true
}

// Inspect records the phase of an acknowledged job that a caller was told in answer to a request sent at sentAt.
func (c *Checker) Inspect(sentAt, at time.Duration, id string, p Phase) {
	defer c.lock()()
	j := c.jobs[id]
	c.check(at, JobEnds, p != Gone, "job %s was acknowledged and is not known", id)
	c.check(at, JobEnds, j.phase == "" || j.phaseAt > sentAt || p == j.phase, "job %s is %s after it was %s", id, p, j.phase)
	c.check(at, JobEnds, p != Completed || j.doneTask >= j.tasks, "job %s is told to be complete with %d of %d tasks done", id, j.doneTask, j.tasks)
	c.check(at, JobEnds, p != Failed || j.broken, "job %s is told to have failed, and none of its runs has", id)
	c.check(at, JobEnds, p != Cancelled || j.cancelled, "job %s is told to be cancelled, and nobody cancelled it", id)
	if p.Terminal() && j.phase == "" {
		j.phase, j.phaseAt = p, at
	}
}

// Totals counts jobs: all, acknowledged, always refused as not run, failed, and acknowledged without having ended.
func (c *Checker) Totals() (submitted, acknowledged, refused, failed, unended int) {
	defer c.lock()()
	for _, j := range c.jobs {
		switch {
		case j.acknowledged && j.phase == "":
			unended++
			fallthrough
		case j.acknowledged:
			acknowledged++
		case j.refused && !j.open:
			refused++
		}
		if j.phase == Failed {
			failed++
		}
	}
	return len(c.jobs), acknowledged, refused, failed, unended
}

// Finish checks that every acknowledged job has ended. It is called once after the faults and after a time in which all jobs can end.
func (c *Checker) Finish(at time.Duration) {
	defer c.lock()()
	for id, j := range c.jobs {
		c.check(at, JobEnds, !j.acknowledged || j.phase != "", "job %s was acknowledged and has not ended; %d of %d tasks are done", id, j.doneTask, j.tasks)
	}
}
