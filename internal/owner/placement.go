package owner

import (
	"context"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Place requests a placement from the owner of the pool and waits for the ticket.
func (w *Owner) Place(ctx context.Context, request PlacementRequest) (Ticket, error) {
	entry, ok := w.ownerOf(request.Pool)
	if !ok {
		return Ticket{}, fault.New("place", KindNoOwner, "pool %s", request.Pool)
	}
	request.SentAt = w.options.Clock()
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeLeft = time.Until(deadline)
	}
	var t Ticket
	var err error
	if entry == w.options.Entry {
		t = w.placeLocally(ctx, entry, request)
	} else {
		call := w.trackCall(ctx, request.Pool, entry)
		err = w.options.Messenger.Call(call.ctx, entry, topicPlace, request, &t)
		w.untrackCall(call)
	}
	if ctx.Err() != nil {
		return Ticket{Cause: dispatcher.CauseCancelled}, nil
	}
	if err != nil {
		return Ticket{}, &Error{Op: "place", Kind: KindOwnerChanged, Err: err}
	}
	if t.OwnerChanged {
		return Ticket{}, fault.New("place", KindOwnerChanged, "pool %s", request.Pool)
	}
	return t, nil
}

// remoteCall is a placement request in progress at another process. It is cancelled when the pool gets another owner.
type remoteCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	pool   fleet.PoolID
	entry  fleet.EntryID
}

func (w *Owner) trackCall(ctx context.Context, pool fleet.PoolID, entry fleet.EntryID) *remoteCall {
	call := &remoteCall{pool: pool, entry: entry}
	call.ctx, call.cancel = context.WithCancel(ctx)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.remoteCalls[call] = true
	return call
}

func (w *Owner) untrackCall(call *remoteCall) {
	call.cancel()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.remoteCalls, call)
}

// cancelStaleCalls cancels the remote calls whose pool has an owner other than the called process. The caller holds the mutex.
func (w *Owner) cancelStaleCalls(s *state.State) {
	for call := range w.remoteCalls {
		if s.Owners[call.pool].Entry != call.entry {
			call.cancel()
		}
	}
}

// Usable reports whether a ticket is still valid by the clock of this entry.
func (w *Owner) Usable(t Ticket) bool { return w.options.Clock() < t.ValidFrom+t.ValidFor }

func (w *Owner) ownerOf(pool fleet.PoolID) (entry fleet.EntryID, ok bool) {
	w.options.Replica.View(func(s *state.State) {
		var o state.Ownership
		o, ok = s.Owners[pool]
		entry = o.Entry
	})
	return entry, ok
}

func (w *Owner) handlePlacement(ctx context.Context, from fleet.EntryID, payload []byte) (any, error) {
	var request PlacementRequest
	if err := messenger.Codec.Decode(payload, &request); err != nil {
		return nil, err
	}
	return w.placeLocally(ctx, from, request), nil
}

// placeLocally submits a request to the dispatcher of a pool owned by this process and waits for its ticket.
func (w *Owner) placeLocally(ctx context.Context, from fleet.EntryID, request PlacementRequest) Ticket {
	result := make(chan Ticket, 1)
	if !w.enqueue(from, request, result) {
		return Ticket{OwnerChanged: true}
	}
	select {
	case t := <-result:
		return t
	case <-ctx.Done():
		w.cancelPlacement(request, result)
		return Ticket{Cause: dispatcher.CauseCancelled}
	}
}

func (w *Owner) enqueue(from fleet.EntryID, request PlacementRequest, result chan Ticket) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.options.Clock()
	w.lastSentAt[from] = request.SentAt
	p := w.pools[request.Pool]
	if p == nil || w.options.Replica.LeaseLeft() <= 0 {
		return false
	}
	if old, duplicate := p.waiting[request.Request]; duplicate {
		p.dispatcher.Cancel(request.Request)
		old <- Ticket{Cause: dispatcher.CauseCancelled}
	}
	p.waiting[request.Request] = result
	p.dispatcher.Submit(now, dispatcher.Request{
		ID: request.Request, Attempt: request.Attempt, Queue: request.Queue, Customer: request.Customer, Entry: from, Deadline: now + request.TimeLeft, Avoid: request.Avoid,
	})
	p.dispatcher.Place(now)
	w.applyDecisions(p)
	return true
}

