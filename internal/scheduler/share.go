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
type shares struct {
	capacity map[fleet.PoolID]workload.Need
	used     map[poolCustomer]workload.Need
	weights  map[fleet.CustomerID]float64
	// asking is the sum of the weights of the customers that run or wait in a pool.
	asking map[fleet.PoolID]float64
	known  map[poolCustomer]bool
}

// sharesOf returns the shares of the customers in the pools.
func (s *Scheduler) sharesOf(list []candidate, pools map[fleet.PoolID][]*instance) *shares {
	x := &shares{
		capacity: map[fleet.PoolID]workload.Need{}, used: s.poolUse, weights: map[fleet.CustomerID]float64{},
		asking: map[fleet.PoolID]float64{}, known: map[poolCustomer]bool{},
	}
	for _, u := range s.catalogue.Customers {
		x.weights[u.Name] = u.Weight
	}
	for pool, instances := range pools {
		for _, in := range instances {
			x.capacity[pool] = x.capacity[pool].Add(in.Capacity)
		}
	}
	for k, used := range s.poolUse {
		if used != (workload.Need{}) {
			x.ask(k)
		}
	}
	for _, c := range list {
		if !c.job.Steps[c.stage.step].Standing {
			x.ask(poolCustomer{c.job.pool, c.job.customer})
		}
	}
	return x
}

func (x *shares) ask(k poolCustomer) {
	if !x.known[k] {
		x.known[k] = true
		x.asking[k.pool] += x.weight(k.customer)
	}
}

func (x *shares) weight(u fleet.CustomerID) float64 {
	if w := x.weights[u]; w > 0 {
		return w
	}
	return defaultWeight
}

// below reports whether a customer has less of a pool than its share.
func (x *shares) below(pool fleet.PoolID, u fleet.CustomerID) bool {
	entitled := x.weight(u) / max(x.asking[pool], x.weight(u))
	return x.capacity[pool].Share(x.used[poolCustomer{pool, u}]) < entitled
}

// countUse adds what a run that ends by itself takes of its pool.
func (s *Scheduler) countUse(in *instance, r *run) {
	if !r.job.step(r.task.Place).Standing {
		r.counted = poolCustomer{in.Pool, r.job.customer}
		s.poolUse[r.counted] = s.poolUse[r.counted].Add(r.claim)
	}
}

// uncountUse takes off what a run took that has left its pool.
func (s *Scheduler) uncountUse(r *run) {
	if r.counted == (poolCustomer{}) {
		return
	}
	left := s.poolUse[r.counted].Sub(r.claim)
	if left == (workload.Need{}) {
		delete(s.poolUse, r.counted)
		return
	}
	s.poolUse[r.counted] = left
}
