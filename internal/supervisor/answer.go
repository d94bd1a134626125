package supervisor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// refusedPause is when a caller may return whose call met a keeper that was about to stop leading.
const refusedPause = time.Second

func (t *term) answer(ctx context.Context, ask forwarder.Ask) forwarder.Answer {
	var a forwarder.Answer
	switch ask.Subject {
	case forwarder.SubmitJob:
		a = t.submit(ctx, ask)
	case forwarder.CancelJob:
		a = t.cancelJob(ctx, ask)
	case forwarder.InspectJob:
		a = t.inspect(ctx, ask)
	case forwarder.CountJobs:
		a = t.count(ctx, ask)
	case forwarder.Announce:
		a = t.announce(ctx, ask)
	case forwarder.Depart:
		a = t.depart(ctx, ask)
	case forwarder.Publish:
		a = t.publish(ctx, ask)
	case forwarder.FetchCatalogue:
		a = t.fetch()
	case forwarder.OpenWave:
		a = t.openWave(ctx, ask)
	case forwarder.InspectWave:
		a = t.inspectWave(ask)
	default:
		a = forwarder.Answer{Verdict: forwarder.Invalid, Detail: "unknown subject"}
	}
	return t.confirm(a)
}

// confirm withholds an answer that relies on the lease where the lease is over.
func (t *term) confirm(a forwarder.Answer) forwarder.Answer {
	if a.Verdict == forwarder.Done || a.Verdict == forwarder.Uncertain || a.Verdict == forwarder.Invalid || t.leads() {
		return a
	}
	return forwarder.Answer{Verdict: forwarder.NotLeading}
}

// resolve finds the queue and the customer of a call.
func (t *term) resolve(ask forwarder.Ask) (queue workload.Queue, rest string, customer workload.Customer, version uint64, a forwarder.Answer) {
	t.options.Replica.View(func(s *state.State) {
		c := &s.Workload.Catalogue
		version = c.Version
		if version == 0 {
			a = forwarder.Answer{Verdict: forwarder.Refused, Detail: "no catalogue yet", RetryAfter: refusedPause}
			return
		}
		q, after, ok := c.MatchQueue(ask.Host, ask.Path)
		if !ok {
			a = forwarder.Answer{Verdict: forwarder.UnknownQueue}
			return
		}
		queue, rest = *q, after
		u, known := c.CustomerByKey(ask.Key)
		if known {
			customer = *u
		}
		if !known && !queue.AuthExempt {
			a = forwarder.Answer{Verdict: forwarder.BadKey}
		}
	})
	return queue, rest, customer, version, a
}

// record calls read with the record of a job, or nil.
func (t *term) record(id workload.JobID, read func(r *state.JobRecord)) {
	t.options.Replica.View(func(s *state.State) { read(s.Workload.Jobs[id]) })
}

func (t *term) known(id workload.JobID) (known bool) {
	t.record(id, func(r *state.JobRecord) { known = r != nil })
	return known
}

func (t *term) submit(ctx context.Context, ask forwarder.Ask) forwarder.Answer {
	queue, rest, customer, version, refusal := t.resolve(ask)
	if refusal.Verdict != 0 {
		t.gauges.refused.Inc(1)
		event.JobRefused.Info(t.options.Logger, zap.String("job", rest), zap.String("host", ask.Host), zap.String("path", ask.Path),
			zap.Int("reason", int(refusal.Verdict)), zap.Uint64("version", version))
		return refusal
	}
	if rest != string(ask.Job.ID) {
		return forwarder.Answer{Verdict: forwarder.UnknownQueue}
	}
	if t.known(ask.Job.ID) {
		return forwarder.Answer{Verdict: forwarder.Done}
	}
	command := state.SubmitJob{Job: *ask.Job, Queue: queue.Name, Customer: customer.Name, At: state.Timestamp(wall())}
	certain, err := t.settle(ctx, command, func() {
		t.record(ask.Job.ID, func(r *state.JobRecord) {
			if r != nil {
				t.scheduler.AddJob(clock(), wall(), r, false)
			}
		})
	})
	if err != nil || !certain {
		return forwarder.Answer{Verdict: forwarder.Uncertain}
	}
	t.gauges.accepted.Inc(1)
	event.JobAccepted.Info(t.options.Logger, zap.String("job", string(ask.Job.ID)), zap.String("queue", string(queue.Name)),
		zap.String("customer", string(customer.Name)), zap.Int("tasks", ask.Job.TaskCount()), zap.Uint64("version", version))
	return forwarder.Answer{Verdict: forwarder.Done}
}

