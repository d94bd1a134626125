package process

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/workload"
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

// TestChooseHandling guards against an announcement that is acknowledged before the leader has it although a later leader must know what it
// says, against one that costs the leader a call although it says nothing new, and against a new boot that stays with a keeper beyond a
// partition: in a turn half of all moved machines served 3 s later for it.
func TestChooseHandling(t *testing.T) {
	record := func(boot, processors int64) *workload.Instance {
		return &workload.Instance{ID: "i", Boot: boot, Pool: "p", Address: "a", Capacity: workload.Resources{Processors: processors}}
	}
	leased := func(r *workload.Instance) copyStatus { return copyStatus{leased: true, recent: true, record: r} }
	recent := func(r *workload.Instance) copyStatus { return copyStatus{recent: true, record: r} }
	cut := func(r *workload.Instance) copyStatus { return copyStatus{record: r} }
	starting := copyStatus{recent: true, starting: true}
	for _, c := range []struct {
		name             string
		copy             copyStatus
		boot, processors int64
		sequence         uint64
		draining         bool
		repeats          bool
		want             handling
	}{
		{"first of a boot", leased(nil), 1, 8, 1, false, false, collect},
		{"first, lost by a leader, again", leased(nil), 1, 8, 2, false, true, collect},
		{"later boot of a known id", leased(record(1, 8)), 2, 8, 1, false, false, collect},
		{"nothing new", leased(record(1, 8)), 1, 8, 5, false, false, acknowledge},
		{"capacity shrinks", leased(record(1, 8)), 1, 4, 5, false, false, forward},
		{"earlier boot", leased(record(2, 8)), 1, 8, 5, false, false, forward},
		{"draining", leased(record(1, 8)), 1, 8, 5, true, false, forward},
		{"draining, not enrolled", leased(nil), 1, 8, 1, true, false, forward},
		{"draining during an election", recent(record(1, 8)), 1, 8, 5, true, false, forward},
		{"first while all start", starting, 1, 8, 1, false, false, collect},
		{"repeated while all start", starting, 1, 8, 2, false, true, collect},
		{"first during an election", recent(nil), 1, 8, 1, false, false, collectBriefly},
		{"repeated during an election", recent(nil), 1, 8, 2, false, true, collectBriefly},
		{"unknown during an election, may be enrolled elsewhere", recent(nil), 1, 8, 2, false, false, collectAndWait},
		{"nothing new during an election", recent(record(1, 8)), 1, 8, 5, false, true, acknowledge},
		{"nothing new, but the copy may be old", recent(record(1, 8)), 1, 8, 5, false, false, collectAndWait},
		{"capacity shrinks during an election", recent(record(1, 8)), 1, 4, 5, false, false, collectAndWait},
		{"first at a keeper that is cut off", cut(nil), 1, 8, 1, false, false, collectBriefly},
		{"nothing new at a keeper that is cut off", cut(record(1, 8)), 1, 8, 5, false, true, collectAndWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			announced := record(c.boot, c.processors)
			announced.Sequence, announced.Draining = c.sequence, c.draining
			assert.Equal(t, chooseHandling(c.copy, announced, c.repeats), c.want)
		})
	}
}

// TestBatchReachesEarlierVersion guards against announcements that a leader of an earlier version never gets: it refuses the batch as an unknown
// operation.
func TestBatchReachesEarlierVersion(t *testing.T) {
	batch := []workload.Instance{{ID: "a"}, {ID: "b"}}
	for _, c := range []struct {
		name    string
		refuses bool
		want    []string
	}{
		{"this version", false, []string{"announce-batch 2"}},
		{"earlier version", true, []string{"announce-batch 2", "announce a", "announce b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var calls []string
			assert.NilError(t, deliver(t.Context(), func(_ context.Context, request forwarder.Request) (forwarder.Response, error) {
				if request.Operation == forwarder.AnnounceBatch {
					calls = append(calls, fmt.Sprint(request.Operation, " ", len(request.Instances)))
					if c.refuses {
						return forwarder.Response{Outcome: forwarder.Invalid}, nil
					}
				} else {
					calls = append(calls, fmt.Sprint(request.Operation, " ", request.Instance.ID))
				}
				return forwarder.Response{Outcome: forwarder.Done}, nil
			}, batch))
			assert.DeepEqual(t, calls, c.want)
		})
	}
}
