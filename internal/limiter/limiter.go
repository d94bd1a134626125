// Package limiter divides a customer's upper limit among the pools that ask for a part of it.
package limiter

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Limiter divides one limit.
type Limiter struct {
	limit int
}

// Claim is what one pool asks of the limit.
type PoolDemand struct {
	Pool   fleet.PoolID
	Demand int
}

// New returns a limiter of a limit in tasks.
func New(limit int) *Limiter { return &Limiter{limit: limit} }

// Divide fills the pools evenly up to their demand and spreads what is left evenly as headroom.
//
// The parts never sum to more than the limit, and the result depends only on the set of claims.
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

// topUp gives the rest of the integer division to pools whose demand is not met.
func assignRemainder(demands []PoolDemand, allocations map[fleet.PoolID]int, remaining int) int {
	for _, d := range demands {
		if extra := min(remaining, d.Demand-allocations[d.Pool]); extra > 0 {
			allocations[d.Pool] += extra
			remaining -= extra
		}
	}
	return remaining
}
