package raft

import (
	"slices"
	"time"
)

func (r *Raft) recompute() { r.voters = r.log.votersAt(r.log.last()) }

// AddVoter proposes that an observer that holds the committed state becomes a voter.
func (r *Raft) AddVoter(now time.Duration, id ID) error {
	p := r.peers[id]
	if p == nil && r.role == Leader {
		return &Error{Op: "add " + string(id), Kind: KindBehind}
	}
	if p != nil && (!p.durable || p.match < r.hard.Commit) {
		return &Error{Op: "add " + string(id), Kind: KindBehind}
	}
	if r.isVoter(id) {
		return &Error{Op: "add " + string(id), Kind: KindMember}
	}
	return r.changeVoters(now, append(r.Voters(), id))
}

// RemoveVoter proposes that a voter leaves the membership.
func (r *Raft) RemoveVoter(now time.Duration, id ID) error {
	if r.role == Leader && (!r.isVoter(id) || len(r.voters) == 1) {
		return &Error{Op: "remove " + string(id), Kind: KindMember}
	}
	return r.changeVoters(now, slices.DeleteFunc(r.Voters(), func(v ID) bool { return v == id }))
}

func (r *Raft) changeVoters(now time.Duration, voters []ID) error {
	r.now = now
	if r.role != Leader || r.transfer != "" {
		return &Error{Op: "change membership", Kind: KindNotLeader}
	}
	if t, _ := r.log.term(r.hard.Commit); t != r.hard.Term || r.log.membershipIndex() > r.hard.Commit {
		return &Error{Op: "change membership", Kind: KindPending}
	}
	r.log.add([]Entry{{Index: r.log.last() + 1, Term: r.hard.Term, Kind: EntryMembership, Voters: voters}})
	r.recompute()
	for _, v := range r.voters {
		if v != r.id && r.peers[v] == nil {
			r.peers[v] = &peer{next: r.log.last() + 1, stamp: never, seen: r.now, rolled: never}
		}
	}
	r.broadcast()
	return nil
}

// Holds reports whether the leader knows that id holds everything committed.
func (r *Raft) Holds(id ID) bool {
	return r.role == Leader && r.matchOf(id) >= r.hard.Commit
}

// Settled reports whether the newest membership is committed.
func (r *Raft) Settled() bool { return r.log.membershipIndex() <= r.hard.Commit }
