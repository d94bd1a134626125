package checker

import "time"

// Answer is what a caller learned from one submission of a job.
type Answer uint8

// Answers to a submission.
const (
	// Acknowledged means that the job was accepted.
	Acknowledged Answer = iota + 1
	// Refused means that the submission was refused and says that the job was not run.
	Refused
	// Unknown means that there was no answer, or one that leaves the outcome open.
	Unknown
)

// Phase is the state of a job that a caller was told.
type Phase string

// Phases of a job.
const (
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
	// Gone is the answer that the job is not known.
	Gone Phase = "gone"
)

// Terminal reports whether a job in the phase has ended.
func (p Phase) Terminal() bool { return p == Completed || p == Failed || p == Cancelled }

type job struct {
	customer string
	tasks    int
	doneTask int
	started  bool
	// broken is set once a run of the job has failed or was lost with its instance.
	broken bool
	// open is set while a submission may have been accepted without its caller knowing.
	open, refused, acknowledged bool
	cancelled                   bool
	// phase is the first terminal phase that a caller was told, at phaseAt.
	phase   Phase
	phaseAt time.Duration
}

// Submit records that a job is about to be submitted for the first time.
func (c *Checker) Submit(id, customer string, tasks int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.jobs[id] = &job{customer: customer, tasks: tasks}
}

// Answer records the answer to one submission of a job.
func (c *Checker) Answer(at time.Duration, id string, a Answer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	j := c.jobs[id]
	switch a {
	case Acknowledged:
		j.acknowledged = true
	case Refused:
		j.refused = true
		if !j.open && !j.acknowledged {
			c.check(at, RefusalTrue, !j.started, "job %s runs and was refused as not run", id)
		}
	case Unknown:
		j.open = true
	}
}

// Cancel records that a cancellation of a job is about to be sent.
func (c *Checker) Cancel(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.jobs[id].cancelled = true
}

// Inspect records the phase of an acknowledged job that a caller was told in answer to a request sent at sentAt.
func (c *Checker) Inspect(sentAt, at time.Duration, id string, p Phase) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	j := c.jobs[id]
	c.check(at, JobEnds, p != Gone, "job %s was acknowledged and is not known", id)
	if j.phase != "" && j.phaseAt <= sentAt {
		c.check(at, JobEnds, p == j.phase, "job %s is %s after it was %s", id, p, j.phase)
	}
	if p == Completed {
		c.check(at, JobEnds, j.doneTask >= j.tasks, "job %s is told to be complete with %d of %d tasks done", id, j.doneTask, j.tasks)
	}
	if p == Failed {
		c.check(at, JobEnds, j.broken, "job %s is told to have failed, and none of its runs has", id)
	}
	if p == Cancelled {
		c.check(at, JobEnds, j.cancelled, "job %s is told to be cancelled, and nobody cancelled it", id)
	}
	if p.Terminal() && j.phase == "" {
		j.phase, j.phaseAt = p, at
	}
}

// Unended returns the acknowledged jobs of which no caller was told that they have ended.
func (c *Checker) Unended() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []string
	for id, j := range c.jobs {
		if j.acknowledged && j.phase == "" {
			list = append(list, id)
		}
	}
	return list
}

// JobTotals counts the submitted, acknowledged, refused and failed jobs.
func (c *Checker) JobTotals() (submitted, acknowledged, refused, failed int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, j := range c.jobs {
		submitted++
		switch {
		case j.acknowledged:
			acknowledged++
		case j.refused && !j.open:
			refused++
		}
		if j.phase == Failed {
			failed++
		}
	}
	return submitted, acknowledged, refused, failed
}

// Finish checks that every acknowledged job has ended. It is called once after the faults and after a time in which all jobs can end.
func (c *Checker) Finish(at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id, j := range c.jobs {
		if j.acknowledged {
			c.check(at, JobEnds, j.phase != "", "job %s was acknowledged and has not ended; %d of %d tasks are done", id, j.doneTask, j.tasks)
		}
	}
}
