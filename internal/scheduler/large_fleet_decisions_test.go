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
// to alter decisions records it anew. On these days customers ask for more than the fleet has: "shared" is with their shares of the fleet
// (docs/design/fairness.md), "want" without them.
func TestLargeFleetDecisionsAreUnchanged(t *testing.T) {
	days := []struct {
		seed       int64
		varied     bool
		newLeaders []time.Duration
		want       string
		shared     string
	}{
		{1, false, nil, "51263b7691495a198e549bc0e143ee26b9b0c15b661cae4a1caef58d5c29be8f", "b61785296ff68acaf6679fd2260d41e032ba36feded624bc2ccfba48d9beea81"},
		{2, false, []time.Duration{2 * time.Second, 7 * time.Second}, "192708412c5aff1fd5f6576337ad53f4efd72f7281272122de4827f1153ec0a6", "880afb3b5d9fb8d087095cc3dedb16e049717b06091e2787ed6a81f1b18789b6"},
		{3, true, []time.Duration{5 * time.Second}, "d2e40ebc37b39ae666a502c1fcee343ab78b3acbce4fb0f68a2a8a37cf0e6eee", "92ca83e913d1e77e0a0837f062a1e8d6dceede2ad757e81b18dcf321913ee288"},
	}
	for _, day := range days {
		for _, ignore := range []bool{true, false} {
			want := day.shared
			if ignore {
				want = day.want
			}
			f := newLargeFleetSharing(day.seed, 0, ignore)
			f.varied = day.varied
			assert.Check(t, is.Equal(f.decisions(day.newLeaders), want), "seed %d, without shares of the fleet: %t", day.seed, ignore)
		}
	}
}

// decisions returns the digest of all decisions of 9 s.
func (f *largeFleet) decisions(newLeaders []time.Duration) string {
	f.digest = sha256.New()
	for f.now < f.start+9*time.Second {
		f.advance()
		if slices.Contains(newLeaders, f.now-f.start) {
			f.startLeader()
		}
	}
	return hex.EncodeToString(f.digest.Sum(nil))
}

// TestFleetSharesOfOneCustomerAreNeutral guards against shares over the fleet that alter decisions although nobody else waits for what a customer
// uses: with one customer under the load of TestLargeFleetDecisionsAreUnchanged, and with twenty at loads that the fleet can serve. The digests
// are those of the scheduler before it had such shares.
func TestFleetSharesOfOneCustomerAreNeutral(t *testing.T) {
	for name, day := range map[string]struct {
		oneCustomer bool
		load        float64
		want        string
	}{
		"one customer":              {true, 1, "8c1207d822a3274cde670fdc57b1449e73d160532430a09d639380f0d1ae6a6b"},
		"one customer, three times": {true, 3, "90fa9f58ac8172e34a385b14c486095e2a051f20f6dc7eb9bb6fbbf45b08c218"},
		"half load":                 {false, 0.5, "acbb9f5e702c3e5dd4fe49ffc01317ce1d646ea6774f71daa51aefce99f5b53b"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLargeFleet(4, 0)
			f.oneCustomer, f.load = day.oneCustomer, day.load
			assert.Check(t, is.Equal(f.decisions(nil), day.want))
		})
	}
}
