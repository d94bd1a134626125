package raft

import (
	"slices"
	"time"
)

// never is a time before every clock reading.
const never = time.Duration(-1 << 62)

// peer is the leader's replication state of another member.
type peer struct {
	matchIndex  uint64
	nextIndex   uint64
	ackedSentAt time.Duration
	lastContact time.Duration
	// clock is the reading in the reply to the latest message, which was sent at clockSentAt. The clock of a member begins anew when it restarts.
	clock           time.Duration
	clockSentAt     time.Duration
	clockReceivedAt time.Duration
	leaseGranted    time.Duration
	durable         bool
	appliedIndex    uint64
	// backtrackedAt is when nextIndex was last moved back; rejections of messages sent before that are outdated.
	backtrackedAt time.Duration
	// snapshot is the snapshot being sent, or nil; snapshotOffset is the offset of the chunk under way in bytes, sent at chunkSentAt.
	snapshot       *Snapshot
	snapshotOffset uint64
	chunkSentAt    time.Duration
}

// Propose appends commands to the log of the leader and returns the index of the first one.
func (r *Raft) Propose(now time.Duration, commands ...[]byte) (uint64, error) {
	r.now = now
	if r.role != Leader || r.transferee != "" {
		return 0, &Error{Op: "propose", Kind: KindNotLeader}
	}
	if r.log.lastIndex()-r.hardState.Commit > maxUncommittedEntries {
		return 0, &Error{Op: "propose", Kind: KindOverloaded}
	}
	first := r.log.lastIndex() + 1
	entries := make([]Entry, len(commands))
	for i, c := range commands {
		entries[i] = Entry{Index: first + uint64(i), Term: r.hardState.Term, Kind: EntryCommand, Data: c}
	}
	r.log.appendEntries(entries)
	r.broadcast()
	return first, nil
}

func (r *Raft) broadcast() {
	for id, p := range r.peers {
		if r.awaitsEntries(id, p) {
			r.sendAppend(id, p, false)
		}
	}
	if len(r.voters) == 1 {
		r.advanceCommit()
	}
}

// awaitsEntries reports whether new entries are sent to a peer at once. With lazy commits a learner that is nearly up to date gets
// them with the next heartbeat: no commit waits for it.
func (r *Raft) awaitsEntries(id ID, p *peer) bool {
	return !r.lazyCommits || r.isVoter(id) || p.snapshot != nil || p.matchIndex+maxLearnerLag < r.log.lastIndex()
}

func (r *Raft) sendAppend(id ID, p *peer, heartbeat bool) {
	if p.snapshot != nil || p.nextIndex <= r.log.compactedIndex {
		r.sendSnapshotChunk(id, p)
		return
	}
	for {
		entries := r.nextBatch(p)
		if len(entries) == 0 && !heartbeat {
			return
		}
		heartbeat = false
		prevIndex := p.nextIndex - 1
		prevTerm, _ := r.log.term(prevIndex)
		p.nextIndex += uint64(len(entries))
		r.immediate = append(r.immediate, Message{
			Kind: Append, From: r.id, To: id, Term: r.hardState.Term, Index: prevIndex, LogTerm: prevTerm,
			Entries: entries, Commit: r.hardState.Commit, SentAt: r.now, EchoedClock: r.grantStateLease(p),
		})
	}
}

