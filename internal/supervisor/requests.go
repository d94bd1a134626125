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

// refusedRetryAfter is when a caller may retry a request that was refused because no catalogue has been published.
const refusedRetryAfter = time.Second

// handle runs one request of a caller, an instance or an operator on the leader.
func (t *term) handle(ctx context.Context, request forwarder.Request) forwarder.Response {
	if err := request.Validate(); err != nil {
		event.CallRefused.Warn(t.options.Logger, zap.Stringer("operation", request.Operation), zap.String("path", request.Path), zap.NamedError("reason", err))
		return forwarder.Response{Outcome: forwarder.Invalid, Detail: err.Error()}
	}
	t.load.calls[request.Operation].Add(1)
	var response forwarder.Response
	switch request.Operation {
	case forwarder.SubmitJob:
		response = t.submitJob(ctx, request)
	case forwarder.CancelJob:
		response = t.cancelJob(ctx, request)
	case forwarder.InspectJob:
		response = t.inspectJob(ctx, request)
	case forwarder.CountJobs:
		response = t.countJobs(ctx, request)
	case forwarder.Announce:
		response = t.announce(ctx, request)
	case forwarder.AnnounceBatch:
		response = t.announceBatch(ctx, request)
	case forwarder.Depart:
		response = t.depart(ctx, request)
	case forwarder.Publish:
		response = t.publishCatalogue(ctx, request)
	case forwarder.FetchCatalogue:
		response = t.fetchCatalogue()
	case forwarder.OpenWave:
		response = t.openWave(ctx, request)
	case forwarder.InspectWave:
		response = t.inspectWave(request)
	case forwarder.DrainDataCentre, forwarder.ResumeDataCentre:
		response = t.changeDrain(ctx, request)
	case forwarder.InspectDataCentre:
		response = t.inspectDataCentre(request)
	case forwarder.ExplainPlacement:
		response = t.explainPlacement(ctx, request)
	}
	if dependsOnCatalogue(request.Operation, response.Outcome) {
		response.CatalogueAge = t.catalogueAge()
	}
	return t.confirmLeadership(request.Operation, response)
}

// catalogueAge returns for how long this leader has answered by the catalogue in force.
func (t *term) catalogueAge() time.Duration {
	version := uint64(0)
	t.options.Replica.View(func(s *state.State) { version = s.Workload.Catalogue.Version })
	return t.catalogueClock.observe(monotonicNow(), version)
}

// confirmLeadership replaces a response that is valid only under the lease by NotLeading if the lease has expired meanwhile.
func (t *term) confirmLeadership(o forwarder.Operation, response forwarder.Response) forwarder.Response {
	if validWithoutLease(o, response.Outcome) || t.leads() {
		return response
	}
	return forwarder.Response{Outcome: forwarder.NotLeading}
}

// validWithoutLease reports whether a response remains valid if the lease expires before it is sent. An acknowledged commit
// stays committed; what was read from the memory of this leader may have been changed by the next one.
func validWithoutLease(o forwarder.Operation, outcome forwarder.Outcome) bool {
	switch outcome {
	case forwarder.Uncertain, forwarder.Invalid:
		return true
	case forwarder.Done:
		return acknowledgesCommit(o)
	default:
		return false
	}
}

// acknowledgesCommit reports whether Done of the operation says that a command is committed, and nothing else.
func acknowledgesCommit(o forwarder.Operation) bool {
	switch o {
	case forwarder.SubmitJob, forwarder.CancelJob, forwarder.Publish, forwarder.OpenWave, forwarder.DrainDataCentre, forwarder.ResumeDataCentre:
		return true
	default: // a state that was read, or an announcement of which only this leader knows the clock
		return false
	}
}

