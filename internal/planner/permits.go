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

// headroomStep is the least increase of a permit that is worth a commit while no request waits for it.
const headroomStep = 4

// permits divides the limit of each customer among the pools it uses.
func (p *Planner) permits(v *View, c *configuration.Configuration) []Step {
	var steps []Step
	for _, t := range c.Customers {
		steps = append(steps, p.permitsOf(v, c, t)...)
	}
	for _, id := range sortedCustomers(v.State.Permits) {
		if _, configured := c.Customer(id); !configured {
			steps = append(steps, p.permitsOf(v, c, configuration.Customer{Name: id})...)
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

func (p *Planner) permitsOf(v *View, c *configuration.Configuration, t configuration.Customer) []Step {
	pools := poolsOf(v, c, t.Name)
	claims := make([]limiter.Claim, 0, len(pools))
	for _, pool := range pools {
		load := reportOf(v, pool, t.Name)
		claims = append(claims, limiter.Claim{Pool: pool, Demand: load.Running + load.Waiting})
	}
	wanted := limiter.New(t.Limit).Divide(claims)
	free := t.Limit - v.State.Granted(t.Name)
	hungry := slices.ContainsFunc(pools, func(pool fleet.PoolID) bool {
		return reportOf(v, pool, t.Name).Waiting > 0 && wanted[pool] > v.State.Permits[t.Name][pool].Usable()
	})
	var steps []Step
	for _, pool := range lowestFirst(pools, wanted, v.State.Permits[t.Name]) {
		s, taken := permitStep(v, t, pool, wanted[pool], free, hungry)
		free -= taken
		steps = append(steps, s...)
	}
	return steps
}

// lowestFirst puts the pools whose permits shrink before those that grow.
func lowestFirst(pools []fleet.PoolID, wanted map[fleet.PoolID]int, held map[fleet.PoolID]state.Permit) []fleet.PoolID {
	return slices.SortedFunc(slices.Values(pools), func(a, b fleet.PoolID) int {
		return cmp.Or(cmp.Compare(wanted[a]-held[a].Granted, wanted[b]-held[b].Granted), cmp.Compare(a, b))
	})
}

// permitStep returns the change of one permit, and how much of the free limit it takes.
func permitStep(v *View, t configuration.Customer, pool fleet.PoolID, wanted, free int, hungry bool) ([]Step, int) {
	held := v.State.Permits[t.Name][pool]
	report, load := v.State.Owners[pool], reportOf(v, pool, t.Name)
	step := state.Allot{Customer: t.Name, Pool: pool, Revision: held.Revision, Epoch: report.Epoch}
	reason := fmt.Sprintf("demand %d of limit %d", load.Running+load.Waiting, t.Limit)
	switch {
	case held.Granted > held.Ceiling && stillHeld(v, pool, t.Name, held) < held.Granted:
		step.Granted, step.Ceiling = stillHeld(v, pool, t.Name, held), held.Ceiling
		return []Step{{Command: step, Reason: "the owner gave the rest back"}}, 0
	case wanted < held.Ceiling && hungry:
		step.Granted, step.Ceiling = held.Granted, wanted
		return []Step{{Command: step, Reason: reason}}, 0
	case wanted > held.Usable() && free >= 0:
		granted := min(max(wanted, held.Granted), held.Granted+free)
		usable := min(wanted, granted)
		if usable <= held.Usable() || load.Waiting == 0 && usable-held.Usable() < headroomStep && held.Granted > 0 {
			return nil, 0
		}
		step.Granted, step.Ceiling = granted, usable
		return []Step{{Command: step, Reason: reason}}, granted - held.Granted
	}
	return nil, 0
}

// stillHeld returns what a pool needs of its grant: an owner that acts on the lowered ceiling starts nothing above
// it, so that its running tasks, and those it may not know of yet, only become fewer.
func stillHeld(v *View, pool fleet.PoolID, customer fleet.CustomerID, held state.Permit) int {
	r, ok := v.Reports.Get(pool)
	if !ok || r.Epoch != v.State.Owners[pool].Epoch || r.Entry != v.State.Owners[pool].Entry {
		return held.Granted
	}
	t, listed := r.Customers[customer]
	if !listed || t.Revision != held.Revision {
		return held.Granted
	}
	return max(held.Ceiling, t.Running+t.Unlearned)
}

func reportOf(v *View, pool fleet.PoolID, customer fleet.CustomerID) CustomerReport {
	r, _ := v.Reports.Get(pool)
	return r.Customers[customer]
}

// poolsOf returns the pools where a customer may ask for work or still holds a permit, in order.
func poolsOf(v *View, c *configuration.Configuration, customer fleet.CustomerID) []fleet.PoolID {
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
