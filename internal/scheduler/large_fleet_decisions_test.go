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
		{1, false, nil, "14dda5dd51270883613248192140a7fcdb7c9fea480e2f2ac6850ed1bac03ab7"},
		{2, false, []time.Duration{2 * time.Second, 7 * time.Second}, "38847d07f8adc0cc1b50d1b735c7f628935cecd1e89e5bbe732760262a92c74d"},
		{3, true, []time.Duration{5 * time.Second}, "5826f08f0af03c0628055b200526cab5a84bf70129cc6bb91f853c98c6937193"},
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