// resolve looks up the queue and the customer of a request in the catalogue. rest is the path after the prefix of the queue,
// version is that of the catalogue; a refusal with an outcome means that the request must not be run.
func (t *term) resolve(request forwarder.Request) (queue workload.Queue, rest string, customer workload.Customer, version uint64, refusal forwarder.Response) {
	t.options.Replica.View(func(s *state.State) {
		c := &s.Workload.Catalogue
		version = c.Version
		if version == 0 {
			refusal = forwarder.Response{Outcome: forwarder.Refused, Detail: "no catalogue yet", RetryAfter: refusedRetryAfter}
			return
		}
		q, remainder, ok := c.MatchQueue(request.Host, request.Path)
		if !ok {
			refusal = forwarder.Response{Outcome: forwarder.UnknownQueue}
			return
		}
		queue, rest = *q, remainder
		u, known := c.CustomerByKey(request.Key)
		if known {
			customer = *u
		}
		if !known && !queue.AuthExempt {
			refusal = forwarder.Response{Outcome: forwarder.KeyMismatch}
		}
	})
	return queue, rest, customer, version, refusal
}

// viewJob calls read with the committed record of a job, or with nil if there is none.
func (t *term) viewJob(id workload.JobID, read func(r *state.JobRecord)) {
	t.options.Replica.View(func(s *state.State) { read(s.Workload.Jobs[id]) })
}

func (t *term) jobExists(id workload.JobID) (exists bool) {
	t.viewJob(id, func(r *state.JobRecord) { exists = r != nil })
	return exists
}

func (t *term) submitJob(ctx context.Context, request forwarder.Request) forwarder.Response {
	queue, rest, customer, version, refusal := t.resolve(request)
	if refusal.Outcome != 0 {
		t.instruments.jobsRefused.Inc(1)
		event.JobRefused.Info(t.options.Logger, zap.String("job", rest), zap.String("host", request.Host), zap.String("path", request.Path),
			zap.Int("reason", int(refusal.Outcome)), zap.Uint64("version", version))
		return refusal
	}
	if rest != string(request.Job.ID) {
		return forwarder.Response{Outcome: forwarder.UnknownQueue}
	}
	if t.jobExists(request.Job.ID) {
		return forwarder.Response{Outcome: forwarder.Done}
	}
	if refusal, ok := reserveJob(t.jobRoom, request.Job); !ok {
		if refusal.Outcome != forwarder.NotLeading {
			t.instruments.jobsRefused.Inc(1)
		}
		return refusal
	}
	command := state.SubmitJob{Job: *request.Job, Queue: queue.Name, Customer: customer.Name, At: state.Timestamp(wallMillis())}
	if t.mayBeHopeless(&queue) {
		return t.examineJob(ctx, command, queue.Pool, version)
	}
	return t.acceptJob(ctx, command, version)
}

