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

// Parameters of moves.
const (
	moveCooldown   = 12 * time.Second // 15 s kept an instance in its pool for half of the next pool's peak
	maxMoves       = 16
	moveTimeout    = 30 * time.Second
	busyPenalty    = 100
	rackPenalty    = 10
	domainPenalty  = 2
	drainSoonTasks = 4
	lendMargin     = 1
)

// moves finishes drained moves, calls off slow ones and starts new ones, cheapest first.
func (p *Planner) moves(v *View, c *configuration.Configuration) []Step {
	steps, moving := p.finishMoves(v)
	for _, pool := range p.hungry(v, c) {
		m := p.memory(pool.Name)
		for have := m.have + moving[pool.Name]; have < m.wanted && moving[""] < maxMoves; have++ {
			step, ok := p.startMove(v, c, pool.Name, have >= m.need)
			if !ok {
				break
			}
			moving[""]++
			steps = append(steps, step)
		}
	}
	return append(steps, p.returns(v, c, moving)...)
}

// finishMoves commits drained moves and returns the number in progress by receiving pool; "" holds the sum.
func (p *Planner) finishMoves(v *View) ([]Step, map[fleet.PoolID]int) {
	moving := map[fleet.PoolID]int{}
	var steps []Step
	for _, a := range p.sorted {
		if a.Phase != state.Draining || a.Reason != state.ForMove {
			continue
		}
		moving[a.Target]++
		moving[""]++
		switch {
		case empty(v, a):
			p.moved[a.Instance] = v.Now
			steps = append(steps, Step{Command: state.Move{Instance: a.Instance, At: state.At(v.Now)}, Reason: "drained"})
		case v.Now.Sub(a.Since.Time()) > moveTimeout:
			p.moved[a.Instance] = v.Now
			steps = append(steps, Step{Command: state.Restore{Instance: a.Instance, At: state.At(v.Now)}, Reason: "not drained in time"})
		}
	}
	return steps, moving
}

// hungry returns the pools that lack instances, the one that lacks the largest part first.
func (p *Planner) hungry(v *View, c *configuration.Configuration) []configuration.Pool {
	list := slices.DeleteFunc(slices.Clone(c.Pools), func(pool configuration.Pool) bool {
		return pool.Spare || !held(p.memory(pool.Name).hungrySince, v.Now, hungryFor)
	})
	slices.SortStableFunc(list, func(a, b configuration.Pool) int {
		return cmp.Compare(p.memory(a.Name).coverage(), p.memory(b.Name).coverage())
	})
	return list
}

func (m *poolMemory) coverage() float64 { return float64(m.have) / float64(max(m.need, 1)) }

