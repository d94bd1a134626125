package raft

import (
	"math/rand/v2"
	"time"
)

// Option configures a new member.
type Option func(*Raft)

// WithTimeouts sets the minimum election timeout and the heartbeat interval.
func WithTimeouts(electionTimeout, heartbeatInterval time.Duration) Option {
	return func(r *Raft) {
		r.electionTimeout = electionTimeout
		r.heartbeatInterval = heartbeatInterval
	}
}

// WithClockDrift sets the upper bound on the relative difference between the clock rates of two members.
func WithClockDrift(drift float64) Option { return func(r *Raft) { r.clockDrift = drift } }

// WithSeed seeds the random part of the election timeout.
func WithSeed(seed uint64) Option {
	return func(r *Raft) { r.rng = rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)) }
}

// WithSnapshotCheck refuses received snapshots for whose data check returns an error, so that none is installed that cannot be applied.
func WithSnapshotCheck(check func(data []byte) error) Option {
	return func(r *Raft) { r.snapshotCheck = check }
}

// WithDurable marks a member that syncs its records to disk and may therefore become a voter.
func WithDurable() Option { return func(r *Raft) { r.durable = true } }

// WithLazyCommits makes a leader tell the others of a commit with the next entries or heartbeat instead of at once. It halves the
// messages of a commit, for groups in which only the leader reads the state.
func WithLazyCommits() Option { return func(r *Raft) { r.lazyCommits = true } }
