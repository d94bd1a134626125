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
	riseTimeConstant        = time.Second
	fallTimeConstant        = 700 * time.Millisecond
	slowTimeConstant        = time.Minute
	targetUtilization       = 0.95
	peakLookahead           = 24 * time.Hour
	defaultSlotsPerInstance = 8
	shortageDelay           = 300 * time.Millisecond
	surplusDelay            = 3 * time.Second
	surplusMargin           = 0
	// maintenanceDomains are the failure domain being stopped and the one that may be lost meanwhile.
	maintenanceDomains = 2
	backlogDrainTime   = 2 * time.Second
)

// poolMemory is what the planner knows of one pool.
type poolState struct {
	fastDemand       float64
	slowDemand       float64
	smoothedAt       time.Time
	slotsPerInstance float64
	available        int
	largestRack      int
	// need is the number of instances for the demand, target adds the buffer.
	required           int
	requiredWithBuffer int
	// wanted is need, and while instances wait for maintenance the domain that is stopped and the buffer besides.
	desired    int
	peakFactor float64
	// due tells that instances of the pool wait for maintenance, which keeps its surplus for the budget.
	maintenanceDue bool
	// waiting is due as the last tick left it.
	maintenanceWasDue bool
	shortageSince     time.Time
	surplusSince      time.Time
}

func (p *Planner) poolStateOf(id fleet.PoolID) *poolState {
	ps, ok := p.pools.Get(id)
	if !ok {
		ps = &poolState{}
		p.pools.Put(id, ps)
	}
	return ps
}

// demand estimates what each pool needs now; it gives no steps.
func (p *Planner) demand(v *View, c *configuration.Configuration) []Step {
	peaks := peakFactors(c, v.Now)
	for _, pool := range c.Pools {
		ps := p.poolStateOf(pool.Name)
		ps.countInstances(p.members[pool.Name])
		ps.smoothDemand(v.Now, demandedSlots(v, pool.Name))
		ps.peakFactor = max(peaks[pool.Name], 1)
		ps.updateSizes(v.Now, pool)
	}
	return nil
}

// peakFactors returns the largest factor of the peaks of each pool, begun or near.
func peakFactors(c *configuration.Configuration, now time.Time) map[fleet.PoolID]float64 {
	factors := map[fleet.PoolID]float64{}
	for _, peak := range calendar.New(c.Peaks).ActiveWithin(now, peakLookahead) {
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
func (ps *poolState) countInstances(members []poolMember) {
	racks := map[string]int{}
	ps.available, ps.largestRack, ps.slotsPerInstance = 0, 0, 0
	for _, x := range members {
		if !x.assignment.Available() {
			continue
		}
		ps.available++
		ps.slotsPerInstance += float64(x.observation.Instance.Offers.Slots)
		racks[x.observation.Instance.Domain()]++
		ps.largestRack = max(ps.largestRack, racks[x.observation.Instance.Domain()])
	}
	if ps.available > 0 {
		ps.slotsPerInstance /= float64(ps.available)
	} else {
		ps.slotsPerInstance = defaultSlotsPerInstance
	}
}

// wantedSlots returns the slots that the pool's customers use, and those that would work off what waits within its
// permits in the time that urgent work may wait.
func demandedSlots(v *View, pool fleet.PoolID) float64 {
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
	meanDuration := float64(running) / r.EndRate
	return float64(running) + float64(waiting)*min(meanDuration/backlogDrainTime.Seconds(), 1)
}

func (ps *poolState) smoothDemand(now time.Time, demanded float64) {
	if ps.smoothedAt.IsZero() {
		ps.fastDemand, ps.slowDemand, ps.smoothedAt = demanded, demanded, now
		return
	}
	elapsed := now.Sub(ps.smoothedAt)
	ps.smoothedAt = now
	timeConstant := riseTimeConstant
	if demanded < ps.fastDemand {
		timeConstant = fallTimeConstant
	}
	ps.fastDemand += (demanded - ps.fastDemand) * (1 - math.Exp(-float64(elapsed)/float64(timeConstant)))
	ps.slowDemand += (demanded - ps.slowDemand) * (1 - math.Exp(-float64(elapsed)/float64(slowTimeConstant)))
}

// plan turns demand into instances and notes since when the pool lacks or has too many.
func (ps *poolState) updateSizes(now time.Time, pool configuration.Pool) {
	slots := max(ps.slotsPerInstance, 1) * targetUtilization
	ps.required = max(int(math.Ceil(max(ps.fastDemand, ps.slowDemand*ps.peakFactor)/slots)), pool.MinimumAvailable)
	ps.requiredWithBuffer = ps.required + max(ps.largestRack, 1)
	if pool.Spare {
		ps.required = pool.MinimumAvailable
		ps.requiredWithBuffer = ps.required
	}
	ps.desired = ps.required
	if ps.maintenanceDue && !pool.Spare {
		ps.desired = ps.required + maintenanceDomains*max(ps.largestRack, 1)
	}
	ps.shortageSince = conditionStart(ps.shortageSince, now, ps.available < ps.desired)
	ps.surplusSince = conditionStart(ps.surplusSince, now, ps.available > ps.requiredWithBuffer+surplusMargin && !ps.maintenanceDue)
	ps.maintenanceWasDue, ps.maintenanceDue = ps.maintenanceDue, false
}

// since returns when a condition that holds now began to hold, or the zero time.
func conditionStart(began, now time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if began.IsZero() {
		return now
	}
	return began
}

// held reports whether a condition has held for a span.
func heldFor(began, now time.Time, duration time.Duration) bool {
	return !began.IsZero() && now.Sub(began) >= duration
}

// empty reports whether nothing runs on an instance that takes no new work since a log index.
func isDrained(v *View, a state.Assignment) bool {
	o, observed := v.Observations.Get(a.Instance)
	r, reported := v.Reports.Get(a.Pool)
	owner := v.State.Owners[a.Pool]
	if !observed || !reported || o.Age > maxObservationAge || r.Epoch != owner.Epoch || r.Applied < a.Index {
		return false
	}
	return len(o.Instance.Tasks) == 0 && r.Busy[a.Instance] == 0
}
