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

// Bounds that the promises state.
const (
	leavingBound = 3 * time.Second
	urgentBound  = 2 * time.Second
	shareBound   = 0.05
	bufferBound  = 1.2
	rolloutBound = 1.2
)

// measure collects what a replay did.
type measure struct {
	asked, answered, refused, unknown, failed, cancelled, refusedByLease, pressed int
	inTime                                                                        int
	causes                                                                        map[string]int
	urgentWaits                                                                   []time.Duration
	urgentStarved                                                                 int
	moves                                                                         int
	rollout, rolledOut                                                            time.Duration
	stops                                                                         map[fleet.PoolID]int
	halted                                                                        bool
	limitBroken, budgetBroken, cutByStops, doubled, lateWork                      int
	buffer, need, largest                                                         float64
	samples                                                                       int
	got, entitled                                                                 map[fleet.CustomerID]float64
	full                                                                          float64
	use                                                                           map[fleet.CustomerID][]float64
}

func newMeasure() *measure {
	return &measure{
		causes: map[string]int{}, stops: map[fleet.PoolID]int{}, got: map[fleet.CustomerID]float64{}, entitled: map[fleet.CustomerID]float64{},
		use: map[fleet.CustomerID][]float64{},
	}
}

func (m *measure) refuse(cause dispatcher.Cause) {
	m.refused++
	m.causes[cause.String()]++
}

// refuseUrgent counts urgent work that is refused while its customer has less than its share of the pool.
func (m *measure) refuseUrgent(r *Replayer, d *dispatcher.Dispatcher, c *caller, cause dispatcher.Cause) {
	q, _ := r.config.Queue(c.event.Queue)
	if !q.Urgent || cause != dispatcher.CauseQueueFull && cause != dispatcher.CauseDeadline {
		return
	}
	loads, shares, running := d.Loads(), 0.0, 0
	for id, l := range loads.All() {
		t, _ := r.config.Customer(id)
		shares += t.Share
		running += l.Running
	}
	own, _ := loads.Get(c.event.Customer)
	customer, _ := r.config.Customer(c.event.Customer)
	if float64(own.Running+1) < float64(running)*customer.Share/max(shares, customer.Share) {
		m.urgentStarved++
	}
}

// start notes the start of an attempt and what it may not do.
func (m *measure) start(r *Replayer, c *caller, t *target) {
	q, _ := r.config.Queue(c.event.Queue)
	if c.started == 0 {
		c.started = r.now
		if q.Urgent {
			m.urgentWaits = append(m.urgentWaits, r.now-c.arrived)
		}
	}
	if t.leaving > 0 && r.now-t.leaving > leavingBound {
		m.lateWork++
	}
	if !q.Repeatable && c.runs > 0 {
		m.doubled++
	}
	running := 0
	for _, f := range r.flights {
		if f.customer == c.event.Customer {
			running++
		}
	}
	if customer, _ := r.config.Customer(c.event.Customer); running > customer.Limit {
		m.limitBroken++
	}
}

func (m *measure) answer(r *Replayer, c *caller) {
	m.answered++
	if r.now <= c.deadline {
		m.inTime++
	}
}

// note watches the commands of the planner.
func (m *measure) note(r *Replayer, c state.Command, before state.Assignment) {
	switch c := c.(type) {
	case state.CompleteMove:
		m.moves++
	case state.Disrupt:
		p, _ := r.config.Pool(before.Pool)
		if r.state.AvailableInstances(before.Pool) < p.MinimumAvailable {
			m.budgetBroken++
		}
	case state.Restore:
		if c.Maintained && m.rollout > 0 {
			m.rolledOut = r.now
			m.stops[r.state.Instances[c.Instance].Pool]++
		}
	}
}

// sample looks at the whole fleet at one instant.
func (r *Replayer) sample() {
	m := r.measure
	m.halted = r.state.HaltReason != ""
	running := map[fleet.CustomerID]int{}
	for _, f := range r.flights {
		running[f.customer]++
	}
	for _, t := range r.config.Customers {
		m.use[t.Name] = append(m.use[t.Name], float64(running[t.Name]))
	}
	for pool, d := range r.pools.All() {
		r.samplePool(pool, d)
	}
	m.samples++
}

