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

// startPolling polls an enrolled instance until it is deregistered.
func (t *term) startPolling(id fleet.InstanceID) {
	if t.dispatchers[id] != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.dispatchers[id] = &dispatcher{slots: make(chan struct{}, maxOrdersInFlight), cancel: cancel}
	t.spawn(func() { t.pollLoop(ctx, id) })
}

// pollLoop polls an instance until ctx ends: at most every minPollInterval, and after missedPollBackoff once two polls in a
// row have failed.
func (t *term) pollLoop(ctx context.Context, id fleet.InstanceID) {
	previousMissed := false
	for ctx.Err() == nil {
		start := time.Now()
		answered := t.poll(ctx, id, true)
		switch remaining := minPollInterval - time.Since(start); {
		case !answered && previousMissed:
			sleep(ctx, missedPollBackoff)
		case answered && remaining > 0:
			sleep(ctx, remaining)
		}
		previousMissed = !answered // a single lost response is requested again at once
	}
}

// poll requests the status report of an instance and reports whether it was received; wait makes it a long poll.
func (t *term) poll(ctx context.Context, id fleet.InstanceID, wait bool) bool {
	var request scheduler.PollRequest
	enrolled := false
	if !t.postAndWait(ctx, func() { request, enrolled = t.scheduler.NextPoll(monotonicNow(), id, wait) }) || !enrolled || !t.leads() {
		return false
	}
	sentAt, start := monotonicNow(), time.Now()
	requestCtx, cancel := context.WithTimeout(ctx, request.Wait+pollTimeoutMargin)
	defer cancel()
	t.load.polls.Add(1)
	t.load.pollsInFlight.Add(1)
	report, outcome, err := t.options.Instances.Poll(requestCtx, request)
	t.load.pollsInFlight.Add(-1)
	arrivedAt := time.Now()
	if ctx.Err() != nil {
		return false
	}
	t.instruments.polls.Inc(1)
	if outcome == scheduler.Accepted {
		t.instruments.pollDuration.Update(arrivedAt.Sub(start))
		t.post(func() {
			t.countReport(arrivedAt)
			t.scheduler.HandleReport(monotonicNow(), id, sentAt, report)
		})
		return true
	}
	t.instruments.pollsMissed.Inc(1)
	event.PollFailed.Info(t.options.Logger, zap.String("instance", string(id)), zap.Stringer("outcome", outcome), zap.NamedError("error", err))
	t.post(func() { t.scheduler.HandlePollFailure(monotonicNow(), id, outcome) })
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// dispatch sends an order to its instance, with at most maxOrdersInFlight at a time.
func (t *term) dispatch(o scheduler.Order) {
	d := t.dispatchers[o.Instance]
	if d == nil {
		return
	}
	t.spawn(func() {
		t.load.ordersWaiting.Add(1)
		select {
		case d.slots <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		t.load.ordersWaiting.Add(-1)
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
		return
	}
	t.load.ordersInFlight.Add(1)
	defer t.load.ordersInFlight.Add(-1)
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	outcome, err := t.options.Instances.Order(ctx, o)
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
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, platformTimeout)
	defer cancel()
	outcome, err := t.options.Machines.OrderMachine(ctx, t.options.Entry, t.number, o)
	event.MachineOrderCompleted.Info(t.options.Logger, zap.String("machine", o.Machine), zap.Uint64("wave", o.Wave),
		zap.String("pool", string(o.Pool)), zap.Stringer("outcome", outcome), zap.NamedError("error", err))
	t.post(func() {
		if t.scheduler.HandleMachineOutcome(monotonicNow(), o, outcome) {
			t.commitAsync(state.RecordMaintenanceStart{Wave: o.Wave, Machine: o.Machine}, func(state.Reply, error) {})
		}
	})
}

// listMachines reads the list of machines from the platform for the scheduler.
func (t *term) listMachines() {
	ctx, cancel := context.WithTimeout(t.ctx, platformTimeout)
	defer cancel()
	list, err := t.options.Machines.ListMachines(ctx)
	if err != nil {
		event.MachineListFailed.Warn(t.options.Logger, zap.NamedError("error", err))
		return
	}
	t.post(func() { t.scheduler.SetMachines(list) })
}

// requestAdvice requests from the policy service which instances may run a step.
func (t *term) requestAdvice(o scheduler.AdviceRequest) {
	if !t.leads() {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
	defer cancel()
	tickets, err := t.options.Adviser.Advise(ctx, o.Step, o.Instances)
	event.AdviceRequestCompleted.Info(t.options.Logger, zap.Stringer("step", o.Step), zap.Int("asked", len(o.Instances)), zap.Int("good", len(tickets)),
		zap.NamedError("error", err))
	t.post(func() { t.scheduler.HandleAdvice(monotonicNow(), o, tickets, err == nil) })
}
