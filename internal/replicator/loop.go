package replicator

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/journaler"
	"github.com/sapphiresail/sapphiresail/internal/raft"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// loop is the event loop, the only goroutine that uses the Raft state machine: it handles inputs, syncs records, sends messages
// and applies commands.
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
		case m := <-r.messages:
			r.handleInputs(input{message: &m})
		case in := <-r.inbox:
			r.handleInputs(in)
		}
		if err := r.processReady(); err != nil {
			event.JournalFailed.Error(r.options.Logger, zap.Error(err))
			r.failure.Store(&err)
			r.leaseUntil.Store(0)
			return
		}
	}
}

func (r *Replicator) tick() {
	now := r.clock()
	r.raft.Tick(now)
	r.publishPeers()
	r.reconcileVoters(now)
	if r.raft.Role() == raft.Leader || now-r.lastJoin < joinInterval {
		return
	}
	r.lastJoin = now
	if r.raft.Leader() == "" || time.Duration(r.leaseUntil.Load()) < now {
		r.sendJoin()
	}
}

// sendJoin requests replication from every process that may lead, and starts the bootstrap on an empty durable member.
func (r *Replicator) sendJoin() {
	join := r.raft.JoinMessage("")
	for _, p := range r.peerEntries() {
		r.options.Messenger.Send(p, topicRaft, join)
	}
	if r.raft.Durable() && r.raft.IsEmpty() {
		go r.bootstrapGroup()
	}
}

func (r *Replicator) peerEntries() []fleet.EntryID {
	entries := map[fleet.EntryID]bool{}
	for _, p := range r.options.Peers {
		entries[p] = true
	}
	for id := range r.state.Members {
		entries[id] = true
	}
	for _, v := range r.raft.Voters() {
		entries[EntryOf(v)] = true
	}
	delete(entries, r.options.Entry)
	list := make([]fleet.EntryID, 0, len(entries))
	for n := range entries {
		list = append(list, n)
	}
	return list
}

// handleInputs handles an input and further queued ones, at most maxBatchInputs, with the proposals among them as one batch.
func (r *Replicator) handleInputs(in input) {
	var proposals []*proposal
	for handled := 1; ; handled++ {
		switch {
		case in.message != nil:
			r.step(*in.message)
		case in.proposal != nil:
			proposals = append(proposals, in.proposal)
		default:
			in.callback()
		}
		if handled == maxBatchInputs || !r.takeInput(&in) {
			break
		}
	}
	r.propose(proposals)
}

// takeInput takes the next message, or the next input if there is none, or reports that there is neither.
func (r *Replicator) takeInput(in *input) bool {
	select {
	case m := <-r.messages:
		*in = input{message: &m}
		return true
	default:
	}
	select {
	case *in = <-r.inbox:
		return true
	default:
		return false
	}
}

func (r *Replicator) step(m raft.Message) {
	if m.Kind == raft.Join {
		if r.passOnJoin(m) {
			return
		}
		m.To = r.id
	}
	if err := r.raft.Step(r.clock(), m); err != nil {
		event.MessageRefused.Warn(r.options.Logger, zap.String("from", string(m.From)), zap.NamedError("reason", err))
	}
}

// passOnJoin passes the request of a newcomer on to the leader, and reports whether it did: the members that a newcomer is told of need not
// lead. A request that was passed on names its receiver and is not passed on again.
func (r *Replicator) passOnJoin(m raft.Message) bool {
	leader := r.raft.Leader()
	if r.raft.Role() == raft.Leader || leader == "" || m.To != "" {
		return false
	}
	m.To = leader
	r.options.Messenger.Send(EntryOf(leader), topicRaft, m)
	return true
}

func (r *Replicator) propose(proposals []*proposal) {
	if len(proposals) == 0 {
		return
	}
	records := make([][]byte, len(proposals))
	for i, p := range proposals {
		records[i] = p.record
	}
	first, err := r.raft.Propose(r.clock(), records...)
	for i, p := range proposals {
		if err != nil {
			p.reply <- outcome{Kind: KindNoLeader}
			continue
		}
		r.waiters[first+uint64(i)] = waiter{term: r.raft.Term(), reply: p.reply}
	}
}

// processReady completes all outstanding work of the Raft state machine, then compacts the log and publishes the status.
func (r *Replicator) processReady() error {
	for r.raft.HasReady() {
		ready := r.raft.Ready()
		r.sendAll(ready.Immediate)
		if r.options.Journal != nil {
			if err := r.save(ready); err != nil {
				return err
			}
		}
		r.sendAll(ready.Messages)
		if err := r.apply(ready); err != nil {
			return err
		}
		r.raft.Advance(ready)
	}
	r.compact()
	r.publishStatus()
	return nil
}

