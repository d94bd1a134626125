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

// jobLimits bound the jobs that are being committed at a time. A leader runs its goroutines in about the order in which they became ready, so heartbeats and ends
// wait behind all jobs that are being committed; jobs that wait in the queue cost no processor time.
type jobLimits struct{ commits, jobsPerCommit int }

// defaultJobLimits let heartbeats of a simulated leader with four times its load wait 0.36 s; with 2 x 64 or 4 x 32 it is 0.57 s, and with one
// commit at a time jobs wait longer.
var defaultJobLimits = jobLimits{commits: 2, jobsPerCommit: 32}

// abandonedAfter is how long a job stays in the queue without a caller. An entry calls again within half a second.
const abandonedAfter = time.Second

// pendingJob is a job that is being accepted. The response is valid once done is closed.
type pendingJob struct {
	command  state.SubmitJob
	version  uint64 // of the catalogue by which the job was checked
	done     chan struct{}
	response forwarder.Response

	// The fields below are guarded by the mutex of the queue.
	waiters int
	leftAt  time.Duration // when the last waiter left
	// proposed is set once the job may be committed, given up once it never will be.
	proposed, givenUp bool
}

// jobQueue holds the jobs that are being accepted: some in commits under way, the others in the order in which they came.
type jobQueue struct {
	limits  jobLimits
	mutex   sync.Mutex
	byID    map[workload.JobID]*pendingJob
	waiting []*pendingJob
	commits int
}

func newJobQueue(limits jobLimits) *jobQueue {
	return &jobQueue{limits: limits, byID: map[workload.JobID]*pendingJob{}}
}

// add queues a job, or joins it if it is being accepted already.
func (q *jobQueue) add(command state.SubmitJob, version uint64) *pendingJob {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	p := q.byID[command.Job.ID]
	if p == nil {
		p = &pendingJob{command: command, version: version, done: make(chan struct{})}
		q.byID[command.Job.ID] = p
		q.waiting = append(q.waiting, p)
	}
	p.waiters++
	return p
}

// leave records that a caller no longer waits for a job.
func (q *jobQueue) leave(now time.Duration, p *pendingJob) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	p.waiters--
	p.leftAt = now
}

// giveUp reports whether a job was not proposed, and prevents that it is later.
func (q *jobQueue) giveUp(p *pendingJob) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	p.givenUp = !p.proposed
	return p.givenUp
}

// take returns the jobs of the next commit, or none if no job waits or enough commits are under way.
func (q *jobQueue) take(now time.Duration) []*pendingJob {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.commits >= q.limits.commits {
		return nil
	}
	var batch []*pendingJob
	n := 0
	for ; n < len(q.waiting) && len(batch) < q.limits.jobsPerCommit; n++ {
		p := q.waiting[n]
		if p.givenUp || p.waiters == 0 && now-p.leftAt > abandonedAfter {
			p.givenUp = true
			p.response = forwarder.Response{Outcome: forwarder.Uncertain}
			delete(q.byID, p.command.Job.ID)
			close(p.done)
			continue
		}
		p.proposed = true
		batch = append(batch, p)
	}
	q.waiting = q.waiting[n:]
	if len(batch) > 0 {
		q.commits++
	}
	return batch
}

// finish publishes the responses to the jobs of a commit.
func (q *jobQueue) finish(batch []*pendingJob) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.commits--
	for _, p := range batch {
		delete(q.byID, p.command.Job.ID)
		close(p.done)
	}
}

// find returns the job with an id if it is being accepted, or nil.
func (q *jobQueue) find(id workload.JobID) *pendingJob {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.byID[id]
}

// held returns the number of jobs that wait for a commit.
func (q *jobQueue) held() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.waiting)
}

// acceptJob commits a job with others and waits for the outcome.
func (t *term) acceptJob(ctx context.Context, command state.SubmitJob, version uint64) forwarder.Response {
	return t.awaitCommit(ctx, t.jobQueue.add(command, version))
}

// awaitCommit waits for the outcome of a job that was added to the queue.
func (t *term) awaitCommit(ctx context.Context, p *pendingJob) forwarder.Response {
	defer func() { t.jobQueue.leave(monotonicNow(), p) }()
	t.commitJobs()
	select {
	case <-p.done:
		return p.response
	case <-t.ctx.Done():
		if t.jobQueue.giveUp(p) {
			return forwarder.Response{Outcome: forwarder.NotLeading}
		}
	case <-ctx.Done():
	}
	return forwarder.Response{Outcome: forwarder.Uncertain}
}

// awaitAcceptance waits until a job is not being accepted any more. It returns false if ctx or the term ends before.
func (t *term) awaitAcceptance(ctx context.Context, id workload.JobID) bool {
	p := t.jobQueue.find(id)
	if p == nil {
		return true
	}
	select {
	case <-p.done:
		return true
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	return false
}

// commitJobs starts commits of waiting jobs, as many as may be under way.
func (t *term) commitJobs() {
	for {
		batch := t.jobQueue.take(monotonicNow())
		if len(batch) == 0 {
			return
		}
		commands := make([]state.Command, len(batch))
		for i, p := range batch {
			commands[i] = p.command
		}
		t.spawn(func() {
			_, errs := t.commitAll(commands)
			t.post(func() { t.handleJobsCommitted(batch, errs) })
		})
	}
}

// handleJobsCommitted passes the committed jobs to the scheduler and answers their callers.
func (t *term) handleJobsCommitted(batch []*pendingJob, errs []error) {
	var accepted []*pendingJob
	for i, p := range batch {
		p.response = forwarder.Response{Outcome: forwarder.Uncertain}
		if errs[i] != nil {
			continue
		}
		p.response.Outcome = forwarder.Done
		accepted = append(accepted, p)
		t.viewJob(p.command.Job.ID, func(r *state.JobRecord) {
			if r != nil {
				t.scheduler.AddJob(monotonicNow(), wallMillis(), r, false)
			}
		})
	}
	t.jobQueue.finish(batch)
	t.commitJobs()
	t.instruments.jobsAccepted.Inc(int64(len(accepted)))
	t.spawn(func() { t.logAccepted(accepted) }) // the lines cost more than the rest
}

func (t *term) logAccepted(jobs []*pendingJob) {
	for _, p := range jobs {
		event.JobAccepted.Info(t.options.Logger, zap.String("job", string(p.command.Job.ID)), zap.String("queue", string(p.command.Queue)),
			zap.String("customer", string(p.command.Customer)), zap.Int("tasks", p.command.Job.TaskCount()), zap.Uint64("version", p.version))
	}
}
