// Package limiter divides the upper limit of a customer among pools by max-min fairness.
package limiter

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Limiter divides the limit of one customer.
type Limiter struct {
	limit int
}

// PoolDemand is the demand of one pool for the limit, in tasks.
type PoolDemand struct {
	Pool   fleet.PoolID
	Demand int
}

// New returns a limiter for a limit in tasks.
func New(limit int) *Limiter { return &Limiter{limit: limit} }

// Divide allocates the limit evenly up to the demand of each pool, and spreads the remainder evenly as headroom.
//
// The allocations never sum to more than the limit, and the result doesn't depend on the order of the demands.
func (l *Limiter) Divide(demands []PoolDemand) map[fleet.PoolID]int {
	allocations := make(map[fleet.PoolID]int, len(demands))
	sorted := slices.SortedFunc(slices.Values(demands), func(a, b PoolDemand) int {
		return cmp.Or(cmp.Compare(a.Demand, b.Demand), cmp.Compare(a.Pool, b.Pool))
	})
	remaining := l.limit
	for i, d := range sorted {
		allocation := min(d.Demand, remaining/(len(sorted)-i))
		allocations[d.Pool] = allocation
		remaining -= allocation
	}
	remaining = assignRemainder(sorted, allocations, remaining)
	for i, d := range sorted {
		extra := remaining / (len(sorted) - i)
		allocations[d.Pool] += extra
		remaining -= extra
	}
	return allocations
}

// assignRemainder allocates the remainder of the integer division to pools with unmet demand.
func assignRemainder(demands []PoolDemand, allocations map[fleet.PoolID]int, remaining int) int {
	for _, d := range demands {
		if extra := min(remaining, d.Demand-allocations[d.Pool]); extra > 0 {
			allocations[d.Pool] += extra
			remaining -= extra
		}
	}
	return remaining
}
