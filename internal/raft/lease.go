package raft

import (
	"cmp"
	"slices"
	"time"
)

// quorumStamp returns the latest moment of the leader's clock by which a quorum had answered it.
func (r *Raft) quorumAckedAt() time.Duration {
	ackedTimes := make([]time.Duration, 0, len(r.voters))
	for _, v := range r.voters {
		ackedAt := never
		if v == r.id {
			ackedAt = r.now
		} else if p := r.peers[v]; p != nil {
			ackedAt = p.ackedSentAt
		}
		ackedTimes = append(ackedTimes, ackedAt)
	}
	slices.Sort(ackedTimes)
	if len(ackedTimes) == 0 {
		return r.now
	}
	return ackedTimes[len(ackedTimes)-r.quorum()]
}

// LeaseValid reports whether no other leader can exist at clock now.
func (r *Raft) LeaderLeaseValid(now time.Duration) bool { return now < r.LeaderLeaseUntil() }

// LeaseUntil returns the moment until which no other leader can exist, or zero for a member that does not lead.
func (r *Raft) LeaderLeaseUntil() time.Duration {
	if r.role != Leader || r.transferee != "" {
		return 0
	}
	if t, _ := r.log.term(r.hardState.Commit); t != r.hardState.Term {
		return 0
	}
	duration := time.Duration(float64(r.electionTimeout) * (1 - 2*r.clockDrift))
	return r.quorumAckedAt() + duration
}

// grant returns the echo that renews the peer's state lease, or zero when no lease may be granted.
//
// The lease counts from the echoed moment of the peer's clock, so repeating an echo that was lost grants nothing new.
func (r *Raft) grantStateLease(p *peer) time.Duration {
	if p.clock == 0 || !r.LeaderLeaseValid(r.now) {
		return 0
	}
	p.leaseGranted = p.clockReceivedAt
	return p.clock
}

// Observed returns the moment of this member's clock from which its state lease counts.
func (r *Raft) StateLeaseStart() time.Duration {
	if r.LeaderLeaseValid(r.now) {
		return r.now
	}
	return r.stateLeaseStart
}

// Peer is what the leader knows of another member.
type Peer struct {
	ID           ID
	MatchIndex   uint64
	AppliedIndex uint64
	LeaseGranted time.Duration
	LastContact  time.Duration
	Durable      bool
}

// Peers returns the members the leader replicates to, in order of their ids.
func (r *Raft) Peers() []Peer {
	list := make([]Peer, 0, len(r.peers))
	for id, p := range r.peers {
		list = append(list, Peer{ID: id, MatchIndex: p.matchIndex, AppliedIndex: p.appliedIndex, LeaseGranted: p.leaseGranted, LastContact: p.lastContact, Durable: p.durable})
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
