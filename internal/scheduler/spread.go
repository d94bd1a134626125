package scheduler

// minSpreadRuns is the number of batch runs of a customer in a pool from which on they are spread over racks.
const minSpreadRuns = 4

// spread counts the batch runs of one customer in the racks of one pool.
type spread struct {
	// racks are the numbers of runs by the index of the rack.
	racks []int
	runs  int
}

// rackIndex returns the index of a rack.
func (s *Scheduler) rackIndex(rack string) int {
	i, known := s.rackIndexes[rack]
	if !known {
		i = len(s.rackIndexes)
		s.rackIndexes[rack] = i
	}
	return i
}

// countRack adds a batch run to the spread of its customer.
func (s *Scheduler) countRack(in *instance, r *run) {
	if r.account == nil {
		return
	}
	k := r.account.poolCustomer
	if s.spreads[k] == nil {
		s.spreads[k] = &spread{}
	}
	r.spread, r.rackIndex = s.spreads[k], in.rackIndex
	r.spread.add(r.rackIndex, 1)
}

// uncountRack removes a run from the spread of its customer.
func (r *run) uncountRack() {
	if r.spread != nil {
		r.spread.add(r.rackIndex, -1)
		r.spread = nil
	}
}

func (p *spread) add(rack, n int) {
	for len(p.racks) <= rack {
		p.racks = append(p.racks, 0)
	}
	p.racks[rack] += n
	p.runs += n
}

// spreadOf returns the spread of a customer's work in the pool of a job, nil if it has too little of it to be spread, or is alone in the pool.
func (s *Scheduler) spreadOf(c *candidate) *spread {
	a := c.job.account
	if a == nil || a.capacity == nil || a.capacity.activeWeight <= a.weight || !s.uses(CustomerSpreadCriterion) {
		return nil
	}
	if p := s.spreads[a.poolCustomer]; p != nil && p.runs >= minSpreadRuns {
		return p
	}
	return nil
}

// share returns the part of the customer's batch runs that are in the rack of the instance.
func (p *spread) share(in *instance) float64 {
	if p == nil || in.rackIndex >= len(p.racks) {
		return 0
	}
	return float64(p.racks[in.rackIndex]) / float64(max(1, p.runs))
}
