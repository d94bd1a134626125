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
type network struct {
	mutex  sync.Mutex
	leader fleet.EntryID
	silent map[fleet.EntryID]bool
	asked  map[fleet.EntryID]int
	// elected leads once a call was refused for want of a leader.
	elected fleet.EntryID
}

func (n *network) Call(ctx context.Context, to fleet.EntryID, _ messenger.Topic, request, reply any) error {
	n.mutex.Lock()
	silent, leader := n.silent[to], n.leader
	_, isAsk := request.(forwarder.Ask)
	if isAsk {
		n.asked[to]++
	}
	n.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return fault.New("call", messenger.KindRemote, "%w", ctx.Err())
	}
	switch r := reply.(type) {
	case *forwarder.Standing:
		*r = forwarder.Standing{Leads: to == leader, Ready: true}
	case *forwarder.Answer:
		*r = forwarder.Answer{Verdict: forwarder.NotLeading, Leader: leader}
		if to == leader {
			r.Verdict = forwarder.Done
		} else if leader == "" {
			n.elect()
		}
	}
	return nil
}

func (n *network) elect() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.leader = n.elected
}

func (n *network) set(leader fleet.EntryID, silent ...fleet.EntryID) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.leader = leader
	n.silent = map[fleet.EntryID]bool{}
	for _, s := range silent {
		n.silent[s] = true
	}
}

func start(t *testing.T, n *network) *forwarder.Forwarder {
	f := forwarder.Start("e", n, []fleet.EntryID{"a", "b", "c"}, zap.NewNop(), metrics.NewRegistry())
	t.Cleanup(func() { assert.NilError(t, f.Close()) })
	return f
}

// TestCallIsNotHeldUpByALostLeader answers a leader that falls silent: the call goes to the next one as soon as one is
// elected, and the lost one is tried once.
func TestCallIsNotHeldUpByALostLeader(t *testing.T) {
	n := &network{asked: map[fleet.EntryID]int{}}
	n.set("a")
	f := start(t, n)
	for f.Leader() != "a" {
		time.Sleep(time.Millisecond)
	}
	n.set("", "a")
	n.elected = "c"
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	answer, err := f.Call(ctx, forwarder.Ask{Subject: forwarder.SubmitJob})
	assert.NilError(t, err)
	assert.Equal(t, answer.Verdict, forwarder.Done)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	assert.Assert(t, n.asked["a"] <= 1, "%d calls to the lost leader", n.asked["a"])
}

// TestCallWithoutALeaderIsRefusedAtOnce answers a loss of all keepers' leadership that lasts: a call that can't be served is
// refused as not run, and not held until its caller gives up.
func TestCallWithoutALeaderIsRefusedAtOnce(t *testing.T) {
	n := &network{asked: map[fleet.EntryID]int{}}
	n.set("")
	f := start(t, n)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := f.Call(ctx, forwarder.Ask{Subject: forwarder.SubmitJob})
	assert.Assert(t, errors.Is(err, forwarder.KindNotSent))
	assert.NilError(t, ctx.Err(), "it did not wait for the caller's time to end")
}
