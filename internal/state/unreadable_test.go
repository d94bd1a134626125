package state_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestRecordWithUnreadableNameIsApplied guards against leaders that end one after the other: the record of an instance whose id is not text
// is committed, and refused when it is applied.
func TestRecordWithUnreadableNameIsApplied(t *testing.T) {
	const id = "i-\xff\xfe"
	record, err := state.Encode(state.EnrolInstance{Instance: workload.Instance{ID: id, Boot: 1, Pool: "p"}})
	assert.NilError(t, err)
	s := state.New()
	reply := s.Apply(1, record)
	assert.NilError(t, reply.Err())
	snapshot, err := s.Snapshot()
	assert.NilError(t, err)
	restored, err := state.FromSnapshot(snapshot)
	assert.NilError(t, err)
	_, enrolled := restored.Workload.Enrolled[id]
	assert.Assert(t, enrolled)
}
