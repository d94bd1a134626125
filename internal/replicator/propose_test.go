package replicator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// TestAbandonedProposalCommitsBeforeLaterOnes guards against a command that commits after a later command of the same member, when
// its proposer no longer waits for it. A leader that commits a barrier would miss it.
func TestAbandonedProposalCommitsBeforeLaterOnes(t *testing.T) {
	group, _ := startGroup(t, 1, 0)
	leader := waitForLeader(group)
	abandoned, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range 200 {
		entry := fleet.EntryID(fmt.Sprint("m", i))
		leader.CommitAll(abandoned, []state.Command{state.RegisterMember{Member: state.Member{Entry: entry}}})
		_, errs := leader.CommitAll(t.Context(), []state.Command{state.Barrier{}})
		assert.NilError(t, errs[0])
		leader.View(func(s *state.State) { assert.Equal(t, s.Members[entry].Entry, entry) })
	}
}

// TestLeaderTermEndsWithRole guards against a scheduler that waits for its lease when its member no longer leads, or that is
// ended while it still does.
func TestLeaderTermEndsWithRole(t *testing.T) {
	group, _ := startGroup(t, 3, 0)
	leader := waitForLeader(group)
	led, ok := leader.Leads()
	assert.Assert(t, ok)
	term, ok := leader.LeaderTerm()
	assert.Assert(t, ok)
	assert.Equal(t, term, led)
	for _, r := range group {
		if r != leader {
			_, ok := r.LeaderTerm()
			assert.Assert(t, !ok, "a follower")
			r.Kill()
		}
	}
	for end := time.Now().Add(20 * time.Second); ok && time.Now().Before(end); time.Sleep(time.Millisecond) {
		term, ok = leader.LeaderTerm()
		assert.Assert(t, !ok || term == led)
	}
	assert.Assert(t, !ok, "leads without a quorum")
	_, ok = leader.Leads()
	assert.Assert(t, !ok)
}
