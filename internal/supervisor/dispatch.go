package supervisor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Timeouts of requests to instances, to the platform and to its policy service.
const (
	orderTimeout      = 400 * time.Millisecond // instances respond within milliseconds; a lost packet is retransmitted after 200 ms
	pollTimeoutMargin = 250 * time.Millisecond // added to the wait of the long poll; a lost packet is retransmitted after 200 ms
	platformTimeout   = 3 * time.Second        // the platform responds slowly at times
	adviceTimeout     = 5 * time.Second        // the policy service handles one request at a time
)

// startPolls polls the instances that were enrolled since the last call, and at times all that are enrolled and not polled.
func (t *term) startPolls(now time.Duration) {
	list := t.scheduler.TakeEnrolled()
	if now-t.lastPollCheck >= pollCheckInterval {
		t.lastPollCheck = now
		list = t.scheduler.EnrolledInstances()
	}
	for _, id := range list {
		t.startPolling(id)
	}
}

// startPolling polls an enrolled instance until it is deregistered.
func (t *term) startPolling(id fleet.InstanceID) {
	if t.dispatchers[id] != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	d := &dispatcher{ctx: ctx, slots: make(chan struct{}, maxOrdersInFlight), started: make(chan struct{}, 1), cancel: cancel}
	t.dispatchers[id] = d
	t.spawn(func() { t.pollLoop(ctx, id, d.started) })
}

// stopPolling ends the polls of an instance that was deregistered or has restarted.
func (t *term) stopPolling(id fleet.InstanceID) {
	if d := t.dispatchers[id]; d != nil {
		d.cancel()
		delete(t.dispatchers, id)
	}
}

// pollLoop polls an instance until ctx ends: at the pace of pollPacer, and after missedPollBackoff once two polls in a row have
// failed. A start that is sent ends the pause of an instance that was empty.
func (t *term) pollLoop(ctx context.Context, id fleet.InstanceID, started <-chan struct{}) {
	poll, previousMissed := t.firstPoll, false
	for ctx.Err() == nil {
		next, answered := poll(ctx, id, true)
		poll = t.poll
		switch {
		case !answered && previousMissed:
			sleep(ctx, missedPollBackoff, nil)
		case answered && next.need == scheduler.PollWhenIdle:
			sleep(ctx, next.pause, started)
		case answered:
			sleep(ctx, next.pause, nil)
		}
		previousMissed = !answered // a single lost response is requested again at once
	}
}

// firstPoll polls an instance once it has one of maxFirstPolls slots.
func (t *term) firstPoll(ctx context.Context, id fleet.InstanceID, wait bool) (next nextPoll, answered bool) {
	select {
	case t.firstPolls <- struct{}{}:
	case <-ctx.Done():
		return nextPoll{}, false
	}
	defer func() { <-t.firstPolls }()
	return t.poll(ctx, id, wait)
}

// nextPoll says when and for what to poll an instance again.
type nextPoll struct {
	need  scheduler.PollNeed
	pause time.Duration
}

