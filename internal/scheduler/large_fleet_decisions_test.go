package scheduler_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// TestLargeFleetDecisionsAreUnchanged guards against an optimisation that changes decisions.
//
// The digest covers all orders to instances and machines and all committed ends of a seeded day. A change that is meant
// to alter decisions records it anew.
//
// The digests without criteria are those from before there were any. The instances of these days are equal, so that their speed changes nothing; on
// the first two days no task is large and none has data, so that only the spread of the work of a customer over racks does. On the third day
// gangs have room reserved, and tasks wait for the rack of their data.
//
// On these days customers ask for more than the fleet has: "shared" is with their shares of the fleet (docs/design/fairness.md), "want" without them.
func TestLargeFleetDecisionsAreUnchanged(t *testing.T) {
	t.Parallel()
	const notOnThirdDay = scheduler.CustomerSpreadCriterion | scheduler.ReservationCriterion | scheduler.DataRackCriterion
	days := []struct {
		seed       int64
		varied     bool
		newLeaders []time.Duration
		without    scheduler.Criteria
		want       string
		shared     string
	}{
		{1, false, nil, 0, "32f08346f1704b2efff0be32dc9e0e55e483a108259573f49bab47bb031663b3", "24cb1df33f983168616ca3421a90dbbf7871feed1c4aad8a8c28d00c426c32c9"},
		{2, false, []time.Duration{2 * time.Second, 7 * time.Second}, 0, "6914f3c8e5f456bccc6102bc98cc6b2f10e5c95419fd5bbd609c4b668836a6b3", "dc4c8a415b71ee3fb536638b1400d1e4ffc25953e760af408ab1510d402b8f7e"},
		{3, true, []time.Duration{5 * time.Second}, 0, "b851e177dd63b5cab6d8472ac56c209fcf2de76f64752c003bc2678d43a19a9b", "4e20b785490a36c29faa1d77fd0ae64c3b49af281924180458012213179f9f9e"},
		{1, false, nil, scheduler.CustomerSpreadCriterion, "51263b7691495a198e549bc0e143ee26b9b0c15b661cae4a1caef58d5c29be8f", "b61785296ff68acaf6679fd2260d41e032ba36feded624bc2ccfba48d9beea81"},
		{2, false, []time.Duration{2 * time.Second, 7 * time.Second}, scheduler.CustomerSpreadCriterion, "192708412c5aff1fd5f6576337ad53f4efd72f7281272122de4827f1153ec0a6", "880afb3b5d9fb8d087095cc3dedb16e049717b06091e2787ed6a81f1b18789b6"},
		{3, true, []time.Duration{5 * time.Second}, notOnThirdDay, "d2e40ebc37b39ae666a502c1fcee343ab78b3acbce4fb0f68a2a8a37cf0e6eee", "92ca83e913d1e77e0a0837f062a1e8d6dceede2ad757e81b18dcf321913ee288"},
	}
	for _, day := range days {
		for shares, want := range map[bool]string{false: day.want, true: day.shared} {
			t.Run(fmt.Sprintf("seed %d without %d, shares of the fleet %t", day.seed, day.without, shares), func(t *testing.T) {
				t.Parallel()
				f := newLargeFleetWith(day.seed, 0, day.without, shares)
				f.varied = day.varied
				assert.Check(t, is.Equal(f.decisions(day.newLeaders), want))
			})
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
// are those of the scheduler without such shares.
func TestFleetSharesOfOneCustomerAreNeutral(t *testing.T) {
	for name, day := range map[string]struct {
		oneCustomer bool
		load        float64
		without     scheduler.Criteria
		want        string
	}{
		"one customer":                           {true, 1, 0, "8c1207d822a3274cde670fdc57b1449e73d160532430a09d639380f0d1ae6a6b"},
		"one customer, three times":              {true, 3, 0, "90fa9f58ac8172e34a385b14c486095e2a051f20f6dc7eb9bb6fbbf45b08c218"},
		"half load":                              {false, 0.5, 0, "759d5ab1d1d4f9871331d3a9e6b827a5e32d9dd42c9d96a08800938b7e6158fc"},
		"half load, without spread of customers": {false, 0.5, scheduler.CustomerSpreadCriterion, "acbb9f5e702c3e5dd4fe49ffc01317ce1d646ea6774f71daa51aefce99f5b53b"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLargeFleetWith(4, 0, day.without, true)
			f.oneCustomer, f.load = day.oneCustomer, day.load
			assert.Check(t, is.Equal(f.decisions(nil), day.want))
		})
	}
}
