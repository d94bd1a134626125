package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Parameters of moves between pools. The penalties are costs in the choice of the instance to move.
const (
	moveCooldown      = 12 * time.Second // 15 s would keep an instance in its pool for half of the next pool's peak
	maxMoves          = 16
	moveTimeout       = 30 * time.Second
	taskPenalty       = 100
	rackPenalty       = 10
	dataCentrePenalty = 2
	maxTasksToMove    = 4
	// loanMargin is the number of instances that the spare pool keeps, besides its minimum and its largest rack, when it lends while
	// its own instances are due for maintenance.
	loanMargin = 1
)

// moves completes drained moves, cancels those that exceed moveTimeout and starts new ones, the cheapest first.
func (p *Planner) moves(v *View, c *configuration.Configuration) []Step {
	steps, moving := p.finishMoves(v)
	for _, pool := range p.poolsWithShortage(v, c) {
		ps := p.poolStateOf(pool.Name)
		for have := ps.available + moving[pool.Name]; have < ps.desired && moving[""] < maxMoves; have++ {
			step, ok := p.startMove(v, c, pool.Name, have >= ps.required)
			if !ok {
				break
			}
			moving[""]++
			steps = append(steps, step)
		}
	}
	return append(steps, p.returnSurplus(v, c, moving)...)
}

// finishMoves completes or cancels moves, and returns the number in progress by receiving pool; the key "" holds the total.
func (p *Planner) finishMoves(v *View) ([]Step, map[fleet.PoolID]int) {
	moving := map[fleet.PoolID]int{}
	var steps []Step
	for _, a := range p.assignments {
		if a.Phase != state.Draining || a.Reason != state.ReasonMove {
			continue
		}
		moving[a.MoveTo]++
		moving[""]++
		switch {
		case isDrained(v, a):
			p.movedAt[a.Instance] = v.Now
			steps = append(steps, Step{Command: state.CompleteMove{Instance: a.Instance, At: state.TimestampOf(v.Now)}, Reason: "drained"})
		case v.Now.Sub(a.Since.Time()) > moveTimeout:
			p.movedAt[a.Instance] = v.Now
			steps = append(steps, Step{Command: state.Restore{Instance: a.Instance, At: state.TimestampOf(v.Now)}, Reason: "not drained within the move timeout"})
		}
	}
	return steps, moving
}

// poolsWithShortage returns the pools that have had a shortage of instances for shortageDelay, the lowest coverage first.
func (p *Planner) poolsWithShortage(v *View, c *configuration.Configuration) []configuration.Pool {
	list := slices.DeleteFunc(slices.Clone(c.Pools), func(pool configuration.Pool) bool {
		return pool.Spare || !heldFor(p.poolStateOf(pool.Name).shortageSince, v.Now, shortageDelay)
	})
	slices.SortStableFunc(list, func(a, b configuration.Pool) int {
		return cmp.Compare(p.poolStateOf(a.Name).coverage(), p.poolStateOf(b.Name).coverage())
	})
	return list
}

func (ps *poolState) coverage() float64 { return float64(ps.available) / float64(max(ps.required, 1)) }

// startMove moves the cheapest instance that another pool can give up; with loanOnly, only the spare pool may give one up.
func (p *Planner) startMove(v *View, c *configuration.Configuration, to fleet.PoolID, loanOnly bool) (Step, bool) {
	racks, dataCentres := countByDomain(p.members[to])
	best, bestCost := Observation{}, -1
	for id, o := range v.Observations.All() {
		a, ok := v.State.Instances[id]
		if !ok || !p.canLeave(v, c, a, o) || a.Pool == to {
			continue
		}
		cost := taskPenalty*runningTasks(v, a, o) + rackPenalty*racks[o.Instance.FailureDomain()] + dataCentrePenalty*dataCentres[o.Instance.DataCentre]
		pool, _ := c.Pool(a.Pool)
		if loanOnly && !p.canLend(v, c, pool, a) {
			continue
		}
		if !pool.Spare {
			cost += taskPenalty / 2
		}
		if bestCost < 0 || cost < bestCost {
			best, bestCost = o, cost
		}
	}
	if bestCost < 0 {
		return Step{}, false
	}
	a := v.State.Instances[best.Instance.ID]
	p.countRemoved(a.Pool)
	p.movedAt[a.Instance] = v.Now
	ps := p.poolStateOf(to)
	return Step{
		Command: state.Disrupt{Instance: a.Instance, Reason: state.ReasonMove, Target: to, Boot: best.Instance.BootID, At: state.TimestampOf(v.Now)},
		Reason:  fmt.Sprintf("pool %s has %d of the %d instances that its demand requires", to, ps.available, ps.required),
	}, true
}