// commitAndWait commits a command, runs onCommit in the loop once it is committed, and waits for both until ctx or the term ends.
// replied is false if the wait ended before the reply; the command may still be committed then.
func (t *term) commitAndWait(ctx context.Context, c state.Command, onCommit func()) (replied bool, err error) {
	result := make(chan error, 1)
	t.commitAsync(c, func(_ state.Reply, err error) {
		if err == nil {
			onCommit()
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

func (t *term) cancelJob(ctx context.Context, request forwarder.Request) forwarder.Response {
	_, rest, _, _, refusal := t.resolve(request)
	if refusal.Outcome != 0 {
		return refusal
	}
	id := workload.JobID(rest)
	if !t.awaitAcceptance(ctx, id) {
		return forwarder.Response{Outcome: forwarder.Uncertain}
	}
	if !t.jobExists(id) {
		return forwarder.Response{Outcome: forwarder.UnknownJob}
	}
	replied, err := t.commitAndWait(ctx, state.CancelJob{Job: id, At: state.Timestamp(wallMillis())}, func() { t.scheduler.CancelJob(monotonicNow(), id) })
	if err != nil || !replied {
		return forwarder.Response{Outcome: forwarder.Uncertain}
	}
	event.JobCancelled.Info(t.options.Logger, zap.String("job", rest))
	return forwarder.Response{Outcome: forwarder.Done}
}

// inspectJob reports the phase of a job: from the committed state once it is over, from the scheduler before that.
func (t *term) inspectJob(ctx context.Context, request forwarder.Request) forwarder.Response {
	_, rest, _, _, refusal := t.resolve(request)
	if refusal.Outcome != 0 {
		return refusal
	}
	id := workload.JobID(rest)
	if !t.awaitAcceptance(ctx, id) {
		return forwarder.Response{Outcome: forwarder.NotLeading}
	}
	response := forwarder.Response{Outcome: forwarder.UnknownJob}
	active := false
	t.viewJob(id, func(r *state.JobRecord) {
		if r == nil {
			return
		}
		response.Outcome = forwarder.Done
		switch {
		case r.Failed:
			response.Phase = workload.Failed
		case r.Cancelled:
			response.Phase = workload.Cancelled
		case r.Complete(): // not before the others: the last run of a job that has failed or was cancelled may end as done
			response.Phase = workload.Completed
		default:
			active = true
		}
	})
	if !active {
		return response
	}
	response.Phase = workload.Queued
	if !t.postAndWait(ctx, func() {
		if started, ok := t.scheduler.JobStarted(id); started || !ok {
			response.Phase = workload.Running
		}
	}) {
		return forwarder.Response{Outcome: forwarder.NotLeading}
	}
	return response
}

// countJobs reports how many jobs of a queue are pending.
func (t *term) countJobs(ctx context.Context, request forwarder.Request) forwarder.Response {
	queue, _, _, _, refusal := t.resolve(request)
	if refusal.Outcome != 0 {
		return refusal
	}
	response := forwarder.Response{Outcome: forwarder.Done}
	if !t.postAndWait(ctx, func() { response.Pending = t.scheduler.PendingJobs(queue.Name) }) {
		return forwarder.Response{Outcome: forwarder.NotLeading}
	}
	return response
}

// publishCatalogue validates and commits a catalogue and puts it in force.
func (t *term) publishCatalogue(ctx context.Context, request forwarder.Request) forwarder.Response {
	if err := request.Catalogue.Validate(); err != nil {
		event.CatalogueRefused.Info(t.options.Logger, zap.Uint64("sent-version", request.Catalogue.Version), zap.NamedError("reason", err))
		return forwarder.Response{Outcome: forwarder.Invalid, Detail: err.Error()}
	}
	replied, err := t.commitAndWait(ctx, state.PublishCatalogue{Catalogue: *request.Catalogue, Source: request.Source}, func() {
		t.options.Replica.View(func(s *state.State) {
			c := s.Workload.Catalogue
			t.scheduler.SetCatalogue(&c)
			event.CataloguePublished.Info(t.options.Logger, zap.Uint64("version", c.Version), zap.Uint64("sent-version", request.Catalogue.Version))
		})
		t.ready.Store(true)
	})
	if err != nil || !replied {
		return forwarder.Response{Outcome: forwarder.Uncertain}
	}
	return forwarder.Response{Outcome: forwarder.Done}
}

// fetchCatalogue returns the catalogue in force as it was sent.
func (t *term) fetchCatalogue() forwarder.Response {
	response := forwarder.Response{Outcome: forwarder.Done}
	t.options.Replica.View(func(s *state.State) { response.Source = s.Workload.CatalogueSource })
	if len(response.Source) == 0 {
		return forwarder.Response{Outcome: forwarder.NotLeading}
	}
	return response
}

func (t *term) openWave(ctx context.Context, request forwarder.Request) forwarder.Response {
	if refusal, ok := reserveWave(t.waveRoom, request.Wave); !ok {
		return refusal
	}
	number := request.Wave.Number
	replied, err := t.commitAndWait(ctx, state.AddWave{Wave: *request.Wave, At: state.Timestamp(wallMillis())}, func() {
		t.options.Replica.View(func(s *state.State) { t.scheduler.AddWave(monotonicNow(), wallMillis(), s.Workload.Waves[number]) })
	})
	if err != nil || !replied {
		return forwarder.Response{Outcome: forwarder.Uncertain}
	}
	event.WaveOpened.Info(t.options.Logger, zap.Uint64("wave", number), zap.Int("machines", len(request.Wave.Machines)),
		zap.Int("at-once", request.Wave.MaxConcurrent), zap.Duration("within", request.Wave.TimeLimit))
	return forwarder.Response{Outcome: forwarder.Done}
}

// inspectWave reports whether the maintenance of all machines of a wave has started.
func (t *term) inspectWave(request forwarder.Request) forwarder.Response {
	response := forwarder.Response{Outcome: forwarder.UnknownJob}
	t.options.Replica.View(func(s *state.State) {
		w := s.Workload.Waves[request.Wave.Number]
		if w == nil {
			return
		}
		response.Outcome = forwarder.Done
		response.Finished = w.Finished()
	})
	return response
}
