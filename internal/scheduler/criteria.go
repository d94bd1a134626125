package scheduler

// Criteria is a set of placement criteria that can be left out, to compare decisions with and without them.
type Criteria uint8

// Criteria of placement.
const (
	// SpeedCriterion places tasks by the speed of instances.
	SpeedCriterion Criteria = 1 << iota
	// CustomerSpreadCriterion spreads the batch work of a customer over racks.
	CustomerSpreadCriterion
	// ReservationCriterion reserves room for wide and large tasks.
	ReservationCriterion
	// DataRackCriterion lets tasks wait for the rack of their data.
	DataRackCriterion
)

// uses reports whether a criterion applies.
func (s *Scheduler) uses(c Criteria) bool { return s.options.WithoutCriteria&c == 0 }
