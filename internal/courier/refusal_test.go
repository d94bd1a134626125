package courier_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// TestMalformedMessagesAreRefused guards against one unreadable message that ends a process.
func TestMalformedMessagesAreRefused(t *testing.T) {
	g := newGroup(t)
	g.share()
	for process, handlers := range g.network.handlers {
		for topic, h := range handlers {
			for _, payload := range [][]byte{nil, {0xff, 0x01}, {0xa1, 0x03, 0x81, 0xa1, 0x01, 0x01}} {
				_, err := h(t.Context(), "stranger", payload)
				t.Log(process, topic, err)
			}
		}
	}
	assert.Equal(t, g.pollAll(20)[scheduler.Accepted], 20)
}

// TestLeaderThatWaitedForCarrierNeedsItsLease guards against a leader that writes to the instances of a lost carrier without the lease: it
// has waited until the carrier can no longer send, and has lost its own lease meanwhile.
func TestLeaderThatWaitedForCarrierNeedsItsLease(t *testing.T) {
	g := newGroup(t)
	g.share()
	g.network.silence("a", true)
	g.network.silence("b", true)
	g.pollAll(manyInstances) // finds both carriers silent
	var orders sync.WaitGroup
	outcomes := make([]scheduler.Outcome, 20)
	for i := range outcomes {
		orders.Go(func() {
			outcomes[i], _ = g.Order(t.Context(), scheduler.Order{Kind: scheduler.Start, Instance: instanceID(i), Fence: 5, Timeout: time.Second})
		})
	}
	g.mutex.Lock()
	g.leads = false
	g.mutex.Unlock()
	orders.Wait()
	since := time.Now()
	_, outcome := g.poll(1)
	assert.Equal(t, outcome, scheduler.Unsent)
	outcome, _ = g.Order(t.Context(), scheduler.Order{Kind: scheduler.Start, Instance: instanceID(1), Fence: 5, Timeout: time.Second})
	assert.Equal(t, outcome, scheduler.Unsent)
	assert.Equal(t, len(g.record.writersSince(since)), 0, "%v", g.record.writersSince(since))
}
