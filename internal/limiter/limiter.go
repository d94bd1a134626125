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
type Claim struct {
	Pool   fleet.PoolID
	Demand int
}

// New returns a limiter of a limit in tasks.
func New(limit int) *Limiter { return &Limiter{limit: limit} }

// Divide fills the pools evenly up to their demand and spreads what is left evenly as headroom.
//
// The parts never sum to more than the limit, and the result depends only on the set of claims.
func (l *Limiter) Divide(claims []Claim) map[fleet.PoolID]int {
	parts := make(map[fleet.PoolID]int, len(claims))
	sorted := slices.SortedFunc(slices.Values(claims), func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Demand, b.Demand), cmp.Compare(a.Pool, b.Pool))
	})
	left := l.limit
	for i, c := range sorted {
		part := min(c.Demand, left/(len(sorted)-i))
		parts[c.Pool] = part
		left -= part
	}
	left = topUp(sorted, parts, left)
	for i, c := range sorted {
		extra := left / (len(sorted) - i)
		parts[c.Pool] += extra
		left -= extra
	}
	return parts
}

// topUp gives the rest of the integer division to pools whose demand is not met.
func topUp(claims []Claim, parts map[fleet.PoolID]int, left int) int {
	for _, c := range claims {
		if extra := min(left, c.Demand-parts[c.Pool]); extra > 0 {
			parts[c.Pool] += extra
			left -= extra
		}
	}
	return left
}
