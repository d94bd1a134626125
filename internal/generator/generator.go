// Package generator generates synthetic traces of the two example sites, with the fleet sizes and the load that the requirements state.
package generator

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/demonstrator"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/tracer"
)

// Fleet sizes and load; utilizations are fractions of the slots of a pool, and factors scale them.
const (
	instancesPerRack       = 4
	slotsPerInstance       = 8
	connectionsPerInstance = 64
	peakFactor             = 5.0
	offPeakFactor          = 1.0 / 20
	meanUtilization        = 0.25
	meanRunTime            = 600 * time.Millisecond
	peakDuration           = 6 * time.Second
	warmUp                 = 3 * time.Second
	rebootDuration         = 4 * time.Second
	overloadUtilization    = 1.6
	entryCount             = 7
	longRunFactor          = 25
	lateRolloutStart       = 20 * time.Second
)

// Generator generates the trace of one scenario.
type Generator struct {
	site         string
	config       *configuration.Configuration
	configText   []byte
	rng          *rand.Rand
	trace        *tracer.Trace
	duration     time.Duration
	instanceIDs  []fleet.InstanceID
	requestCount int
}

// scenarios maps the name of a scenario to its duration, its request arrivals and the faults that it injects.
var scenarios = map[string]struct {
	duration time.Duration
	arrivals func(g *Generator)
	faults   func(g *Generator)
}{
	"ordinary-day":      {72 * time.Second, (*Generator).rotatingPeakArrivals, func(*Generator) {}},
	"full-fleet":        {40 * time.Second, (*Generator).overloadArrivals, func(*Generator) {}},
	"rollout":           {90 * time.Second, (*Generator).meanLoadArrivals, (*Generator).rollout},
	"late-rollout":      {70 * time.Second, (*Generator).meanLoadArrivals, (*Generator).lateRollout},
	"long-batch":        {40 * time.Second, (*Generator).longBatchArrivals, func(*Generator) {}},
	"bad-rollout":       {60 * time.Second, (*Generator).meanLoadArrivals, (*Generator).badRollout},
	"lost-data-centre":  {60 * time.Second, (*Generator).meanLoadArrivals, (*Generator).dataCentreOutage},
	"black-hole":        {40 * time.Second, (*Generator).meanLoadArrivals, (*Generator).blackHole},
	"wrong-sizes":       {40 * time.Second, (*Generator).misdeclaredUsage, func(*Generator) {}},
	"cancellation-wave": {40 * time.Second, (*Generator).overloadArrivals, (*Generator).cancelInWaves},
	"cut-entry":         {40 * time.Second, (*Generator).meanLoadArrivals, (*Generator).partitionEntry},
}

// Scenarios returns the names of the scenarios in order.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// New returns the generator for a site, merrimack or macaulay, and a seed.
func New(site string, seed uint64) (*Generator, error) {
	text, config, err := demonstrator.Site(site)
	if err != nil {
		return nil, err
	}
	return &Generator{site: site, configText: text, config: config, rng: rand.New(rand.NewPCG(seed, 0x5a11))}, nil
}

// Trace generates the trace of a scenario; seed goes into its name and header, from which the replay takes it.
func (g *Generator) Trace(scenario string, seed uint64) (*tracer.Trace, error) {
	s, ok := scenarios[scenario]
	if !ok {
		return nil, fmt.Errorf("scenario %q: want one of %v", scenario, Scenarios())
	}
	g.duration = s.duration
	g.trace = &tracer.Trace{Header: tracer.Header{
		Format: tracer.Format, Version: tracer.Version, Name: fmt.Sprintf("%s-%s-%d", g.site, scenario, seed), Seed: seed,
		Start: time.Date(2027, 5, 4, 6, 0, 0, 0, time.UTC), Configuration: string(g.configText),
		RebootMillis: rebootDuration.Milliseconds(), EndMillis: (s.duration + 10*time.Second).Milliseconds(),
	}}
	g.addInstances()
	s.arrivals(g)
	s.faults(g)
	slices.SortStableFunc(g.trace.Events, func(a, b tracer.Event) int { return cmp.Compare(a.AtMillis, b.AtMillis) })
	return g.trace, nil
}

func (g *Generator) addEvent(at time.Duration, e tracer.Event) {
	e.AtMillis = at.Milliseconds()
	g.trace.Events = append(g.trace.Events, e)
}