// nextBatch returns the next entries to send to a peer: none if it has not replied within the election timeout, and at most
// maxInFlightEntries unacknowledged ones.
func (r *Raft) nextBatch(p *peer) []Entry {
	if r.now-p.lastContact > r.electionTimeout {
		return nil
	}
	last := min(r.log.lastIndex(), p.nextIndex+maxBatchEntries-1, p.matchIndex+maxInFlightEntries)
	entries := r.log.slice(p.nextIndex, last)
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxBatchBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (r *Raft) stepAppend(m Message) {
	if r.role == Leader {
		return
	}
	r.recordLeaderContact(m)
	if m.Index < r.hardState.Commit && m.Index < r.log.compactedIndex {
		r.send(Message{Kind: AppendReply, To: m.From, Index: r.hardState.Commit, SentAt: m.SentAt})
		return
	}
	term, ok := r.log.term(m.Index)
	if !ok || term != m.LogTerm {
		hint := min(r.log.lastIndex(), m.Index-1)
		r.send(Message{Kind: AppendReply, To: m.From, Index: m.Index, Reject: true, RejectHint: max(hint, r.hardState.Commit), SentAt: m.SentAt})
		return
	}
	r.log.appendEntries(m.Entries)
	r.updateVoters()
	lastNew := m.Index + uint64(len(m.Entries))
	r.hardState.Commit = max(r.hardState.Commit, min(m.Commit, lastNew))
	r.renewStateLease(m)
	r.send(Message{Kind: AppendReply, To: m.From, Index: lastNew, SentAt: m.SentAt})
}

func (r *Raft) recordLeaderContact(m Message) {
	if r.role != Follower {
		r.becomeFollower(m.Term, m.From)
	}
	r.leader = m.From
	r.lastLeaderContact = r.now
	r.resetElectionDeadline()
}

// renewStateLease renews the state lease if this member has all entries that were committed when the lease was granted. A reading that this
// process has not reached is one of the process before.
func (r *Raft) renewStateLease(m Message) {
	if m.EchoedClock > 0 && m.EchoedClock <= r.now && r.hardState.Commit >= m.Commit {
		r.stateLeaseStart = max(r.stateLeaseStart, m.EchoedClock)
	}
}

func (r *Raft) stepAppendReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	r.recordReply(p, m)
	if m.Reject {
		if p.snapshot != nil || m.Index <= p.matchIndex || m.SentAt < p.backtrackedAt {
			return
		}
		p.backtrackedAt = r.now
		p.nextIndex = max(min(m.RejectHint+1, p.nextIndex), p.matchIndex+1)
		r.sendAppend(m.From, p, true)
		return
	}
	if p.snapshot != nil && m.Index >= p.snapshot.Index {
		p.snapshot = nil
		p.nextIndex = m.Index + 1
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.nextIndex = max(p.nextIndex, m.Index+1)
		r.advanceCommit()
	}
	if r.awaitsEntries(m.From, p) {
		r.sendAppend(m.From, p, false)
	}
	r.continueTransfer()
}

func (r *Raft) recordReply(p *peer, m Message) {
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	p.lastContact = r.now
	if m.SentAt > p.clockSentAt || m.SentAt == p.clockSentAt && m.Clock > p.clock {
		p.clock, p.clockSentAt, p.clockReceivedAt = m.Clock, m.SentAt, r.now
	}
	p.durable = m.Durable
	p.appliedIndex = max(p.appliedIndex, m.Commit)
}

func (r *Raft) advanceCommit() {
	matchIndexes := make([]uint64, 0, len(r.voters))
	for _, v := range r.voters {
		matchIndexes = append(matchIndexes, r.matchIndexOf(v))
	}
	slices.Sort(matchIndexes)
	if len(matchIndexes) == 0 {
		return
	}
	index := matchIndexes[len(matchIndexes)-r.quorum()]
	if t, _ := r.log.term(index); index <= r.hardState.Commit || t != r.hardState.Term {
		return
	}
	r.hardState.Commit = index
	if !r.isVoter(r.id) && r.log.membershipIndex() <= index {
		r.broadcastHeartbeat()
		r.becomeFollower(r.hardState.Term, "")
		return
	}
	if !r.lazyCommits {
		r.broadcastHeartbeat()
	}
}

func (r *Raft) broadcastHeartbeat() {
	for id, p := range r.peers {
		r.sendAppend(id, p, true)
	}
}

func (r *Raft) matchIndexOf(id ID) uint64 {
	if id == r.id {
		return r.log.syncedIndex
	}
	if p := r.peers[id]; p != nil {
		return p.matchIndex
	}
	return 0
}

// stepJoin starts replication to a learner if this member leads.
func (r *Raft) stepJoin(m Message) {
	if r.role != Leader {
		return
	}
	p := r.peers[m.From]
	if p == nil {
		p = &peer{nextIndex: r.log.lastIndex() + 1, ackedSentAt: never, backtrackedAt: never}
		r.peers[m.From] = p
	}
	p.lastContact = r.now
	r.sendAppend(m.From, p, true)
}

// JoinMessage returns the message with which a learner requests replication from a member.
func (r *Raft) JoinMessage(to ID) Message {
	return Message{Kind: Join, From: r.id, To: to, Durable: r.durable}
}
