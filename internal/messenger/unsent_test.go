package messenger_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
)

// relay forwards the datagrams of one client to a server, and drops those of both while it is muted, as if the server had lost power.
type relay struct {
	net.PacketConn
	muted atomic.Bool
}

func startRelay(t *testing.T, server string) *relay {
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	back, err := net.Dial("udp", server)
	assert.NilError(t, err)
	r := &relay{PacketConn: front}
	var client atomic.Value
	forward := func(read func([]byte) (int, error), write func([]byte)) {
		for buffer := make([]byte, 2048); ; {
			n, err := read(buffer)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil && !r.muted.Load() {
				write(buffer[:n])
			}
		}
	}
	go forward(func(b []byte) (int, error) {
		n, from, err := front.ReadFrom(b)
		if err == nil {
			client.Store(from)
		}
		return n, err
	}, func(b []byte) { _, _ = back.Write(b) })
	go forward(back.Read, func(b []byte) { _, _ = front.WriteTo(b, client.Load().(net.Addr)) })
	t.Cleanup(func() {
		assert.NilError(t, front.Close())
		assert.NilError(t, back.Close())
	})
	return r
}

// countCalls lets a messenger count its calls.
func countCalls(m *messenger.Messenger) *atomic.Int64 {
	calls := &atomic.Int64{}
	m.Handle(topic, func(context.Context, fleet.EntryID, []byte) (any, error) {
		calls.Add(1)
		return "", nil
	})
	return calls
}

// connectOnlyThrough connects a messenger to a peer through a relay, whatever address the peer advertises.
func connectOnlyThrough(r *relay, m *messenger.Messenger, peer fleet.EntryID) {
	m.SetResolver(func(fleet.EntryID) (string, bool) { return r.LocalAddr().String(), true })
	m.SetPeer(peer, r.LocalAddr().String())
}

// TestCallWithoutConnectionIsUnsent guards against a call that counts as uncertain although no connection was established before its
// time was over, and against one that is executed after that. The peer starts once the first call is over.
func TestCallWithoutConnectionIsUnsent(t *testing.T) {
	key := identity.RandomHex(identity.MinKeyBytes)
	a, b := startMessenger(t, "a", key), startMessenger(t, "b", key)
	calls := countCalls(b)
	r := startRelay(t, b.Address())
	r.muted.Store(true)
	connectOnlyThrough(r, a, "b")
	_, err := call(a, "b", 200*time.Millisecond)
	assert.ErrorIs(t, err, messenger.KindUnsent)
	r.muted.Store(false)
	for calls.Load() == 0 {
		_, _ = call(a, "b", 100*time.Millisecond)
	}
	_, err = call(a, "b", time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, calls.Load(), int64(2), "the call that was withdrawn was executed")
}

// TestCallToSilentPeerIsUnsent guards against calls that are written to the connection of a peer that has lost power, until the connection
// times out: nobody knows whether they were executed. Only those of the first moments are uncertain. The peer is used again once it answers.
func TestCallToSilentPeerIsUnsent(t *testing.T) {
	key := identity.RandomHex(identity.MinKeyBytes)
	a, b := startMessenger(t, "a", key), startMessenger(t, "b", key)
	calls := countCalls(b)
	r := startRelay(t, b.Address())
	connectOnlyThrough(r, a, "b")
	_, err := call(a, "b", time.Minute)
	assert.NilError(t, err)
	r.muted.Store(true)
	_, err = call(a, "b", 400*time.Millisecond)
	assert.Assert(t, !errors.Is(err, messenger.KindUnsent), "%v", err)
	assert.ErrorIs(t, err, messenger.KindUnreachable)
	start := time.Now()
	_, err = call(a, "b", time.Minute)
	assert.ErrorIs(t, err, messenger.KindUnsent)
	assert.Assert(t, time.Since(start) < 100*time.Millisecond, "the refusal took %s", time.Since(start))
	r.muted.Store(false)
	for before := calls.Load(); calls.Load() == before; {
		_, _ = call(a, "b", 100*time.Millisecond)
	}
}

// TestSlowPeerIsNotSilent guards against refusing the calls to a peer whose answers take long but whose connection is sound.
func TestSlowPeerIsNotSilent(t *testing.T) {
	key := identity.RandomHex(identity.MinKeyBytes)
	a, b := startMessenger(t, "a", key), startMessenger(t, "b", key)
	b.Handle(topic, func(ctx context.Context, _ fleet.EntryID, _ []byte) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	a.SetPeer("b", b.Address())
	for range 4 {
		_, err := call(a, "b", 400*time.Millisecond)
		assert.ErrorIs(t, err, messenger.KindUnreachable)
		assert.Assert(t, !errors.Is(err, messenger.KindUnsent), "%v", err)
	}
}
