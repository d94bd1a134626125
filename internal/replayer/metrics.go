package replayer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/tracer"
)

// Bounds of the guarantees that a replay checks; those without a unit are ratios.
const (
	leavingGrace        = 3 * time.Second
	urgentStartBound    = 2 * time.Second
	shareDeviationBound = 0.05
	bufferRatioBound    = 1.2
	rolloutRatioBound   = 1.2
)

// metrics accumulates the measurements of a replay. The sums and the used, entitled and contended slots add up over all samples.
type metrics struct {
	submitted, answered, refused, unknown, failed, cancelled, refusedByLease, preempted int
	answeredInTime                                                                      int
	causes                                                                              map[string]int
	urgentWaits                                                                         []time.Duration
	urgentStarved                                                                       int
	moves                                                                               int
	rolloutStart, rolloutEnd                                                            time.Duration
	maintained                                                                          map[fleet.PoolID]int
	halted                                                                              bool
	limitViolations, budgetViolations, plannedInterruptions, duplicateRuns, lateStarts  int
	bufferSum, neededSum, largestDomainSum                                              float64
	sampleCount                                                                         int
	usedSlots, entitledSlots                                                            map[fleet.CustomerID]float64
	contendedSlots                                                                      float64
	slotsInUse                                                                          map[fleet.CustomerID][]float64
}

func newMetrics() *metrics {
	return &metrics{
		causes: map[string]int{}, maintained: map[fleet.PoolID]int{}, usedSlots: map[fleet.CustomerID]float64{}, entitledSlots: map[fleet.CustomerID]float64{},
		slotsInUse: map[fleet.CustomerID][]float64{},
	}
}

func (m *metrics) recordRefusal(cause dispatcher.Cause) {
	m.refused++
	m.causes[cause.String()]++
}

// recordUrgentRefusal counts an urgent request that is refused while its customer uses less than its share of the pool.
func (m *metrics) recordUrgentRefusal(r *Replayer, d *dispatcher.Dispatcher, c *caller, cause dispatcher.Cause) {
	q, _ := r.config.Queue(c.event.Queue)
	if !q.Urgent || cause != dispatcher.CauseQueueFull && cause != dispatcher.CauseDeadline {
		return
	}
	loads, totalShare, totalRunning := d.Loads(), 0.0, 0
	for id, load := range loads.All() {
		other, _ := r.config.Customer(id)
		totalShare += other.Share
		totalRunning += load.Running
	}
	customerLoad, _ := loads.Get(c.event.Customer)
	customer, _ := r.config.Customer(c.event.Customer)
	if float64(customerLoad.Running+1) < float64(totalRunning)*customer.Share/max(totalShare, customer.Share) {
		m.urgentStarved++
	}
}

// recordStart records the start of an attempt and counts the guarantees that the start violates.
func (m *metrics) recordStart(r *Replayer, c *caller, t *target) {
	q, _ := r.config.Queue(c.event.Queue)
	if c.startedAt == 0 {
		c.startedAt = r.now
		if q.Urgent {
			m.urgentWaits = append(m.urgentWaits, r.now-c.arrivedAt)
		}
	}
	if t.leavingSince > 0 && r.now-t.leavingSince > leavingGrace {
		m.lateStarts++
	}
	if !q.Repeatable && c.runCount > 0 {
		m.duplicateRuns++
	}
	running := 0
	for _, a := range r.attempts {
		if a.customer == c.event.Customer {
			running++
		}
	}
	if customer, _ := r.config.Customer(c.event.Customer); running > customer.Limit {
		m.limitViolations++
	}
}

func (m *metrics) recordAnswer(r *Replayer, c *caller) {
	m.answered++
	if r.now <= c.deadline {
		m.answeredInTime++
	}
}

// recordCommand records a committed command; before is the assignment of its instance before the commit.
func (m *metrics) recordCommand(r *Replayer, c state.Command, before state.Assignment) {
	switch c := c.(type) {
	case state.CompleteMove:
		m.moves++
	case state.Disrupt:
		p, _ := r.config.Pool(before.Pool)
		if r.state.AvailableInstances(before.Pool) < p.MinimumAvailable {
			m.budgetViolations++
		}
	case state.Restore:
		if c.Maintained && m.rolloutStart > 0 {
			m.rolloutEnd = r.now
			m.maintained[r.state.Instances[c.Instance].Pool]++
		}
	}
}

