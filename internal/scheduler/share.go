package scheduler

import (
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// defaultWeight is the weight of jobs without a customer and of customers without a weight in the catalogue.
const defaultWeight = 1.0

// poolCustomer identifies the usage of one pool by one customer.
type poolCustomer struct {
	pool     fleet.PoolID
	customer fleet.CustomerID
}

// fairShares compares the usage of each customer with its weighted share among the customers active in a pool.
type fairShares struct {
	capacity map[fleet.PoolID]workload.Resources
	usage    map[poolCustomer]workload.Resources
	weights  map[fleet.CustomerID]float64
	// activeWeight is the sum of the weights of the customers with running or waiting batch tasks in a pool.
	activeWeight map[fleet.PoolID]float64
	active       map[poolCustomer]bool
}

// computeShares returns the fair shares of the customers in the pools.
func (s *Scheduler) computeShares(lists *candidateLists, pools poolCapacities) *fairShares {
	f := &fairShares{
		capacity: map[fleet.PoolID]workload.Resources{}, usage: s.poolUsage, weights: map[fleet.CustomerID]float64{},
		activeWeight: map[fleet.PoolID]float64{}, active: map[poolCustomer]bool{},
	}
	for _, customer := range s.catalogue.Customers {
		f.weights[customer.Name] = customer.Weight
	}
	for pool, capacity := range pools {
		f.capacity[pool] = capacity.total
	}
	for k, used := range s.poolUsage {
		if used != (workload.Resources{}) {
			f.markActive(k)
		}
	}
	for _, list := range lists {
		for i := range list {
			if c := &list[i]; !c.stage.step.Service {
				f.markActive(poolCustomer{c.job.pool, c.job.customer})
			}
		}
	}
	return f
}

func (f *fairShares) markActive(k poolCustomer) {
	if !f.active[k] {
		f.active[k] = true
		f.activeWeight[k.pool] += f.weight(k.customer)
	}
}

func (f *fairShares) weight(customer fleet.CustomerID) float64 {
	if w := f.weights[customer]; w > 0 {
		return w
	}
	return defaultWeight
}

// belowShare reports whether a customer uses less of a pool than its fair share.
func (f *fairShares) belowShare(pool fleet.PoolID, customer fleet.CustomerID) bool {
	entitled := f.weight(customer) / max(f.activeWeight[pool], f.weight(customer))
	return f.capacity[pool].DominantShare(f.usage[poolCustomer{pool, customer}]) < entitled
}

// chargeUsage adds the claim of a batch run to its customer's usage of the pool.
func (s *Scheduler) chargeUsage(in *instance, r *run) {
	if !r.job.step(r.task.Position).Service {
		r.chargedTo = poolCustomer{in.Pool, r.job.customer}
		s.poolUsage[r.chargedTo] = s.poolUsage[r.chargedTo].Add(r.claim)
	}
}

// releaseUsage subtracts the claim of a removed run from the usage that chargeUsage added it to.
func (s *Scheduler) releaseUsage(r *run) {
	if r.chargedTo == (poolCustomer{}) {
		return
	}
	remaining := s.poolUsage[r.chargedTo].Sub(r.claim)
	if remaining == (workload.Resources{}) {
		delete(s.poolUsage, r.chargedTo)
		return
	}
	s.poolUsage[r.chargedTo] = remaining
}
