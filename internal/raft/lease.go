package raft

import (
	"cmp"
	"slices"
	"time"
)

// quorumAckedAt returns the latest leader clock reading t for which a quorum has acknowledged a message sent at t or later.
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

// LeaderLeaseValid reports whether this member holds the leader lease at now, so that no other leader can exist.
func (r *Raft) LeaderLeaseValid(now time.Duration) bool { return now < r.LeaderLeaseUntil() }

// LeaderLeaseUntil returns the expiry of the leader lease, until which no other leader can exist. It returns zero if this member
// does not lead, transfers its leadership or has not committed an entry of its term yet.
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

// grantStateLease returns the EchoedClock that renews the peer's state lease, or zero if no lease may be granted.
//
// The lease counts from that reading of the peer's clock, so repeating one that was lost does not extend the lease.
func (r *Raft) grantStateLease(p *peer) time.Duration {
	if p.clock == 0 || !r.LeaderLeaseValid(r.now) {
		return 0
	}
	p.leaseGranted = p.clockReceivedAt
	return p.clock
}

// StateLeaseStart returns the reading of this member's clock from which its state lease counts.
func (r *Raft) StateLeaseStart() time.Duration {
	if r.LeaderLeaseValid(r.now) {
		return r.now
	}
	return r.stateLeaseStart
}

// Peer is the leader's view of another member; LeaseGranted and LastContact are readings of the leader's clock.
type Peer struct {
	ID           ID
	MatchIndex   uint64
	AppliedIndex uint64
	LeaseGranted time.Duration
	LastContact  time.Duration
	Durable      bool
}

// Peers returns the members that the leader replicates to, sorted by id.
func (r *Raft) Peers() []Peer {
	list := make([]Peer, 0, len(r.peers))
	for id, p := range r.peers {
		list = append(list, Peer{ID: id, MatchIndex: p.matchIndex, AppliedIndex: p.appliedIndex, LeaseGranted: p.leaseGranted, LastContact: p.lastContact, Durable: p.durable})
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