// sample samples the whole fleet at the current time.
func (r *Replayer) sample() {
	m := r.metrics
	m.halted = r.state.HaltReason != ""
	running := map[fleet.CustomerID]int{}
	for _, a := range r.attempts {
		running[a.customer]++
	}
	for _, customer := range r.config.Customers {
		m.slotsInUse[customer.Name] = append(m.slotsInUse[customer.Name], float64(running[customer.Name]))
	}
	for pool, d := range r.dispatchers.All() {
		r.samplePool(pool, d)
	}
	m.sampleCount++
}

// samplePool samples the buffer of a pool and, while requests wait, the slots that each customer uses and is entitled to.
func (r *Replayer) samplePool(pool fleet.PoolID, d *dispatcher.Dispatcher) {
	m := r.metrics
	poolConfig, _ := r.config.Pool(pool)
	available, slots := 0, 0
	instancesByDomain := map[string]int{}
	for id, t := range r.targets.All() {
		assignment := r.state.Instances[id]
		if assignment.Pool == pool && assignment.Available() {
			available++
			slots += t.instance.Capacity.Slots
			instancesByDomain[t.instance.FailureDomain()]++
		}
	}
	if available == 0 {
		return
	}
	demand, waiting := 0, 0
	loads := d.Loads()
	for _, load := range loads.All() {
		demand += load.Running + load.Waiting
		waiting += load.Waiting
	}
	if !poolConfig.Spare {
		needed := max(int(math.Ceil(float64(demand)*float64(available)/float64(slots))), poolConfig.MinimumAvailable)
		m.bufferSum += float64(max(available-needed, 0))
		m.neededSum += float64(needed)
		m.largestDomainSum += float64(slices.Max(slices.Collect(maps.Values(instancesByDomain))))
	}
	if waiting == 0 {
		return
	}
	m.contendedSlots += float64(slots)
	running := 0
	demands := map[fleet.CustomerID]float64{}
	for customer, load := range loads.All() {
		running += load.Running
		m.usedSlots[customer] += float64(load.Running)
		demands[customer] = float64(min(load.Running+load.Waiting, max(r.state.Permits[customer][pool].Usable(), load.Running)))
	}
	for customer, entitlement := range r.fairSlots(demands, float64(running)) {
		m.entitledSlots[customer] += entitlement
	}
}

// fairSlots divides slots among customers in proportion to their shares (weighted max-min fairness); no customer gets more than its demand.
func (r *Replayer) fairSlots(demands map[fleet.CustomerID]float64, slots float64) map[fleet.CustomerID]float64 {
	allocated := map[fleet.CustomerID]float64{}
	unsatisfied := slices.Sorted(maps.Keys(demands))
	for len(unsatisfied) > 0 {
		totalShare := 0.0
		for _, id := range unsatisfied {
			customer, _ := r.config.Customer(id)
			totalShare += customer.Share
		}
		slotsPerShare := slots / totalShare
		remaining := slices.DeleteFunc(slices.Clone(unsatisfied), func(id fleet.CustomerID) bool {
			customer, _ := r.config.Customer(id)
			if demands[id] > slotsPerShare*customer.Share {
				return false
			}
			allocated[id] = demands[id]
			return true
		})
		if len(remaining) == len(unsatisfied) {
			for _, id := range unsatisfied {
				customer, _ := r.config.Customer(id)
				allocated[id] = slotsPerShare * customer.Share
			}
			return allocated
		}
		for _, id := range unsatisfied {
			if !slices.Contains(remaining, id) {
				slots -= allocated[id]
			}
		}
		unsatisfied = remaining
	}
	return allocated
}

// minimumRollout returns the shortest time that the availability budgets and the reboot time allow for maintaining every
// instance. It returns zero if instances crash or fail to reboot, because the budgets do not account for such losses.
func (r *Replayer) minimumRollout() time.Duration {
	rebootTime := time.Duration(r.trace.Header.RebootMillis) * time.Millisecond
	batches := 0
	poolSizes := map[fleet.PoolID]int{}
	for _, e := range r.trace.Events {
		if e.Kind == tracer.Crash || e.Kind == tracer.RebootsFail {
			return 0
		}
		if e.Instance != nil {
			poolSizes[e.Instance.HomePool]++
		}
	}
	for _, p := range r.config.Pools {
		if batch := poolSizes[p.Name] - p.MinimumAvailable; batch > 0 {
			batches = max(batches, (poolSizes[p.Name]+batch-1)/batch)
		}
	}
	return time.Duration(batches) * (rebootTime + minimumVerifyTime)
}

// minimumVerifyTime is the shortest time that the verification after a reboot takes.
const minimumVerifyTime = 2 * time.Second

