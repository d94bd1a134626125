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

// Place asks the owner of a pool for a place and waits for the ticket.
func (w *Owner) Place(ctx context.Context, a Ask) (Ticket, error) {
	entry, ok := w.ownerOf(a.Pool)
	if !ok {
		return Ticket{}, fault.New("place", KindNoOwner, "pool %s", a.Pool)
	}
	a.Stamp = w.options.Clock()
	if deadline, ok := ctx.Deadline(); ok {
		a.Left = time.Until(deadline)
	}
	var t Ticket
	var err error
	if entry == w.options.Entry {
		t = w.serve(ctx, entry, a)
	} else {
		asking := w.watch(ctx, a.Pool, entry)
		err = w.options.Messenger.Call(asking.ctx, entry, topicAsk, a, &t)
		w.unwatch(asking)
	}
	if ctx.Err() != nil {
		return Ticket{Cause: dispatcher.CauseCancelled}, nil
	}
	if err != nil {
		return Ticket{}, &Error{Op: "place", Kind: KindMoved, Err: err}
	}
	if t.Moved {
		return Ticket{}, fault.New("place", KindMoved, "pool %s", a.Pool)
	}
	return t, nil
}

// asking is one ask that waits at another process; it is given up when the pool gets another owner.
type asking struct {
	ctx    context.Context
	cancel context.CancelFunc
	pool   fleet.PoolID
	entry  fleet.EntryID
}

func (w *Owner) watch(ctx context.Context, pool fleet.PoolID, entry fleet.EntryID) *asking {
	k := &asking{pool: pool, entry: entry}
	k.ctx, k.cancel = context.WithCancel(ctx)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.asking[k] = true
	return k
}

func (w *Owner) unwatch(k *asking) {
	k.cancel()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.asking, k)
}

// giveUp ends the asks whose pool has another owner than the one asked.
func (w *Owner) giveUp(s *state.State) {
	for k := range w.asking {
		if s.Owners[k.pool].Entry != k.entry {
			k.cancel()
		}
	}
}

// Usable reports whether a ticket may still be acted on.
func (w *Owner) Usable(t Ticket) bool { return w.options.Clock() < t.Echo+t.Life }

func (w *Owner) ownerOf(pool fleet.PoolID) (entry fleet.EntryID, ok bool) {
	w.options.Replica.View(func(s *state.State) {
		var o state.Ownership
		o, ok = s.Owners[pool]
		entry = o.Entry
	})
	return entry, ok
}

func (w *Owner) takeAsk(ctx context.Context, from fleet.EntryID, payload []byte) (any, error) {
	var a Ask
	if err := messenger.Codec.Decode(payload, &a); err != nil {
		return nil, err
	}
	return w.serve(ctx, from, a), nil
}

// serve queues an ask at the dispatcher of an owned pool and waits for its ticket.
func (w *Owner) serve(ctx context.Context, from fleet.EntryID, a Ask) Ticket {
	answer := make(chan Ticket, 1)
	if !w.enqueue(from, a, answer) {
		return Ticket{Moved: true}
	}
	select {
	case t := <-answer:
		return t
	case <-ctx.Done():
		w.withdraw(a, answer)
		return Ticket{Cause: dispatcher.CauseCancelled}
	}
}

func (w *Owner) enqueue(from fleet.EntryID, a Ask, answer chan Ticket) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.options.Clock()
	w.stamps[from] = a.Stamp
	p := w.pools[a.Pool]
	if p == nil || w.options.Replica.LeaseLeft() <= 0 {
		return false
	}
	if old, doubled := p.waiting[a.Request]; doubled {
		p.logic.Cancel(a.Request)
		old <- Ticket{Cause: dispatcher.CauseCancelled}
	}
	p.waiting[a.Request] = answer
	p.logic.Submit(now, dispatcher.Request{
		ID: a.Request, Attempt: a.Attempt, Queue: a.Queue, Customer: a.Customer, Entry: from, Deadline: now + a.Left, Avoid: a.Avoid,
	})
	p.logic.Place(now)
	w.publish(p)
	return true
}

// withdraw cancels an ask whose entry no longer waits; a ticket granted meanwhile is given back.
func (w *Owner) withdraw(a Ask, answer chan Ticket) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	p := w.pools[a.Pool]
	if p == nil {
		return
	}
	if p.waiting[a.Request] == answer {
		delete(p.waiting, a.Request)
		p.logic.Cancel(a.Request)
		return
	}
	p.logic.End(w.options.Clock(), a.Attempt, dispatcher.NotCounted, 0)
}

// Carry notes that this entry holds a ticket, until Finish.
func (w *Owner) Carry(c Carried) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.carried[c.Attempt] = c
}

// Finish tells the owner of the pool that an attempt is over.
func (w *Owner) Finish(e End) {
	w.mutex.Lock()
	delete(w.carried, e.Attempt)
	w.mutex.Unlock()
	entry, ok := w.ownerOf(e.Pool)
	if !ok {
		return
	}
	if entry == w.options.Entry {
		w.end(e)
		return
	}
	w.options.Messenger.Send(entry, topicEnd, e)
}

func (w *Owner) takeEnd(_ context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var e End
	if err := messenger.Codec.Decode(payload, &e); err != nil {
		return nil, err
	}
	w.end(e)
	return nil, nil
}

func (w *Owner) end(e End) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	p := w.pools[e.Pool]
	if p == nil {
		return
	}
	now := w.options.Clock()
	p.logic.End(now, e.Attempt, e.Verdict, e.HealthyFailures)
	if w.options.Replica.LeaseLeft() > 0 {
		p.logic.Place(now)
	}
	w.publish(p)
}

// poll reports the carried attempts to every owner.
func (w *Owner) poll(now time.Duration) {
	for entry, p := range w.polls(now) {
		if entry == w.options.Entry {
			w.report(now, entry, p)
			continue
		}
		w.options.Messenger.Send(entry, topicPoll, p)
	}
}

func (w *Owner) polls(now time.Duration) map[fleet.EntryID]Poll {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	polls := map[fleet.EntryID]Poll{}
	w.options.Replica.View(func(s *state.State) {
		for pool, o := range s.Owners {
			p, ok := polls[o.Entry]
			if !ok {
				p = Poll{Stamp: now, Carried: map[fleet.PoolID][]Carried{}}
			}
			p.Carried[pool] = nil
			polls[o.Entry] = p
		}
		for _, c := range w.carried {
			if o, ok := s.Owners[c.Pool]; ok {
				polls[o.Entry].Carried[c.Pool] = append(polls[o.Entry].Carried[c.Pool], c)
			}
		}
	})
	return polls
}

func (w *Owner) takePoll(_ context.Context, from fleet.EntryID, payload []byte) (any, error) {
	var p Poll
	if err := messenger.Codec.Decode(payload, &p); err != nil {
		return nil, err
	}
	w.report(w.options.Clock(), from, p)
	return nil, nil
}

// report takes in what an entry carries.
func (w *Owner) report(now time.Duration, from fleet.EntryID, poll Poll) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stamps[from] = poll.Stamp
	for id, carried := range poll.Carried {
		p := w.pools[id]
		if p == nil {
			continue
		}
		attempts := make([]fleet.AttemptID, len(carried))
		for i, c := range carried {
			attempts[i] = c.Attempt
			p.adopt(now, from, c)
		}
		p.logic.HandleEntryReport(now, from, attempts)
		w.publish(p)
	}
}
