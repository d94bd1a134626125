// Package replayer replays a trace through the dispatchers and the planner on a virtual clock and measures the outcome.
//
// It simulates targets that run tasks for their recorded time, callers that wait for results, and a committed state
// without commit latency. Networks and processes are not modelled.
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

// Tick of the virtual clock and intervals of the simulated roles; the owner and the planner tick as often as in a running fleet.
const (
	clockStep           = 25 * time.Millisecond
	ownerTickInterval   = 50 * time.Millisecond
	planInterval        = 100 * time.Millisecond
	entryReportInterval = 250 * time.Millisecond
	sampleInterval      = 100 * time.Millisecond
	tailDuration        = 10 * time.Second
	ownerEntry          = fleet.EntryID("entry-1")
)

// Policy is a named set of dispatcher and planner options that a replay measures.
type Policy struct {
	Name       string
	Dispatcher []dispatcher.Option
	Planner    []planner.Option
}

// Policies returns the default policy, followed by the baselines that it is compared with.
func Policies() []Policy {
	return []Policy{
		{Name: "sapphiresail"},
		{Name: "static-pools", Planner: []planner.Option{planner.WithoutStage("moves")}},
		{Name: "first-come", Dispatcher: []dispatcher.Option{dispatcher.WithFIFO()}},
		{Name: "one-at-a-time", Planner: []planner.Option{planner.WithSerialMaintenance()}},
	}
}

// Replayer replays one trace under one policy.
type Replayer struct {
	trace        *tracer.Trace
	policy       Policy
	now          time.Duration
	appliedIndex uint64
	state        *state.State
	config       *configuration.Configuration
	dispatchers  *table.Table[fleet.PoolID, *dispatcher.Dispatcher]
	targets      *table.Table[fleet.InstanceID, *target]
	callers      map[fleet.RequestID]*caller
	attempts     map[fleet.AttemptID]*attempt
	backingOff   []*caller
	planner      *planner.Planner
	retriers     map[fleet.EntryID]*retrier.Retrier
	isolated     map[fleet.InstanceID]bool
	partitioned  map[fleet.EntryID]time.Duration
	attemptCount int
	nextEvent    int
	metrics      *metrics
	onDecision   func(pool fleet.PoolID, d dispatcher.Decision)
}

// New returns a replayer of a trace under a policy. It sorts the events of the trace by time.
func New(trace *tracer.Trace, policy Policy) (*Replayer, error) {
	slices.SortStableFunc(trace.Events, func(a, b tracer.Event) int { return cmp.Compare(a.AtMillis, b.AtMillis) })
	r := &Replayer{
		trace: trace, policy: policy, state: state.New(), dispatchers: table.New[fleet.PoolID, *dispatcher.Dispatcher](),
		targets: table.New[fleet.InstanceID, *target](), callers: map[fleet.RequestID]*caller{}, attempts: map[fleet.AttemptID]*attempt{},
		planner: planner.New(trace.Header.Start.Add(-time.Minute), policy.Planner...), retriers: map[fleet.EntryID]*retrier.Retrier{},
		isolated: map[fleet.InstanceID]bool{}, partitioned: map[fleet.EntryID]time.Duration{}, metrics: newMetrics(),
	}
	if err := r.commit(state.Configure{Text: []byte(trace.Header.Configuration)}).Err(); err != nil {
		return nil, err
	}
	_ = r.commit(state.RegisterMember{Member: state.Member{Entry: ownerEntry}})
	r.configure()
	return r, nil
}

func (r *Replayer) commit(c state.Command) state.Reply {
	r.appliedIndex++
	return r.state.ApplyCommand(r.appliedIndex, c)
}

func (r *Replayer) configure() {
	r.config = r.state.Configuration()
	for _, p := range r.config.Pools {
		d, ok := r.dispatchers.Get(p.Name)
		if !ok {
			d = dispatcher.New(p.Name, 0, r.policy.Dispatcher...)
			r.dispatchers.Put(p.Name, d)
		}
		d.Configure(r.config)
	}
}

func (r *Replayer) wallTime() time.Time { return r.trace.Header.Start.Add(r.now) }

