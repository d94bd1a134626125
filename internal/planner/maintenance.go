package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/calendar"
	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Parameters of maintenance.
const (
	// scheduleLeadDivisor divides the maintenance period; a scheduled stop may begin in the last such part of the period.
	scheduleLeadDivisor = 4
	// verifyTime is the minimum time for which a rebooted instance is verified before it serves again.
	verifyTime       = 2 * time.Second
	canarySize       = 3
	waveGrowthFactor = 8
	// overdueMarginDivisor divides the maintenance period; in the last such part of the period peaks no longer defer a stop.
	overdueMarginDivisor = 20
)

// maintenance advances the planned stops through their phases and starts the next ones, unless maintenance is halted.
func (p *Planner) maintenance(v *View, c *configuration.Configuration) []Step {
	steps, stopping := p.advanceStops(v, c)
	if v.State.HaltReason != "" {
		return steps
	}
	allowed := p.waveLimit(v, c) - countUnavailable(stopping)
	canary := p.canary(v, c)
	due := p.dueInstances(v, c, stopping)
	steps = append(steps, p.deprioritize(v, c, due)...)
	for _, a := range due {
		if allowed <= 0 {
			break
		}
		if !canary.admits(a, stopping) || !p.canStop(v, c, a, stopping) {
			continue
		}
		o, _ := v.Observations.Get(a.Instance)
		steps = append(steps, Step{
			Command: state.Disrupt{Instance: a.Instance, Reason: state.ReasonMaintenance, Boot: o.Instance.BootID, At: state.TimestampOf(v.Now)},
			Reason:  fmt.Sprintf("last maintained %s", a.MaintainedAt.Time().Format(time.RFC3339)),
		})
		if !v.drained(a) {
			p.countRemoved(a.Pool)
		}
		stopping = append(stopping, a)
		allowed--
	}
	return steps
}

// countUnavailable counts the planned stops whose instances have not rebooted yet.
func countUnavailable(stopping []state.Assignment) int {
	n := 0
	for _, a := range stopping {
		if a.Phase != state.Verifying {
			n++
		}
	}
	return n
}

// deprioritize marks the instances that are stopped next, in one data centre per pool and as many as its disruption budget allows
// but at least one, so that they drain while earlier ones are still unavailable.
func (p *Planner) deprioritize(v *View, c *configuration.Configuration, due []state.Assignment) []Step {
	var steps []Step
	next := map[fleet.PoolID]int{}
	dataCentres := map[fleet.PoolID]fleet.DataCentreID{}
	members := map[fleet.PoolID]int{}
	for _, a := range v.State.Instances {
		if !a.Lost {
			members[a.Pool]++
		}
	}
	for _, a := range due {
		p.poolStateOf(a.Pool).maintenanceDue = true
		pool, _ := c.Pool(a.Pool)
		budget := members[a.Pool] - pool.MinimumAvailable
		if dataCentre, begun := dataCentres[a.Pool]; begun && dataCentre != a.DataCentre || p.serial {
			continue
		}
		dataCentres[a.Pool] = a.DataCentre
		next[a.Pool]++
		if a.Deprioritized || next[a.Pool] > max(budget, 1) {
			continue
		}
		steps = append(steps, Step{Command: state.SetDeprioritized{Instance: a.Instance, Fading: true}, Reason: "next to be stopped for maintenance"})
	}
	return steps
}

// advanceStops moves each planned stop to its next phase, and returns the maintenance stops that have not ended.
func (p *Planner) advanceStops(v *View, c *configuration.Configuration) ([]Step, []state.Assignment) {
	var steps []Step
	var stopping []state.Assignment
	for _, a := range p.assignments {
		if a.Phase == state.Serving || a.Reason == state.ReasonMove {
			continue
		}
		step, over := p.advanceStop(v, c, a)
		if step.Command != nil {
			steps = append(steps, step)
		}
		if !over && a.Reason == state.ReasonMaintenance {
			stopping = append(stopping, a)
		}
	}
	return steps, stopping
}