// samplePool adds the buffer of a pool, and what its customers get of it while it is full.
func (r *Replayer) samplePool(pool fleet.PoolID, d *dispatcher.Dispatcher) {
	m := r.measure
	p, _ := r.config.Pool(pool)
	have, slots := 0, 0
	racks := map[string]int{}
	for id, t := range r.targets.All() {
		a := r.state.Instances[id]
		if a.Pool == pool && a.Available() {
			have++
			slots += t.instance.Capacity.Slots
			racks[t.instance.FailureDomain()]++
		}
	}
	if have == 0 {
		return
	}
	demand, waiting := 0, 0
	loads := d.Loads()
	for _, l := range loads.All() {
		demand += l.Running + l.Waiting
		waiting += l.Waiting
	}
	if !p.Spare {
		need := max(int(math.Ceil(float64(demand)*float64(have)/float64(slots))), p.MinimumAvailable)
		m.buffer += float64(max(have-need, 0))
		m.need += float64(need)
		m.largest += float64(slices.Max(slices.Collect(maps.Values(racks))))
	}
	if waiting == 0 {
		return
	}
	m.full += float64(slots)
	used := 0
	asks := map[fleet.CustomerID]float64{}
	for customer, l := range loads.All() {
		used += l.Running
		m.got[customer] += float64(l.Running)
		asks[customer] = float64(min(l.Running+l.Waiting, max(r.state.Permits[customer][pool].Usable(), l.Running)))
	}
	for customer, e := range r.fairParts(asks, float64(used)) {
		m.entitled[customer] += e
	}
}

// fairParts divides slots by shares among customers, none getting more than it asks.
func (r *Replayer) fairParts(asks map[fleet.CustomerID]float64, slots float64) map[fleet.CustomerID]float64 {
	parts := map[fleet.CustomerID]float64{}
	open := slices.Sorted(maps.Keys(asks))
	for len(open) > 0 {
		sum := 0.0
		for _, id := range open {
			t, _ := r.config.Customer(id)
			sum += t.Share
		}
		level := slots / sum
		rest := slices.DeleteFunc(slices.Clone(open), func(id fleet.CustomerID) bool {
			t, _ := r.config.Customer(id)
			if asks[id] > level*t.Share {
				return false
			}
			parts[id] = asks[id]
			return true
		})
		if len(rest) == len(open) {
			for _, id := range open {
				t, _ := r.config.Customer(id)
				parts[id] = level * t.Share
			}
			return parts
		}
		for _, id := range open {
			if !slices.Contains(rest, id) {
				slots -= parts[id]
			}
		}
		open = rest
	}
	return parts
}

// leastRollout returns the shortest time that budgets and reboots allow for maintaining every instance, or zero
// where instances are lost meanwhile, which no budget can foresee.
func (r *Replayer) leastRollout() time.Duration {
	one := time.Duration(r.trace.Header.RebootMillis) * time.Millisecond
	rounds := 0
	sizes := map[fleet.PoolID]int{}
	for _, e := range r.trace.Events {
		if e.Kind == tracer.Crash || e.Kind == tracer.BadReboots {
			return 0
		}
		if e.Instance != nil {
			sizes[e.Instance.HomePool]++
		}
	}
	for _, p := range r.config.Pools {
		if budget := sizes[p.Name] - p.MinimumAvailable; budget > 0 {
			rounds = max(rounds, (sizes[p.Name]+budget-1)/budget)
		}
	}
	return time.Duration(rounds) * (one + verifyTime)
}

// verifyTime is the least time that the check after a reboot takes.
const verifyTime = 2 * time.Second

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1))]
}

