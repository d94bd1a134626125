// Package planner decides for the whole fleet: owners, permits, capacity, moves and maintenance.
//
// Its systems run over tables in a fixed order at each tick. They are pure: tables and a moment in,
// commands with reasons out.
package planner

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/table"
)

// Sight is what the announcements say of one instance.
type Observation struct {
	Instance fleet.Instance
	// Age is the time since the latest announcement.
	Age time.Duration
}

// Report is what the owner of a pool last said.
type PoolReport struct {
	Pool  fleet.PoolID  `cbor:"1,keyasint"`
	Entry fleet.EntryID `cbor:"2,keyasint"`
	Epoch uint64        `cbor:"3,keyasint"`
	// Applied is the log index that the owner acted on.
	Applied uint64 `cbor:"7,keyasint"`
	// EndRate is the number of tasks that end in a second.
	EndRate   float64                             `cbor:"8,keyasint"`
	Customers map[fleet.CustomerID]CustomerReport `cbor:"4,keyasint"`
	Busy      map[fleet.InstanceID]int            `cbor:"5,keyasint"`
	Sick      map[fleet.InstanceID]bool           `cbor:"6,keyasint"`
}

// CustomerReport is the use of one customer in a pool and the permit revision that the owner acts on.
type CustomerReport struct {
	dispatcher.Load
	Revision uint64 `cbor:"4,keyasint"`
	// Unlearned is the number of tasks that may run unseen.
	Unlearned int `cbor:"5,keyasint"`
}

// View is everything that a tick looks at.
type View struct {
	Now          time.Time
	State        *state.State
	Observations *table.Table[fleet.InstanceID, Observation]
	Reports      *table.Table[fleet.PoolID, PoolReport]
	// Entries are the processes that hold a state lease.
	Entries []fleet.EntryID
	// LeaseOver reports whether the state lease of an entry is surely over.
	LeaseExpired func(fleet.EntryID) bool
}

// Step is one command with the reason for it.
type Step struct {
	Command state.Command
	Reason  string
}

// System is one part of the planning.
type Stage struct {
	Name string
	Run  func(p *Planner, v *View, c *configuration.Configuration) []Step
}

// Systems returns the systems in the order in which they run.
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

// Planner keeps what the systems remember between ticks; a new leader starts with an empty one.
type Planner struct {
	pools           *table.Table[fleet.PoolID, *poolState]
	started         time.Time
	claimsExpiredAt time.Time
	movedAt         map[fleet.InstanceID]time.Time
	disabled        map[string]bool
	serial          bool
	// sorted and members are the instances of the tick, in order of their ids and by pool.
	assignments []state.Assignment
	members     map[fleet.PoolID][]poolMember
}

// Option sets a property of a planner.
type Option func(*Planner)

// WithoutSystem leaves out the system called name; replay uses it for baselines.
func WithoutStage(name string) Option {
	return func(p *Planner) { p.disabled[name] = true }
}

// WithSerialMaintenance maintains one instance at a time; it is a baseline for replay.
func WithSerialMaintenance() Option { return func(p *Planner) { p.serial = true } }

// New returns a planner that starts at a moment.
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

// Tick runs all systems over a view and returns their steps in order.
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

// member is an instance of a pool that has announced itself.
type poolMember struct {
	assignment  state.Assignment
	observation Observation
}

// index sorts the instances once for all systems of a tick.
func (p *Planner) indexInstances(v *View) {
	p.assignments = sortedAssignments(v.State)
	p.members = map[fleet.PoolID][]poolMember{}
	for _, a := range p.assignments {
		if o, observed := v.Observations.Get(a.Instance); observed {
			p.members[a.Pool] = append(p.members[a.Pool], poolMember{assignment: a, observation: o})
		}
	}
}
