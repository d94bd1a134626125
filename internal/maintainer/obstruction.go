package maintainer

import (
	"slices"
	"time"
)

// maxExamples is the number of machines that an obstruction names.
const maxExamples = 5

// Obstruction is why machines may not be begun before the deadline.
type Obstruction struct {
	Reason Obstacle
	// Count is the number of the machines, and Machines names some of them.
	Count    int
	Machines []string
}

// Obstructions returns why machines cannot be begun now, and for which of them the expected evacuation takes longer than the time
// that is left, by reason.
func (m *Maintainer) Obstructions(v View) []Obstruction {
	byReason := map[Obstacle]*Obstruction{}
	for i := range v.Candidates {
		c := &v.Candidates[i]
		reason := m.obstacleOf(v.Now, c)
		if reason == Unobstructed {
			continue
		}
		o := byReason[reason]
		if o == nil {
			o = &Obstruction{Reason: reason}
			byReason[reason] = o
		}
		o.Count++
		if len(o.Machines) < maxExamples {
			o.Machines = append(o.Machines, c.Machine)
		}
	}
	var list []Obstruction
	for reason := Moving; reason <= Relocating; reason++ {
		if o := byReason[reason]; o != nil {
			slices.Sort(o.Machines)
			list = append(list, *o)
		}
	}
	return list
}

// obstacleOf returns what keeps a candidate from being begun in time.
func (m *Maintainer) obstacleOf(now time.Duration, c *Candidate) Obstacle {
	left := m.Deadline() - now
	switch {
	case c.Obstacle != Unobstructed || c.Empty:
		return c.Obstacle
	case c.BatchLeft > left:
		return LongTasks
	case c.relocation() > left:
		return Relocating
	default:
		return Unobstructed
	}
}