// Result is what one policy did with a trace.
type Result struct {
	Policy          string             `json:"policy"`
	Asked           int                `json:"asked"`
	Answered        int                `json:"answered"`
	InTime          float64            `json:"answered-in-time"`
	Refused         int                `json:"refused"`
	Causes          map[string]int     `json:"causes,omitempty"`
	Unknown         int                `json:"unknown"`
	Failed          int                `json:"failed"`
	Cancelled       int                `json:"cancelled"`
	Pressed         int                `json:"stopped-for-urgent"`
	BufferInstances float64            `json:"buffer-instances"`
	BufferOfDomain  float64            `json:"buffer-of-largest-domain"`
	Moves           int                `json:"moves"`
	RolloutSeconds  float64            `json:"roll-out-seconds"`
	RolloutOfLeast  float64            `json:"roll-out-of-least"`
	Maintained      int                `json:"maintained"`
	Halted          bool               `json:"maintenance-halted"`
	ShareDeviation  map[string]float64 `json:"share-deviation"`
	WorstDeviation  float64            `json:"worst-share-deviation"`
	UrgentP50       float64            `json:"urgent-start-p50-seconds"`
	UrgentP99       float64            `json:"urgent-start-p99-seconds"`
	UrgentMax       float64            `json:"urgent-start-max-seconds"`
	Broken          []string           `json:"broken"`
	use             map[fleet.CustomerID][]float64
}

func (m *measure) result(r *Replayer) *Result {
	x := &Result{
		Policy: r.policy.Name, Asked: m.asked, Answered: m.answered, Refused: m.refused, Causes: m.causes, Unknown: m.unknown, Failed: m.failed,
		Cancelled: m.cancelled, Pressed: m.pressed, Moves: m.moves, Halted: m.halted, ShareDeviation: map[string]float64{}, use: m.use,
		UrgentP50: quantile(m.urgentWaits, 0.5).Seconds(), UrgentP99: quantile(m.urgentWaits, 0.99).Seconds(), UrgentMax: quantile(m.urgentWaits, 1).Seconds(),
	}
	x.InTime = round(float64(m.inTime) / float64(max(m.asked-m.cancelled, 1)))
	x.BufferInstances = round(m.buffer / float64(max(m.samples, 1)))
	x.BufferOfDomain = round(m.buffer / max(m.largest, 1))
	for _, n := range m.stops {
		x.Maintained += n
	}
	if m.rollout > 0 && m.rolledOut > 0 {
		x.RolloutSeconds = round((m.rolledOut - m.rollout).Seconds())
		if least := r.leastRollout(); least > 0 {
			x.RolloutOfLeast = round(float64(m.rolledOut-m.rollout) / float64(least))
		}
	}
	for _, t := range r.config.Customers {
		if m.full > 0 {
			deviation := (m.got[t.Name] - m.entitled[t.Name]) / m.full
			x.ShareDeviation[string(t.Name)] = round(deviation)
			x.WorstDeviation = max(x.WorstDeviation, round(math.Abs(deviation)))
		}
	}
	x.Broken = m.broken(x)
	return x
}

func round(x float64) float64 { return math.Round(x*10_000) / 10_000 }

// broken lists the promises that did not hold.
func (m *measure) broken(x *Result) []string {
	list := []string{}
	count := func(name string, n int) {
		if n > 0 {
			list = append(list, fmt.Sprintf("%s: %d", name, n))
		}
	}
	count("upper limit exceeded", m.limitBroken)
	count("availability budget broken", m.budgetBroken)
	count("requests cut by planned stops", m.cutByStops)
	count("unrepeatable requests run twice", m.doubled)
	count("urgent work refused below the share of its customer", m.urgentStarved)
	count("work for targets that left 3 s ago", m.lateWork)
	if x.UrgentMax > urgentBound.Seconds() {
		list = append(list, fmt.Sprintf("urgent start within 2 s: %.3f s", x.UrgentMax))
	}
	if x.WorstDeviation > shareBound {
		list = append(list, fmt.Sprintf("share deviation at most 5 %%: %.1f %%", 100*x.WorstDeviation))
	}
	if x.BufferOfDomain > bufferBound {
		list = append(list, fmt.Sprintf("buffer at most 1.2 of the largest domain: %.2f", x.BufferOfDomain))
	}
	if x.RolloutOfLeast > rolloutBound {
		list = append(list, fmt.Sprintf("roll-out within 1.2 of the least: %.2f", x.RolloutOfLeast))
	}
	return list
}
