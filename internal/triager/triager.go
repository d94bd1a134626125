// Package triager decides which batch jobs are still worth starting when not all of them can be complete in time.
//
// Under overload, starting the job with the earliest due time first makes every job complete just after its due time. So a job
// that can no longer make its due time, even if it gets everything that it asks for now, is placed behind those that can.
package triager

import "time"

// Rank is how much a job can still give its caller; lower values are placed first.
type Rank uint8

// Ranks of a job.
const (
	// Timely jobs can be complete within their objective.
	Timely Rank = iota + 1
	// Late jobs cannot, but are still worth a little.
	Late
	// Expired jobs are worth nothing, whenever they are complete.
	Expired
)

// lateFactor is the multiple of its objective after which a job is worth nothing.
const lateFactor = 3

// Job is what is known of a batch job.
type Job struct {
	// Elapsed is the time since the job was accepted, and Objective the time in which it should be complete.
	Elapsed, Objective time.Duration
	// Remaining is the expected time to its completion if all tasks that may run are started now.
	Remaining time.Duration
}

// Rank returns the rank of the job now.
func (j Job) Rank() Rank {
	switch {
	case j.Slack() > 0:
		return Timely
	case j.Elapsed < lateFactor*j.Objective:
		return Late
	default:
		return Expired
	}
}

// Slack returns how long the start of all tasks that may run can wait until the job is late; it is negative if the job will be late.
func (j Job) Slack() time.Duration { return j.Objective - j.Elapsed - j.Remaining }

// TimeLeft returns how long the job is still worth something.
func (j Job) TimeLeft() time.Duration { return max(0, lateFactor*j.Objective-j.Elapsed) }