// save writes the records of a Ready to the journal. While the disk is full it waits for room: nothing is acknowledged meanwhile, a leader
// loses its lease, and the others go on.
func (r *Replicator) save(ready raft.Ready) error {
	err := r.options.Journal.Save(ready)
	if !errors.Is(err, journaler.KindNoRoom) {
		return err
	}
	since := r.clock()
	event.JournalFull.Error(r.options.Logger, zap.Error(err))
	ticker := time.NewTicker(fullDiskRetryInterval)
	defer ticker.Stop()
	for errors.Is(err, journaler.KindNoRoom) {
		select {
		case <-r.ctx.Done():
			return err
		case <-ticker.C:
		}
		err = r.options.Journal.Save(ready)
	}
	if err == nil {
		event.JournalWritable.Info(r.options.Logger, zap.Duration("after", r.clock()-since))
	}
	return err
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
			event.SnapshotFailed.Error(r.options.Logger, zap.Error(err))
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
		version := r.state.ConfigVersion
		reply = r.state.Apply(e.Index, e.Data)
		if r.state.ConfigVersion != version {
			event.ConfigurationApplied.Info(r.options.Logger, zap.Uint64("version", r.state.ConfigVersion), zap.String("digest", r.state.ConfigDigest))
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

// compact takes a snapshot and compacts the log after compactAfterEntries entries or when the journal has grown by maxJournalBytes since.
func (r *Replicator) compact() {
	grown := r.options.Journal != nil && r.options.Journal.Grown() > maxJournalBytes && r.applied > r.lastSnapshot
	if r.applied < r.lastSnapshot+compactAfterEntries && !grown {
		return
	}
	data, err := r.state.Snapshot()
	if err != nil {
		event.SnapshotFailed.Error(r.options.Logger, zap.Error(err))
		return
	}
	term, voters := r.raft.SnapshotMetadata(r.applied)
	s := &raft.Snapshot{Index: r.applied, Term: term, Voters: voters, Data: data}
	r.lastSnapshot = s.Index
	r.raft.Compact(s, compactTrailingEntries, compactTrailingBytes)
	event.SnapshotTaken.Info(r.options.Logger, zap.Uint64("index", s.Index), zap.Int("bytes", len(data)))
	if r.options.Journal == nil {
		return
	}
	if err := r.options.Journal.Rotate(r.raft.HardState(), s, r.raft.EntriesAfter(s.Index)); err != nil {
		event.JournalFailed.Error(r.options.Logger, zap.Error(err))
	}
}

// publishStatus publishes the role, leases and membership to other goroutines.
func (r *Replicator) publishStatus() {
	r.updateRole()
	r.updateLease()
	r.updateLeadership()
	now := r.clock()
	s := &Status{
		Entry: r.options.Entry, Incarnation: string(r.id), Role: r.raft.Role().String(), Term: r.raft.Term(),
		Leader: EntryOf(r.raft.Leader()), Leading: r.raft.LeaderLeaseValid(now), Commit: r.raft.Commit(), Applied: r.applied,
		takenAt: now, leaderSince: r.raft.LeaderSince(),
	}
	for _, v := range r.raft.Voters() {
		s.Voters = append(s.Voters, string(v))
	}
	for _, p := range r.raft.Peers() {
		s.Peers = append(s.Peers, PeerStatus{
			Member: string(p.ID), Entry: EntryOf(p.ID), Match: p.MatchIndex, Applied: p.AppliedIndex, LeaseGranted: p.LeaseGranted, Durable: p.Durable,
		})
	}
	r.status.Store(s)
}

func (r *Replicator) updateRole() {
	if r.raft.Role() == r.role && r.raft.Leader() == r.lastLeader {
		return
	}
	r.role, r.lastLeader = r.raft.Role(), r.raft.Leader()
	event.RoleChanged.Info(r.options.Logger, zap.Stringer("role", r.role), zap.Uint64("term", r.raft.Term()), zap.String("leader", string(r.lastLeader)))
	if r.role != raft.Leader {
		r.failWaiters(KindUncertain)
	}
}

func (r *Replicator) updateLease() {
	leaseStart := r.raft.StateLeaseStart()
	if leaseStart == 0 {
		return
	}
	leaseUntil := int64(leaseStart + fleet.StateLease)
	if leaseUntil > r.leaseUntil.Load() {
		r.leaseUntil.Store(leaseUntil)
	}
}

func (r *Replicator) failWaiters(k Kind) {
	for index, w := range r.waiters {
		delete(r.waiters, index)
		w.reply <- outcome{Kind: k}
	}
}
