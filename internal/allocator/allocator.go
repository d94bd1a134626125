// Package allocator divides the machines of a fleet between pools that want more of them than there are.
package allocator

import (
	"cmp"
	"slices"
)

// Claim is what one pool wants.
type Claim struct {
	// Floor is what the pool needs in any case, as for its service tasks, and Wanted what it could use, in machines.
	Floor, Wanted int
}

// Allocate returns how many of the machines each claim gets, none more than it wants. If there are enough, each gets what it wants. Otherwise
// each gets its floor, and the rest is divided in proportion to what each wants beyond it: batch work is worth the same by the
// processor-second in every queue, so that the pool with the largest backlog has no better title than one whose burst begins. If there
// are too few for the floors, they are divided in proportion to the floors.
func Allocate(machines int, claims []Claim) []int {
	floors, wanted := 0, 0
	for _, c := range claims {
		floors += c.floor()
		wanted += c.Wanted
	}
	shares := make([]int, len(claims))
	switch {
	case wanted <= machines:
		for i, c := range claims {
			shares[i] = c.Wanted
		}
	case floors >= machines:
		divide(max(0, machines), floors, claims, shares, Claim.floor)
	default:
		for i, c := range claims {
			shares[i] = c.floor()
		}
		divide(machines-floors, wanted-floors, claims, shares, func(c Claim) int { return c.Wanted - c.floor() })
	}
	return shares
}

func (c Claim) floor() int { return min(c.Floor, c.Wanted) }

// divide adds the parts of n in proportion to weight, whose sum is total, to shares; what is left by rounding goes to the largest remainders.
func divide(n, total int, claims []Claim, shares []int, weight func(c Claim) int) {
	if total <= 0 {
		return
	}
	order := make([]int, len(claims))
	left := n
	for i, c := range claims {
		order[i] = i
		part := n * weight(c) / total
		shares[i] += part
		left -= part
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(n*weight(claims[b])%total, n*weight(claims[a])%total)
	})
	for _, i := range order[:left] {
		shares[i]++
	}
}
