package demonstrator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
)

// drawPayload draws a value that decodes as many kinds of messages, with few names, some of them known.
func drawPayload(r *rand.Rand, depth int) any {
	switch n := r.IntN(10); {
	case depth > 0 && n < 5:
		fields := map[int]any{}
		for range r.IntN(6) {
			fields[1+r.IntN(9)] = drawPayload(r, depth-1)
		}
		return fields
	case depth > 0 && n < 7:
		var list []any
		for range r.IntN(3) {
			list = append(list, drawPayload(r, depth-1))
		}
		return list
	case n < 8:
		return []any{0, 1, 2, 200, -1, uint64(1) << 63, nil, true}[r.IntN(8)]
	default:
		return []any{"cure", "cure-study", "quality-lab", "entry-1", "entry-2", "", "x"}[r.IntN(7)]
	}
}

// TestMalformedMessagesEndNoProcess guards against one message between processes, of another version, that ends the process which gets it.
func TestMalformedMessagesEndNoProcess(t *testing.T) {
	d, ctx := startDemo(t)
	id, err := identity.New("stranger", d.fleetKey)
	assert.NilError(t, err)
	m, err := messenger.New(id, "127.0.0.1:0", metrics.NewRegistry())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, m.Close()) })
	leader := d.leaderIndex(t)
	m.SetPeer(entryName(leader), d.daemons[leader].PeerAddress())
	r := rand.New(rand.NewPCG(1, 2))
	for _, topics := range []struct{ first, last messenger.Topic }{{5, 45}, {60, 65}, {80, 85}} {
		for topic := topics.first; topic <= topics.last; topic++ {
			for range 200 {
				if r.IntN(2) == 0 {
					m.Send(entryName(leader), topic, drawPayload(r, 4))
					continue
				}
				callCtx, cancel := context.WithTimeout(ctx, 2*time.Millisecond)
				var reply any
				_ = m.Call(callCtx, entryName(leader), topic, drawPayload(r, 4), &reply)
				cancel()
			}
		}
	}
	time.Sleep(time.Second)
	a := d.sendTo(t, leader, d.keys["quality-lab"], "cure-study", []byte(`{"nonce":"after"}`))
	assert.Equal(t, a.Status, http.StatusOK, "%s", a.Body)
}
