package messenger_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
)

const topic messenger.Topic = 7

func startMessenger(t *testing.T, name, key string) *messenger.Messenger {
	id, err := identity.New(name, key)
	assert.NilError(t, err)
	m, err := messenger.New(id, "127.0.0.1:0", metrics.NewRegistry())
	assert.NilError(t, err)
	m.Handle(topic, func(_ context.Context, from fleet.EntryID, payload []byte) (any, error) {
		var text string
		err := messenger.Codec.Decode(payload, &text)
		return string(from) + " said " + text, err
	})
	t.Cleanup(func() { assert.NilError(t, m.Close()) })
	return m
}

func call(m *messenger.Messenger, to fleet.EntryID, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply string
	err := m.Call(ctx, to, topic, "hello", &reply)
	return reply, err
}

func TestCallRequiresSameFleetKey(t *testing.T) {
	key, otherKey := identity.RandomHex(identity.MinKeyBytes), identity.RandomHex(identity.MinKeyBytes)
	a, b, outsider := startMessenger(t, "a", key), startMessenger(t, "b", key), startMessenger(t, "c", otherKey)
	a.SetPeer("b", b.Address())
	outsider.SetPeer("b", b.Address())
	a.SetPeer("c", outsider.Address())
	reply, err := call(a, "b", time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, reply, "a said hello")
	_, err = call(outsider, "b", time.Second)
	assert.ErrorIs(t, err, messenger.KindUnreachable)
	_, err = call(a, "c", time.Second)
	assert.ErrorIs(t, err, messenger.KindUnreachable)
}

func TestPeerUnderAnotherNameIsRefused(t *testing.T) {
	key := identity.RandomHex(identity.MinKeyBytes)
	a, b := startMessenger(t, "a", key), startMessenger(t, "b", key)
	a.SetPeer("x", b.Address())
	_, err := call(a, "x", time.Second)
	assert.ErrorIs(t, err, messenger.KindUnreachable)
}

func TestNewRejectsHostName(t *testing.T) {
	id, err := identity.New("a", identity.RandomHex(identity.MinKeyBytes))
	assert.NilError(t, err)
	_, err = messenger.New(id, "localhost:0", metrics.NewRegistry())
	assert.ErrorIs(t, err, messenger.KindListen)
}