// startMove picks the cheapest instance that another pool can spare.
func (p *Planner) startMove(v *View, c *configuration.Configuration, to fleet.PoolID, spareOnly bool) (Step, bool) {
	racks, centres := spreadOf(p.members[to])
	best, bestCost := Sight{}, -1
	for id, s := range v.Sights.All() {
		a, ok := v.State.Instances[id]
		if !ok || !p.mayLeave(v, c, a, s) || a.Pool == to {
			continue
		}
		cost := busyPenalty*tasksOn(v, a, s) + rackPenalty*racks[s.Instance.Domain()] + domainPenalty*centres[s.Instance.DataCentre]
		pool, _ := c.Pool(a.Pool)
		if spareOnly && !p.mayLend(v, c, pool, a) {
			continue
		}
		if !pool.Spare {
			cost += busyPenalty / 2
		}
		if bestCost < 0 || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if bestCost < 0 {
		return Step{}, false
	}
	a := v.State.Instances[best.Instance.ID]
	p.take(a.Pool)
	p.moved[a.Instance] = v.Now
	m := p.memory(to)
	return Step{
		Command: state.Disrupt{Instance: a.Instance, Reason: state.ForMove, Target: to, Boot: best.Instance.Boot, At: state.At(v.Now)},
		Reason:  fmt.Sprintf("%s has %d of %d instances for its demand", to, m.have, m.need),
	}, true
}

// mayLend reports whether the spare pool lends an instance to widen another pool's budget: one that needs no stop
// itself, and not while its own instances need the room.
func (p *Planner) mayLend(v *View, c *configuration.Configuration, pool configuration.Pool, a state.Assignment) bool {
	m := p.memory(pool.Name)
	room := pool.MinimumAvailable + max(m.largest, 1) + lendMargin
	return pool.Spare && !p.isDue(v, c, a) && (!m.waiting || m.have > room)
}

// take counts an instance as gone from its pool for the rest of the tick.
func (p *Planner) take(pool fleet.PoolID) { p.memory(pool).have-- }

// mayLeave reports whether a pool can do without an instance now.
func (p *Planner) mayLeave(v *View, c *configuration.Configuration, a state.Assignment, s Sight) bool {
	if !a.Available() || a.Isolated || s.Age > freshAge || s.Instance.Condition != fleet.Ready {
		return false
	}
	if moved, ok := p.moved[a.Instance]; ok && v.Now.Sub(moved) < moveCooldown {
		return false
	}
	pool, _ := c.Pool(a.Pool)
	m := p.memory(a.Pool)
	if pool.Spare {
		return m.have > pool.MinimumAvailable
	}
	return m.have-1 >= max(m.need+1, pool.MinimumAvailable) && tasksOn(v, a, s) <= drainSoonTasks
}

func tasksOn(v *View, a state.Assignment, s Sight) int {
	r, _ := v.Reports.Get(a.Pool)
	return max(r.Busy[a.Instance], len(s.Instance.Tasks))
}

// spreadOf counts instances by rack and by data centre.
func spreadOf(members []member) (map[string]int, map[fleet.DataCentreID]int) {
	racks := map[string]int{}
	centres := map[fleet.DataCentreID]int{}
	for _, x := range members {
		racks[x.sight.Instance.Domain()]++
		centres[x.sight.Instance.DataCentre]++
	}
	return racks, centres
}

// returns gives lasting surplus back to the spare pool.
func (p *Planner) returns(v *View, c *configuration.Configuration, moving map[fleet.PoolID]int) []Step {
	spare, ok := c.SparePool()
	if !ok {
		return nil
	}
	var steps []Step
	for _, pool := range c.Pools {
		m := p.memory(pool.Name)
		if pool.Spare || !held(m.idleSince, v.Now, surplusFor) {
			continue
		}
		for m.have > m.target+surplusMargin && moving[""] < maxMoves {
			step, ok := p.giveBack(v, c, pool.Name, spare.Name)
			if !ok {
				break
			}
			moving[""]++
			steps = append(steps, step)
		}
	}
	return steps
}

// giveBack picks the least busy instance of the rack that holds the most of the pool.
func (p *Planner) giveBack(v *View, c *configuration.Configuration, from, spare fleet.PoolID) (Step, bool) {
	racks, _ := spreadOf(p.members[from])
	best, found, least := Sight{}, false, 0
	for _, x := range p.members[from] {
		a, s := x.assignment, x.sight
		if !p.mayLeave(v, c, a, s) {
			continue
		}
		cost := tasksOn(v, a, s) - rackPenalty*racks[s.Instance.Domain()]
		if !found || cost < least {
			best, found, least = s, true, cost
		}
	}
	if !found {
		return Step{}, false
	}
	p.take(from)
	p.moved[best.Instance.ID] = v.Now
	m := p.memory(from)
	return Step{
		Command: state.Disrupt{Instance: best.Instance.ID, Reason: state.ForMove, Target: spare, Boot: best.Instance.Boot, At: state.At(v.Now)},
		Reason:  fmt.Sprintf("%s has %d instances, %d are enough", from, m.have+1, m.target),
	}, true
}
