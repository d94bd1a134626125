package process

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
)

// TestAnnouncementsSpreadOverFollowers guards against instances that all announce themselves to the leader, which has to poll them
// too, and against a keeper that is down.
func TestAnnouncementsSpreadOverFollowers(t *testing.T) {
	s := replicator.Status{Entry: "leader", Leading: true, Commit: 10000, Peers: []replicator.PeerStatus{
		{Entry: "a", Match: 10000, Durable: true}, {Entry: "b", Match: 9900, Durable: true}, {Entry: "down", Match: 100, Durable: true},
		{Entry: "c", Match: 9000, Durable: true}, {Entry: "entry", Match: 10000},
	}}
	counts := map[fleet.EntryID]int{}
	for i := range 600 {
		counts[chooseKeeper(s, fleet.InstanceID(fmt.Sprint("i-", i)))]++
	}
	assert.Equal(t, len(counts), 3, "%v", counts)
	for _, keeper := range []fleet.EntryID{"a", "b", "c"} {
		assert.Assert(t, counts[keeper] > 100, "%v", counts)
	}
	assert.Equal(t, chooseKeeper(replicator.Status{Entry: "leader", Leading: true}, "i"), fleet.EntryID("leader"), "alone")
}