func quantile(durations []time.Duration, fraction float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// Result holds the measurements of one policy on a trace.
type Result struct {
	Policy              string             `json:"policy"`
	Submitted           int                `json:"asked"`
	Answered            int                `json:"answered"`
	AnsweredInTime      float64            `json:"answered-in-time"`
	Refused             int                `json:"refused"`
	Causes              map[string]int     `json:"causes,omitempty"`
	Unknown             int                `json:"unknown"`
	Failed              int                `json:"failed"`
	Cancelled           int                `json:"cancelled"`
	Preempted           int                `json:"stopped-for-urgent"`
	BufferInstances     float64            `json:"buffer-instances"`
	BufferRatio         float64            `json:"buffer-of-largest-domain"`
	Moves               int                `json:"moves"`
	RolloutSeconds      float64            `json:"roll-out-seconds"`
	RolloutRatio        float64            `json:"roll-out-of-least"`
	Maintained          int                `json:"maintained"`
	Halted              bool               `json:"maintenance-halted"`
	ShareDeviation      map[string]float64 `json:"share-deviation"`
	WorstShareDeviation float64            `json:"worst-share-deviation"`
	UrgentStartP50      float64            `json:"urgent-start-p50-seconds"`
	UrgentStartP99      float64            `json:"urgent-start-p99-seconds"`
	UrgentStartMax      float64            `json:"urgent-start-max-seconds"`
	Violations          []string           `json:"broken"`
	slotsInUse          map[fleet.CustomerID][]float64
}

func (m *metrics) result(r *Replayer) *Result {
	result := &Result{
		Policy: r.policy.Name, Submitted: m.submitted, Answered: m.answered, Refused: m.refused, Causes: m.causes, Unknown: m.unknown, Failed: m.failed,
		Cancelled: m.cancelled, Preempted: m.preempted, Moves: m.moves, Halted: m.halted, ShareDeviation: map[string]float64{}, slotsInUse: m.slotsInUse,
		UrgentStartP50: quantile(m.urgentWaits, 0.5).Seconds(), UrgentStartP99: quantile(m.urgentWaits, 0.99).Seconds(), UrgentStartMax: quantile(m.urgentWaits, 1).Seconds(),
	}
	result.AnsweredInTime = round(float64(m.answeredInTime) / float64(max(m.submitted-m.cancelled, 1)))
	result.BufferInstances = round(m.bufferSum / float64(max(m.sampleCount, 1)))
	result.BufferRatio = round(m.bufferSum / max(m.largestDomainSum, 1))
	for _, n := range m.maintained {
		result.Maintained += n
	}
	if m.rolloutStart > 0 && m.rolloutEnd > 0 {
		result.RolloutSeconds = round((m.rolloutEnd - m.rolloutStart).Seconds())
		if minimum := r.minimumRollout(); minimum > 0 {
			result.RolloutRatio = round(float64(m.rolloutEnd-m.rolloutStart) / float64(minimum))
		}
	}
	for _, customer := range r.config.Customers {
		if m.contendedSlots > 0 {
			deviation := (m.usedSlots[customer.Name] - m.entitledSlots[customer.Name]) / m.contendedSlots
			result.ShareDeviation[string(customer.Name)] = round(deviation)
			result.WorstShareDeviation = max(result.WorstShareDeviation, round(math.Abs(deviation)))
		}
	}
	result.Violations = m.violations(result)
	return result
}

func round(x float64) float64 { return math.Round(x*10_000) / 10_000 }

// violations lists the guarantees that did not hold.
func (m *metrics) violations(result *Result) []string {
	violations := []string{}
	addCount := func(name string, n int) {
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d", name, n))
		}
	}
	addCount("upper limit exceeded", m.limitViolations)
	addCount("availability budget broken", m.budgetViolations)
	addCount("requests cut by planned stops", m.plannedInterruptions)
	addCount("unrepeatable requests run twice", m.duplicateRuns)
	addCount("urgent work refused below the share of its customer", m.urgentStarved)
	addCount("work for targets that left 3 s ago", m.lateStarts)
	if result.UrgentStartMax > urgentStartBound.Seconds() {
		violations = append(violations, fmt.Sprintf("urgent start within 2 s: %.3f s", result.UrgentStartMax))
	}
	if result.WorstShareDeviation > shareDeviationBound {
		violations = append(violations, fmt.Sprintf("share deviation at most 5 %%: %.1f %%", 100*result.WorstShareDeviation))
	}
	if result.BufferRatio > bufferRatioBound {
		violations = append(violations, fmt.Sprintf("buffer at most 1.2 of the largest domain: %.2f", result.BufferRatio))
	}
	if result.RolloutRatio > rolloutRatioBound {
		violations = append(violations, fmt.Sprintf("roll-out within 1.2 of the least: %.2f", result.RolloutRatio))
	}
	return violations
}
