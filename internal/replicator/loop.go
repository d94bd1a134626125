package replicator

import (
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/raft"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// loop drives the core: it takes inputs, syncs records, sends messages and applies commands.
func (r *Replicator) loop() {
	defer close(r.done)
	defer r.failWaiters(KindUncertain)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.tick()
		case in := <-r.inbox:
			r.drain(in)
		}
		if err := r.work(); err != nil {
			event.JournalFailed.Error(r.options.Logger, zap.Error(err))
			r.failed.Store(&err)
			r.lease.Store(0)
			return
		}
	}
}

func (r *Replicator) tick() {
	now := r.clock()
	r.core.Tick(now)
	r.recruit(now)
	if r.core.Role() == raft.Leader || now-r.lastHello < helloInterval {
		return
	}
	r.lastHello = now
	if r.core.Leader() == "" || time.Duration(r.lease.Load()) < now {
		r.sayHello()
	}
}

// sayHello asks every process that may lead to replicate to this member.
func (r *Replicator) sayHello() {
	hello := r.core.Hello("")
	for _, p := range r.peerNames() {
		r.options.Messenger.Send(p, topicRaft, hello)
	}
	if r.core.Durable() && r.core.Empty() {
		go r.form()
	}
}

func (r *Replicator) peerNames() []fleet.EntryID {
	names := map[fleet.EntryID]bool{}
	for _, p := range r.options.Peers {
		names[p] = true
	}
	for id := range r.state.Members {
		names[id] = true
	}
	for _, v := range r.core.Voters() {
		names[EntryOf(v)] = true
	}
	delete(names, r.options.Entry)
	list := make([]fleet.EntryID, 0, len(names))
	for n := range names {
		list = append(list, n)
	}
	return list
}

// drain handles the input and whatever else waits, proposals as one batch.
func (r *Replicator) drain(in input) {
	var proposals []*proposal
	for range maxDrain {
		switch {
		case in.message != nil:
			r.step(*in.message)
		case in.proposal != nil:
			proposals = append(proposals, in.proposal)
		default:
			in.run()
		}
		select {
		case in = <-r.inbox:
			continue
		default:
		}
		break
	}
	r.propose(proposals)
}

func (r *Replicator) step(m raft.Message) {
	if m.Kind == raft.Hello {
		m.To = r.id
	}
	r.core.Step(r.clock(), m)
}

func (r *Replicator) propose(list []*proposal) {
	if len(list) == 0 {
		return
	}
	records := make([][]byte, len(list))
	for i, p := range list {
		records[i] = p.record
	}
	first, err := r.core.Propose(r.clock(), records...)
	for i, p := range list {
		if err != nil {
			p.reply <- outcome{Kind: KindNoLeader}
			continue
		}
		r.waiters[first+uint64(i)] = waiter{term: r.core.Term(), reply: p.reply}
	}
}

// work does everything that the core asks for.
func (r *Replicator) work() error {
	for r.core.HasReady() {
		ready := r.core.Ready()
		r.sendAll(ready.Immediate)
		if r.options.Journal != nil {
			if err := r.options.Journal.Save(ready); err != nil {
				return err
			}
		}
		r.sendAll(ready.Messages)
		if err := r.apply(ready); err != nil {
			return err
		}
		r.core.Advance(ready)
	}
	r.compact()
	r.publish()
	return nil
}

func (r *Replicator) sendAll(messages []raft.Message) {
	for _, m := range messages {
		r.options.Messenger.Send(EntryOf(m.To), topicRaft, m)
	}
}

func (r *Replicator) apply(ready raft.Ready) error {
	if ready.Restore == nil && len(ready.Committed) == 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s := ready.Restore; s != nil {
		restored, err := state.FromSnapshot(s.Data)
		if err != nil {
			event.StateRefused.Error(r.options.Logger, zap.Error(err))
			return err
		}
		r.state = restored
		r.applied = s.Index
		r.lastSnapshot = s.Index
	}
	for _, e := range ready.Committed {
		r.applyEntry(e)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

func (r *Replicator) applyEntry(e raft.Entry) {
	var reply state.Reply
	if e.Kind == raft.EntryCommand {
		version := r.state.Version
		reply = r.state.Apply(e.Index, e.Data)
		if r.state.Version != version {
			event.ConfigurationSet.Info(r.options.Logger, zap.Uint64("version", r.state.Version), zap.String("digest", r.state.Digest))
		}
	}
	r.applied = e.Index
	w, ok := r.waiters[e.Index]
	if !ok {
		return
	}
	delete(r.waiters, e.Index)
	if w.term != e.Term {
		w.reply <- outcome{Kind: KindNoLeader}
		return
	}
	w.reply <- outcome{Reply: reply}
}

// compact takes a snapshot when the log or the journal has grown.
func (r *Replicator) compact() {
	grown := r.options.Journal != nil && r.options.Journal.Size() > maxJournal && r.applied > r.lastSnapshot
	if r.applied < r.lastSnapshot+compactAfter && !grown {
		return
	}
	data, err := r.state.Snapshot()
	if err != nil {
		event.StateRefused.Error(r.options.Logger, zap.Error(err))
		return
	}
	term, voters := r.core.Boundary(r.applied)
	s := &raft.Snapshot{Index: r.applied, Term: term, Voters: voters, Data: data}
	r.lastSnapshot = s.Index
	r.core.Compact(s, compactKeep)
	event.SnapshotTaken.Info(r.options.Logger, zap.Uint64("index", s.Index), zap.Int("bytes", len(data)))
	if r.options.Journal == nil {
		return
	}
	if err := r.options.Journal.Rotate(r.core.Hard(), s, r.core.Tail(s.Index)); err != nil {
		event.JournalFailed.Error(r.options.Logger, zap.Error(err))
	}
}

// publish makes the role, lease and membership visible to other goroutines.
func (r *Replicator) publish() {
	r.noteRole()
	r.noteLease()
	r.noteLead()
	now := r.clock()
	s := &Status{
		Entry: r.options.Entry, Incarnation: string(r.id), Role: r.core.Role().String(), Term: r.core.Term(),
		Leader: EntryOf(r.core.Leader()), Leading: r.core.LeaseValid(now), Commit: r.core.Commit(), Applied: r.applied,
		clock: now, since: r.core.LeaderSince(),
	}
	for _, v := range r.core.Voters() {
		s.Voters = append(s.Voters, string(v))
	}
	for _, p := range r.core.Peers() {
		s.Peers = append(s.Peers, PeerStatus{
			Member: string(p.ID), Entry: EntryOf(p.ID), Match: p.Match, Applied: p.Applied, Granted: p.Granted, Durable: p.Durable,
		})
	}
	r.status.Store(s)
}

func (r *Replicator) noteRole() {
	if r.core.Role() == r.role && r.core.Leader() == r.leaderSeen {
		return
	}
	r.role, r.leaderSeen = r.core.Role(), r.core.Leader()
	event.RoleChanged.Info(r.options.Logger, zap.Stringer("role", r.role), zap.Uint64("term", r.core.Term()), zap.String("leader", string(r.leaderSeen)))
	if r.role != raft.Leader {
		r.failWaiters(KindUncertain)
	}
}

func (r *Replicator) noteLease() {
	observed := r.core.Observed()
	if observed == 0 {
		return
	}
	till := int64(observed + fleet.StateLease)
	if till > r.lease.Load() {
		r.lease.Store(till)
	}
}

func (r *Replicator) failWaiters(k Kind) {
	for index, w := range r.waiters {
		delete(r.waiters, index)
		w.reply <- outcome{Kind: k}
	}
}
