package raft

import (
	"slices"
	"time"
)

// never is a moment before every clock value.
const never = time.Duration(-1 << 62)

// peer is what a leader knows of another member.
type peer struct {
	match   uint64
	next    uint64
	stamp   time.Duration
	seen    time.Duration
	clock   time.Duration
	clockAt time.Duration
	granted time.Duration
	durable bool
	applied uint64
	// rolled is when next was last moved back; rejections of older messages tell nothing new.
	rolled time.Duration
	// parting is the snapshot being sent and offset its next part.
	parting *Snapshot
	offset  uint64
}

// Propose appends commands to the log of the leader and returns the index of the first.
func (r *Raft) Propose(now time.Duration, commands ...[]byte) (uint64, error) {
	r.now = now
	if r.role != Leader || r.transfer != "" {
		return 0, &Error{Op: "propose", Kind: KindNotLeader}
	}
	if r.log.last()-r.hard.Commit > maxWindow {
		return 0, &Error{Op: "propose", Kind: KindOverload}
	}
	first := r.log.last() + 1
	entries := make([]Entry, len(commands))
	for i, c := range commands {
		entries[i] = Entry{Index: first + uint64(i), Term: r.hard.Term, Kind: EntryCommand, Data: c}
	}
	r.log.add(entries)
	r.broadcast()
	return first, nil
}

func (r *Raft) broadcast() {
	for id, p := range r.peers {
		r.sendAppend(id, p, false)
	}
	if len(r.voters) == 1 {
		r.advanceCommit()
	}
}

func (r *Raft) sendAppend(id ID, p *peer, beat bool) {
	if p.parting != nil || p.next <= r.log.base {
		r.sendPart(id, p, beat)
		return
	}
	for {
		entries := r.batch(p)
		if len(entries) == 0 && !beat {
			return
		}
		beat = false
		previous := p.next - 1
		term, _ := r.log.term(previous)
		p.next += uint64(len(entries))
		r.immediate = append(r.immediate, Message{
			Kind: Append, From: r.id, To: id, Term: r.hard.Term, Index: previous, LogTerm: term,
			Entries: entries, Commit: r.hard.Commit, Sent: r.now, Echo: r.grant(p),
		})
	}
}

// batch returns the next entries for a peer: none to one that is silent, and no more than it may have unanswered.
func (r *Raft) batch(p *peer) []Entry {
	if r.now-p.seen > r.election {
		return nil
	}
	last := min(r.log.last(), p.next+maxBatch-1, p.match+maxInFlight)
	entries := r.log.slice(p.next, last)
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
	r.hearLeader(m)
	if m.Index < r.hard.Commit && m.Index < r.log.base {
		r.send(Message{Kind: AppendReply, To: m.From, Index: r.hard.Commit, Sent: m.Sent})
		return
	}
	term, ok := r.log.term(m.Index)
	if !ok || term != m.LogTerm {
		hint := min(r.log.last(), m.Index-1)
		r.send(Message{Kind: AppendReply, To: m.From, Index: m.Index, Reject: true, Hint: max(hint, r.hard.Commit), Sent: m.Sent})
		return
	}
	r.log.add(m.Entries)
	r.recompute()
	end := m.Index + uint64(len(m.Entries))
	r.hard.Commit = max(r.hard.Commit, min(m.Commit, end))
	r.renew(m)
	r.send(Message{Kind: AppendReply, To: m.From, Index: end, Sent: m.Sent})
}

func (r *Raft) hearLeader(m Message) {
	if r.role != Follower {
		r.follow(m.Term, m.From)
	}
	r.leader = m.From
	r.heard = r.now
	r.resetDeadline()
}

// renew extends the state lease once everything committed before the grant is held.
func (r *Raft) renew(m Message) {
	if m.Echo > 0 && r.hard.Commit >= m.Commit {
		r.observed = max(r.observed, m.Echo)
	}
}

func (r *Raft) stepAppendReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	r.noteReply(p, m)
	if m.Reject {
		if p.parting != nil || m.Index <= p.match || m.Sent < p.rolled {
			return
		}
		p.rolled = r.now
		p.next = max(min(m.Hint+1, p.next), p.match+1)
		r.sendAppend(m.From, p, true)
		return
	}
	if p.parting != nil && m.Index >= p.parting.Index {
		p.parting = nil
		p.next = m.Index + 1
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
		r.advanceCommit()
	}
	r.sendAppend(m.From, p, false)
	r.continueTransfer()
}

func (r *Raft) noteReply(p *peer, m Message) {
	p.stamp = max(p.stamp, m.Sent)
	p.seen = r.now
	if m.Clock > p.clock {
		p.clock, p.clockAt = m.Clock, r.now
	}
	p.durable = m.Durable
	p.applied = max(p.applied, m.Commit)
}

func (r *Raft) advanceCommit() {
	matches := make([]uint64, 0, len(r.voters))
	for _, v := range r.voters {
		matches = append(matches, r.matchOf(v))
	}
	slices.Sort(matches)
	if len(matches) == 0 {
		return
	}
	index := matches[len(matches)-r.quorum()]
	if t, _ := r.log.term(index); index <= r.hard.Commit || t != r.hard.Term {
		return
	}
	r.hard.Commit = index
	if !r.isVoter(r.id) && r.log.membershipIndex() <= index {
		r.beatAll()
		r.follow(r.hard.Term, "")
		return
	}
	r.beatAll()
}

func (r *Raft) beatAll() {
	for id, p := range r.peers {
		r.sendAppend(id, p, true)
	}
}

func (r *Raft) matchOf(id ID) uint64 {
	if id == r.id {
		return r.log.synced
	}
	if p := r.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// stepHello admits an observer at the leader.
func (r *Raft) stepHello(m Message) {
	if r.role != Leader {
		return
	}
	p := r.peers[m.From]
	if p == nil {
		p = &peer{next: r.log.last() + 1, stamp: never, rolled: never}
		r.peers[m.From] = p
	}
	p.seen = r.now
	r.sendAppend(m.From, p, true)
}

// Hello returns the message by which an observer asks a member to replicate to it.
func (r *Raft) Hello(to ID) Message {
	return Message{Kind: Hello, From: r.id, To: to, Durable: r.durable}
}
