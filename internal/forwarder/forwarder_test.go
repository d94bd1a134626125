package forwarder_test

import (
	"context"
	"errors"
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

// network is a fake of the links to three keepers.
type fakeTransport struct {
	mutex        sync.Mutex
	leader       fleet.EntryID
	unresponsive map[fleet.EntryID]bool
	requests     map[fleet.EntryID]int
	// elected leads once a call was refused for want of a leader.
	nextLeader fleet.EntryID
}

func (n *fakeTransport) Call(ctx context.Context, to fleet.EntryID, _ messenger.Topic, request, reply any) error {
	n.mutex.Lock()
	unresponsive, leader := n.unresponsive[to], n.leader
	_, isRequest := request.(forwarder.Request)
	if isRequest {
		n.requests[to]++
	}
	n.mutex.Unlock()
	if unresponsive {
		<-ctx.Done()
		return fault.New("call", messenger.KindRemote, "%w", ctx.Err())
	}
	switch r := reply.(type) {
	case *forwarder.LeadershipStatus:
		*r = forwarder.LeadershipStatus{Leading: to == leader, Ready: true}
	case *forwarder.Response:
		*r = forwarder.Response{Outcome: forwarder.NotLeading, Leader: leader}
		if to == leader {
			r.Outcome = forwarder.Done
		} else if leader == "" {
			n.elect()
		}
	}
	return nil
}

func (n *fakeTransport) elect() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.leader = n.nextLeader
}

func (n *fakeTransport) setLeader(leader fleet.EntryID, unresponsive ...fleet.EntryID) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.leader = leader
	n.unresponsive = map[fleet.EntryID]bool{}
	for _, s := range unresponsive {
		n.unresponsive[s] = true
	}
}

func startForwarder(t *testing.T, n *fakeTransport) *forwarder.Forwarder {
	f := forwarder.Start("e", n, []fleet.EntryID{"a", "b", "c"}, zap.NewNop(), metrics.NewRegistry())
	t.Cleanup(func() { assert.NilError(t, f.Close()) })
	return f
}

// TestCallIsNotHeldUpByALostLeader answers a leader that falls silent: the call goes to the next one as soon as one is
// elected, and the lost one is tried once.
func TestCallMovesToNewLeaderAfterLeaderLoss(t *testing.T) {
	n := &fakeTransport{requests: map[fleet.EntryID]int{}}
	n.setLeader("a")
	f := startForwarder(t, n)
	for f.Leader() != "a" {
		time.Sleep(time.Millisecond)
	}
	n.setLeader("", "a")
	n.nextLeader = "c"
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	response, err := f.Call(ctx, forwarder.Request{Operation: forwarder.SubmitJob})
	assert.NilError(t, err)
	assert.Equal(t, response.Outcome, forwarder.Done)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	assert.Assert(t, n.requests["a"] <= 1, "%d calls to the lost leader", n.requests["a"])
}

// TestCallWithoutALeaderIsRefusedAtOnce answers a loss of all keepers' leadership that lasts: a call that can't be served is
// refused as not run, and not held until its caller gives up.
func TestCallWithoutLeaderFailsBeforeDeadline(t *testing.T) {
	n := &fakeTransport{requests: map[fleet.EntryID]int{}}
	n.setLeader("")
	f := startForwarder(t, n)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := f.Call(ctx, forwarder.Request{Operation: forwarder.SubmitJob})
	assert.Assert(t, errors.Is(err, forwarder.KindNotSent))
	assert.NilError(t, ctx.Err(), "it did not wait for the caller's time to end")
}
