package maintainer

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// rank is the position of a candidate's kind in the order of maintenance.
type rank uint8

const (
	rankStandby rank = iota
	rankDrained
	rankSurplus
	rankEvacuating
	rankBusyDrained
	rankReserve
	rankBalanced
	rankNeeded
	rankDoubtful
)

// free reports whether the maintenance of machines of this rank costs nobody anything.
func (r rank) free() bool { return r <= rankSurplus }

// ranked is a candidate in the order of maintenance.
type ranked struct {
	*Candidate
	index int
	rank  rank
	left  time.Duration
}

// queue holds the candidates without obstacles in the order of their maintenance.
type queue struct {
	machines []ranked
	// firstEvacuating is the position of the first machine that is being evacuated, and evacuating their number. They are in the
	// order in which they are expected to be empty.
	firstEvacuating, evacuating int
}

func newQueue(v View) queue {
	order := make([]ranked, 0, len(v.Candidates))
	for i := range v.Candidates {
		if c := &v.Candidates[i]; c.Obstacle == Unobstructed {
			order = append(order, ranked{Candidate: c, index: i, left: c.evacuation()})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.left, b.left), cmp.Compare(a.Machine, b.Machine)) })
	surplus, standby := map[fleet.PoolID]int{}, v.StandbySurplus
	for i := range order {
		c := &order[i]
		if c.Standby {
			c.rank = rankStandby
			if standby--; standby < 0 {
				c.rank = rankReserve
			}
			continue
		}
		if _, known := surplus[c.Pool]; !known {
			surplus[c.Pool] = v.Surplus[c.Pool]
		}
		c.rank = rankOf(c.Candidate, surplus[c.Pool])
		if c.rank == rankSurplus || c.rank == rankBalanced {
			surplus[c.Pool]--
		}
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	q := queue{machines: order}
	for i := range order {
		if order[i].rank < rankEvacuating {
			q.firstEvacuating++
		} else if order[i].rank == rankEvacuating {
			q.evacuating++
		}
	}
	return q
}

// ahead returns how many machines are expected to be begun before the one at a position: those of an earlier rank, and those
// being evacuated that are empty before it.
func (q *queue) ahead(position int) int {
	evacuating := q.machines[q.firstEvacuating : q.firstEvacuating+q.evacuating]
	if position < q.firstEvacuating+q.evacuating {
		return position
	}
	left := q.machines[position].left
	later, _ := slices.BinarySearchFunc(evacuating, left, func(c ranked, left time.Duration) int {
		if c.left <= left {
			return -1
		}
		return 1
	})
	return position - (len(evacuating) - later)
}

// rankOf returns the rank of a candidate in a pool with the given surplus.
func rankOf(c *Candidate, surplus int) rank {
	switch {
	case c.Drained && c.Empty:
		return rankDrained
	case c.Evacuating:
		return rankEvacuating
	case c.Doubtful:
		return rankDoubtful
	case c.Drained:
		return rankBusyDrained
	case c.Empty && surplus > 0:
		return rankSurplus
	case surplus >= 0:
		return rankBalanced
	default:
		return rankNeeded
	}
}
