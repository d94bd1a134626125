package supervisor

import (
	"errors"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// jobRoomRetryAfter is when the caller of a job for which there was no room may return. Room comes with jobs that end.
const jobRoomRetryAfter = 5 * time.Second

// What an accepted job takes: its record, and in the scheduler its occurrences with their stages and tasks.
const (
	jobBytes        = 2 * budgeter.KiB
	stepBytes       = 320
	occurrenceBytes = 128
	stageBytes      = 192
	taskBytes       = 192
	// resultBytes are those of the outcome of a task in the record.
	resultBytes = 40
)

// recordBytes returns what the record of a job takes.
func recordBytes(j *workload.Job) budgeter.Bytes {
	texts := len(j.Spec)
	for _, s := range j.Steps {
		texts += len(s.RequiredLabel) + len(s.DataRack) + len(s.Image) + 2*len(s.After)
	}
	return jobBytes + budgeter.Bytes(textCopies*texts+len(j.Steps)*stepBytes) + resultBytes*budgeter.Bytes(j.TaskCount())
}

// activeBytes returns what a job takes while the scheduler holds it.
func activeBytes(j *workload.Job) budgeter.Bytes {
	occurrences := budgeter.Bytes(j.OccurrenceCount())
	return recordBytes(j) + occurrences*(occurrenceBytes+stageBytes*budgeter.Bytes(len(j.Steps))) + taskBytes*budgeter.Bytes(j.TaskCount())
}

// reserveJob charges a job that is to be accepted, unless it is charged already. It returns the refusal of a job for which there is no room.
func reserveJob(r *reservations[workload.JobID], j *workload.Job) (refusal forwarder.Response, ok bool) {
	switch err := r.reserve(j.ID, activeBytes(j)); {
	case err == nil:
		return refusal, true
	case errors.Is(err, errTermEnded):
		return forwarder.Response{Outcome: forwarder.NotLeading}, false
	case errors.Is(err, budgeter.KindTooLarge):
		return forwarder.Response{Outcome: forwarder.Invalid, Detail: "the job has more tasks than a leader has memory for: " + err.Error()}, false
	default:
		return forwarder.Response{Outcome: forwarder.Refused, Detail: "not run: the accepted jobs leave no room for the tasks of this one", RetryAfter: jobRoomRetryAfter}, false
	}
}

// settleJobs charges the committed jobs, those that were inherited too, and gives back what no job takes any more. scheduled reports whether the
// scheduler holds a job, queued whether it is being accepted.
func settleJobs(r *reservations[workload.JobID], jobs map[workload.JobID]*state.JobRecord, scheduled, queued func(id workload.JobID) bool) {
	for id, record := range jobs {
		if record.Active() || scheduled(id) {
			r.hold(id, activeBytes(&record.Job))
		} else {
			r.hold(id, recordBytes(&record.Job))
		}
	}
	r.retain(func(id workload.JobID) bool { return jobs[id] != nil || queued(id) })
}
