package raft_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/raft"
)

func TestDeposedLeaderGrantsNoLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, 3)
		if !g.heal() {
			t.Fatal("no leader committed a command")
		}
		old := g.leader()
		for _, id := range g.sortedIDs() {
			g.partitioned[linkBetween(old.id, id)] = true
		}
		lastValid := time.Duration(0)
		for range 500 {
			g.advanceTime(tickInterval, true)
			if old.raft.LeaderLeaseValid(g.clock(old)) {
				lastValid = g.now
			}
			if n := g.leader(); n != nil && n.id != old.id && n.raft.LeaderLeaseValid(g.clock(n)) {
				if lastValid == g.now {
					t.Fatal("the old and the new leader hold a leader lease at the same time")
				}
				return
			}
		}
		t.Fatal("no new leader within 10 s")
	})
}

func TestRestartedVoterHonoursLeaderLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, 3)
		if !g.heal() {
			t.Fatal("no leader committed a command")
		}
		old := g.leader()
		others := slices.DeleteFunc(g.sortedIDs(), func(id raft.ID) bool { return id == old.id })
		g.partitioned[linkBetween(old.id, others[1])] = true
		g.advanceTime(time.Duration(rapid.IntRange(0, 120).Draw(t, "ticks"))*tickInterval, true)
		g.startNode(g.nodes[others[0]])
		g.partitioned[linkBetween(old.id, others[0])] = true
		g.advanceTime(5*time.Second, true)
	})
}

// TestRestartedMemberHoldsNoLeaseOfEarlierProcess guards against a member that trusts its copy of the committed state for as long as the
// process before it has run: its clock begins anew with each process, and the leader knows a reading of the one before. It also guards
// against a member that gets no lease until its clock has reached that reading.
func TestRestartedMemberHoldsNoLeaseOfEarlierProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, 3)
		if !g.heal() {
			t.Fatal("no leader committed a command")
		}
		g.advanceTime(30*time.Second, true)
		leader := g.leader()
		others := slices.DeleteFunc(g.sortedIDs(), func(id raft.ID) bool { return id == leader.id })
		restarted := g.nodes[others[0]]
		restarted.down = true
		g.advanceTime(time.Duration(rapid.IntRange(0, 100).Draw(t, "ticks"))*tickInterval, true)
		g.startNode(restarted)
		g.advanceTime(2*time.Second, true)
		if start, now := restarted.raft.StateLeaseStart(), g.clock(restarted); now-start > time.Second {
			t.Fatalf("the state lease begins at %s, the clock is at %s", start, now)
		}
	})
}
