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

// account is what the batch runs of one customer claim in one pool.
type account struct {
	poolCustomer
	used workload.Resources
	// weighedIn is the last placement round in which weight and capacity were set, and activeIn the last one in which the customer had
	// running or waiting batch tasks in the pool.
	weighedIn, activeIn uint64
	weight              float64
	capacity            *poolCapacity
	// demand is what timely batch tasks of the customer claim in the pool, and urgent the part that has to run now, in instances of mean
	// capacity, as of the last demand estimate.
	demand, urgent float64
	// usage is that of the customer over the whole fleet. It is nil without shares of the fleet.
	usage *fleetUsage
}

func (s *Scheduler) account(pool fleet.PoolID, customer fleet.CustomerID) *account {
	k := poolCustomer{pool, customer}
	a := s.accounts[k]
	if a == nil {
		a = &account{poolCustomer: k}
		if s.options.FleetShares {
			a.usage = s.fleetUsageOf(customer)
			a.usage.add(a)
		}
		s.accounts[k] = a
	}
	return a
}

// accountOf returns the account of a job in the pool of its queue.
func (s *Scheduler) accountOf(j *job) *account {
	if j.account == nil || j.account.pool != j.pool {
		j.account = s.account(j.pool, j.customer)
	}
	return j.account
}

// weighCustomers sums up the weights of the customers that are active in each pool, and sets the accounts of the candidates.
func (s *Scheduler) weighCustomers(lists *candidateLists, pools poolCapacities) {
	s.placementRound++
	weights := map[fleet.CustomerID]float64{}
	for _, customer := range s.catalogue.Customers {
		weights[customer.Name] = customer.Weight
	}
	weigh := func(a *account, active bool) {
		if a.weighedIn != s.placementRound {
			a.weighedIn = s.placementRound
			a.capacity = pools.of(a.pool)
			a.weight = defaultWeight
			if w := weights[a.customer]; w > 0 {
				a.weight = w
			}
		}
		if active && a.activeIn != s.placementRound {
			a.activeIn = s.placementRound
			a.capacity.activeWeight += a.weight
		}
	}
	for _, a := range s.accounts {
		if a.used != (workload.Resources{}) {
			weigh(a, true)
		}
	}
	for _, list := range lists {
		for i := range list {
			weigh(s.accountOf(list[i].job), !list[i].stage.step.Service)
		}
	}
}

// belowShare reports whether the customer of a candidate uses less of the pool than its fair share.
func (c *candidate) belowShare() bool {
	a := c.job.account
	return a.capacity.total.DominantShare(a.used) < a.weight/max(a.capacity.activeWeight, a.weight)
}

// chargeUsage adds the claim of a batch run to its customer's usage of the pool.
func (s *Scheduler) chargeUsage(in *instance, r *run) {
	if !r.job.step(r.task.Position).Service {
		r.account = s.account(in.Pool, r.job.customer)
		r.account.used = r.account.used.Add(r.claim)
		if u := r.account.usage; u != nil {
			u.used = u.used.Add(r.claim)
		}
	}
}

// releaseUsage subtracts the claim of a removed run from the usage that chargeUsage added it to.
func (s *Scheduler) releaseUsage(r *run) {
	if r.account != nil {
		r.account.used = r.account.used.Sub(r.claim)
		if u := r.account.usage; u != nil {
			u.used = u.used.Sub(r.claim)
		}
	}
}
