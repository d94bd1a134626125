package messenger

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
)

// TestCalledPeerDoesNotDialBack guards against a leader that keeps a second connection to each of the hundred entries that call it.
func TestCalledPeerDoesNotDialBack(t *testing.T) {
	key := identity.RandomHex(identity.MinKeyBytes)
	addresses := map[fleet.EntryID]string{}
	start := func(name string) *Messenger {
		id, err := identity.New(name, key)
		assert.NilError(t, err)
		m, err := New(id, "127.0.0.1:0", metrics.NewRegistry())
		assert.NilError(t, err)
		addresses[fleet.EntryID(name)] = m.Address()
		t.Cleanup(func() { assert.NilError(t, m.Close()) })
		return m
	}
	entry, leader := start("entry"), start("leader")
	for _, m := range []*Messenger{entry, leader} {
		m.SetResolver(func(id fleet.EntryID) (string, bool) { a, ok := addresses[id]; return a, ok })
		m.Handle(7, func(context.Context, fleet.EntryID, []byte) (any, error) { return true, nil })
	}
	call := func(from *Messenger, to fleet.EntryID) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var reply bool
		assert.NilError(t, from.Call(ctx, to, 7, true, &reply))
	}
	call(entry, "leader")
	leader.mutex.Lock()
	connections := len(leader.peers)
	leader.mutex.Unlock()
	assert.Equal(t, connections, 0, "connections of the leader to entries")
	call(leader, "entry") // is connected once there is something to send
}
