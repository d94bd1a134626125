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
		{1, false, nil, "12c3e01ae9f0cda636e14c08c36542b3906ace714c4e8eaa766ae4488eff54ca"},
		{2, false, []time.Duration{2 * time.Second, 7 * time.Second}, "4cc89bb79409fdd785660c42af9e8a3e89ba12e1937f01f4722fdc7ff175178b"},
		{3, true, []time.Duration{5 * time.Second}, "bc896623f569c9055ae5c5b7af871e09ad6fef854ecf5e6532738adb2d30a8c5"},
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