func (p *Planner) advanceStop(v *View, c *configuration.Configuration, a state.Assignment) (step Step, over bool) {
	at := state.TimestampOf(v.Now)
	age := v.Now.Sub(a.Since.Time())
	o, observed := v.Observations.Get(a.Instance)
	rebooted := observed && o.Age < maxObservationAge && o.Instance.BootID != a.BootID
	switch {
	case a.Phase == state.Draining && isDrained(v, a):
		return advanceStep(a, state.Rebooting, at, "drained: no task runs on it"), false
	case a.Phase == state.Draining && age > c.Maintenance.DrainTimeout && a.Reason == state.ReasonMaintenance:
		return Step{Command: state.Restore{Instance: a.Instance, At: at}, Reason: "not drained within the drain timeout"}, true
	case a.Phase == state.Rebooting && rebooted:
		return advanceStep(a, state.Verifying, at, "rebooted with boot id "+o.Instance.BootID), false
	case a.Phase == state.Verifying && rebooted && o.Instance.Condition == fleet.Ready && age >= verifyTime:
		return Step{Command: state.Restore{Instance: a.Instance, Maintained: true, Boot: o.Instance.BootID, At: at}, Reason: "ready after the reboot"}, true
	}
	return Step{}, false
}

func advanceStep(a state.Assignment, to state.Phase, at state.Timestamp, reason string) Step {
	return Step{Command: state.AdvancePhase{Instance: a.Instance, From: a.Phase, To: to, At: at}, Reason: reason}
}

// waveLimit returns the number of instances that may be unavailable at once: at most the batch size and at most waveGrowthFactor times
// the number of instances that have succeeded. Until the first success the canary limits the wave instead.
func (p *Planner) waveLimit(v *View, c *configuration.Configuration) int {
	if p.serial {
		return 1
	}
	done := p.countSucceeded(v, c)
	if done == 0 {
		return c.Maintenance.Batch
	}
	return min(c.Maintenance.Batch, waveGrowthFactor*done)
}

// canary limits the first wave of a roll-out to one data centre and to one instance per pool, or canarySize instances in the pool that
// needs the most rounds.
type canary struct {
	active bool
	pool   fleet.PoolID
}

func (p *Planner) canary(v *View, c *configuration.Configuration) canary {
	if p.serial || p.countSucceeded(v, c) > 0 {
		return canary{}
	}
	return canary{active: true, pool: p.slowestPool(v, c)}
}

// admits reports whether an instance may be stopped in addition to those that are stopping.
func (c canary) admits(a state.Assignment, stopping []state.Assignment) bool {
	if !c.active {
		return true
	}
	remaining := 1
	if a.Pool == c.pool {
		remaining = canarySize
	}
	for _, b := range stopping {
		if b.DataCentre != a.DataCentre {
			return false
		}
		if b.Pool == a.Pool {
			remaining--
		}
	}
	return remaining > 0
}

// countSucceeded counts the instances that rebooted in this wave and are neither lost nor isolated.
func (p *Planner) countSucceeded(v *View, c *configuration.Configuration) int {
	succeeded := 0
	for _, a := range v.State.Instances {
		recent := v.Now.Sub(a.MaintainedAt.Time()) < c.Maintenance.Period/scheduleLeadDivisor
		back := a.Phase == state.Verifying || a.Phase == state.Serving && a.MaintainedAt > v.State.RolloutAt && recent
		if back && !a.Lost && !a.Isolated {
			succeeded++
		}
	}
	return succeeded
}

// slowestPool returns the pool that needs the most rounds for its instances. It gets the largest canary, because the other pools
// need fewer rounds and can wait meanwhile.
func (p *Planner) slowestPool(v *View, c *configuration.Configuration) fleet.PoolID {
	best, mostRounds := fleet.PoolID(""), 0.0
	for _, pool := range c.Pools {
		ps := p.poolStateOf(pool.Name)
		rounds := float64(ps.available) / float64(max(ps.available-pool.MinimumAvailable, 1))
		if ps.available > pool.MinimumAvailable && rounds > mostRounds {
			best, mostRounds = pool.Name, rounds
		}
	}
	return best
}

