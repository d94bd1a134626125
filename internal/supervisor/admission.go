package supervisor

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/admitter"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

const (
	// backlogInterval is the time between measurements of the backlog. Jobs that are accepted in between are added to it.
	backlogInterval = 250 * time.Millisecond
	// backlogPause is the least time between measurements as a multiple of what one takes, which grows with the number of jobs: 8.8 ms with 7,428.
	backlogPause = 32
)

// admission is what decides whether new jobs are refused.
type admission struct {
	// overloaded holds the queues of which jobs have to be examined. The loop replaces the map; handlers of requests read it.
	overloaded atomic.Pointer[map[fleet.QueueID]bool]

	// The fields below are accessed only by the loop.
	measureAt time.Duration
	backlog   *scheduler.Backlog
	returns   map[fleet.PoolID]*admitter.Returns
}

// measureBacklog measures the backlog of the pools when that is due, and finds the queues of which jobs may be hopeless.
func (t *term) measureBacklog(now time.Duration) {
	a := &t.admission
	if !t.options.RefuseHopelessJobs || now < a.measureAt {
		return
	}
	startedAt := monotonicNow()
	a.backlog = t.scheduler.MeasureBacklog()
	a.measureAt = now + max(backlogInterval, backlogPause*(monotonicNow()-startedAt))
	var overloaded map[fleet.QueueID]bool
	t.options.Replica.View(func(s *state.State) {
		for _, q := range s.Workload.Catalogue.Queues {
			if p := a.backlog.Pool(q.Pool); p != nil && p.MayRefuse(q.Objective) {
				if overloaded == nil {
					overloaded = map[fleet.QueueID]bool{}
				}
				overloaded[q.Name] = true
			}
		}
	})
	a.overloaded.Store(&overloaded)
}

// mayBeHopeless reports whether jobs of a queue have to be examined by the loop before they are accepted.
func (t *term) mayBeHopeless(q *workload.Queue) bool {
	overloaded := t.admission.overloaded.Load()
	return overloaded != nil && (*overloaded)[q.Name]
}

// examination is the result of the examination of a job: a job that is being committed, or a refusal.
type examination struct {
	accepted *pendingJob
	refusal  forwarder.Response
}

// examineJob accepts a job unless it is hopeless. The loop examines jobs one after the other and queues those that it accepts, so that a copy
// of a call is not refused while another is accepted.
func (t *term) examineJob(ctx context.Context, command state.SubmitJob, pool fleet.PoolID, version uint64) forwarder.Response {
	x := examination{refusal: forwarder.Response{Outcome: forwarder.Uncertain}}
	if !t.postAndWait(ctx, func() {
		t.skipPlan()
		if ctx.Err() == nil { // nobody waits for the answer, and a later copy of the call may have been refused
			x = t.examine(command, pool, version)
		}
	}) {
		t.post(func() {
			t.skipPlan()
			if x.accepted != nil {
				t.jobQueue.leave(monotonicNow(), x.accepted)
			}
		})
		return forwarder.Response{Outcome: forwarder.Uncertain}
	}
	if x.accepted == nil {
		return x.refusal
	}
	return t.awaitCommit(ctx, x.accepted)
}

// examine runs in the loop.
func (t *term) examine(command state.SubmitJob, pool fleet.PoolID, version uint64) (x examination) {
	id := command.Job.ID
	if t.jobQueue.find(id) == nil {
		if t.jobExists(id) {
			x.refusal = forwarder.Response{Outcome: forwarder.Done}
			return x
		}
		now := monotonicNow()
		v := t.scheduler.Admit(now, t.admission.backlog, &command.Job, command.Queue, command.Customer)
		if v.Refused {
			t.jobRoom.release(id)
			x.refusal = t.refuseHopeless(now, command, pool, v)
			return x
		}
	}
	x.accepted = t.jobQueue.add(command, version)
	return x
}

// refuseHopeless returns the refusal of a job, with the time at which its caller is to return.
func (t *term) refuseHopeless(now time.Duration, command state.SubmitJob, pool fleet.PoolID, v admitter.Verdict) forwarder.Response {
	a := &t.admission
	if a.returns == nil {
		a.returns = map[fleet.PoolID]*admitter.Returns{}
	}
	if a.returns[pool] == nil {
		a.returns[pool] = &admitter.Returns{}
	}
	delay := a.returns[pool].Delay(now, v, rand.Float64())
	t.instruments.countHopelessJob(command.Queue)
	t.spawn(func() {
		event.JobHopeless.Info(t.options.Logger, zap.String("job", string(command.Job.ID)), zap.String("queue", string(command.Queue)), zap.String("customer", string(command.Customer)),
			zap.String("pool", string(pool)), zap.Float64("ahead", float64(v.Ahead)), zap.Float64("possible", float64(v.Possible)), zap.Duration("retry-after", delay))
	})
	return forwarder.Response{Outcome: forwarder.Refused, Detail: "not run: more work waits than can be done before the job is worth nothing", RetryAfter: delay}
}
