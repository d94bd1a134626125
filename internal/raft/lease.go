package raft

import (
	"cmp"
	"slices"
	"time"
)

// quorumStamp returns the latest moment of the leader's clock by which a quorum had answered it.
func (r *Raft) quorumStamp() time.Duration {
	stamps := make([]time.Duration, 0, len(r.voters))
	for _, v := range r.voters {
		stamp := never
		if v == r.id {
			stamp = r.now
		} else if p := r.peers[v]; p != nil {
			stamp = p.stamp
		}
		stamps = append(stamps, stamp)
	}
	slices.Sort(stamps)
	if len(stamps) == 0 {
		return r.now
	}
	return stamps[len(stamps)-r.quorum()]
}

// LeaseValid reports whether no other leader can exist at clock now.
func (r *Raft) LeaseValid(now time.Duration) bool { return now < r.LeaseUntil() }

// LeaseUntil returns the moment until which no other leader can exist, or zero for a member that does not lead.
func (r *Raft) LeaseUntil() time.Duration {
	if r.role != Leader || r.transfer != "" {
		return 0
	}
	if t, _ := r.log.term(r.hard.Commit); t != r.hard.Term {
		return 0
	}
	span := time.Duration(float64(r.election) * (1 - 2*r.drift))
	return r.quorumStamp() + span
}

// grant returns the echo that renews the peer's state lease, or zero when no lease may be granted.
//
// The lease counts from the echoed moment of the peer's clock, so repeating an echo that was lost grants nothing new.
func (r *Raft) grant(p *peer) time.Duration {
	if p.clock == 0 || !r.LeaseValid(r.now) {
		return 0
	}
	p.granted = p.clockAt
	return p.clock
}

// Observed returns the moment of this member's clock from which its state lease counts.
func (r *Raft) Observed() time.Duration {
	if r.LeaseValid(r.now) {
		return r.now
	}
	return r.observed
}

// Peer is what the leader knows of another member.
type Peer struct {
	ID      ID
	Match   uint64
	Applied uint64
	Granted time.Duration
	Seen    time.Duration
	Durable bool
}

// Peers returns the members the leader replicates to, in order of their ids.
func (r *Raft) Peers() []Peer {
	list := make([]Peer, 0, len(r.peers))
	for id, p := range r.peers {
		list = append(list, Peer{ID: id, Match: p.match, Applied: p.applied, Granted: p.granted, Seen: p.seen, Durable: p.durable})
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
