package replicator_test

import (
	"context"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/journaler"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// TestKeeperGoesOnOnceDiskHasRoom guards against a keeper that is lost until it is started again because its disk was full for a
// while. Nothing may be acknowledged meanwhile, it must not lead, and it must go on once there is room.
func TestKeeperGoesOnOnceDiskHasRoom(t *testing.T) {
	var full atomic.Bool
	j, err := journaler.Open(t.TempDir(), journaler.WithWrite(func(f *os.File, frame []byte, offset int64) error {
		if full.Load() {
			return syscall.ENOSPC
		}
		_, err := f.WriteAt(frame, offset)
		return err
	}))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, j.Close()) })
	id, err := identity.New("a", identity.RandomHex(identity.MinKeyBytes))
	assert.NilError(t, err)
	m, err := messenger.New(id, "127.0.0.1:0", metrics.NewRegistry())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, m.Close()) })
	r, err := replicator.Start(replicator.Options{Entry: "a", Messenger: m, Journal: j, Keepers: []fleet.EntryID{"a"}, Peers: []fleet.EntryID{"a"}, Logger: zap.NewNop()})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, r.Close()) })
	commit := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := r.Commit(ctx, state.Barrier{})
		return err
	}
	// Commit gives up sooner than a first election may take.
	waitForLeader([]*replicator.Replicator{r})
	assert.NilError(t, commit(time.Minute))
	full.Store(true)
	assert.ErrorIs(t, commit(2*time.Second), replicator.KindUncertain)
	_, leads := r.Leads()
	assert.Assert(t, !leads, "leads without a journal")
	assert.NilError(t, r.Failed())
	full.Store(false)
	assert.NilError(t, commit(time.Minute))
}
