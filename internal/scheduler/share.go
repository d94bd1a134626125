package scheduler

import (
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// defaultWeight is the weight of work without a customer, and of customers that the catalogue gives none.
const defaultWeight = 1.0

// poolCustomer is the part of a pool that one customer uses.
type poolCustomer struct {
	pool     fleet.PoolID
	customer fleet.CustomerID
}

// shares tells which customers have less of a pool than their weights entitle them to, among those that have work there.
type fairShares struct {
	capacity map[fleet.PoolID]workload.Resources
	usage    map[poolCustomer]workload.Resources
	weights  map[fleet.CustomerID]float64
	// asking is the sum of the weights of the customers that run or wait in a pool.
	activeWeight map[fleet.PoolID]float64
	active       map[poolCustomer]bool
}

// sharesOf returns the shares of the customers in the pools.
func (s *Scheduler) computeShares(list []candidate, pools map[fleet.PoolID][]*instance) *fairShares {
	f := &fairShares{
		capacity: map[fleet.PoolID]workload.Resources{}, usage: s.poolUsage, weights: map[fleet.CustomerID]float64{},
		activeWeight: map[fleet.PoolID]float64{}, active: map[poolCustomer]bool{},
	}
	for _, customer := range s.catalogue.Customers {
		f.weights[customer.Name] = customer.Weight
	}
	for pool, instances := range pools {
		for _, in := range instances {
			f.capacity[pool] = f.capacity[pool].Add(in.Capacity)
		}
	}
	for k, used := range s.poolUsage {
		if used != (workload.Resources{}) {
			f.markActive(k)
		}
	}
	for _, c := range list {
		if !c.job.Steps[c.stage.stepIndex].Service {
			f.markActive(poolCustomer{c.job.pool, c.job.customer})
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

// below reports whether a customer has less of a pool than its share.
func (f *fairShares) belowShare(pool fleet.PoolID, customer fleet.CustomerID) bool {
	entitled := f.weight(customer) / max(f.activeWeight[pool], f.weight(customer))
	return f.capacity[pool].DominantShare(f.usage[poolCustomer{pool, customer}]) < entitled
}

// countUse adds what a run that ends by itself takes of its pool.
func (s *Scheduler) chargeUsage(in *instance, r *run) {
	if !r.job.step(r.task.Position).Service {
		r.chargedTo = poolCustomer{in.Pool, r.job.customer}
		s.poolUsage[r.chargedTo] = s.poolUsage[r.chargedTo].Add(r.claim)
	}
}

// uncountUse takes off what a run took that has left its pool.
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
