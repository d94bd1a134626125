package accountant_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/accountant"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// step is the time between two demand estimates of a leader.
const step = 50 * time.Millisecond

// fleetOf settles the accounts of customers that use and ask for parts of a fleet of 100 instances.
type fleetOf struct {
	*accountant.Accountant
	now time.Duration
}

func newFleet() *fleetOf { return &fleetOf{Accountant: accountant.New(0)} }

// run settles for some time, and returns how often the level of a customer changed.
func (f *fleetOf) run(customer fleet.CustomerID, d time.Duration) (changes int) {
	for end := f.now + d; f.now < end; {
		f.now += step
		before := f.Account(customer).Level()
		f.Settle(f.now, 100)
		if f.Account(customer).Level() != before {
			changes++
		}
	}
	return changes
}

// TestDemandWithinShares guards against a customer whose demand takes machines that others wait for, against shares that stay unused, and against
// weights that are missing or not numbers. Load: customers that ask for more than the fleet has, one seven times its share.
func TestDemandWithinShares(t *testing.T) {
	type claim struct{ weight, demand, within float64 }
	for _, c := range []struct {
		name   string
		claims []claim
	}{
		{"enough for all", []claim{{1, 70, 1}, {1, 30, 1}}},
		{"one customer", []claim{{1, 700, 1}, {1, 0, 1}}},
		{"seven times its share", []claim{{1, 175, 25. / 175}, {1, 25, 1}, {1, 25, 1}, {1, 25, 1}}},
		{"unused shares go to others", []claim{{1, 175, 80. / 175}, {1, 10, 1}, {1, 10, 1}, {1, 0, 1}}},
		{"by weight", []claim{{3, 100, 0.75}, {1, 100, 0.25}}},
		{"missing and wrong weights", []claim{{0, 100, 0.2}, {-3, 100, 0.2}, {math.NaN(), 100, 0.2}, {math.Inf(1), 100, 0.2}, {1, 100, 0.2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet()
			for i, claim := range c.claims {
				f.Account(fleet.CustomerID(fmt.Sprint(i))).Set(claim.weight, 0, claim.demand)
			}
			f.run("0", step)
			for i, claim := range c.claims {
				within := f.Account(fleet.CustomerID(fmt.Sprint(i))).Within()
				assert.Assert(t, math.Abs(within-claim.within) < 1e-9, "customer %d: %g", i, within)
			}
		})
	}
}

// TestBurstOfOneCustomer guards against precedence that flaps or lasts. Load: one of four customers uses and asks for seven times its share for 6 s
// while the others wait for a part of theirs, and then asks for its share again.
func TestBurstOfOneCustomer(t *testing.T) {
	f := newFleet()
	others := []fleet.CustomerID{"b", "c", "d"}
	for _, c := range others {
		f.Account(c).Set(1, 10, 25)
	}
	f.Account("a").Set(1, 70, 175)
	assert.Equal(t, f.run("a", 6*time.Second), 1)
	assert.Equal(t, f.Account("a").Level(), accountant.Ahead)
	assert.Assert(t, f.Account("b").Balance() < 0, "a customer that waits for its share has a credit")
	for _, c := range others {
		f.Account(c).Set(1, 25, 26)
	}
	f.Account("a").Set(1, 25, 26)
	assert.Equal(t, f.run("a", 6*time.Second), 1)
	assert.Equal(t, f.Account("a").Level(), accountant.Even, "a debt is forgotten in the time of an objective")
	assert.Assert(t, f.Account("b").Balance() > -0.5, "so is a credit")
}

// TestIdleMachinesAndIdleCustomers guards against a debt for machines that nobody else asked for, and against the credit of a customer that asked for
// nothing for a long time. Load: one customer uses the whole fleet for a minute, until another comes that was inactive.
func TestIdleMachinesAndIdleCustomers(t *testing.T) {
	f := newFleet()
	f.Account("idle").Set(1, 0, 0)
	f.Account("busy").Set(1, 100, 700)
	f.run("busy", time.Minute)
	assert.Equal(t, f.Account("busy").Balance(), 0.0)
	assert.Equal(t, f.Account("idle").Balance(), 0.0)
	f.Account("idle").Set(1, 0, 80)
	f.Account("new").Set(1, 0, 80)
	f.run("busy", step)
	assert.Equal(t, f.Account("idle").Level(), accountant.Even)
	assert.Equal(t, f.Account("idle").Balance(), f.Account("new").Balance(), "an inactive customer has no more credit than a new one")
}

// TestSharesAddUp checks that what is within the shares never exceeds the capacity and leaves nothing of it unused, that no customer gets less
// than its weight entitles it to, and that balances stay bounded, whatever customers ask for.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		capacity := rapid.Float64Range(0, 500).Draw(t, "capacity")
		count := rapid.IntRange(1, 12).Draw(t, "customers")
		for range 3 {
			demands, weights, total, allWeights := make([]float64, count), make([]float64, count), 0.0, 0.0
			for i := range count {
				demands[i], weights[i] = rapid.Float64Range(0.1, 300).Draw(t, "demand"), rapid.Float64Range(0.1, 9).Draw(t, "weight")
				f.Account(fleet.CustomerID(fmt.Sprint(i))).Set(weights[i], rapid.Float64Range(0, 300).Draw(t, "used"), demands[i])
				total, allWeights = total+demands[i], allWeights+weights[i]
			}
			f.now += rapid.SampledFrom([]time.Duration{0, step, time.Minute}).Draw(t, "elapsed")
			f.Settle(f.now, capacity)
			within := 0.0
			for i := range count {
				c := f.Account(fleet.CustomerID(fmt.Sprint(i)))
				within += c.Within() * demands[i]
				if entitled := capacity * weights[i] / allWeights; c.Within()*demands[i] < min(demands[i], entitled)-1e-6 {
					t.Fatalf("customer %d gets %g of %g, entitled to %g", i, c.Within()*demands[i], demands[i], entitled)
				}
				if math.Abs(c.Balance()) > 2 || math.IsNaN(c.Balance()) {
					t.Fatalf("balance %g", c.Balance())
				}
			}
			if want := min(total, capacity); count > 1 && math.Abs(within-want) > 1e-6 {
				t.Fatalf("%g of %g is within shares", within, want)
			}
		}
	})
}
