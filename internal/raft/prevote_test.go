package raft_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/raft"
)

// TestPreVoteIsAskedForAgainSoon answers a loss of power after which voters start at different moments: a voter refuses
// until the lease that it may have promised is over, and a leader must follow that, or the first attempt of the other, within a
// quarter of the election timeout.
func TestPreVoteIsAskedForAgainSoon(t *testing.T) {
	const (
		election = 700 * time.Millisecond
		later    = 500 * time.Millisecond
	)
	d := &disk{}
	formed := raft.New("c", 1, raft.HardState{}, nil, nil, raft.WithDurable())
	assert.Assert(t, formed.Bootstrap([]raft.ID{"a", "b", "c"}, nil))
	for formed.HasReady() {
		ready := formed.Ready()
		d.save(ready)
		formed.Advance(ready)
	}
	for seed := range uint64(50) {
		start := func(id raft.ID, now time.Duration) *raft.Raft {
			return raft.New(id, now, d.hard, d.snapshot, d.entries,
				raft.WithTimeouts(election, 100*time.Millisecond), raft.WithSeed(seed*2+uint64(id[0])), raft.WithDurable())
		}
		first, second := start("a", 0), (*raft.Raft)(nil)
		led, asked := time.Duration(0), time.Duration(0)
		for now := tick; now < 5*time.Second && led == 0; now += tick {
			if second == nil && now >= later {
				second = start("b", now)
			}
			first.Tick(now) // the second only answers, so that no vote is split
			if asked == 0 && first.Role() == raft.PreCandidate {
				asked = now
			}
			exchange(now, first, second)
			if first.Role() == raft.Leader {
				led = now
			}
		}
		assert.Assert(t, led > 0 && led <= max(later+election, asked)+election/4+2*tick, "seed %d: leader after %s", seed, led)
	}
}

// TestPreVoteOfAnOlderLogHastensTheOthers answers a leader that is lost while the first voter to notice is behind: one that
// could win must not wait for its own timeout.
func TestPreVoteOfAnOlderLogHastensTheOthers(t *testing.T) {
	leader, follower, now := newLeader(t)
	_, err := leader.Propose(now, []byte("x"))
	assert.NilError(t, err)
	for _, m := range work(leader) {
		if m.To == "b" {
			follower.Step(now, m)
		}
	}
	work(follower)
	now += raft.DefaultElection // the lease is over, and the least timeout has just been reached
	follower.Step(now, raft.Message{Kind: raft.PreVote, From: "c", To: "b", Term: leader.Hard().Term + 1, Index: 1, LogTerm: 1})
	work(follower)
	follower.Tick(now + raft.DefaultElection/8)
	assert.Equal(t, follower.Role(), raft.PreCandidate)
}

// exchange delivers what two members have to say until both are silent.
func exchange(now time.Duration, a, b *raft.Raft) {
	for range 10 {
		for _, m := range work(a) {
			if b != nil && m.To == "b" {
				b.Step(now, m)
			}
		}
		if b == nil {
			return
		}
		for _, m := range work(b) {
			if m.To == "a" {
				a.Step(now, m)
			}
		}
	}
}
