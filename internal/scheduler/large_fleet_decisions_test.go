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
		{1, false, nil, "c5e3806994bf2105b407b280a17f3f251547d4c376fc5a5268de457e46b5ae7e"},
		{2, false, []time.Duration{2 * time.Second, 7 * time.Second}, "6398b3052f731f5c635fee5df4d0a8aaeebfa22381494755079ddc5fc107ab87"},
		{3, true, []time.Duration{5 * time.Second}, "119665e4844c6d8ad89cb1a1e79ec7103c363c1d8dec59359895ebb9c3d4c5ef"},
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
