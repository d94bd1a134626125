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

// Timeouts of calls to instances and to the platform.
const (
	orderTimeout    = 400 * time.Millisecond // an instance answers within milliseconds; a lost packet is sent again after 200 ms
	lookSlack       = 250 * time.Millisecond // beyond the wait that the look asks for; a lost packet is sent again after 200 ms
	platformTimeout = 3 * time.Second        // the platform may be slow
	adviceTimeout   = 5 * time.Second        // the policy service takes one call after the other
)

// follow looks at an enrolled instance until it is struck.
func (t *term) follow(id fleet.InstanceID) {
	if t.lanes[id] != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.lanes[id] = &lane{slots: make(chan struct{}, laneParallel), cancel: cancel}
	t.spawn(func() { t.look(ctx, id) })
}

func (t *term) look(ctx context.Context, id fleet.InstanceID) {
	missed := false
	for ctx.Err() == nil {
		began := time.Now()
		answered := t.lookOnce(ctx, id, true)
		switch gap := lookGap - time.Since(began); {
		case !answered && missed:
			pause(ctx, missPause)
		case answered && gap > 0:
			pause(ctx, gap)
		}
		missed = !answered // a single lost answer is asked for again at once
	}
}

// lookOnce asks an instance what runs there and reports whether it answered.
func (t *term) lookOnce(ctx context.Context, id fleet.InstanceID, wait bool) bool {
	var q scheduler.PollRequest
	known := false
	if !t.ask(ctx, func() { q, known = t.scheduler.NextPoll(clock(), id, wait) }) || !known || !t.leads() {
		return false
	}
	sent := clock()
	calling, cancel := context.WithTimeout(ctx, q.Wait+lookSlack)
	defer cancel()
	look, outcome, err := t.options.Instances.Look(calling, q)
	if ctx.Err() != nil {
		return false
	}
	t.gauges.looks.Inc(1)
	if outcome == scheduler.Accepted {
		t.post(func() { t.scheduler.HandleReport(clock(), id, sent, look) })
		return true
	}
	t.gauges.missed.Inc(1)
	event.LookMissed.Info(t.options.Logger, zap.String("instance", string(id)), zap.Stringer("outcome", outcome), zap.NamedError("error", err))
	t.post(func() { t.scheduler.HandlePollFailure(clock(), id, outcome) })
	return false
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// send carries an order to its instance.
func (t *term) send(o scheduler.Order) {
	l := t.lanes[o.Instance]
	if l == nil {
		return
	}
	t.spawn(func() {
		select {
		case l.slots <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		defer func() { <-l.slots }()
		if o.Kind == scheduler.ImmediatePoll {
			t.lookOnce(t.ctx, o.Instance, false)
			return
		}
		t.order(o)
	})
}

func (t *term) order(o scheduler.Order) {
	if !t.leads() {
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	outcome, err := t.options.Instances.Order(ctx, o)
	t.gauges.orders.UpdateSince(began)
	t.gauges.answered(o, outcome)
	if outcome != scheduler.Accepted {
		event.OrderAnswered.Info(t.options.Logger, zap.Stringer("order", o.Kind), zap.Stringer("task", o.Task), zap.Uint64("run", uint64(o.Run)),
			zap.String("instance", string(o.Instance)), zap.Stringer("outcome", outcome), zap.Duration("took", time.Since(began)), zap.NamedError("error", err))
	}
	t.post(func() { t.scheduler.HandleOrderOutcome(clock(), o, outcome) })
}

// orderMachine asks the platform for planned work on a machine.
func (t *term) orderMachine(o scheduler.MachineOrder) {
	if !t.leads() {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, platformTimeout)
	defer cancel()
	outcome, err := t.options.Machines.OrderMachine(ctx, t.options.Entry, t.number, o)
	event.MachineOrdered.Info(t.options.Logger, zap.String("machine", o.Machine), zap.Uint64("wave", o.Wave),
		zap.String("pool", string(o.Pool)), zap.Stringer("outcome", outcome), zap.NamedError("error", err))
	t.post(func() {
		if t.scheduler.HandleMachineOutcome(clock(), o, outcome) {
			t.commit(state.RecordMaintenanceStart{Wave: o.Wave, Machine: o.Machine}, func(state.Reply, error) {})
		}
	})
}

func (t *term) listMachines() {
	ctx, cancel := context.WithTimeout(t.ctx, platformTimeout)
	defer cancel()
	list, err := t.options.Machines.ListMachines(ctx)
	if err != nil {
		event.MachinesUnknown.Warn(t.options.Logger, zap.NamedError("error", err))
		return
	}
	t.post(func() { t.scheduler.SetMachines(list) })
}

// consult asks the policy service which instances may run a step.
func (t *term) consult(o scheduler.AdviceRequest) {
	if !t.leads() {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, adviceTimeout)
	defer cancel()
	tickets, err := t.options.Adviser.Advise(ctx, o.Step, o.Instances)
	event.AdviceGiven.Info(t.options.Logger, zap.Stringer("step", o.Step), zap.Int("asked", len(o.Instances)), zap.Int("good", len(tickets)),
		zap.NamedError("error", err))
	t.post(func() { t.scheduler.HandleAdvice(clock(), o, tickets, err == nil) })
}
