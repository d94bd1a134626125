package planner

import (
	"math"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/calendar"
	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Parameters of the estimate of demand.
const (
	riseSpan      = time.Second
	fallSpan      = 700 * time.Millisecond
	slowSpan      = time.Minute
	useTarget     = 0.95
	peakLead      = 24 * time.Hour
	defaultSlots  = 8
	hungryFor     = 300 * time.Millisecond
	surplusFor    = 3 * time.Second
	surplusMargin = 0
	// maintenanceDomains are the failure domain being stopped and the one that may be lost meanwhile.
	maintenanceDomains = 2
	backlogTime        = 2 * time.Second
)

// poolMemory is what the planner knows of one pool.
type poolMemory struct {
	fast    float64
	slow    float64
	at      time.Time
	slots   float64
	have    int
	largest int
	// need is the number of instances for the demand, target adds the buffer.
	need   int
	target int
	// wanted is need, and while instances wait for maintenance the domain that is stopped and the buffer besides.
	wanted int
	peak   float64
	// due tells that instances of the pool wait for maintenance, which keeps its surplus for the budget.
	due bool
	// waiting is due as the last tick left it.
	waiting     bool
	hungrySince time.Time
	idleSince   time.Time
}

func (p *Planner) memory(id fleet.PoolID) *poolMemory {
	m, ok := p.pools.Get(id)
	if !ok {
		m = &poolMemory{}
		p.pools.Put(id, m)
	}
	return m
}

// demand estimates what each pool needs now; it gives no steps.
func (p *Planner) demand(v *View, c *configuration.Configuration) []Step {
	peaks := peakFactors(c, v.Now)
	for _, pool := range c.Pools {
		m := p.memory(pool.Name)
		m.count(p.members[pool.Name])
		m.smooth(v.Now, wantedSlots(v, pool.Name))
		m.peak = max(peaks[pool.Name], 1)
		m.plan(v.Now, pool)
	}
	return nil
}

// peakFactors returns the largest factor of the peaks of each pool, begun or near.
func peakFactors(c *configuration.Configuration, now time.Time) map[fleet.PoolID]float64 {
	factors := map[fleet.PoolID]float64{}
	for _, peak := range calendar.New(c.Peaks).Within(now, peakLead) {
		pools := peak.Pools
		if len(pools) == 0 {
			for _, pool := range c.Pools {
				pools = append(pools, pool.Name)
			}
		}
		for _, pool := range pools {
			factors[pool] = max(factors[pool], peak.Factor)
		}
	}
	return factors
}

// count sums the instances of the pool and finds its largest rack.
func (m *poolMemory) count(members []member) {
	racks := map[string]int{}
	m.have, m.largest, m.slots = 0, 0, 0
	for _, x := range members {
		if !x.assignment.Available() {
			continue
		}
		m.have++
		m.slots += float64(x.sight.Instance.Offers.Slots)
		racks[x.sight.Instance.Domain()]++
		m.largest = max(m.largest, racks[x.sight.Instance.Domain()])
	}
	if m.have > 0 {
		m.slots /= float64(m.have)
	} else {
		m.slots = defaultSlots
	}
}

// wantedSlots returns the slots that the pool's customers use, and those that would work off what waits within its
// permits in the time that urgent work may wait.
func wantedSlots(v *View, pool fleet.PoolID) float64 {
	r, ok := v.Reports.Get(pool)
	if !ok {
		return 0
	}
	running, waiting := 0, 0
	for customer, load := range r.Customers {
		running += load.Running
		waiting += min(load.Waiting, max(v.State.Permits[customer][pool].Usable()-load.Running, 0))
	}
	if waiting == 0 || r.EndRate <= 0 {
		return float64(running + waiting)
	}
	took := float64(running) / r.EndRate
	return float64(running) + float64(waiting)*min(took/backlogTime.Seconds(), 1)
}

func (m *poolMemory) smooth(now time.Time, wanted float64) {
	if m.at.IsZero() {
		m.fast, m.slow, m.at = wanted, wanted, now
		return
	}
	passed := now.Sub(m.at)
	m.at = now
	span := riseSpan
	if wanted < m.fast {
		span = fallSpan
	}
	m.fast += (wanted - m.fast) * (1 - math.Exp(-float64(passed)/float64(span)))
	m.slow += (wanted - m.slow) * (1 - math.Exp(-float64(passed)/float64(slowSpan)))
}

// plan turns demand into instances and notes since when the pool lacks or has too many.
func (m *poolMemory) plan(now time.Time, pool configuration.Pool) {
	slots := max(m.slots, 1) * useTarget
	m.need = max(int(math.Ceil(max(m.fast, m.slow*m.peak)/slots)), pool.MinimumAvailable)
	m.target = m.need + max(m.largest, 1)
	if pool.Spare {
		m.need = pool.MinimumAvailable
		m.target = m.need
	}
	m.wanted = m.need
	if m.due && !pool.Spare {
		m.wanted = m.need + maintenanceDomains*max(m.largest, 1)
	}
	m.hungrySince = since(m.hungrySince, now, m.have < m.wanted)
	m.idleSince = since(m.idleSince, now, m.have > m.target+surplusMargin && !m.due)
	m.waiting, m.due = m.due, false
}

// since returns when a condition that holds now began to hold, or the zero time.
func since(began, now time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if began.IsZero() {
		return now
	}
	return began
}

// held reports whether a condition has held for a span.
func held(began, now time.Time, span time.Duration) bool {
	return !began.IsZero() && now.Sub(began) >= span
}

// empty reports whether nothing runs on an instance that takes no new work since a log index.
func empty(v *View, a state.Assignment) bool {
	s, seen := v.Sights.Get(a.Instance)
	r, reported := v.Reports.Get(a.Pool)
	owner := v.State.Owners[a.Pool]
	if !seen || !reported || s.Age > freshAge || r.Epoch != owner.Epoch || r.Applied < a.Index {
		return false
	}
	return len(s.Instance.Tasks) == 0 && r.Busy[a.Instance] == 0
}