// canLend reports whether the spare pool may lend an instance to widen another pool's disruption budget: the instance must not be due
// for maintenance, and while instances of the spare pool are due, the pool must have more than its minimum, its largest rack and
// loanMargin.
func (p *Planner) canLend(v *View, c *configuration.Configuration, pool configuration.Pool, a state.Assignment) bool {
	ps := p.poolStateOf(pool.Name)
	minimum := pool.MinimumAvailable + max(ps.largestRack, 1) + loanMargin
	return pool.Spare && !p.isDue(v, c, a) && (!ps.maintenanceWasDue || ps.available > minimum)
}

// countRemoved counts an instance as removed from its pool for the rest of the tick.
func (p *Planner) countRemoved(pool fleet.PoolID) { p.poolStateOf(pool).available-- }

// canLeave reports whether an instance can be moved out of its pool now: it is available and ready, is not in a drained data
// centre, has not been moved within moveCooldown, and its pool keeps enough instances. The spare pool keeps its minimum. Any other pool keeps its minimum and one more
// than its demand requires, and gives up only instances with at most maxTasksToMove tasks.
func (p *Planner) canLeave(v *View, c *configuration.Configuration, a state.Assignment, o Observation) bool {
	if !a.Available() || v.drained(a) || a.Isolated || o.Age > maxObservationAge || o.Instance.Condition != fleet.Ready {
		return false
	}
	if moved, ok := p.movedAt[a.Instance]; ok && v.Now.Sub(moved) < moveCooldown {
		return false
	}
	pool, _ := c.Pool(a.Pool)
	ps := p.poolStateOf(a.Pool)
	if pool.Spare {
		return ps.available > pool.MinimumAvailable
	}
	return ps.available-1 >= max(ps.required+1, pool.MinimumAvailable) && runningTasks(v, a, o) <= maxTasksToMove
}

func runningTasks(v *View, a state.Assignment, o Observation) int {
	r, _ := v.Reports.Get(a.Pool)
	return max(r.Busy[a.Instance], len(o.Instance.Tasks))
}

// countByDomain counts instances by rack and by data centre.
func countByDomain(members []poolMember) (map[string]int, map[fleet.DataCentreID]int) {
	racks := map[string]int{}
	dataCentres := map[fleet.DataCentreID]int{}
	for _, x := range members {
		racks[x.observation.Instance.FailureDomain()]++
		dataCentres[x.observation.Instance.DataCentre]++
	}
	return racks, dataCentres
}

// returnSurplus moves a surplus that has lasted for surplusDelay back to the spare pool.
func (p *Planner) returnSurplus(v *View, c *configuration.Configuration, moving map[fleet.PoolID]int) []Step {
	spare, ok := c.SparePool()
	if !ok {
		return nil
	}
	var steps []Step
	for _, pool := range c.Pools {
		ps := p.poolStateOf(pool.Name)
		if pool.Spare || !heldFor(ps.surplusSince, v.Now, surplusDelay) {
			continue
		}
		for ps.available > ps.requiredWithBuffer+surplusMargin && moving[""] < maxMoves {
			step, ok := p.startReturn(v, c, pool.Name, spare.Name)
			if !ok {
				break
			}
			moving[""]++
			steps = append(steps, step)
		}
	}
	return steps
}

// startReturn moves an instance of a pool to the spare pool; it prefers idle instances and racks with the most members of the pool.
func (p *Planner) startReturn(v *View, c *configuration.Configuration, from, spare fleet.PoolID) (Step, bool) {
	racks, _ := countByDomain(p.members[from])
	best, found, lowest := Observation{}, false, 0
	for _, x := range p.members[from] {
		a, o := x.assignment, x.observation
		if !p.canLeave(v, c, a, o) {
			continue
		}
		cost := runningTasks(v, a, o) - rackPenalty*racks[o.Instance.FailureDomain()]
		if !found || cost < lowest {
			best, found, lowest = o, true, cost
		}
	}
	if !found {
		return Step{}, false
	}
	p.countRemoved(from)
	p.movedAt[best.Instance.ID] = v.Now
	ps := p.poolStateOf(from)
	return Step{
		Command: state.Disrupt{Instance: best.Instance.ID, Reason: state.ReasonMove, Target: spare, Boot: best.Instance.BootID, At: state.TimestampOf(v.Now)},
		Reason:  fmt.Sprintf("pool %s has %d instances and requires %d", from, ps.available+1, ps.requiredWithBuffer),
	}, true
}
