package planner

import (
	"math"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/calendar"
	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Parameters of the demand estimate.
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
	// maintenanceDomains counts the failure domain being stopped and one that may fail meanwhile.
	maintenanceDomains = 2
	// backlogDrainTime is the time within which urgent requests must start.
	backlogDrainTime = 2 * time.Second
)

// poolState is the demand estimate and the size of one pool, kept between ticks. Demand is in slots, sizes are in instances.
type poolState struct {
	fastDemand       float64
	slowDemand       float64
	smoothedAt       time.Time
	slotsPerInstance float64
	available        int
	largestRack      int
	// required is the size for the demand; requiredWithBuffer adds the largest rack.
	required           int
	requiredWithBuffer int
	// desired equals required; while instances wait for maintenance, it adds the domain that is stopped and one that may fail.
	desired    int
	peakFactor float64
	// maintenanceDue is set when instances of the pool wait for maintenance; the pool then keeps its surplus for the disruption
	// budget.
	maintenanceDue bool
	// maintenanceWasDue is maintenanceDue at the end of the previous tick.
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

// demand updates the demand estimate and the sizes of each pool; it returns no steps.
func (p *Planner) demand(v *View, c *configuration.Configuration) []Step {
	peaks := peakFactors(c, v.Now)
	for _, pool := range c.Pools {
		ps := p.poolStateOf(pool.Name)
		ps.countInstances(v, p.members[pool.Name])
		ps.smoothDemand(v.Now, demandedSlots(v, pool.Name))
		ps.peakFactor = max(peaks[pool.Name], 1)
		ps.updateSizes(v.Now, pool)
	}
	return nil
}

// peakFactors returns, for each pool, the largest factor of its peaks that are active or begin within peakLookahead.
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

// countInstances computes the number of available instances of the pool outside drained data centres, their mean slots and the size of the
// largest rack.
func (ps *poolState) countInstances(v *View, members []poolMember) {
	racks := map[string]int{}
	ps.available, ps.largestRack, ps.slotsPerInstance = 0, 0, 0
	for _, x := range members {
		if !x.assignment.Available() || v.drained(x.assignment) {
			continue
		}
		ps.available++
		ps.slotsPerInstance += float64(x.observation.Instance.Capacity.Slots)
		racks[x.observation.Instance.FailureDomain()]++
		ps.largestRack = max(ps.largestRack, racks[x.observation.Instance.FailureDomain()])
	}
	if ps.available > 0 {
		ps.slotsPerInstance /= float64(ps.available)
	} else {
		ps.slotsPerInstance = defaultSlotsPerInstance
	}
}

// demandedSlots returns the slots in use plus the slots that would work off the requests waiting within their permits in
// backlogDrainTime.
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

// updateSizes converts the demand into instances and records since when the pool has had a shortage or a surplus.
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

// conditionStart returns when a condition that holds now began to hold, or the zero time if it doesn't hold.
func conditionStart(began, now time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if began.IsZero() {
		return now
	}
	return began
}

// heldFor reports whether a condition that began to hold at began has held for a duration.
func heldFor(began, now time.Time, duration time.Duration) bool {
	return !began.IsZero() && now.Sub(began) >= duration
}

// isDrained reports whether no task runs on an instance that takes no new work. The owner's report must come from the current
// epoch and be based on the log index at which the instance stopped taking work, or later.
func isDrained(v *View, a state.Assignment) bool {
	o, observed := v.Observations.Get(a.Instance)
	r, reported := v.Reports.Get(a.Pool)
	owner := v.State.Owners[a.Pool]
	if !observed || !reported || o.Age > maxObservationAge || r.Epoch != owner.Epoch || r.Applied < a.PhaseIndex {
		return false
	}
	return len(o.Instance.Tasks) == 0 && r.Busy[a.Instance] == 0
}
