package replicator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/journaler"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
)

// TestNewcomerJoinsThroughAnyMember guards against a group that is lost with one more disk: a keeper comes back with an empty disk while the
// members that it is told of do not lead, and nobody takes it in.
func TestNewcomerJoinsThroughAnyMember(t *testing.T) {
	names, messengers := startMessengers(t, 4, metrics.NewRegistry())
	start := func(i int, founders, peers []fleet.EntryID) *replicator.Replicator {
		j, err := journaler.Open(t.TempDir())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = j.Close() })
		r, err := replicator.Start(replicator.Options{Entry: names[i], Messenger: messengers[i], Journal: j, Keepers: founders, Peers: peers, Logger: zap.NewNop()})
		assert.NilError(t, err)
		t.Cleanup(func() { _ = r.Close() })
		return r
	}
	founders := names[:3]
	var group []*replicator.Replicator
	for i := range founders {
		group = append(group, start(i, founders, founders))
	}
	leader := waitForLeader(group)
	follower := slices.IndexFunc(group, func(r *replicator.Replicator) bool { return r != leader && r.Status().Leader == leader.Status().Entry })
	for follower < 0 {
		time.Sleep(10 * time.Millisecond)
		follower = slices.IndexFunc(group, func(r *replicator.Replicator) bool { return r != leader && r.Status().Leader == leader.Status().Entry })
	}
	start(3, nil, []fleet.EntryID{names[follower]})
	deadline := time.Now().Add(10 * time.Second)
	for !slices.ContainsFunc(leader.Status().Peers, func(p replicator.PeerStatus) bool { return p.Entry == names[3] && p.Applied > 0 }) {
		assert.Assert(t, time.Now().Before(deadline), "the newcomer is not taken in: %+v", leader.Status().Peers)
		time.Sleep(20 * time.Millisecond)
	}
}
