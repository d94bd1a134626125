// Package replayer runs a trace through the dispatchers and the planner on a virtual clock and measures them.
//
// There is one small fake at each interface: targets that run tasks for their recorded time, callers that
// wait, and a state that commits at once. Networks and processes are not modelled.
package replayer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/retrier"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/table"
	"github.com/sapphiresail/sapphiresail/internal/tracer"
)

// Step of the virtual clock and intervals of the roles, as in the product.
const (
	step       = 25 * time.Millisecond
	ownerTick  = 50 * time.Millisecond
	planTick   = 100 * time.Millisecond
	pollEvery  = 250 * time.Millisecond
	sampleTick = 100 * time.Millisecond
	afterLast  = 10 * time.Second
	owner      = fleet.EntryID("entry-1")
)

// Policy is one way of deciding that is measured.
type Policy struct {
	Name       string
	Dispatcher []dispatcher.Option
	Planner    []planner.Option
}

// Policies returns the product's policy and the baselines it is compared with.
func Policies() []Policy {
	return []Policy{
		{Name: "sapphiresail"},
		{Name: "static-pools", Planner: []planner.Option{planner.WithoutStage("moves")}},
		{Name: "first-come", Dispatcher: []dispatcher.Option{dispatcher.WithFIFO()}},
		{Name: "one-at-a-time", Planner: []planner.Option{planner.WithSerialMaintenance()}},
	}
}

// Replayer runs one trace under one policy.
type Replayer struct {
	trace    *tracer.Trace
	policy   Policy
	now      time.Duration
	index    uint64
	state    *state.State
	config   *configuration.Configuration
	pools    *table.Table[fleet.PoolID, *dispatcher.Dispatcher]
	targets  *table.Table[fleet.InstanceID, *target]
	callers  map[fleet.RequestID]*caller
	flights  map[fleet.AttemptID]*flight
	resting  []*caller
	planner  *planner.Planner
	retries  map[fleet.EntryID]*retrier.Retrier
	sick     map[fleet.InstanceID]bool
	cut      map[fleet.EntryID]time.Duration
	attempts int
	next     int
	measure  *measure
	notify   func(pool fleet.PoolID, d dispatcher.Decision)
}

// New returns a replayer of a trace under a policy.
func New(t *tracer.Trace, p Policy) (*Replayer, error) {
	slices.SortStableFunc(t.Events, func(a, b tracer.Event) int { return cmp.Compare(a.AtMillis, b.AtMillis) })
	r := &Replayer{
		trace: t, policy: p, state: state.New(), pools: table.New[fleet.PoolID, *dispatcher.Dispatcher](),
		targets: table.New[fleet.InstanceID, *target](), callers: map[fleet.RequestID]*caller{}, flights: map[fleet.AttemptID]*flight{},
		planner: planner.New(t.Header.Start.Add(-time.Minute), p.Planner...), retries: map[fleet.EntryID]*retrier.Retrier{},
		sick: map[fleet.InstanceID]bool{}, cut: map[fleet.EntryID]time.Duration{}, measure: newMeasure(),
	}
	if err := r.commit(state.Configure{Text: []byte(t.Header.Configuration)}).Err(); err != nil {
		return nil, err
	}
	_ = r.commit(state.RegisterMember{Member: state.Member{Entry: owner}})
	r.configure()
	return r, nil
}

func (r *Replayer) commit(c state.Command) state.Reply {
	r.index++
	return r.state.ApplyCommand(r.index, c)
}

func (r *Replayer) configure() {
	r.config = r.state.Configuration()
	for _, p := range r.config.Pools {
		d, ok := r.pools.Get(p.Name)
		if !ok {
			d = dispatcher.New(p.Name, 0, r.policy.Dispatcher...)
			r.pools.Put(p.Name, d)
		}
		d.Configure(r.config)
	}
}

func (r *Replayer) wall() time.Time { return r.trace.Header.Start.Add(r.now) }

// Run replays the whole trace and returns what was measured.
func (r *Replayer) Run() *Result {
	end := r.end()
	for ; r.now <= end; r.now += step {
		r.inputs()
		r.wake()
		r.endFlights()
		for _, t := range r.targets.All() {
			t.announce(r.now)
		}
		if r.now%planTick == 0 {
			r.plan()
		}
		if r.now%ownerTick == 0 {
			r.tick()
		}
		if r.now%sampleTick == 0 {
			r.sample()
		}
	}
	return r.measure.result(r)
}

// end returns when the replay stops; a recorded trace runs on for a while after its last event.
func (r *Replayer) end() time.Duration {
	if r.trace.Header.EndMillis > 0 || len(r.trace.Events) == 0 {
		return time.Duration(r.trace.Header.EndMillis) * time.Millisecond
	}
	last := r.trace.Events[len(r.trace.Events)-1].AtMillis
	return time.Duration(last)*time.Millisecond + afterLast
}

// inputs takes the events of the trace whose time has come.
func (r *Replayer) inputs() {
	for r.next < len(r.trace.Events) && r.trace.Events[r.next].AtMillis <= r.now.Milliseconds() {
		r.input(r.trace.Events[r.next])
		r.next++
	}
}