// settle commits a command, runs then in the loop once it is committed, and waits for that as long as ctx lasts.
func (t *term) settle(ctx context.Context, c state.Command, then func()) (certain bool, err error) {
	result := make(chan error, 1)
	t.commit(c, func(_ state.Reply, err error) {
		if err == nil {
			then()
		}
		result <- err
	})
	select {
	case err = <-result:
		return true, err
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	return false, nil
}

func (t *term) cancelJob(ctx context.Context, ask forwarder.Ask) forwarder.Answer {
	_, rest, _, _, refusal := t.resolve(ask)
	if refusal.Verdict != 0 {
		return refusal
	}
	id := workload.JobID(rest)
	if !t.known(id) {
		return forwarder.Answer{Verdict: forwarder.UnknownJob}
	}
	certain, err := t.settle(ctx, state.CancelJob{Job: id, At: state.Timestamp(wall())}, func() { t.scheduler.CancelJob(clock(), id) })
	if err != nil || !certain {
		return forwarder.Answer{Verdict: forwarder.Uncertain}
	}
	event.JobCancelled.Info(t.options.Logger, zap.String("job", rest))
	return forwarder.Answer{Verdict: forwarder.Done}
}

func (t *term) inspect(ctx context.Context, ask forwarder.Ask) forwarder.Answer {
	_, rest, _, _, refusal := t.resolve(ask)
	if refusal.Verdict != 0 {
		return refusal
	}
	id := workload.JobID(rest)
	a := forwarder.Answer{Verdict: forwarder.UnknownJob}
	active := false
	t.record(id, func(r *state.JobRecord) {
		if r == nil {
			return
		}
		a.Verdict = forwarder.Done
		switch {
		case r.Complete():
			a.Phase = workload.Completed
		case r.Failed:
			a.Phase = workload.Failed
		case r.Cancelled:
			a.Phase = workload.Cancelled
		default:
			active = true
		}
	})
	if !active {
		return a
	}
	a.Phase = workload.Queued
	if !t.ask(ctx, func() {
		if begun, ok := t.scheduler.JobStarted(id); begun || !ok {
			a.Phase = workload.Running
		}
	}) {
		return forwarder.Answer{Verdict: forwarder.NotLeading}
	}
	return a
}

func (t *term) count(ctx context.Context, ask forwarder.Ask) forwarder.Answer {
	queue, _, _, _, refusal := t.resolve(ask)
	if refusal.Verdict != 0 {
		return refusal
	}
	a := forwarder.Answer{Verdict: forwarder.Done}
	if !t.ask(ctx, func() { a.Pending = t.scheduler.PendingJobs(queue.Name) }) || !t.leads() {
		return forwarder.Answer{Verdict: forwarder.NotLeading}
	}
	return a
}

func (t *term) announce(ctx context.Context, ask forwarder.Ask) forwarder.Answer {
	in := *ask.Instance
	if !t.ask(ctx, func() {
		enrol := t.scheduler.HandleAnnouncement(clock(), in)
		t.strike() // an earlier boot under the same id leaves before this one enters
		if enrol {
			t.enrol(in)
		}
	}) {
		return forwarder.Answer{Verdict: forwarder.NotLeading}
	}
	if in.Draining {
		event.InstanceDraining.Info(t.options.Logger, zap.String("instance", string(in.ID)), zap.Duration("left", in.TimeLeft))
	}
	return forwarder.Answer{Verdict: forwarder.Done, Leader: t.options.Entry}
}

// enrol commits a boot of an instance, so that a later leader knows that it may run something.
func (t *term) enrol(in workload.Instance) {
	t.register(state.EnrolInstance{Instance: in}, func() {
		event.InstanceEnrolled.Info(t.options.Logger, zap.String("instance", string(in.ID)), zap.String("pool", string(in.Pool)),
			zap.String("machine", in.Machine), zap.String("address", in.Address))
		t.scheduler.ConfirmEnrolled(in.ID)
	})
}

func (t *term) depart(ctx context.Context, ask forwarder.Ask) forwarder.Answer {
	in := *ask.Instance
	if !t.ask(ctx, func() { t.scheduler.HandleDeparture(clock(), in.ID, in.Boot) }) {
		return forwarder.Answer{Verdict: forwarder.NotLeading}
	}
	return forwarder.Answer{Verdict: forwarder.Done}
}

func (t *term) publish(ctx context.Context, ask forwarder.Ask) forwarder.Answer {
	if err := ask.Catalogue.Validate(); err != nil {
		event.CatalogueRefused.Info(t.options.Logger, zap.Uint64("sent-version", ask.Catalogue.Version), zap.NamedError("reason", err))
		return forwarder.Answer{Verdict: forwarder.Invalid, Detail: err.Error()}
	}
	certain, err := t.settle(ctx, state.PublishCatalogue{Catalogue: *ask.Catalogue, Source: ask.Source}, func() {
		t.options.Replica.View(func(s *state.State) {
			c := s.Workload.Catalogue
			t.scheduler.SetCatalogue(&c)
			event.CataloguePublished.Info(t.options.Logger, zap.Uint64("version", c.Version), zap.Uint64("sent-version", ask.Catalogue.Version))
		})
		t.ready.Store(true)
	})
	if err != nil || !certain {
		return forwarder.Answer{Verdict: forwarder.Uncertain}
	}
	return forwarder.Answer{Verdict: forwarder.Done}
}

func (t *term) fetch() forwarder.Answer {
	a := forwarder.Answer{Verdict: forwarder.Done}
	t.options.Replica.View(func(s *state.State) { a.Source = s.Workload.CatalogueSource })
	if len(a.Source) == 0 || !t.leads() {
		return forwarder.Answer{Verdict: forwarder.NotLeading}
	}
	return a
}

func (t *term) openWave(ctx context.Context, ask forwarder.Ask) forwarder.Answer {
	number := ask.Wave.Number
	certain, err := t.settle(ctx, state.AddWave{Wave: *ask.Wave, At: state.Timestamp(wall())}, func() {
		t.options.Replica.View(func(s *state.State) { t.scheduler.AddWave(clock(), wall(), s.Workload.Waves[number]) })
	})
	if err != nil || !certain {
		return forwarder.Answer{Verdict: forwarder.Uncertain}
	}
	event.WaveOpened.Info(t.options.Logger, zap.Uint64("wave", number), zap.Int("machines", len(ask.Wave.Machines)),
		zap.Int("at-once", ask.Wave.MaxConcurrent), zap.Duration("within", ask.Wave.TimeLimit))
	return forwarder.Answer{Verdict: forwarder.Done}
}

func (t *term) inspectWave(ask forwarder.Ask) forwarder.Answer {
	a := forwarder.Answer{Verdict: forwarder.UnknownJob}
	t.options.Replica.View(func(s *state.State) {
		w := s.Workload.Waves[ask.Wave.Number]
		if w == nil {
			return
		}
		a.Verdict = forwarder.Done
		a.Finished = true
		for _, m := range w.Wave.Machines {
			a.Finished = a.Finished && w.Started[m]
		}
	})
	return a
}
