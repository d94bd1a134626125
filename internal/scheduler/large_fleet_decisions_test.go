package scheduler_test

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// TestLargeFleetDecisionsAreUnchanged guards against an optimisation that changes decisions.
//
// The digest covers all orders to instances and machines and all committed ends of a seeded day. A change that is meant
// to alter decisions records it anew.
func TestLargeFleetDecisionsAreUnchanged(t *testing.T) {
	days := []struct {
		seed       int64
		varied     bool
		newLeaders []time.Duration
		want       string
	}{
		{1, false, nil, "e13b398fe7ca0ae57729cb60f7bce3697d847df2d7f71d8e6fada4bda3f52e0a"},
		{2, false, []time.Duration{2 * time.Second, 7 * time.Second}, "f5bee620acd6f4f9059b0c91848ba813313c3b285137c9d2d3acbe5f393130f7"},
		{3, true, []time.Duration{5 * time.Second}, "4a14101f948cd79bb2f8ca1cdbdf4c62e9f9e1d734ee10acb31cff0d9800807d"},
	}
	for _, day := range days {
		f := newLargeFleet(day.seed, 0)
		f.varied = day.varied
		f.digest = sha256.New()
		for f.now < f.start+9*time.Second {
			f.advance()
			if slices.Contains(day.newLeaders, f.now-f.start) {
				f.startLeader()
			}
		}
		assert.Check(t, is.Equal(hex.EncodeToString(f.digest.Sum(nil)), day.want), "seed %d", day.seed)
	}
}
