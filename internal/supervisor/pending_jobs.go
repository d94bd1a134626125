package supervisor

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Limits on the jobs that are being accepted.
const (
	// maxJobCommits is the number of jobs whose commits are under way. More would not be accepted sooner, and hold up heartbeats.
	maxJobCommits = 64
	// maxJobWait bounds the expected wait for one of these: half of the time that an entry waits for the outcome.
	maxJobWait = 300 * time.Millisecond
)

// pendingJobs are the jobs that are being accepted. A job that is handed in again meanwhile gets the outcome of the first time: it must not be
// refused while it may still be accepted.
type pendingJobs struct {
	lane lane

	mutex sync.Mutex
	byJob map[workload.JobID]*pendingJob
}

// pendingJob is the outcome of handing in a job, once done is closed.
type pendingJob struct {
	done     chan struct{}
	response forwarder.Response
}

func newPendingJobs() *pendingJobs {
	return &pendingJobs{lane: lane{width: maxJobCommits, maxWait: maxJobWait}, byJob: map[workload.JobID]*pendingJob{}}
}

// begin returns the pending job with an id, and whether the caller must run it.
func (l *pendingJobs) begin(id workload.JobID) (s *pendingJob, first bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if s = l.byJob[id]; s != nil {
		return s, false
	}
	s = &pendingJob{done: make(chan struct{})}
	l.byJob[id] = s
	return s, true
}

// finish publishes the outcome of a pending job.
func (l *pendingJobs) finish(id workload.JobID, response forwarder.Response) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.byJob[id]
	delete(l.byJob, id)
	s.response = response
	close(s.done)
}

// find returns the pending job with an id, or nil.
func (l *pendingJobs) find(id workload.JobID) *pendingJob {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.byJob[id]
}

// awaitAcceptance waits until a job is no longer being accepted, or until ctx or the term ends.
func (t *term) awaitAcceptance(ctx context.Context, id workload.JobID) {
	s := t.pendingJobs.find(id)
	if s == nil {
		return
	}
	select {
	case <-s.done:
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
}

// acceptJob commits a job, unless that would take too long, and waits for the outcome. version is that of the catalogue by which it was checked.
func (t *term) acceptJob(ctx context.Context, command state.SubmitJob, version uint64) forwarder.Response {
	id := command.Job.ID
	s, first := t.pendingJobs.begin(id)
	if first {
		wait, admitted := t.pendingJobs.lane.enter(monotonicNow(), func() { t.commitJob(command, version) })
		if !admitted {
			t.instruments.jobsRefused.Inc(1)
			event.JobRefusedUnderLoad.Info(t.options.Logger, zap.String("job", string(id)), zap.Duration("wait", wait))
			t.pendingJobs.finish(id, forwarder.Response{Outcome: forwarder.Refused, Detail: "too many jobs are being accepted", RetryAfter: wait})
		}
	}
	select {
	case <-s.done:
		return s.response
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	return forwarder.Response{Outcome: forwarder.Uncertain}
}

func (t *term) commitJob(command state.SubmitJob, version uint64) {
	id, startedAt := command.Job.ID, monotonicNow()
	t.commitAsync(command, func(_ state.Reply, err error) {
		now := monotonicNow()
		t.pendingJobs.lane.leave(now, now-startedAt)
		if err != nil {
			t.pendingJobs.finish(id, forwarder.Response{Outcome: forwarder.Uncertain})
			return
		}
		t.viewJob(id, func(r *state.JobRecord) {
			if r != nil {
				t.scheduler.AddJob(now, wallMillis(), r, false)
			}
		})
		t.instruments.jobsAccepted.Inc(1)
		t.pendingJobs.finish(id, forwarder.Response{Outcome: forwarder.Done})
		t.spawn(func() { // a line costs more than the rest
			event.JobAccepted.Info(t.options.Logger, zap.String("job", string(id)), zap.String("queue", string(command.Queue)),
				zap.String("customer", string(command.Customer)), zap.Int("tasks", command.Job.TaskCount()), zap.Uint64("version", version))
		})
	})
}
