package forwarder_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
)

// group is a group of nine keepers that know their leader, and counts the probes and calls of each.
type group struct {
	mutex         sync.Mutex
	leader        fleet.EntryID
	down          map[fleet.EntryID]bool
	probes, calls map[fleet.EntryID]int
	// unanswered is the number of calls that are left without an answer.
	unanswered int
}

var nineKeepers = []fleet.EntryID{"a", "b", "c", "d", "e", "f", "g", "h", "i"}

func (g *group) Call(ctx context.Context, to fleet.EntryID, _ messenger.Topic, _, reply any) error {
	g.mutex.Lock()
	silent := g.down[to]
	switch r := reply.(type) {
	case *forwarder.LeadershipStatus:
		g.probes[to]++
		*r = forwarder.LeadershipStatus{Leading: to == g.leader, Leader: g.leader, Ready: true}
	case *forwarder.Response:
		g.calls[to]++
		*r = forwarder.Response{Outcome: forwarder.NotLeading, Leader: g.leader}
		if to == g.leader {
			r.Outcome = forwarder.Done
			silent = silent || g.unanswered > 0
			g.unanswered--
		}
	}
	g.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return fault.New("call", messenger.KindUnreachable, "%w", ctx.Err())
	}
	return nil
}

// set sets the leader and the keepers that are down, and forgets the probes and calls.
func (g *group) set(leader fleet.EntryID, down ...fleet.EntryID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.leader, g.down, g.probes, g.calls = leader, map[fleet.EntryID]bool{}, map[fleet.EntryID]int{}, map[fleet.EntryID]int{}
	for _, k := range down {
		g.down[k] = true
	}
}

func (g *group) probed() (total int, byKeeper map[fleet.EntryID]int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	byKeeper = map[fleet.EntryID]int{}
	for k, n := range g.probes {
		byKeeper[k] = n
		total += n
	}
	return total, byKeeper
}

// startEntries starts entries that know the leader.
func startEntries(t *testing.T, g *group, n int) []*forwarder.Forwarder {
	t.Helper()
	var entries []*forwarder.Forwarder
	for range n {
		f := forwarder.Start("entry", g, nineKeepers, zap.NewNop(), metrics.NewRegistry())
		t.Cleanup(func() { assert.NilError(t, f.Close()) })
		entries = append(entries, f)
	}
	awaitLeader(t, entries, g.leader, 10*time.Second)
	return entries
}

func awaitLeader(t *testing.T, entries []*forwarder.Forwarder, leader fleet.EntryID, within time.Duration) {
	t.Helper()
	end := time.Now().Add(within)
	for _, f := range entries {
		for f.Leader() != leader {
			assert.Assert(t, time.Now().Before(end), "an entry does not know leader %s within %s", leader, within)
			time.Sleep(time.Millisecond)
		}
	}
}

// TestIdleEntriesSpareTheLeader guards against a leader whose time goes into probes. Load: 290 entries without calls, for three seconds; a probe of
// the leader by each entry twice a second were 1,740.
func TestIdleEntriesSpareTheLeader(t *testing.T) {
	g := &group{}
	g.set("d")
	entries := startEntries(t, g, 290)
	g.set("d")
	time.Sleep(3 * time.Second)
	total, byKeeper := g.probed()
	assert.Assert(t, byKeeper["d"] < 290*3, "%v", byKeeper)
	assert.Assert(t, total < 290*8, "%v", byKeeper)
	for _, f := range entries {
		assert.Assert(t, f.Ready())
	}
}

// TestEntriesWithoutLeaderBackOff guards against probes that take the processor time that an election needs. Load: 290 entries of a group of nine keepers
// that has lost its leader for four seconds; probes of all keepers four times a second were 41,760. All must know the next leader soon.
func TestEntriesWithoutLeaderBackOff(t *testing.T) {
	g := &group{}
	g.set("d")
	entries := startEntries(t, g, 290)
	g.set("", "d")
	time.Sleep(4 * time.Second)
	total, byKeeper := g.probed()
	assert.Assert(t, total < 290*24, "%d: %v", total, byKeeper)
	g.set("e", "d")
	awaitLeader(t, entries, "e", 4*time.Second)
}

// TestEntryNoticesAnotherLeader guards against entries that send calls to an earlier leader until it fails to answer.
func TestEntryNoticesAnotherLeader(t *testing.T) {
	g := &group{}
	g.set("d")
	entries := startEntries(t, g, 20)
	g.set("e")
	awaitLeader(t, entries, "e", 2*time.Second)
}

// TestSlowLeaderIsNotLeft guards against a search for another leader, which adds to the load, when the leader leaves one call without an answer and answers
// others.
func TestSlowLeaderIsNotLeft(t *testing.T) {
	g := &group{}
	g.set("d")
	f := startEntries(t, g, 1)[0]
	g.mutex.Lock()
	g.unanswered = 1
	g.mutex.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	slow := make(chan error)
	go func() {
		_, err := f.Call(ctx, forwarder.Request{Operation: forwarder.CancelJob})
		slow <- err
	}()
	for range 20 {
		time.Sleep(25 * time.Millisecond)
		_, err := f.Call(ctx, forwarder.Request{Operation: forwarder.InspectJob})
		assert.NilError(t, err)
	}
	assert.NilError(t, <-slow)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	assert.Equal(t, len(g.calls), 1, "calls of keepers that do not lead: %v", g.calls)
}