// Run replays the whole trace and returns the measurements.
func (r *Replayer) Run() *Result {
	end := r.endTime()
	for ; r.now <= end; r.now += clockStep {
		r.applyDueEvents()
		r.submitDueRetries()
		r.endDueAttempts()
		for _, t := range r.targets.All() {
			t.announce(r.now)
		}
		if r.now%planInterval == 0 {
			r.runPlanner()
		}
		if r.now%ownerTickInterval == 0 {
			r.tickDispatchers()
		}
		if r.now%sampleInterval == 0 {
			r.sample()
		}
	}
	return r.metrics.result(r)
}

// endTime returns when the replay stops. A recorded trace has no end time; its replay continues for tailDuration after the last event.
func (r *Replayer) endTime() time.Duration {
	if r.trace.Header.EndMillis > 0 || len(r.trace.Events) == 0 {
		return time.Duration(r.trace.Header.EndMillis) * time.Millisecond
	}
	lastMillis := r.trace.Events[len(r.trace.Events)-1].AtMillis
	return time.Duration(lastMillis)*time.Millisecond + tailDuration
}

// applyDueEvents applies the trace events that are due.
func (r *Replayer) applyDueEvents() {
	for r.nextEvent < len(r.trace.Events) && r.trace.Events[r.nextEvent].AtMillis <= r.now.Milliseconds() {
		r.applyEvent(r.trace.Events[r.nextEvent])
		r.nextEvent++
	}
}

func (r *Replayer) applyEvent(e tracer.Event) {
	t, _ := r.targets.Get(e.Target)
	switch e.Kind {
	case tracer.InstanceAdded:
		offset := time.Duration(r.targets.Len()) * clockStep % announceInterval
		r.targets.Put(e.Instance.ID, &target{instance: *e.Instance, running: map[fleet.AttemptID]*attempt{}, announceOffset: offset})
	case tracer.RequestArrived:
		r.handleArrival(e)
	case tracer.RequestCancelled:
		r.cancel(e.Request)
	case tracer.Crash:
		r.failAttempts(t.interrupt(), false)
		t.down = true
	case tracer.Recover:
		t.bootCount++
		t.instance.BootID = fmt.Sprintf("boot-%d", t.bootCount)
		t.down = false
	case tracer.BlackHole:
		t.blackHole = true
	case tracer.BlackHoleCleared:
		t.blackHole = false
	case tracer.Leave:
		t.instance.Condition = fleet.Leaving
		t.leavingSince = r.now
	case tracer.Rollout:
		r.commit(state.Roll{At: state.TimestampOf(r.wallTime())})
		r.metrics.rolloutStart = r.now
	case tracer.RebootsFail:
		t.rebootsFail = true
	case tracer.EntryPartitioned:
		r.partitionEntry(e.Entry)
	case tracer.EntryReconnected:
		delete(r.partitioned, e.Entry)
	case tracer.Configure:
		r.commit(state.Configure{Text: []byte(e.Text)})
		r.configure()
		for pool, d := range r.dispatchers.All() {
			r.updateDispatcher(pool, d)
		}
	case tracer.OperatorDrain:
		r.disrupt(e.Target, state.ReasonMaintenance, "")
	case tracer.OperatorMove:
		r.disrupt(e.Target, state.ReasonMove, fleet.PoolID(e.Text))
	}
}

// disrupt commits an operator's drain or move of an instance; the state rejects it if the availability budget does not allow it.
func (r *Replayer) disrupt(id fleet.InstanceID, reason state.DisruptionReason, destination fleet.PoolID) {
	before := r.state.Instances[id]
	t, _ := r.targets.Get(id)
	c := state.Disrupt{Instance: id, Reason: reason, Target: destination, Boot: t.instance.BootID, At: state.TimestampOf(r.wallTime())}
	if r.commit(c).Err() == nil {
		r.metrics.recordCommand(r, c, before)
	}
}

// partitionEntry partitions an entry from the fleet: its in-flight attempts continue at the targets, but its callers get no response.
func (r *Replayer) partitionEntry(entry fleet.EntryID) {
	r.partitioned[entry] = r.now
	for _, c := range r.callers {
		if c.event.Entry == entry && !c.done && c.attempt == nil {
			c.done = true
		}
	}
}

