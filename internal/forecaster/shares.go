package forecaster

import "github.com/sapphiresail/sapphiresail/internal/fleet"

// shares bounds the part of each customer in what is learned for all: one whose tasks misreport cannot outweigh the others. It
// follows the customers with the largest weights.
type shares struct {
	entries [8]customerShare
	total   float64
}

type customerShare struct {
	customer fleet.CustomerID
	weight   float64
}

const (
	sharesWindow = 100
	// freeShare is the weight up to which a customer counts fully, whatever the others have.
	freeShare = 4
	// maxShareRatio is the bound on a customer's weight relative to that of all others together.
	maxShareRatio = 0.25
)

// admit adds the weight of a run to its customer and returns the factor on it.
func (s *shares) admit(customer fleet.CustomerID, weight float64) float64 {
	e := s.entry(customer)
	factor := 1.0
	if bound := maxShareRatio*max(0, s.total-e.weight) + freeShare; e.weight > bound {
		factor = bound / e.weight
	}
	keep := 1 - min(1, weight/sharesWindow)
	for i := range s.entries {
		s.entries[i].weight *= keep
	}
	s.total = s.total*keep + weight
	e.weight += weight
	return factor
}

// entry returns the entry of a customer. A customer without one takes over that with the least weight.
func (s *shares) entry(customer fleet.CustomerID) *customerShare {
	least := &s.entries[0]
	for i := range s.entries {
		e := &s.entries[i]
		if e.customer == customer && e.weight > 0 {
			return e
		}
		if e.weight < least.weight {
			least = e
		}
	}
	*least = customerShare{customer: customer}
	return least
}
