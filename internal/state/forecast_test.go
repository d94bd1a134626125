package state_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/codec"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// TestRecordForecast guards against a summary that is lost with a snapshot, and against one that makes snapshots large.
func TestRecordForecast(t *testing.T) {
	s := state.New()
	assert.NilError(t, s.ApplyCommand(1, state.RecordForecast{Summary: []byte("one")}).Err())
	assert.NilError(t, s.ApplyCommand(2, state.RecordForecast{Summary: []byte("two")}).Err())
	assert.ErrorIs(t, s.ApplyCommand(3, state.RecordForecast{Summary: make([]byte, 8<<10+1)}).Err(), state.KindLimit)
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored, err := state.FromSnapshot(data)
	assert.NilError(t, err)
	assert.Equal(t, string(restored.Workload.Forecast), "two")
}

// TestForecastOfLaterVersion guards against a keeper that cannot read a snapshot because a later version has added the summary, or that stops
// at a command that it does not know. An earlier version is one whose types lack both.
func TestForecastOfLaterVersion(t *testing.T) {
	type earlier struct {
		Work struct {
			CatalogueSource []byte `cbor:"2,keyasint,omitempty"`
		} `json:"work"`
	}
	s := state.New()
	s.Workload.CatalogueSource = []byte("x")
	s.ApplyCommand(1, state.RecordForecast{Summary: []byte("one")})
	data, err := s.Snapshot()
	assert.NilError(t, err)
	var old earlier
	assert.NilError(t, codec.MustNew().Decode(data, &old))
	assert.Equal(t, string(old.Work.CatalogueSource), "x")
	record, err := codec.MustNew(codec.Registration{Tag: 79_999, Sample: unknownCommand{}}).Encode(map[int]any{1: unknownCommand{}})
	assert.NilError(t, err)
	assert.Equal(t, s.Apply(2, record).Refused, state.KindInvalid)
	assert.Equal(t, string(s.Workload.Forecast), "one")
}

type unknownCommand struct{}
