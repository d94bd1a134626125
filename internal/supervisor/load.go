package supervisor

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sys/unix"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

const (
	loadInterval   = time.Second
	postSampleRate = 8 // the delay of one in eight posts is measured; posts that arrive together are delayed alike
)

// load measures the work of a leader since the last line about it.
type load struct {
	// The fields below are accessed only by the loop.
	since                      time.Time
	processorTime              time.Duration
	plans                      int
	planTime, planMax, planGap time.Duration
	planEndedAt                time.Time
	batchTime, postDelay       time.Duration
	inboxMax                   int
	reports                    int
	reportAge, reportAgeMax    time.Duration
	leaseLeft                  time.Duration

	posts, polls, pollsInFlight atomic.Int64
	// calls counts the calls of callers, instances and operators by operation.
	calls [forwarder.OperationCount]atomic.Int64
	// orders counts the orders sent to instances.
	orders                                atomic.Int64
	ordersInFlight, ordersWaiting         atomic.Int64
	commits, commitsInFlight, commitNanos atomic.Int64
}

// reset begins a new interval at now.
func (l *load) reset(now time.Time) {
	l.since, l.processorTime = now, processorTime()
	l.plans, l.planTime, l.planMax, l.planGap = 0, 0, 0, 0
	l.batchTime, l.postDelay, l.inboxMax = 0, 0, 0
	l.reports, l.reportAge, l.reportAgeMax = 0, 0, 0
	l.leaseLeft = time.Hour
	l.posts.Store(0)
	l.orders.Store(0)
	for i := range l.calls {
		l.calls[i].Store(0)
	}
	l.polls.Store(0)
	l.commits.Store(0)
	l.commitNanos.Store(0)
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// sampled returns f, or for one in postSampleRate calls a function that runs f and records how late it runs.
func (t *term) sampled(f func()) func() {
	if t.load.posts.Add(1)%postSampleRate != 1 {
		return f
	}
	postedAt := time.Now()
	return func() {
		delay := time.Since(postedAt)
		t.load.postDelay = max(t.load.postDelay, delay)
		t.instruments.postDelay.Update(delay)
		f()
	}
}

// runBatch runs a posted function and those queued behind it, and reports whether the scheduler must run after them.
func (t *term) runBatch(f func()) (planWanted bool) {
	start := time.Now()
	t.load.inboxMax = max(t.load.inboxMax, len(t.inbox)+1)
	t.postsWithoutPlan = 0
	f()
	posts := 1 + t.drainInbox()
	t.load.batchTime += time.Since(start)
	return posts > t.postsWithoutPlan
}

// plan runs the scheduler and measures it.
func (t *term) plan() {
	start := time.Now()
	t.load.leaseLeft = min(t.load.leaseLeft, t.options.Replica.LeaderLeaseLeft())
	if !t.load.planEndedAt.IsZero() {
		t.load.planGap = max(t.load.planGap, start.Sub(t.load.planEndedAt))
	}
	startedAt := monotonicNow()
	t.runScheduler()
	t.planPacer.record(startedAt, monotonicNow())
	end := time.Now()
	took := end.Sub(start)
	t.load.plans++
	t.load.planTime += took
	t.load.planMax = max(t.load.planMax, took)
	t.load.planEndedAt = end
	t.instruments.planDuration.Update(took)
	if end.Sub(t.load.since) >= loadInterval {
		t.logLoad(end)
	}
}

// countReport counts a status report that is handled age after its arrival.
func (t *term) countReport(age time.Duration) {
	t.load.reports++
	t.load.reportAge += age
	t.load.reportAgeMax = max(t.load.reportAgeMax, age)
}

// commitAll commits commands in order and measures it.
func (t *term) commitAll(commands []state.Command) ([]state.Reply, []error) {
	t.load.commitsInFlight.Add(1)
	start := time.Now()
	replies, errs := t.options.Replica.CommitAll(t.ctx, commands)
	took := time.Since(start)
	t.load.commitsInFlight.Add(-1)
	t.load.commits.Add(1)
	t.load.commitNanos.Add(int64(took))
	t.instruments.commitDuration.Update(took)
	return replies, errs
}

// logLoad logs the load since the last line, and why tasks wait.
func (t *term) logLoad(now time.Time) {
	waiting := t.logWaiting()
	l := &t.load
	jobs, instances := t.scheduler.Size()
	event.LeaderLoad.Info(t.options.Logger, zap.Uint64("term", t.number), zap.Duration("over", now.Sub(l.since)),
		zap.Duration("processor", processorTime()-l.processorTime), zap.Int("plans", l.plans), zap.Duration("planning", l.planTime),
		zap.Duration("plan-max", l.planMax), zap.Duration("plan-gap", l.planGap), zap.Int64("posts", l.posts.Load()), zap.Duration("posted", l.batchTime),
		zap.Duration("post-delay", l.postDelay), zap.Int("inbox", l.inboxMax), zap.Int64("polls", l.polls.Load()),
		zap.Int64("polls-in-flight", l.pollsInFlight.Load()), zap.Int("reports", l.reports), zap.Duration("report-age", l.reportAge/time.Duration(max(1, l.reports))),
		zap.Duration("report-age-max", l.reportAgeMax), zap.Int64("orders", l.orders.Load()), zap.Object("calls", l), zap.Int64("orders-in-flight", l.ordersInFlight.Load()), zap.Int64("orders-waiting", l.ordersWaiting.Load()),
		zap.Int64("commits", l.commits.Load()), zap.Int64("commits-in-flight", l.commitsInFlight.Load()),
		zap.Duration("commit", time.Duration(l.commitNanos.Load()/max(1, l.commits.Load()))), zap.Int("jobs-held", t.jobQueue.held()), zap.Int("jobs", jobs), zap.Int("instances", instances),
		zap.Int("waiting", waiting), zap.Duration("lease-left", l.leaseLeft))
	l.reset(now)
}

// MarshalLogObject writes the number of calls of each operation.
func (l *load) MarshalLogObject(e zapcore.ObjectEncoder) error {
	for i := range l.calls {
		if n := l.calls[i].Load(); n > 0 {
			e.AddInt64(forwarder.Operation(i).String(), n)
		}
	}
	return nil
}

// logWaiting logs what holds waiting tasks and returns the number of jobs with tasks that wait.
func (t *term) logWaiting() int {
	list, total := t.scheduler.ExplainWaiting(monotonicNow(), maxWaitingLines)
	for _, w := range list {
		event.TaskWaiting.Info(t.options.Logger, zap.Stringer("task", w.Task), zap.String("class", w.Class), zap.Duration("waited", w.Waited),
			zap.Bool("inherited", w.Inherited), zap.Int("tasks", w.Tasks), zap.String("reason", w.Reason), zap.String("pool", string(w.Pool)), zap.Stringer("free", w.Free), zap.Stringer("total", w.Total))
	}
	t.instruments.jobsWaiting.Update(int64(total))
	t.instruments.customersAhead.Update(int64(t.scheduler.CustomersAhead()))
	return total
}
