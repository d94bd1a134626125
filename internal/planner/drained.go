package planner

import (
	"cmp"

	"github.com/sapphiresail/sapphiresail/internal/state"
)

// drained reports whether an instance is in a drained data centre. Nothing is started there and it is not moved, so that it counts as
// available neither for the demand of its pool nor for the maintenance of others.
func (v *View) drained(a state.Assignment) bool {
	_, drained := v.State.DrainedDataCentres[a.DataCentre]
	return drained
}

// compareDrained orders instances in drained data centres before others.
func (v *View) compareDrained(a, b state.Assignment) int {
	rank := func(x state.Assignment) int {
		if v.drained(x) {
			return 0
		}
		return 1
	}
	return cmp.Compare(rank(a), rank(b))
}
