// Package generator makes traces of both sites from the sizes and the demand that the brief states.
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

// Sizes and demand of the brief.
const (
	perRack      = 4
	slots        = 8
	connections  = 64
	peakFactor   = 5.0
	lowFactor    = 1.0 / 20
	meanUse      = 0.25
	meanRun      = 600 * time.Millisecond
	peakLength   = 6 * time.Second
	warmUp       = 3 * time.Second
	rebootTime   = 4 * time.Second
	fullDemand   = 1.6
	entriesCount = 7
	longRatio    = 25
	lateStart    = 20 * time.Second
)

// Generator makes the trace of one scenario.
type Generator struct {
	site   string
	config *configuration.Configuration
	text   []byte
	rng    *rand.Rand
	trace  *tracer.Trace
	length time.Duration
	names  []fleet.InstanceID
	count  int
}

// scenarios maps the name of a scenario to its length and the faults that it adds to the demand.
var scenarios = map[string]struct {
	length time.Duration
	demand func(g *Generator)
	faults func(g *Generator)
}{
	"ordinary-day":      {72 * time.Second, (*Generator).turns, func(*Generator) {}},
	"full-fleet":        {40 * time.Second, (*Generator).full, func(*Generator) {}},
	"rollout":           {90 * time.Second, (*Generator).quiet, (*Generator).rollout},
	"late-rollout":      {70 * time.Second, (*Generator).quiet, (*Generator).lateRollout},
	"long-batch":        {40 * time.Second, (*Generator).longBatch, func(*Generator) {}},
	"bad-rollout":       {60 * time.Second, (*Generator).quiet, (*Generator).badRollout},
	"lost-data-centre":  {60 * time.Second, (*Generator).quiet, (*Generator).lostDataCentre},
	"black-hole":        {40 * time.Second, (*Generator).quiet, (*Generator).blackHole},
	"wrong-sizes":       {40 * time.Second, (*Generator).wrongSizes, func(*Generator) {}},
	"cancellation-wave": {40 * time.Second, (*Generator).full, (*Generator).cancellations},
	"cut-entry":         {40 * time.Second, (*Generator).quiet, (*Generator).cutEntry},
}

// Scenarios returns the names of the scenarios in order.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// New returns the generator for a site, merrimack or macaulay, and a seed.
func New(site string, seed uint64) (*Generator, error) {
	text, config, err := demonstrator.Site(site)
	if err != nil {
		return nil, err
	}
	return &Generator{site: site, text: text, config: config, rng: rand.New(rand.NewPCG(seed, 0x5a11))}, nil
}

// Trace makes the trace of a scenario.
func (g *Generator) Trace(scenario string, seed uint64) (*tracer.Trace, error) {
	s, ok := scenarios[scenario]
	if !ok {
		return nil, fmt.Errorf("scenario %q: want one of %v", scenario, Scenarios())
	}
	g.length = s.length
	g.trace = &tracer.Trace{Header: tracer.Header{
		Format: tracer.Format, Version: tracer.Version, Name: fmt.Sprintf("%s-%s-%d", g.site, scenario, seed), Seed: seed,
		Start: time.Date(2027, 5, 4, 6, 0, 0, 0, time.UTC), Configuration: string(g.text),
		RebootMillis: rebootTime.Milliseconds(), EndMillis: (s.length + 10*time.Second).Milliseconds(),
	}}
	g.instances()
	s.demand(g)
	s.faults(g)
	slices.SortStableFunc(g.trace.Events, func(a, b tracer.Event) int { return cmp.Compare(a.AtMillis, b.AtMillis) })
	return g.trace, nil
}

func (g *Generator) add(at time.Duration, e tracer.Event) {
	e.AtMillis = at.Milliseconds()
	g.trace.Events = append(g.trace.Events, e)
}

// instances adds ten workers a pool, spread over the data centres, four to a rack.
func (g *Generator) instances() {
	sizes := map[string]fleet.Resources{
		"merrimack": {Processors: 64, Memory: 128 << 30, Slots: slots, Connections: connections},
		"macaulay":  {Processors: 32, Memory: 64 << 30, Slots: slots, Connections: connections},
	}
	racks := map[fleet.DataCentreID]int{}
	for _, pool := range g.config.Pools {
		for n := range g.poolSize(pool) {
			centre := g.config.DataCentres[n%len(g.config.DataCentres)].Name
			id := fleet.InstanceID(fmt.Sprintf("%s-%02d", pool.Name, n))
			g.names = append(g.names, id)
			g.add(0, tracer.Event{Kind: tracer.InstanceUp, Instance: &fleet.Instance{
				ID: id, Address: "127.0.0.1:1", DataCentre: centre, Rack: fleet.RackID(fmt.Sprintf("rack-%02d", racks[centre]/perRack)),
				HomePool: pool.Name, Capacity: sizes[g.site], BootID: "boot-0", Condition: fleet.Ready,
			}})
			racks[centre]++
		}
	}
}

func (g *Generator) poolSize(p configuration.Pool) int {
	if p.Spare {
		return 6
	}
	return 8 + len(p.Name)%5
}

func (g *Generator) capacity(pool fleet.PoolID) float64 {
	p, _ := g.config.Pool(pool)
	return float64(g.poolSize(p) * slots)
}

// longBatch fills the pools with batch work of a quarter of a minute, into which a little urgent work comes.
func (g *Generator) longBatch() {
	g.full()
	g.trace.Events = slices.DeleteFunc(g.trace.Events, func(e tracer.Event) bool {
		q, _ := g.config.Queue(e.Queue)
		return e.Kind == tracer.RequestArrives && g.rng.IntN(longRatio) > 0 && (!q.Urgent || g.rng.IntN(2) > 0)
	})
	for i := range g.trace.Events {
		if q, _ := g.config.Queue(g.trace.Events[i].Queue); !q.Urgent {
			g.trace.Events[i].RunMillis *= longRatio
		}
	}
}