func (r *Replayer) input(e tracer.Event) {
	t, _ := r.targets.Get(e.Target)
	switch e.Kind {
	case tracer.InstanceUp:
		offset := time.Duration(r.targets.Len()) * step % announceEvery
		r.targets.Put(e.Instance.ID, &target{instance: *e.Instance, running: map[fleet.AttemptID]*flight{}, offset: offset})
	case tracer.RequestArrives:
		r.arrive(e)
	case tracer.RequestGone:
		r.cancel(e.Request)
	case tracer.Crash:
		r.lose(t.kill(), false)
		t.down = true
	case tracer.Recover:
		t.boots++
		t.instance.BootID = fmt.Sprintf("boot-%d", t.boots)
		t.down = false
	case tracer.BlackHole:
		t.hole = true
	case tracer.Heal:
		t.hole = false
	case tracer.Leave:
		t.instance.Condition = fleet.Leaving
		t.leaving = r.now
	case tracer.Rollout:
		r.commit(state.Roll{At: state.TimestampOf(r.wall())})
		r.measure.rollout = r.now
	case tracer.BadReboots:
		t.bad = true
	case tracer.EntryCut:
		r.cutEntry(e.Entry)
	case tracer.EntryBack:
		delete(r.cut, e.Entry)
	case tracer.Configure:
		r.commit(state.Configure{Text: []byte(e.Text)})
		r.configure()
		for pool, d := range r.pools.All() {
			r.update(pool, d)
		}
	case tracer.OperatorDrain:
		r.disrupt(e.Target, state.ReasonMaintenance, "")
	case tracer.OperatorMove:
		r.disrupt(e.Target, state.ReasonMove, fleet.PoolID(e.Text))
	}
}

// disrupt is an operator's order; the state refuses what the budget does not allow.
func (r *Replayer) disrupt(id fleet.InstanceID, reason state.DisruptionReason, to fleet.PoolID) {
	before := r.state.Instances[id]
	t, _ := r.targets.Get(id)
	c := state.Disrupt{Instance: id, Reason: reason, Target: to, Boot: t.instance.BootID, At: state.TimestampOf(r.wall())}
	if r.commit(c).Err() == nil {
		r.measure.note(r, c, before)
	}
}

// cutEntry loses an entry: what it carries goes on at the targets, but its callers hear nothing.
func (r *Replayer) cutEntry(entry fleet.EntryID) {
	r.cut[entry] = r.now
	for _, c := range r.callers {
		if c.event.Entry == entry && !c.done && c.flight == nil {
			c.done = true
		}
	}
}

func (r *Replayer) dispatcherOf(queue fleet.QueueID) *dispatcher.Dispatcher {
	q, _ := r.config.Queue(queue)
	d, _ := r.pools.Get(q.Pool)
	return d
}

func (r *Replayer) arrive(e tracer.Event) {
	if r.dispatcherOf(e.Queue) == nil {
		return
	}
	if since, lost := r.cut[e.Entry]; lost {
		if r.now-since > fleet.StateLease {
			r.measure.refusedByLease++
		}
		return
	}
	timeout := time.Duration(e.TimeoutMillis) * time.Millisecond
	c := &caller{event: e, arrived: r.now, deadline: r.now + timeout}
	r.callers[e.Request] = c
	r.measure.asked++
	r.retrier(e.Entry).RecordRequest()
	r.ask(c)
}

// retrier returns the retry budget of an entry.
func (r *Replayer) retrier(entry fleet.EntryID) *retrier.Retrier {
	if r.retries[entry] == nil {
		r.retries[entry] = retrier.New(r.trace.Header.Seed + uint64(len(r.retries)))
	}
	return r.retries[entry]
}

func (r *Replayer) ask(c *caller) {
	r.attempts++
	c.waiting = true
	attempt := fleet.AttemptID(fmt.Sprintf("a%07d", r.attempts))
	d := r.dispatcherOf(c.event.Queue)
	d.Submit(r.now, dispatcher.Request{
		ID: c.event.Request, Attempt: attempt, Queue: c.event.Queue, Customer: c.event.Customer, Entry: c.event.Entry, Deadline: c.deadline, Avoid: c.avoid,
	})
	d.Place(r.now)
	r.carryOut(d)
}

func (r *Replayer) cancel(id fleet.RequestID) {
	c, ok := r.callers[id]
	if !ok || c.done || !c.waiting {
		return
	}
	c.done = true
	r.measure.cancelled++
	r.dispatcherOf(c.event.Queue).Cancel(id)
}

// tick brings every pool up to the committed state and lets it decide.
func (r *Replayer) tick() {
	for pool, d := range r.pools.All() {
		r.update(pool, d)
		if r.now%pollEvery == 0 {
			r.poll(d)
		}
		d.Tick(r.now)
		r.carryOut(d)
	}
}

func (r *Replayer) update(pool fleet.PoolID, d *dispatcher.Dispatcher) {
	for customer, pools := range r.state.Permits {
		d.SetPermit(customer, pools[pool].Usable())
	}
	present := map[fleet.InstanceID]bool{}
	for id, t := range r.targets.All() {
		a, ok := r.state.Instances[id]
		if !ok || a.Pool != pool {
			continue
		}
		present[id] = true
		d.UpdateInstance(r.now, dispatcher.InstanceView{Instance: t.told, Schedulable: a.Phase == state.Serving && !a.Lost, Deprioritized: a.Deprioritized, LastSeen: t.heard})
	}
	for _, id := range d.InstanceIDs() {
		if !present[id] {
			d.RemoveInstance(id)
		}
	}
}

// poll reports what the entries carry.
func (r *Replayer) poll(d *dispatcher.Dispatcher) {
	carried := map[fleet.EntryID][]fleet.AttemptID{}
	for _, f := range r.flights {
		if r.dispatcherOf(f.caller.event.Queue) == d {
			carried[f.caller.event.Entry] = append(carried[f.caller.event.Entry], f.attempt)
		}
	}
	for i := range 9 {
		entry := fleet.EntryID(fmt.Sprintf("entry-%d", i+1))
		if _, lost := r.cut[entry]; !lost {
			d.HandleEntryReport(r.now, entry, carried[entry])
		}
	}
}
