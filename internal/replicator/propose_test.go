package replicator_test

import (
	"context"
	"fmt"
	"testing"

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
