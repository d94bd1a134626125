package raft

import (
	"slices"
	"time"
)

func (r *Raft) updateVoters() { r.voters = r.log.votersAt(r.log.lastIndex()) }

// AddVoter proposes to promote a durable learner that is caught up to voter.
func (r *Raft) AddVoter(now time.Duration, id ID) error {
	p := r.peers[id]
	if p == nil && r.role == Leader {
		return &Error{Op: "add " + string(id), Kind: KindNotCaughtUp}
	}
	if p != nil && (!p.durable || !r.CaughtUp(id)) {
		return &Error{Op: "add " + string(id), Kind: KindNotCaughtUp}
	}
	if r.isVoter(id) {
		return &Error{Op: "add " + string(id), Kind: KindInvalidChange}
	}
	return r.changeVoters(now, append(r.Voters(), id))
}

// RemoveVoter proposes to remove a voter.
func (r *Raft) RemoveVoter(now time.Duration, id ID) error {
	if r.role == Leader && (!r.isVoter(id) || len(r.voters) == 1) {
		return &Error{Op: "remove " + string(id), Kind: KindInvalidChange}
	}
	return r.changeVoters(now, slices.DeleteFunc(r.Voters(), func(v ID) bool { return v == id }))
}

func (r *Raft) changeVoters(now time.Duration, voters []ID) error {
	r.now = now
	if r.role != Leader || r.transferee != "" {
		return &Error{Op: "change membership", Kind: KindNotLeader}
	}
	if t, _ := r.log.term(r.hardState.Commit); t != r.hardState.Term || r.log.membershipIndex() > r.hardState.Commit {
		return &Error{Op: "change membership", Kind: KindChangePending}
	}
	r.log.appendEntries([]Entry{{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, Kind: EntryMembership, Voters: voters}})
	r.updateVoters()
	for _, v := range r.voters {
		if v != r.id && r.peers[v] == nil {
			r.peers[v] = &peer{nextIndex: r.log.lastIndex() + 1, ackedSentAt: never, lastContact: r.now, backtrackedAt: never}
		}
	}
	r.broadcast()
	return nil
}

// CaughtUp reports whether this member leads and knows that id has the committed entries, but for those that one message brings.
func (r *Raft) CaughtUp(id ID) bool {
	return r.role == Leader && r.matchIndexOf(id)+r.allowedLag() >= r.hardState.Commit
}

// allowedLag returns how many committed entries a member may lack to count as caught up. With lazy commits a learner lacks those since
// the last heartbeat; once it is a voter it gets them with its first message.
func (r *Raft) allowedLag() uint64 {
	if r.lazyCommits {
		return maxLearnerLag
	}
	return 0
}

// MembershipCommitted reports whether the newest membership entry is committed.
func (r *Raft) MembershipCommitted() bool { return r.log.membershipIndex() <= r.hardState.Commit }