// dueInstances returns the instances whose maintenance may start now: those in drained data centres first, then pools that need the most rounds first; within a pool, the data
// centre in which stops have begun first, then by data centre, rack and time of the last maintenance.
func (p *Planner) dueInstances(v *View, c *configuration.Configuration, stopping []state.Assignment) []state.Assignment {
	begun := map[poolDataCentre]bool{}
	for _, a := range stopping {
		begun[poolDataCentre{a.Pool, a.DataCentre}] = true
	}
	var list []state.Assignment
	waiting := map[fleet.PoolID]int{}
	for _, a := range p.assignments {
		if a.Available() && p.isDue(v, c, a) {
			list = append(list, a)
			waiting[a.Pool]++
		}
	}
	rounds := map[fleet.PoolID]float64{}
	for id, n := range waiting {
		pool, _ := c.Pool(id)
		rounds[id] = float64(n) / float64(max(v.State.AvailableInstances(id)-pool.MinimumAvailable, 1))
	}
	rank := func(a state.Assignment) int {
		if begun[poolDataCentre{a.Pool, a.DataCentre}] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b state.Assignment) int {
		return cmp.Or(v.compareDrained(a, b), cmp.Compare(rounds[b.Pool], rounds[a.Pool]), cmp.Compare(a.Pool, b.Pool), cmp.Compare(rank(a), rank(b)),
			cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.MaintainedAt, b.MaintainedAt))
	})
	return list
}

// poolDataCentre is the part of a pool in one data centre.
type poolDataCentre struct {
	pool       fleet.PoolID
	dataCentre fleet.DataCentreID
}

func (p *Planner) isDue(v *View, c *configuration.Configuration, a state.Assignment) bool {
	age := v.Now.Sub(a.MaintainedAt.Time())
	period := c.Maintenance.Period
	rolloutPending := a.MaintainedAt < v.State.RolloutAt
	if !rolloutPending && age < period-period/scheduleLeadDivisor {
		return false
	}
	if age > period-period/overdueMarginDivisor && !rolloutPending {
		return true
	}
	for _, peak := range calendar.New(c.Peaks).ActiveOn(v.Now) {
		if len(peak.Pools) == 0 || slices.Contains(peak.Pools, a.Pool) {
			return false
		}
	}
	return true
}

// canStop reports whether stopping an instance respects the pool's disruption budget and demand. Instances of a pool are unavailable
// in one data centre at a time, unless the pool could lose its largest rack in addition. This rule does not count instances that are
// being verified, because they have rebooted.
func (p *Planner) canStop(v *View, c *configuration.Configuration, a state.Assignment, stopping []state.Assignment) bool {
	pool, _ := c.Pool(a.Pool)
	ps := p.poolStateOf(a.Pool)
	o, observed := v.Observations.Get(a.Instance)
	if !observed || o.Age > maxObservationAge || o.Instance.Condition != fleet.Ready {
		return false
	}
	if v.drained(a) {
		return v.State.AvailableInstances(a.Pool) > pool.MinimumAvailable // the state counts it as available while its tasks run
	}
	if ps.available-1 < max(pool.MinimumAvailable, min(ps.required, ps.available-1)) {
		return false
	}
	if ps.required > ps.available-1 && !pool.Spare {
		return false
	}
	if ps.available-1-ps.largestRack >= max(pool.MinimumAvailable, ps.required) {
		return true
	}
	return !slices.ContainsFunc(stopping, func(b state.Assignment) bool {
		return b.Pool == a.Pool && b.DataCentre != a.DataCentre && !v.drained(b) && b.Phase != state.Verifying
	})
}