// poll requests the status report of an instance, has it processed, and reports whether it was received; wait makes it a long poll.
func (t *term) poll(ctx context.Context, id fleet.InstanceID, wait bool) (next nextPoll, answered bool) {
	if !t.leads() {
		return nextPoll{}, false
	}
	var request scheduler.PollRequest
	enrolled := false
	dueAt := monotonicNow()
	ask := func() {
		now := monotonicNow()
		t.pollPacer.loopDelay.observe(now, now-dueAt)
		t.skipPlan()
		request, enrolled = t.scheduler.NextPoll(now, id, wait)
	}
	if !t.postAndWait(ctx, ask) || !enrolled || !t.leads() {
		return nextPoll{}, false
	}
	sentAt := monotonicNow()
	request.Timeout = request.Wait + pollTimeoutMargin
	t.load.polls.Add(1)
	t.load.pollsInFlight.Add(1)
	report, outcome, err := t.options.Instances.Poll(ctx, request)
	t.load.pollsInFlight.Add(-1)
	if ctx.Err() != nil {
		return nextPoll{}, false
	}
	t.instruments.polls.Inc(1)
	report.ReceivedAt = monotonicNow()
	if outcome == scheduler.Accepted {
		t.instruments.pollDuration.Update(report.ReceivedAt - sentAt)
		t.checkBoot(request, report)
		var following nextPoll
		handle := func() {
			now := monotonicNow()
			t.countReport(now - report.ReceivedAt)
			wasIdle := t.scheduler.PollNeed(id) == scheduler.PollWhenIdle
			t.scheduler.HandleReport(now, id, sentAt, report)
			following.need = t.scheduler.PollNeed(id)
			if wasIdle && following.need == scheduler.PollWhenIdle && len(report.Running)+len(report.Ended) == 0 {
				t.skipPlan() // only the clock of the instance is new
			}
			following.pause = t.pollPacer.pause(following.need, now-dueAt)
			if report.Probe && following.need != scheduler.PollWhenIdle {
				following.pause = 0 // a probe extends no lease
			}
		}
		if !t.postAndWait(ctx, handle) {
			return nextPoll{}, false
		}
		return following, true
	}
	t.instruments.pollsMissed.Inc(1)
	if outcome == scheduler.Unsent || outcome == scheduler.Uncarried {
		return nextPoll{}, false // the instance may be well
	}
	event.PollFailed.Info(t.options.Logger, zap.String("instance", string(id)), zap.Stringer("outcome", outcome), zap.NamedError("error", err))
	t.post(func() { t.scheduler.HandlePollFailure(monotonicNow(), request, outcome) })
	return nextPoll{}, false
}

// checkBoot logs a report of another boot than the one that the poll was for. Unless the poll was a probe, that boot has forgotten its ends up to
// the acknowledged number, and its runs have a lease until the deadline, both counted for the other boot.
func (t *term) checkBoot(request scheduler.PollRequest, report scheduler.StatusReport) {
	if report.Boot == request.Boot || report.Boot == 0 || request.Boot == 0 {
		return
	}
	if report.Probe {
		request.Deadline = 0
	}
	t.instruments.pollsCrossed.Inc(1)
	event.BootMismatched.Info(t.options.Logger, zap.String("instance", string(request.Instance)), zap.Int64("boot", request.Boot), zap.Int64("answered-by", report.Boot),
		zap.Uint64("acknowledged", report.AckedEnd), zap.Duration("deadline", request.Deadline), zap.Duration("clock", report.Clock),
		zap.Int("running", len(report.Running)), zap.Int("ended", len(report.Ended)))
}

// sleep waits for d, or until ctx ends or interrupt receives.
func sleep(ctx context.Context, d time.Duration, interrupt <-chan struct{}) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-interrupt:
	case <-time.After(d):
	}
}

// dispatch sends an order to its instance, with at most maxOrdersInFlight at a time. The next boot at the address would carry out one that is
// sent after the boot was given up.
func (t *term) dispatch(o scheduler.Order) {
	d := t.dispatchers[o.Instance]
	if d == nil {
		t.scheduler.HandleOrderOutcome(monotonicNow(), o, scheduler.Unpolled)
		return
	}
	if o.Kind == scheduler.Start {
		select {
		case d.started <- struct{}{}:
		default:
		}
	}
	t.spawn(func() {
		t.load.ordersWaiting.Add(1)
		acquired := d.acquire()
		t.load.ordersWaiting.Add(-1)
		if !acquired {
			t.post(func() { t.scheduler.HandleOrderOutcome(monotonicNow(), o, scheduler.Unpolled) })
			return
		}
		defer func() { <-d.slots }()
		if o.Kind == scheduler.ImmediatePoll {
			t.poll(t.ctx, o.Instance, false)
			return
		}
		t.sendOrder(o)
	})
}