func (r *Replayer) dispatcherOf(queue fleet.QueueID) *dispatcher.Dispatcher {
	q, _ := r.config.Queue(queue)
	d, _ := r.dispatchers.Get(q.Pool)
	return d
}

func (r *Replayer) handleArrival(e tracer.Event) {
	if r.dispatcherOf(e.Queue) == nil {
		return
	}
	if since, partitioned := r.partitioned[e.Entry]; partitioned {
		if r.now-since > fleet.StateLease {
			r.metrics.refusedByLease++
		}
		return
	}
	timeout := time.Duration(e.TimeoutMillis) * time.Millisecond
	c := &caller{event: e, arrivedAt: r.now, deadline: r.now + timeout}
	r.callers[e.Request] = c
	r.metrics.submitted++
	r.retrierOf(e.Entry).RecordRequest()
	r.submit(c)
}

// retrierOf returns the retrier of an entry, which holds its retry budget.
func (r *Replayer) retrierOf(entry fleet.EntryID) *retrier.Retrier {
	if r.retriers[entry] == nil {
		r.retriers[entry] = retrier.New(r.trace.Header.Seed + uint64(len(r.retriers)))
	}
	return r.retriers[entry]
}

func (r *Replayer) submit(c *caller) {
	r.attemptCount++
	c.waiting = true
	id := fleet.AttemptID(fmt.Sprintf("a%07d", r.attemptCount))
	d := r.dispatcherOf(c.event.Queue)
	d.Submit(r.now, dispatcher.Request{
		ID: c.event.Request, Attempt: id, Queue: c.event.Queue, Customer: c.event.Customer, Entry: c.event.Entry, Deadline: c.deadline, Avoid: c.avoid,
	})
	d.Place(r.now)
	r.applyDecisions(d)
}

func (r *Replayer) cancel(id fleet.RequestID) {
	c, ok := r.callers[id]
	if !ok || c.done || !c.waiting {
		return
	}
	c.done = true
	r.metrics.cancelled++
	r.dispatcherOf(c.event.Queue).Cancel(id)
}

// tickDispatchers updates every dispatcher from the committed state, ticks it and applies its decisions.
func (r *Replayer) tickDispatchers() {
	for pool, d := range r.dispatchers.All() {
		r.updateDispatcher(pool, d)
		if r.now%entryReportInterval == 0 {
			r.reportInFlight(d)
		}
		d.Tick(r.now)
		r.applyDecisions(d)
	}
}

func (r *Replayer) updateDispatcher(pool fleet.PoolID, d *dispatcher.Dispatcher) {
	for customer, permits := range r.state.Permits {
		d.SetPermit(customer, permits[pool].Usable())
	}
	present := map[fleet.InstanceID]bool{}
	for id, t := range r.targets.All() {
		assignment, ok := r.state.Instances[id]
		if !ok || assignment.Pool != pool {
			continue
		}
		present[id] = true
		_, drained := r.state.DrainedDataCentres[assignment.DataCentre]
		d.UpdateInstance(r.now, dispatcher.InstanceView{Instance: t.announced, Schedulable: assignment.Phase == state.Serving && !assignment.Lost, Deprioritized: assignment.Deprioritized, Drained: drained, LastSeen: t.lastSeen})
	}
	for _, id := range d.InstanceIDs() {
		if !present[id] {
			d.RemoveInstance(id)
		}
	}
}

// reportInFlight reports to a dispatcher the attempts that each reachable entry has in flight.
func (r *Replayer) reportInFlight(d *dispatcher.Dispatcher) {
	inFlight := map[fleet.EntryID][]fleet.AttemptID{}
	for _, a := range r.attempts {
		if r.dispatcherOf(a.caller.event.Queue) == d {
			inFlight[a.caller.event.Entry] = append(inFlight[a.caller.event.Entry], a.id)
		}
	}
	for i := range 9 {
		entry := fleet.EntryID(fmt.Sprintf("entry-%d", i+1))
		if _, partitioned := r.partitioned[entry]; !partitioned {
			d.HandleEntryReport(r.now, entry, inFlight[entry])
		}
	}
}