// turns lets the pools peak one after another and ask little in between.
func (g *Generator) turns() {
	pools := g.busyPools()
	cycle := peakLength * time.Duration(len(pools))
	for i, pool := range pools {
		g.arrivals(pool, func(at time.Duration) float64 {
			phase := (at - warmUp - time.Duration(i)*peakLength) % cycle
			if phase >= 0 && phase < peakLength {
				return meanUse * peakFactor
			}
			return meanUse * lowFactor
		})
	}
}

func (g *Generator) full() {
	for _, pool := range g.busyPools() {
		g.arrivals(pool, func(time.Duration) float64 { return fullDemand })
	}
}

func (g *Generator) quiet() {
	for _, pool := range g.busyPools() {
		g.arrivals(pool, func(time.Duration) float64 { return meanUse })
	}
}

func (g *Generator) busyPools() []fleet.PoolID {
	var list []fleet.PoolID
	for _, p := range g.config.Pools {
		if !p.Spare {
			list = append(list, p.Name)
		}
	}
	return list
}

// arrivals adds requests to the queues of a pool; load gives the part of the pool's slots that they ask for.
func (g *Generator) arrivals(pool fleet.PoolID, load func(at time.Duration) float64) {
	var queues []configuration.Queue
	for _, q := range g.config.Queues {
		if q.Pool == pool {
			queues = append(queues, q)
		}
	}
	for at := warmUp; at < g.length; {
		rate := load(at) * g.capacity(pool) / meanRun.Seconds()
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at < g.length {
			g.request(at, queues[g.rng.IntN(len(queues))])
		}
	}
}

func (g *Generator) request(at time.Duration, q configuration.Queue) {
	customer := q.Customer
	if q.Open {
		customer = g.config.Customers[g.rng.IntN(len(g.config.Customers))].Name
	}
	g.count++
	run := time.Duration(float64(meanRun) * math.Exp(0.5*g.rng.NormFloat64()-0.125))
	g.add(at, tracer.Event{
		Kind: tracer.RequestArrives, Request: fleet.RequestID(fmt.Sprintf("r%d", g.count)), Queue: q.Name, Customer: customer,
		RunMillis: max(run.Milliseconds(), 1), TimeoutMillis: q.Timeout.Milliseconds(),
		Entry: fleet.EntryID(fmt.Sprintf("entry-%d", 1+g.rng.IntN(entriesCount))),
	})
}

// wrongSizes makes tasks take far more or less than declared, and some that always fail.
func (g *Generator) wrongSizes() {
	g.quiet()
	for i := range g.trace.Events {
		e := &g.trace.Events[i]
		if e.Kind != tracer.RequestArrives {
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

func (g *Generator) rollout() { g.add(warmUp, tracer.Event{Kind: tracer.Rollout}) }

// lateRollout starts a roll-out once the pools have given back their surplus.
func (g *Generator) lateRollout() { g.add(lateStart, tracer.Event{Kind: tracer.Rollout}) }

// badRollout makes the instances of one data centre not come back from their reboots.
func (g *Generator) badRollout() {
	g.rollout()
	g.trace.Header.Configuration = strings.Replace(string(g.text), "reboot-timeout: 5m", "reboot-timeout: 15s", 1)
	for _, e := range g.trace.Events {
		if e.Kind == tracer.InstanceUp && e.Instance.DataCentre == g.config.DataCentres[0].Name && e.Instance.ID != g.names[0] {
			g.add(warmUp, tracer.Event{Kind: tracer.BadReboots, Target: e.Instance.ID})
		}
	}
}

// lostDataCentre loses a data centre in the middle of a roll-out and brings it back.
func (g *Generator) lostDataCentre() {
	g.rollout()
	for _, e := range slices.Clone(g.trace.Events) {
		if e.Kind == tracer.InstanceUp && e.Instance.DataCentre == g.config.DataCentres[1].Name {
			g.add(15*time.Second, tracer.Event{Kind: tracer.Crash, Target: e.Instance.ID})
			g.add(40*time.Second, tracer.Event{Kind: tracer.Recover, Target: e.Instance.ID})
		}
	}
}

func (g *Generator) blackHole() {
	for i, id := range g.names {
		if i%9 == 4 {
			g.add(8*time.Second, tracer.Event{Kind: tracer.BlackHole, Target: id})
			g.add(25*time.Second, tracer.Event{Kind: tracer.Heal, Target: id})
		}
		if i%11 == 6 {
			g.add(10*time.Second, tracer.Event{Kind: tracer.Leave, Target: id})
		}
	}
}

// cancellations takes back most of the waiting requests in two waves.
func (g *Generator) cancellations() {
	for _, e := range slices.Clone(g.trace.Events) {
		wave := 12 * time.Second
		if e.AtMillis > wave.Milliseconds() {
			wave = 25 * time.Second
		}
		if e.Kind == tracer.RequestArrives && e.AtMillis < wave.Milliseconds() && g.rng.IntN(10) > 0 {
			g.add(wave, tracer.Event{Kind: tracer.RequestGone, Request: e.Request})
		}
	}
}

// cutEntry puts one entry behind a partition for a while.
func (g *Generator) cutEntry() {
	g.add(10*time.Second, tracer.Event{Kind: tracer.EntryCut, Entry: "entry-2"})
	g.add(30*time.Second, tracer.Event{Kind: tracer.EntryBack, Entry: "entry-2"})
}
