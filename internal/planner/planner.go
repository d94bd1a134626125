// Package planner assigns pool owners and permits, moves instances between pools and schedules maintenance for the whole fleet.
//
// At each tick of the leader its stages run in a fixed order over the committed state and the latest observations. They perform no
// I/O and return commands with reasons.
package planner

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/table"
)

// Observation is the latest announcement of one instance and its age.
type Observation struct {
	Instance fleet.Instance
	// Age is the time since the latest announcement.
	Age time.Duration
}

// PoolReport is the latest report of the owner of a pool. /v1/status writes its fields out under their Go names.
type PoolReport struct {
	Pool  fleet.PoolID  `cbor:"1,keyasint"`
	Entry fleet.EntryID `cbor:"2,keyasint"`
	Epoch uint64        `cbor:"3,keyasint"`
	// Applied is the log index of the committed state that the owner acted on.
	Applied uint64 `cbor:"7,keyasint"`
	// EndRate is the smoothed number of tasks that end per second.
	EndRate   float64                             `cbor:"8,keyasint"`
	Customers map[fleet.CustomerID]CustomerReport `cbor:"4,keyasint"`
	// Busy is the number of tasks that run on each instance.
	Busy map[fleet.InstanceID]int `cbor:"5,keyasint"`
	// Sick holds the instances that the owner isolated.
	Sick map[fleet.InstanceID]bool `cbor:"6,keyasint"`
}

// CustomerReport is the load of one customer in a pool and the permit revision that the owner acts on.
type CustomerReport struct {
	dispatcher.Load
	Revision uint64 `cbor:"4,keyasint"`
	// Unlearned is the number of tasks that may run without the owner knowing of them.
	Unlearned int `cbor:"5,keyasint"`
}

// View is the input of a tick.
type View struct {
	Now          time.Time
	State        *state.State
	Observations *table.Table[fleet.InstanceID, Observation]
	Reports      *table.Table[fleet.PoolID, PoolReport]
	// Entries are the entries that hold a state lease.
	Entries []fleet.EntryID
	// LeaseExpired reports whether the state lease of an entry has expired for certain.
	LeaseExpired func(fleet.EntryID) bool
}

// Step is one command to commit with its reason.
type Step struct {
	Command state.Command
	Reason  string
}

// Stage is one part of a tick.
type Stage struct {
	Name string
	Run  func(p *Planner, v *View, c *configuration.Configuration) []Step
}

// Stages returns the stages in the order in which they run.
func Stages() []Stage {
	return []Stage{
		{Name: "owners", Run: (*Planner).owners},
		{Name: "permits", Run: (*Planner).permits},
		{Name: "presence", Run: (*Planner).presence},
		{Name: "demand", Run: (*Planner).demand},
		{Name: "moves", Run: (*Planner).moves},
		{Name: "maintenance", Run: (*Planner).maintenance},
		{Name: "claims", Run: (*Planner).claims},
	}
}

// Planner holds the state that the stages keep between ticks; it isn't replicated, so a new leader starts with an empty one.
type Planner struct {
	pools           *table.Table[fleet.PoolID, *poolState]
	started         time.Time
	claimsExpiredAt time.Time
	movedAt         map[fleet.InstanceID]time.Time
	disabled        map[string]bool
	serial          bool
	// assignments and members index the instances of the current tick, in order of their ids and by pool.
	assignments []state.Assignment
	members     map[fleet.PoolID][]poolMember
}

// Option configures a new planner.
type Option func(*Planner)

// WithoutStage disables the stage called name; replay uses it for baselines.
func WithoutStage(name string) Option {
	return func(p *Planner) { p.disabled[name] = true }
}

// WithSerialMaintenance maintains one instance at a time; replay uses it as a baseline.
func WithSerialMaintenance() Option { return func(p *Planner) { p.serial = true } }

// New returns a planner that started at the given time.
func New(started time.Time, options ...Option) *Planner {
	p := &Planner{
		pools:    table.New[fleet.PoolID, *poolState](),
		started:  started,
		movedAt:  map[fleet.InstanceID]time.Time{},
		disabled: map[string]bool{},
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Tick runs all enabled stages over a view and returns their steps in order; it returns none before the first configuration.
func (p *Planner) Tick(v *View) []Step {
	c := v.State.Configuration()
	if c.Version == 0 {
		return nil
	}
	p.indexInstances(v)
	var steps []Step
	for _, s := range Stages() {
		if p.disabled[s.Name] {
			continue
		}
		steps = append(steps, s.Run(p, v, c)...)
	}
	return steps
}

// poolMember is an instance of a pool with an observation.
type poolMember struct {
	assignment  state.Assignment
	observation Observation
}

// indexInstances builds the indexes of instances that the stages of a tick share.
func (p *Planner) indexInstances(v *View) {
	p.assignments = sortedAssignments(v.State)
	p.members = map[fleet.PoolID][]poolMember{}
	for _, a := range p.assignments {
		if o, observed := v.Observations.Get(a.Instance); observed {
			p.members[a.Pool] = append(p.members[a.Pool], poolMember{assignment: a, observation: o})
		}
	}
}
