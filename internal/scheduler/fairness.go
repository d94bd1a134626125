package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/accountant"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// fleetUsage is what the batch tasks of one customer use and ask for in all pools.
type fleetUsage struct {
	*accountant.Account
	// used is what the runs claim.
	used workload.Resources
	// accounts are those of the customer in each pool, in order of their pools.
	accounts []*account
	// weight is that of the catalogue, zero if it has none.
	weight      float64
	loggedLevel accountant.Level
}

// fleetUsageOf returns the usage of a customer over the whole fleet.
func (s *Scheduler) fleetUsageOf(customer fleet.CustomerID) *fleetUsage {
	u := s.fleetUsages[customer]
	if u == nil {
		u = &fleetUsage{Account: s.accountant.Account(customer), loggedLevel: accountant.Even}
		s.fleetUsages[customer] = u
	}
	return u
}

func (u *fleetUsage) add(a *account) {
	i, _ := slices.BinarySearchFunc(u.accounts, a.pool, func(other *account, pool fleet.PoolID) int { return cmp.Compare(other.pool, pool) })
	u.accounts = slices.Insert(u.accounts, i, a)
}

// addDemand adds what timely tasks claim, and the part of it that has to run now, in instances of mean capacity.
func (a *account) addDemand(claimed, urgent float64) {
	a.demand += claimed
	a.urgent += urgent
}

// resetDemands begins a new estimate of what customers ask for.
func (s *Scheduler) resetDemands() {
	if !s.options.FleetShares {
		return
	}
	for _, a := range s.accounts {
		a.demand, a.urgent = 0, 0
	}
}

// settleAccounts charges the customers for what they use of the fleet, and finds the part of each pool's demand that is beyond the shares of
// its customers.
func (s *Scheduler) settleAccounts(capacity workload.Resources) {
	if !s.options.FleetShares {
		return
	}
	for i := range s.catalogue.Customers {
		if u := s.fleetUsages[s.catalogue.Customers[i].Name]; u != nil {
			u.weight = s.catalogue.Customers[i].Weight
		}
	}
	for _, a := range s.accountant.Accounts() {
		u := s.fleetUsages[a.Customer()]
		demand := 0.0
		for _, pool := range u.accounts {
			demand += pool.demand
		}
		a.Set(u.weight, capacity.DominantShare(u.used), demand)
		u.weight = 0
	}
	s.accountant.Settle(s.now, s.batchMachines())
	for _, a := range s.accountant.Accounts() {
		u := s.fleetUsages[a.Customer()]
		s.logLevel(u)
		beyond := 1 - a.Within()
		if beyond == 0 {
			continue
		}
		for _, pool := range u.accounts {
			d := s.demandOf(pool.pool)
			d.excess += beyond * pool.demand
			d.urgent -= beyond * pool.urgent
		}
	}
}

// batchMachines returns the number of machines that pools have or can get, without what service tasks claim.
func (s *Scheduler) batchMachines() float64 {
	n := float64(s.usableMachines())
	for _, pool := range slices.Sorted(maps.Keys(s.demands)) {
		n -= s.demands[pool].service
	}
	return n
}

// CustomersAhead returns the number of customers that got more than their share of the fleet over the last seconds while others waited.
func (s *Scheduler) CustomersAhead() int {
	n := 0
	for _, a := range s.accountant.Accounts() {
		if a.Level() == accountant.Ahead {
			n++
		}
	}
	return n
}

// withinShares returns the number of the desired instances that the pool needs without the excess.
func (d *demand) withinShares() int {
	return max(d.floor, d.desired-int(math.Round(demandMargin*d.excessPeak)))
}

// logLevel logs the level of a customer if it has changed.
func (s *Scheduler) logLevel(u *fleetUsage) {
	level := u.Level()
	if level == u.loggedLevel {
		return
	}
	u.loggedLevel = level
	s.decisions = append(s.decisions, Decision{What: "customer " + level.String(), Reason: u.describe()})
}

// levelOf returns the level at which a job waits. A begun job keeps the precedence that it had, since what has run of it would be wasted.
func (s *Scheduler) levelOf(j *job) accountant.Level {
	level := accountant.Even
	if !s.options.FleetShares {
		return level
	}
	if j.account != nil {
		level = j.account.usage.Level()
	} else if u := s.fleetUsages[j.customer]; u != nil {
		level = u.Level()
	}
	if j.started {
		level = min(level, j.level)
	}
	return level
}

// sortByLevel sorts candidates of one class and priority by the levels of their jobs, if they are timely. Within a level the order is kept.
func (s *Scheduler) sortByLevel(list []candidate) {
	if list[0].class != classOnTime {
		return
	}
	sorted := true
	for i := range list {
		j := list[i].job
		j.level = s.levelOf(j)
		list[i].level = j.level
		sorted = sorted && list[i].level >= list[max(0, i-1)].level
	}
	if sorted {
		return
	}
	s.sortedByLevel = s.sortedByLevel[:0]
	for level := accountant.Even; level <= accountant.Ahead; level++ {
		for i := range list {
			if list[i].level == level {
				s.sortedByLevel = append(s.sortedByLevel, list[i])
			}
		}
	}
	copy(list, s.sortedByLevel)
	clear(s.sortedByLevel)
}

// equalLevelPrefix returns the number of candidates at the head of the list with the same level.
func equalLevelPrefix(list []candidate) int {
	n := 1
	for n < len(list) && list[n].level == list[0].level {
		n++
	}
	return n
}

// describeLevel describes the level of a job for explanations. It is empty without shares of the fleet.
func (s *Scheduler) describeLevel(j *job) string {
	if !s.options.FleetShares {
		return ""
	}
	level, u := s.levelOf(j), s.fleetUsages[j.customer]
	switch {
	case u == nil:
		return level.String()
	case level != u.Level():
		return fmt.Sprintf("%s, as when it was begun; %s", level, u.describe())
	default:
		return fmt.Sprintf("%s; %s", level, u.describe())
	}
}

// describe describes the account of a customer.
func (u *fleetUsage) describe() string {
	return fmt.Sprintf("customer %q has a balance of %+.1f s of its share of the fleet, %.0f %% of what it asks for is within its share", u.Customer(), u.Balance(), 100*u.Within())
}
