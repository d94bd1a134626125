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
		{1, false, nil, "b707ad3324fadfd3599fd49eb6256e877866fd6a6196694db15938c51d3afbba"},
		{2, false, []time.Duration{2 * time.Second, 7 * time.Second}, "f5ba6f6d7647d4b2a3d095dd60ea87f99dea10fc917b4ec5370bdc0d06c4bb15"},
		{3, true, []time.Duration{5 * time.Second}, "9049881e9e1574134ac1f69ff2e0401081e2e72849875e1a08f299e9b966ca84"},
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
