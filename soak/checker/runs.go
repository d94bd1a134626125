package checker

import "time"

// Run is one run of a task on an instance.
type Run struct {
	Task, Job, Instance, DataCentre string
	Number                          uint64
	// Processors are those that the task uses, in thousandths.
	Processors int64
}

// Start records that an instance starts a run.
func (c *Checker) Start(at time.Duration, r Run) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	other, runs := c.running[r.Task]
	c.check(at, RunsOnce, !runs, "task %s run %d starts on %s while run %d is on %s", r.Task, r.Number, r.Instance, other.Number, other.Instance)
	c.check(at, RunsOnce, !c.doneAcked[r.Task], "task %s run %d starts on %s after its end as done was acknowledged", r.Task, r.Number, r.Instance)
	if runs {
		c.remove(other)
	}
	c.running[r.Task] = r
	c.checkDrain(at, r)
	j := c.jobs[r.Job]
	if j == nil {
		c.check(at, RefusalTrue, false, "task %s starts on %s, and nobody submitted its job", r.Task, r.Instance)
		return
	}
	j.started = true
	c.check(at, RefusalTrue, !j.refused || j.open || j.acknowledged, "task %s starts on %s, and its job was refused as not run", r.Task, r.Instance)
	c.usage[j.customer] += r.Processors
	if limit, limited := c.limits[j.customer]; limited {
		c.check(at, LimitKept, c.usage[j.customer] <= limit, "customer %s uses %d with task %s, limit %d", j.customer, c.usage[j.customer], r.Task, limit)
	}
}

// End records that a run has ended on its instance, or was lost with it; done is set if it did its work.
func (c *Checker) End(task string, number uint64, done bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, runs := c.running[task]
	if runs && r.Number == number {
		delete(c.running, task)
		c.remove(r)
	}
	if done && !c.done[task] {
		c.done[task] = true
		if j := c.jobs[r.Job]; j != nil {
			j.doneTask++
		}
	}
}

// AcknowledgeDone records that the leader has acknowledged the end of a task as done.
func (c *Checker) AcknowledgeDone(task string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.doneAcked[task] = true
}

// remove subtracts a run from the use of its customer.
func (c *Checker) remove(r Run) {
	if j := c.jobs[r.Job]; j != nil {
		c.usage[j.customer] -= r.Processors
	}
}
