package replicator_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/journaler"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/raft"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// topicRaft is the topic of Raft messages; those of proposals, formation and membership follow it.
const topicRaft messenger.Topic = 1

// startPair starts a keeper that forms a group by itself or, without keepers, waits for a group, and a process that can reach it.
func startPair(t *testing.T, folder string, keepers ...fleet.EntryID) (*replicator.Replicator, *messenger.Messenger) {
	t.Helper()
	key := identity.RandomHex(identity.MinKeyBytes)
	var messengers []*messenger.Messenger
	for _, name := range []string{"a", "stranger"} {
		id, err := identity.New(name, key)
		assert.NilError(t, err)
		m, err := messenger.New(id, "127.0.0.1:0", metrics.NewRegistry())
		assert.NilError(t, err)
		t.Cleanup(func() { assert.NilError(t, m.Close()) })
		messengers = append(messengers, m)
	}
	j, err := journaler.Open(folder)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, j.Close()) })
	r, err := replicator.Start(replicator.Options{Entry: "a", Messenger: messengers[0], Journal: j, Keepers: keepers, Peers: []fleet.EntryID{"a"}, Logger: zap.NewNop()})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, r.Close()) })
	messengers[1].SetPeer("a", messengers[0].Address())
	return r, messengers[1]
}

func callTopic(m *messenger.Messenger, topic messenger.Topic, request any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply any
	return m.Call(ctx, "a", topic, request, &reply)
}

// TestUnreadableMessagesEndNoKeeper guards against one unreadable message, on any topic, that ends a keeper or its event loop.
func TestUnreadableMessagesEndNoKeeper(t *testing.T) {
	r, stranger := startPair(t, t.TempDir(), "a")
	waitForLeader([]*replicator.Replicator{r})
	for topic := topicRaft; topic < topicRaft+4; topic++ {
		for _, request := range []any{nil, "text", []int{1}, map[int]any{1: "x", 2: -1}, map[int]any{1: 200}, raft.Message{Kind: raft.SnapshotChunk, To: raft.ID(r.Status().Incarnation), Term: 99}} {
			t.Log(topic, callTopic(stranger, topic, request))
		}
	}
	waitForLeader([]*replicator.Replicator{r})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := r.Commit(ctx, state.Barrier{})
	assert.NilError(t, err)
}

// TestUnreadableSnapshotEndsNoKeeper guards against a snapshot from a later version that ends each keeper that receives it, then and after each restart.
func TestUnreadableSnapshotEndsNoKeeper(t *testing.T) {
	folder := t.TempDir()
	r, stranger := startPair(t, folder)
	snapshot := &raft.Snapshot{Index: 9, Term: 5, Voters: []raft.ID{"stranger/1"}, Data: []byte{0xff, 0xff}}
	m := raft.Message{Kind: raft.SnapshotChunk, From: "stranger/1", To: raft.ID(r.Status().Incarnation), Term: 5, Commit: 9, LastChunk: true, Snapshot: snapshot}
	assert.NilError(t, callTopic(stranger, topicRaft, m))
	for end := time.Now().Add(20 * time.Second); r.Status().Term < 5 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, callTopic(stranger, topicRaft, raft.Message{Kind: raft.Append, From: "stranger/1", To: m.To, Term: 6}))
	for end := time.Now().Add(20 * time.Second); r.Status().Term < 6 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, r.Failed())
	assert.Equal(t, r.Status().Term, uint64(6), "the keeper no longer handles messages")
	assert.Equal(t, r.Status().Applied, uint64(0))
}