// addInstances adds six instances to a spare pool and eight to twelve to any other pool, spread over the data centres, with
// four in a rack.
func (g *Generator) addInstances() {
	offers := map[string]fleet.Resources{
		"merrimack": {Processors: 64, Memory: 128 << 30, Slots: slotsPerInstance, Connections: connectionsPerInstance},
		"macaulay":  {Processors: 32, Memory: 64 << 30, Slots: slotsPerInstance, Connections: connectionsPerInstance},
	}
	instanceCounts := map[fleet.DataCentreID]int{}
	for _, pool := range g.config.Pools {
		for n := range g.poolSize(pool) {
			dataCentre := g.config.DataCentres[n%len(g.config.DataCentres)].Name
			id := fleet.InstanceID(fmt.Sprintf("%s-%02d", pool.Name, n))
			g.instanceIDs = append(g.instanceIDs, id)
			g.addEvent(0, tracer.Event{Kind: tracer.InstanceAdded, Instance: &fleet.Instance{
				ID: id, Address: "127.0.0.1:1", DataCentre: dataCentre, Rack: fleet.RackID(fmt.Sprintf("rack-%02d", instanceCounts[dataCentre]/instancesPerRack)),
				HomePool: pool.Name, Capacity: offers[g.site], BootID: "boot-0", Condition: fleet.Ready,
			}})
			instanceCounts[dataCentre]++
		}
	}
}

func (g *Generator) poolSize(p configuration.Pool) int {
	if p.Spare {
		return 6
	}
	return 8 + len(p.Name)%5
}

func (g *Generator) poolSlots(pool fleet.PoolID) float64 {
	p, _ := g.config.Pool(pool)
	return float64(g.poolSize(p) * slotsPerInstance)
}

// longBatchArrivals fills the pools with batch tasks of 15 s on average, among a small load of urgent requests.
func (g *Generator) longBatchArrivals() {
	g.overloadArrivals()
	g.trace.Events = slices.DeleteFunc(g.trace.Events, func(e tracer.Event) bool {
		q, _ := g.config.Queue(e.Queue)
		return e.Kind == tracer.RequestArrived && g.rng.IntN(longRunFactor) > 0 && (!q.Urgent || g.rng.IntN(2) > 0)
	})
	for i := range g.trace.Events {
		if q, _ := g.config.Queue(g.trace.Events[i].Queue); !q.Urgent {
			g.trace.Events[i].RunMillis *= longRunFactor
		}
	}
}

// rotatingPeakArrivals gives the pools their peaks one after another, with a low load in between.
func (g *Generator) rotatingPeakArrivals() {
	pools := g.nonSparePools()
	cycle := peakDuration * time.Duration(len(pools))
	for i, pool := range pools {
		g.addArrivals(pool, func(at time.Duration) float64 {
			phase := (at - warmUp - time.Duration(i)*peakDuration) % cycle
			if phase >= 0 && phase < peakDuration {
				return meanUtilization * peakFactor
			}
			return meanUtilization * offPeakFactor
		})
	}
}

func (g *Generator) overloadArrivals() {
	for _, pool := range g.nonSparePools() {
		g.addArrivals(pool, func(time.Duration) float64 { return overloadUtilization })
	}
}

func (g *Generator) meanLoadArrivals() {
	for _, pool := range g.nonSparePools() {
		g.addArrivals(pool, func(time.Duration) float64 { return meanUtilization })
	}
}

func (g *Generator) nonSparePools() []fleet.PoolID {
	var list []fleet.PoolID
	for _, p := range g.config.Pools {
		if !p.Spare {
			list = append(list, p.Name)
		}
	}
	return list
}

// addArrivals adds requests to the queues of a pool as a Poisson process; load returns the offered load as a fraction of the pool's slots.
func (g *Generator) addArrivals(pool fleet.PoolID, load func(at time.Duration) float64) {
	var queues []configuration.Queue
	for _, q := range g.config.Queues {
		if q.Pool == pool {
			queues = append(queues, q)
		}
	}
	for at := warmUp; at < g.duration; {
		rate := load(at) * g.poolSlots(pool) / meanRunTime.Seconds()
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at < g.duration {
			g.addRequest(at, queues[g.rng.IntN(len(queues))])
		}
	}
}

