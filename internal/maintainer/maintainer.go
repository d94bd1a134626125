// Package maintainer decides which machines of a maintenance wave are evacuated and maintained next.
//
// Machines that cost nothing go at once: those on standby that no pool is about to call, in drained data centres and idle ones of pools with a
// surplus. The others are paced so that all are begun before the time limit, those first that are empty soonest, machines of pools that need
// them last. A machine is evacuated ahead of its turn by the time that it needs to become empty.
package maintainer

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Timing of waves.
const (
	paceShare      = 0.6                     // part of the time limit in which all machines are to be begun; the rest is for repeated orders
	finalMargin    = 1500 * time.Millisecond // an order, its answer, a commit and the next read of the wave's state
	relocationTime = 1200 * time.Millisecond // a service task starts in about 1 s; a stop and its report take the rest
	leadFactor     = 1.25                    // expected evacuations are estimates, and the longest of several tasks decides
	leadMargin     = 300 * time.Millisecond  // a poll and a commit after the last end
	initialRound   = 2300 * time.Millisecond // 2 s of maintenance, the announcement of the later boot and the next order
	roundWeight    = 0.1                     // of the latest return in the mean duration of a round
	maxRound       = 6 * time.Second         // machines that return later are faulty, and say nothing about the others
	catchUpFactor  = 2                       // a wave that is late, as after a change of leader, must not empty a pool at once
)

// Maintainer decides for one wave. It is not safe for concurrent use.
type Maintainer struct {
	startedAt     time.Duration
	limit         time.Duration
	maxConcurrent int
	// round is the mean time for which a machine holds one of the wave's places.
	round time.Duration
}

// New returns the maintainer of a wave that began at startedAt.
func New(startedAt, limit time.Duration, maxConcurrent int) *Maintainer {
	return &Maintainer{startedAt: startedAt, limit: limit, maxConcurrent: max(1, maxConcurrent), round: initialRound}
}

// ObserveReturn records how long a machine held its place.
func (m *Maintainer) ObserveReturn(took time.Duration) {
	if took > 0 && took < maxRound {
		m.round += time.Duration(roundWeight * float64(took-m.round))
	}
}

// Round returns the mean time for which a machine holds a place.
func (m *Maintainer) Round() time.Duration { return m.round }

// Deadline returns when the maintenance of every machine should have begun.
func (m *Maintainer) Deadline() time.Duration { return m.startedAt + m.limit }

// LatestOrder returns when the maintenance of the last machine has to be ordered to be begun in time.
func (m *Maintainer) LatestOrder() time.Duration { return m.Deadline() - finalMargin }

// View is what a decision depends on.
type View struct {
	Now time.Duration
	// Total is the number of machines of the wave, and Begun that of machines whose maintenance has begun.
	Total, Begun int
	// Down is the number of machines that are down, or may be because of an order without an answer.
	Down       int
	Candidates []Candidate
	// Surplus is the number of instances that each pool can do without; it is negative for pools that need more.
	Surplus map[fleet.PoolID]int
	// StandbySurplus is the number of machines on standby, of all waves and none, that no pool is expected to call during a round.
	StandbySurplus int
}

// Plan is what to do now, as indices of candidates.
type Plan struct {
	// Maintain are the machines to maintain, Evacuate those to evacuate from now on.
	Maintain, Evacuate []int
	// Hurry are machines being evacuated that will not be empty in time. Their checkpointing batch tasks are to be stopped, and their
	// service tasks as far as the budgets allow, also if nothing has room for them yet.
	Hurry []int
}

// Plan decides what to do now.
func (m *Maintainer) Plan(v View) Plan {
	q := newQueue(v)
	steps := newStepLoads(v.Candidates)
	places := m.maxConcurrent - v.Down
	var plan Plan
	for i := range q.machines {
		c := &q.machines[i]
		ahead := q.ahead(i)
		due := m.due(v, ahead)
		switch {
		case c.Empty && c.HoldsPlace:
			plan.Maintain = append(plan.Maintain, c.index)
		case c.Empty && places > 0 && (c.Evacuating || c.rank.free() || due <= v.Now+leadMargin):
			plan.Maintain = append(plan.Maintain, c.index)
			places--
		case c.Evacuating:
			if v.Now+c.left+leadMargin > m.latest(ahead, v.left()) {
				plan.Hurry = append(plan.Hurry, c.index)
			}
		case c.Empty || c.Doubtful:
		case due <= v.Now+m.lead(c, steps) && (steps.take(c.Candidate) || v.Now+m.lead(c, steps) > m.LatestOrder()):
			plan.Evacuate = append(plan.Evacuate, c.index)
		}
	}
	return plan
}

// left returns the number of machines whose maintenance has not begun.
func (v *View) left() int { return max(1, v.Total-v.Begun) }

// lead returns how long before its turn a machine is evacuated.
func (m *Maintainer) lead(c *ranked, steps stepLoads) time.Duration {
	return time.Duration(leadFactor*float64(max(c.left, steps.chain(c.Candidate)))) + leadMargin
}

// due returns when the machine behind ahead others is to be begun: at an even pace over the wave, at no more than catchUpFactor times
// the pace that is needed from now on, and no faster than the places allow.
func (m *Maintainer) due(v View, ahead int) time.Duration {
	window := time.Duration(paceShare * float64(m.limit))
	even := m.startedAt + window*time.Duration(v.Begun+ahead)/time.Duration(max(1, v.Total))
	catchUp := (m.startedAt + window - v.Now) / time.Duration(catchUpFactor*v.left())
	gap := max(catchUp, m.round/time.Duration(m.maxConcurrent))
	return max(even, v.Now+gap*time.Duration(ahead))
}

// latest returns when the machine behind ahead others must be begun so that the machines after it find places before the
// deadline.
func (m *Maintainer) latest(ahead, left int) time.Duration {
	rounds := max(0, left-1-ahead) / m.maxConcurrent
	return m.LatestOrder() - time.Duration(rounds)*m.round
}
