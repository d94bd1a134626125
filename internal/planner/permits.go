package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/limiter"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// minHeadroomIncrease is the smallest increase of a permit, in tasks, that is committed while no request waits for it.
const minHeadroomIncrease = 4

// permits divides the limit of each customer among its pools, and withdraws the permits of customers no longer configured.
func (p *Planner) permits(v *View, c *configuration.Configuration) []Step {
	var steps []Step
	for _, customer := range c.Customers {
		steps = append(steps, p.customerPermits(v, c, customer)...)
	}
	for _, id := range sortedCustomers(v.State.Permits) {
		if _, configured := c.Customer(id); !configured {
			steps = append(steps, p.customerPermits(v, c, configuration.Customer{Name: id})...)
		}
	}
	return steps
}

func sortedCustomers(m map[fleet.CustomerID]map[fleet.PoolID]state.Permit) []fleet.CustomerID {
	list := make([]fleet.CustomerID, 0, len(m))
	for id := range m {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func (p *Planner) customerPermits(v *View, c *configuration.Configuration, customer configuration.Customer) []Step {
	pools := customerPools(v, c, customer.Name)
	demands := make([]limiter.PoolDemand, 0, len(pools))
	for _, pool := range pools {
		load := customerReport(v, pool, customer.Name)
		demands = append(demands, limiter.PoolDemand{Pool: pool, Demand: load.Running + load.Waiting})
	}
	targets := limiter.New(customer.Limit).Divide(demands)
	free := customer.Limit - v.State.GrantedTotal(customer.Name)
	unmet := slices.ContainsFunc(pools, func(pool fleet.PoolID) bool {
		return customerReport(v, pool, customer.Name).Waiting > 0 && targets[pool] > v.State.Permits[customer.Name][pool].Usable()
	})
	var steps []Step
	for _, pool := range decreasesFirst(pools, targets, v.State.Permits[customer.Name]) {
		s, granted := permitStep(v, customer, pool, targets[pool], free, unmet)
		free -= granted
		steps = append(steps, s...)
	}
	return steps
}

// decreasesFirst sorts pools by the change of their permits, so that decreases come before increases.
func decreasesFirst(pools []fleet.PoolID, targets map[fleet.PoolID]int, held map[fleet.PoolID]state.Permit) []fleet.PoolID {
	return slices.SortedFunc(slices.Values(pools), func(a, b fleet.PoolID) int {
		return cmp.Or(cmp.Compare(targets[a]-held[a].Granted, targets[b]-held[b].Granted), cmp.Compare(a, b))
	})
}

// permitStep returns the change of one permit, and the part of the free limit that the change uses. A decrease lowers the ceiling
// first; the grant follows once the owner reports that it acts on the lowered ceiling.
func permitStep(v *View, customer configuration.Customer, pool fleet.PoolID, target, free int, unmet bool) ([]Step, int) {
	held := v.State.Permits[customer.Name][pool]
	owner, load := v.State.Owners[pool], customerReport(v, pool, customer.Name)
	step := state.SetPermit{Customer: customer.Name, Pool: pool, Revision: held.Revision, Epoch: owner.Epoch}
	reason := fmt.Sprintf("demand %d of limit %d", load.Running+load.Waiting, customer.Limit)
	switch {
	case held.Granted > held.Ceiling && retainedGrant(v, pool, customer.Name, held) < held.Granted:
		step.Granted, step.Ceiling = retainedGrant(v, pool, customer.Name, held), held.Ceiling
		return []Step{{Command: step, Reason: "the owner no longer needs the grant above the ceiling"}}, 0
	case target < held.Ceiling && unmet:
		step.Granted, step.Ceiling = held.Granted, target
		return []Step{{Command: step, Reason: reason}}, 0
	case target > held.Usable() && free >= 0:
		granted := min(max(target, held.Granted), held.Granted+free)
		usable := min(target, granted)
		if usable <= held.Usable() || load.Waiting == 0 && usable-held.Usable() < minHeadroomIncrease && held.Granted > 0 {
			return nil, 0
		}
		step.Granted, step.Ceiling = granted, usable
		return []Step{{Command: step, Reason: reason}}, granted - held.Granted
	}
	return nil, 0
}

// retainedGrant returns the part of its grant that a pool still needs. An owner that acts on the lowered ceiling starts no tasks
// above it, so the number of its running tasks, including those it may not know of yet, can only fall.
func retainedGrant(v *View, pool fleet.PoolID, customer fleet.CustomerID, held state.Permit) int {
	r, ok := v.Reports.Get(pool)
	if !ok || r.Epoch != v.State.Owners[pool].Epoch || r.Entry != v.State.Owners[pool].Entry {
		return held.Granted
	}
	report, listed := r.Customers[customer]
	if !listed || report.Revision != held.Revision {
		return held.Granted
	}
	return max(held.Ceiling, report.Running+report.Unlearned)
}

func customerReport(v *View, pool fleet.PoolID, customer fleet.CustomerID) CustomerReport {
	r, _ := v.Reports.Get(pool)
	return r.Customers[customer]
}

// customerPools returns the pools in which a customer may submit requests or still holds a permit, in order of their ids.
func customerPools(v *View, c *configuration.Configuration, customer fleet.CustomerID) []fleet.PoolID {
	set := map[fleet.PoolID]bool{}
	for _, q := range c.Queues {
		if q.Open || q.Customer == customer {
			set[q.Pool] = true
		}
	}
	for pool := range v.State.Permits[customer] {
		set[pool] = true
	}
	list := make([]fleet.PoolID, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
