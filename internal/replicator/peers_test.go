package replicator

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
)

// TestPeersDoNotWaitForLoop guards against queries about the leader, of which a hundred entries send two a second each, that queue
// up behind commits and take a run of the event loop each.
func TestPeersDoNotWaitForLoop(t *testing.T) {
	id, err := identity.New("a", identity.RandomHex(identity.MinKeyBytes))
	assert.NilError(t, err)
	m, err := messenger.New(id, "127.0.0.1:0", metrics.NewRegistry())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, m.Close()) })
	r, err := Start(Options{Entry: "a", Messenger: m, Peers: []fleet.EntryID{"a", "b", "c"}, Logger: zap.NewNop()})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, r.Close()) })
	busy := make(chan struct{})
	r.inbox <- input{callback: func() { <-busy }}
	answered := make(chan []fleet.EntryID, 1)
	go func() { answered <- r.Peers() }()
	select {
	case list := <-answered:
		assert.Equal(t, len(list), 2)
	case <-time.After(10 * time.Second):
		t.Error("Peers waits for the event loop")
	}
	close(busy)
	r.AddPeers([]fleet.EntryID{"d"})
	assert.Equal(t, len(r.Peers()), 3, "peers that were added are known at once")
}
