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

// fakeTransport simulates the connections to three keepers.
type fakeTransport struct {
	mutex        sync.Mutex
	leader       fleet.EntryID
	unresponsive map[fleet.EntryID]bool
	requests     map[fleet.EntryID]int
	// nextLeader becomes leader once a call was rejected because no keeper led.
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

// TestCallMovesToNewLeaderAfterLeaderLoss guards against a call that keeps waiting for a leader that has stopped responding.
// The call reaches the next leader as soon as it is elected, and calls the lost one at most once.
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
	assert.Assert(t, n.requests["a"] <= 1, "%d calls to the lost leader, want at most 1", n.requests["a"])
}

// TestCallWithoutLeaderFailsBeforeDeadline guards against calls that are held until the deadline of their caller while no keeper
// leads for a long time. Such a call fails early with KindNotSent, so that the caller knows that it did not run.
func TestCallWithoutLeaderFailsBeforeDeadline(t *testing.T) {
	n := &fakeTransport{requests: map[fleet.EntryID]int{}}
	n.setLeader("")
	f := startForwarder(t, n)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := f.Call(ctx, forwarder.Request{Operation: forwarder.SubmitJob})
	assert.Assert(t, errors.Is(err, forwarder.KindNotSent))
	assert.NilError(t, ctx.Err(), "the call must fail before the caller's deadline")
}

// TestCallsWithoutLeaderBackOff guards against calls that keep the keepers from electing a leader: of a hundred calls that wait for
// one, each may be sent a few times, and all must be answered soon after the election.
func TestCallsWithoutLeaderBackOff(t *testing.T) {
	n := &fakeTransport{requests: map[fleet.EntryID]int{}}
	n.setLeader("a")
	f := startForwarder(t, n)
	for f.Leader() != "a" {
		time.Sleep(time.Millisecond)
	}
	n.setLeader("")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	const calls = 100
	var done sync.WaitGroup
	for range calls {
		done.Go(func() {
			_, err := f.Call(ctx, forwarder.Request{Operation: forwarder.Announce})
			assert.Check(t, err)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	n.mutex.Lock()
	sent := n.requests["a"] + n.requests["b"] + n.requests["c"]
	n.mutex.Unlock()
	n.setLeader("b")
	start := time.Now()
	done.Wait()
	assert.Assert(t, sent <= 10*calls, "%d requests for %d calls in 1.5 s; without a growing pause there are 37 a call", sent, calls)
	assert.Assert(t, time.Since(start) < 2*time.Second, "answered %s after the election", time.Since(start))
}

// forgetfulLeader leaves the first call without an answer and gives all others an outcome.
type forgetfulLeader struct {
	outcome forwarder.Outcome
	mutex   sync.Mutex
	calls   int
}

func (l *forgetfulLeader) Call(ctx context.Context, to fleet.EntryID, _ messenger.Topic, request, reply any) error {
	if status, ok := reply.(*forwarder.LeadershipStatus); ok {
		*status = forwarder.LeadershipStatus{Leading: to == "a", Ready: true}
		return nil
	}
	l.mutex.Lock()
	l.calls++
	first := l.calls == 1
	l.mutex.Unlock()
	if first {
		<-ctx.Done()
		return fault.New("call", messenger.KindUnreachable, "%w", ctx.Err())
	}
	*reply.(*forwarder.Response) = forwarder.Response{Outcome: l.outcome}
	return nil
}

// TestRefusalAfterLostAnswerIsUncertain guards against a caller that is told that its job does not run although an earlier attempt, whose answer was
// lost, was accepted: the leader refuses under load, or the key or the queue was withdrawn in between (REFUSED 20).
func TestRefusalAfterLostAnswerIsUncertain(t *testing.T) {
	for outcome, kind := range map[forwarder.Outcome]error{
		forwarder.Refused: forwarder.KindUncertain, forwarder.KeyMismatch: forwarder.KindUncertain, forwarder.UnknownQueue: forwarder.KindUncertain,
		forwarder.Invalid: forwarder.KindUncertain, forwarder.Done: nil,
	} {
		f := forwarder.Start("e", &forgetfulLeader{outcome: outcome}, []fleet.EntryID{"a"}, zap.NewNop(), metrics.NewRegistry())
		t.Cleanup(func() { assert.NilError(t, f.Close()) })
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		response, err := f.Call(ctx, forwarder.Request{Operation: forwarder.SubmitJob})
		if kind == nil {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorIs(t, err, kind, "outcome %d: %+v", outcome, response)
	}
}