// sendOrder sends an order and passes its outcome to the scheduler.
func (t *term) sendOrder(o scheduler.Order) {
	if !t.leads() {
		t.post(func() { t.scheduler.HandleOrderOutcome(monotonicNow(), o, scheduler.Unsent) })
		return
	}
	if o.Kind == scheduler.Start && t.isDrained(o.DataCentre) {
		t.instruments.countOrderOutcome(o, scheduler.Withheld)
		t.post(func() { t.scheduler.HandleOrderOutcome(monotonicNow(), o, scheduler.Withheld) })
		return
	}
	t.load.orders.Add(1)
	t.load.ordersInFlight.Add(1)
	defer t.load.ordersInFlight.Add(-1)
	start := time.Now()
	o.Timeout = orderTimeout
	outcome, err := t.options.Instances.Order(t.ctx, o)
	t.instruments.orderDuration.UpdateSince(start)
	t.instruments.countOrderOutcome(o, outcome)
	if outcome != scheduler.Accepted {
		event.OrderCompleted.Info(t.options.Logger, zap.Stringer("order", o.Kind), zap.Stringer("task", o.Task), zap.Uint64("run", uint64(o.Run)),
			zap.String("instance", string(o.Instance)), zap.Stringer("outcome", outcome), zap.Duration("took", time.Since(start)), zap.NamedError("error", err))
	}
	t.post(func() { t.scheduler.HandleOrderOutcome(monotonicNow(), o, outcome) })
}

// sendMachineOrder requests the move or the maintenance of a machine from the platform.
func (t *term) sendMachineOrder(o scheduler.MachineOrder) {
	if !t.leads() {
		t.post(func() { t.scheduler.HandleMachineOutcome(monotonicNow(), o, scheduler.MachineUnsent) })
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, platformTimeout)
	defer cancel()
	outcome, err := t.options.Machines.OrderMachine(ctx, t.options.Entry, t.number, o)
	event.MachineOrderCompleted.Info(t.options.Logger, zap.String("machine", o.Machine), zap.Uint64("wave", o.Wave),
		zap.String("pool", string(o.Pool)), zap.Stringer("outcome", outcome), zap.NamedError("error", err))
	t.post(func() {
		if t.scheduler.HandleMachineOutcome(monotonicNow(), o, outcome) {
			t.commitAsync(state.RecordMaintenanceStart{Wave: o.Wave, Machine: o.Machine}, func(_ state.Reply, err error) {
				if err != nil {
					t.cancel() // the next leader orders the maintenance again
				}
			})
		}
	})
}

// listMachines reads the list of machines from the platform for the scheduler.
func (t *term) listMachines() {
	ctx, cancel := context.WithTimeout(t.ctx, platformTimeout)
	defer cancel()
	requestedAt := monotonicNow()
	list, err := t.options.Machines.ListMachines(ctx)
	if err != nil {
		event.MachineListFailed.Warn(t.options.Logger, zap.NamedError("error", err))
		t.post(func() { t.scheduler.HandleMachineListFailure(monotonicNow()) })
		return
	}
	t.post(func() { t.scheduler.HandleMachineList(monotonicNow(), requestedAt, list) })
}

// requestAdvice requests from the policy service which instances may run a step.
func (t *term) requestAdvice(o scheduler.AdviceRequest) {
	if !t.leads() {
		t.post(func() { t.scheduler.HandleAdvice(monotonicNow(), o, nil, false) })
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
	defer cancel()
	tickets, err := t.options.Adviser.Advise(ctx, o.Step, o.Instances)
	event.AdviceRequestCompleted.Info(t.options.Logger, zap.Stringer("step", o.Step), zap.Int("asked", len(o.Instances)), zap.Int("good", len(tickets)),
		zap.NamedError("error", err))
	t.post(func() { t.scheduler.HandleAdvice(monotonicNow(), o, tickets, err == nil) })
}
