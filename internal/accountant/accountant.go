// Package accountant keeps accounts of what each customer uses of a fleet, and decides who comes first while there is not enough for all.
//
// While customers ask for more than there is, each has a fair share: the weighted maximin share, which leaves to others what a customer does
// not ask for. A customer that gets more is charged the excess, one that waits for less is credited the shortfall. Balances decay within
// seconds and are bounded, and with enough for all nothing is charged, so that a long use of idle machines is no debt.
package accountant

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Time constant and thresholds of balances. A balance is in seconds of the fair share of its customer.
const (
	// decayTime is as long as the objectives of short jobs, 2 to 5 s: what was used longer ago no longer holds up a job that waits now.
	decayTime = 4 * time.Second
	// maxBalance bounds credits and debts, so that a debt is forgotten, by decay alone, within 5.5 s of its cause.
	maxBalance = 2.0
	// enterBalance is beyond what one job of a second makes of a customer at its share.
	enterBalance = 1.0
	// leaveBalance is half of enterBalance: a level lasts for seconds, so that jobs do not overtake each other repeatedly.
	leaveBalance = 0.5
	// defaultWeight is the weight of customers without one.
	defaultWeight = 1.0
)

// Accountant holds the accounts of all customers. It has no clock and is not safe for concurrent use.
type Accountant struct {
	// accounts are in order of their customers, so that sums do not depend on the order in which customers appeared.
	accounts  []*Account
	settledAt time.Duration
	contended bool
	// byNeed is kept to use its memory again.
	byNeed []*Account
}

// New returns an accountant whose accounts are neutral from now on.
func New(now time.Duration) *Accountant { return &Accountant{settledAt: now} }

// Account returns the account of a customer. A new one is neutral.
func (a *Accountant) Account(customer fleet.CustomerID) *Account {
	i, found := slices.BinarySearchFunc(a.accounts, customer, func(c *Account, id fleet.CustomerID) int { return cmp.Compare(c.customer, id) })
	if !found {
		a.accounts = slices.Insert(a.accounts, i, &Account{customer: customer, within: 1})
	}
	return a.accounts[i]
}

// Accounts returns all accounts in order of their customers.
func (a *Accountant) Accounts() []*Account { return a.accounts }

// Contended reports whether at least two customers asked for more than the capacity when the accounts were settled last.
func (a *Accountant) Contended() bool { return a.contended }

// Settle brings all accounts up to date, from what their customers use and ask for now, and the capacity that there is for all of them.
func (a *Accountant) Settle(now time.Duration, capacity float64) {
	elapsed := max(0, now-a.settledAt)
	a.settledAt = now
	perWeight := a.fairPerWeight(capacity)
	decay := math.Exp(-float64(elapsed) / float64(decayTime))
	for _, c := range a.accounts {
		c.settle(elapsed.Seconds(), decay, perWeight)
	}
}

// fairPerWeight returns the fair share of a customer of weight 1, which is infinite if there is enough for all, or for the only one that asks.
// Customers that ask for less than their part of what is left get all of it, those that ask for least by their weight first.
func (a *Accountant) fairPerWeight(capacity float64) float64 {
	a.byNeed = a.byNeed[:0]
	total, weights := 0.0, 0.0
	for _, c := range a.accounts {
		if c.demand > 0 {
			a.byNeed = append(a.byNeed, c)
			total += c.demand
			weights += c.weight()
		}
	}
	a.contended = len(a.byNeed) > 1 && total > capacity
	if !a.contended {
		return math.Inf(1)
	}
	slices.SortStableFunc(a.byNeed, func(x, y *Account) int { return cmp.Compare(x.demand*y.weight(), y.demand*x.weight()) })
	left := max(0, capacity)
	for _, c := range a.byNeed {
		if c.demand*weights > left*c.weight() {
			break
		}
		left -= c.demand
		weights -= c.weight()
	}
	return left / weights
}
