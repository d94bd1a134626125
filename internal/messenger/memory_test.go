package messenger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
)

// TestIdleConnectionsTakeLittleMemory guards against buffers that each connection has for the largest load: with 290 entries they took
// 150 MB of a keeper, which then spent most of its processor time on collecting garbage. The bound lets 500 connections take half of
// the 64 MB of a process at the target size; each counts twice, because both of its ends are in this process.
func TestIdleConnectionsTakeLittleMemory(t *testing.T) {
	const connections, bound = 60, 2 * 64 << 10
	key := identity.RandomHex(identity.MinKeyBytes)
	server := startMessenger(t, "server", key)
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	server.SetResolver(func(fleet.EntryID) (string, bool) { return "", true }) // so that it makes no connections of its own
	clients := make([]*messenger.Messenger, connections)
	for i := range clients {
		clients[i] = startMessenger(t, fmt.Sprint("client-", i), key)
	}
	before := heap()
	for _, c := range clients {
		c.SetPeer("server", server.Address())
		_, err := call(c, "server", time.Minute)
		assert.NilError(t, err)
	}
	each := (heap() - before) / connections
	t.Logf("%d bytes for each connection", each)
	assert.Assert(t, each < bound, "%d bytes", each)
}
