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