// cancelPlacement cancels a request whose entry no longer waits. If it was placed in the meantime, its resources are released.
func (w *Owner) cancelPlacement(request PlacementRequest, result chan Ticket) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	p := w.pools[request.Pool]
	if p == nil {
		return
	}
	if p.waiting[request.Request] == result {
		delete(p.waiting, request.Request)
		p.dispatcher.Cancel(request.Request)
		return
	}
	p.dispatcher.End(w.options.Clock(), request.Attempt, dispatcher.NotCounted, 0)
}

// Track includes an attempt in the entry reports of this process until Finish is called for it.
func (w *Owner) Track(attempt InFlightAttempt) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.inFlight[attempt.Attempt] = attempt
}

// Finish reports the end of an attempt to the owner of its pool, without waiting for delivery.
func (w *Owner) Finish(e AttemptEnd) {
	w.mutex.Lock()
	delete(w.inFlight, e.Attempt)
	w.mutex.Unlock()
	entry, ok := w.ownerOf(e.Pool)
	if !ok {
		return
	}
	if entry == w.options.Entry {
		w.endAttempt(e)
		return
	}
	w.options.Messenger.Send(entry, topicEnd, e)
}

func (w *Owner) handleEnd(_ context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var e AttemptEnd
	if err := messenger.Codec.Decode(payload, &e); err != nil {
		return nil, err
	}
	w.endAttempt(e)
	return nil, nil
}

func (w *Owner) endAttempt(e AttemptEnd) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	p := w.pools[e.Pool]
	if p == nil {
		return
	}
	now := w.options.Clock()
	p.dispatcher.End(now, e.Attempt, e.Outcome, e.HealthyFailures)
	if w.options.Replica.LeaseLeft() > 0 {
		p.dispatcher.Place(now)
	}
	w.applyDecisions(p)
}

// sendReports reports the attempts in flight to every owner.
func (w *Owner) sendReports(now time.Duration) {
	for entry, report := range w.buildReports(now) {
		if entry == w.options.Entry {
			w.applyEntryReport(now, entry, report)
			continue
		}
		w.options.Messenger.Send(entry, topicEntryReport, report)
	}
}

func (w *Owner) buildReports(now time.Duration) map[fleet.EntryID]EntryReport {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	reports := map[fleet.EntryID]EntryReport{}
	w.options.Replica.View(func(s *state.State) {
		for pool, o := range s.Owners {
			report, ok := reports[o.Entry]
			if !ok {
				report = EntryReport{SentAt: now, InFlight: map[fleet.PoolID][]InFlightAttempt{}}
			}
			report.InFlight[pool] = nil
			reports[o.Entry] = report
		}
		for _, attempt := range w.inFlight {
			if o, ok := s.Owners[attempt.Pool]; ok {
				reports[o.Entry].InFlight[attempt.Pool] = append(reports[o.Entry].InFlight[attempt.Pool], attempt)
			}
		}
	})
	return reports
}

func (w *Owner) handleEntryReport(_ context.Context, from fleet.EntryID, payload []byte) (any, error) {
	var report EntryReport
	if err := messenger.Codec.Decode(payload, &report); err != nil {
		return nil, err
	}
	w.applyEntryReport(w.options.Clock(), from, report)
	return nil, nil
}

// applyEntryReport updates the dispatchers of the owned pools from the attempts that an entry has in flight.
func (w *Owner) applyEntryReport(now time.Duration, from fleet.EntryID, report EntryReport) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastSentAt[from] = report.SentAt
	for id, inFlight := range report.InFlight {
		p := w.pools[id]
		if p == nil {
			continue
		}
		attempts := make([]fleet.AttemptID, len(inFlight))
		for i, attempt := range inFlight {
			attempts[i] = attempt.Attempt
			p.adopt(now, from, attempt)
		}
		p.dispatcher.HandleEntryReport(now, from, attempts)
		w.applyDecisions(p)
	}
}