func (g *Generator) addRequest(at time.Duration, q configuration.Queue) {
	customer := q.Customer
	if q.Open {
		customer = g.config.Customers[g.rng.IntN(len(g.config.Customers))].Name
	}
	g.requestCount++
	runTime := time.Duration(float64(meanRunTime) * math.Exp(0.5*g.rng.NormFloat64()-0.125))
	g.addEvent(at, tracer.Event{
		Kind: tracer.RequestArrived, Request: fleet.RequestID(fmt.Sprintf("r%d", g.requestCount)), Queue: q.Name, Customer: customer,
		RunMillis: max(runTime.Milliseconds(), 1), TimeoutMillis: q.Timeout.Milliseconds(),
		Entry: fleet.EntryID(fmt.Sprintf("entry-%d", 1+g.rng.IntN(entryCount))),
	})
}

// misdeclaredUsage makes tasks use far more or less than their declared needs, and some tasks always fail.
func (g *Generator) misdeclaredUsage() {
	g.meanLoadArrivals()
	for i := range g.trace.Events {
		e := &g.trace.Events[i]
		if e.Kind != tracer.RequestArrived {
			continue
		}
		scale := 0.2
		if g.rng.IntN(8) == 0 {
			scale = 4
		}
		e.Usage = &fleet.Resources{Processors: fleet.Cores(2 * scale), Memory: fleet.Bytes(scale * float64(4<<30))}
		e.Fails = g.rng.IntN(50) == 0
	}
}

func (g *Generator) rollout() { g.addEvent(warmUp, tracer.Event{Kind: tracer.Rollout}) }

// lateRollout starts a roll-out after the pools have returned their surplus instances.
func (g *Generator) lateRollout() { g.addEvent(lateRolloutStart, tracer.Event{Kind: tracer.Rollout}) }

// badRollout starts a roll-out in which the instances of one data centre, except the first, do not return from their reboots.
func (g *Generator) badRollout() {
	g.rollout()
	g.trace.Header.Configuration = strings.Replace(string(g.configText), "reboot-timeout: 5m", "reboot-timeout: 15s", 1)
	for _, e := range g.trace.Events {
		if e.Kind == tracer.InstanceAdded && e.Instance.DataCentre == g.config.DataCentres[0].Name && e.Instance.ID != g.instanceIDs[0] {
			g.addEvent(warmUp, tracer.Event{Kind: tracer.RebootsFail, Target: e.Instance.ID})
		}
	}
}

// dataCentreOutage crashes all instances of a data centre in the middle of a roll-out and recovers them later.
func (g *Generator) dataCentreOutage() {
	g.rollout()
	for _, e := range slices.Clone(g.trace.Events) {
		if e.Kind == tracer.InstanceAdded && e.Instance.DataCentre == g.config.DataCentres[1].Name {
			g.addEvent(15*time.Second, tracer.Event{Kind: tracer.Crash, Target: e.Instance.ID})
			g.addEvent(40*time.Second, tracer.Event{Kind: tracer.Recover, Target: e.Instance.ID})
		}
	}
}

func (g *Generator) blackHole() {
	for i, id := range g.instanceIDs {
		if i%9 == 4 {
			g.addEvent(8*time.Second, tracer.Event{Kind: tracer.BlackHole, Target: id})
			g.addEvent(25*time.Second, tracer.Event{Kind: tracer.BlackHoleCleared, Target: id})
		}
		if i%11 == 6 {
			g.addEvent(10*time.Second, tracer.Event{Kind: tracer.Leave, Target: id})
		}
	}
}

// cancelInWaves cancels most of the waiting requests in two waves, at 12 s and at 25 s.
func (g *Generator) cancelInWaves() {
	for _, e := range slices.Clone(g.trace.Events) {
		waveAt := 12 * time.Second
		if e.AtMillis > waveAt.Milliseconds() {
			waveAt = 25 * time.Second
		}
		if e.Kind == tracer.RequestArrived && e.AtMillis < waveAt.Milliseconds() && g.rng.IntN(10) > 0 {
			g.addEvent(waveAt, tracer.Event{Kind: tracer.RequestCancelled, Request: e.Request})
		}
	}
}

// partitionEntry partitions one entry from the fleet for 20 s.
func (g *Generator) partitionEntry() {
	g.addEvent(10*time.Second, tracer.Event{Kind: tracer.EntryPartitioned, Entry: "entry-2"})
	g.addEvent(30*time.Second, tracer.Event{Kind: tracer.EntryReconnected, Entry: "entry-2"})
}
