package raft_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/raft"
)

// TestPreVoteIsRetriedQuickly guards against a slow election when voters restart at different times after a power loss. A
// restarted voter refuses pre-votes until the leader lease that it may have acknowledged expires. A leader must be elected
// within a quarter of the election timeout after that expiry, or after the candidate's first pre-vote if that is later.
func TestPreVoteIsRetriedQuickly(t *testing.T) {
	const (
		electionTimeout = 700 * time.Millisecond
		secondStart     = 500 * time.Millisecond
	)
	d := &disk{}
	bootstrapped := raft.New("c", 1, raft.HardState{}, nil, nil, raft.WithDurable())
	assert.Assert(t, bootstrapped.Bootstrap([]raft.ID{"a", "b", "c"}, nil))
	for bootstrapped.HasReady() {
		ready := bootstrapped.Ready()
		d.save(ready)
		bootstrapped.Advance(ready)
	}
	for seed := range uint64(50) {
		start := func(id raft.ID, now time.Duration) *raft.Raft {
			return raft.New(id, now, d.hard, d.snapshot, d.entries,
				raft.WithTimeouts(electionTimeout, 100*time.Millisecond), raft.WithSeed(seed*2+uint64(id[0])), raft.WithDurable())
		}
		first, second := start("a", 0), (*raft.Raft)(nil)
		electedAt, preVoteAt := time.Duration(0), time.Duration(0)
		for now := tickInterval; now < 5*time.Second && electedAt == 0; now += tickInterval {
			if second == nil && now >= secondStart {
				second = start("b", now)
			}
			first.Tick(now) // second only replies, so that the vote cannot be split
			if preVoteAt == 0 && first.Role() == raft.PreCandidate {
				preVoteAt = now
			}
			exchangeMessages(now, first, second)
			if first.Role() == raft.Leader {
				electedAt = now
			}
		}
		assert.Assert(t, electedAt > 0 && electedAt <= max(secondStart+electionTimeout, preVoteAt)+electionTimeout/4+2*tickInterval, "seed %d: leader after %s", seed, electedAt)
	}
}

// TestPreVoteFromStaleLogShortensElectionTimeout guards against a slow election when the leader fails and the first voter to
// time out has a less up-to-date log. A voter that can win must not wait for the rest of its own election timeout.
func TestPreVoteFromStaleLogShortensElectionTimeout(t *testing.T) {
	leader, follower, now := newLeader(t)
	_, err := leader.Propose(now, []byte("x"))
	assert.NilError(t, err)
	for _, m := range drainReady(leader) {
		if m.To == "b" {
			follower.Step(now, m)
		}
	}
	drainReady(follower)
	now += raft.DefaultElectionTimeout // the leader lease and the minimum election timeout have just expired
	follower.Step(now, raft.Message{Kind: raft.PreVote, From: "c", To: "b", Term: leader.HardState().Term + 1, Index: 1, LogTerm: 1})
	drainReady(follower)
	follower.Tick(now + raft.DefaultElectionTimeout/8)
	assert.Equal(t, follower.Role(), raft.PreCandidate)
}

// exchangeMessages delivers the messages between two members; ten rounds are enough for them to run out.
func exchangeMessages(now time.Duration, a, b *raft.Raft) {
	for range 10 {
		for _, m := range drainReady(a) {
			if b != nil && m.To == "b" {
				b.Step(now, m)
			}
		}
		if b == nil {
			return
		}
		for _, m := range drainReady(b) {
			if m.To == "a" {
				a.Step(now, m)
			}
		}
	}
}
