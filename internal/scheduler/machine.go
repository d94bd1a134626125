package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Machine is what the platform says of a machine.
type Machine struct {
	Name string
	Pool fleet.PoolID
	// Up machines can be moved and maintained.
	Available bool
	// Settling machines are still being moved or maintained and will be up within seconds.
	InTransition bool
}

// MachineOrder asks the platform for planned work on a machine: a move where a pool is named, maintenance otherwise.
type MachineOrder struct {
	Machine string
	Wave    uint64
	Pool    fleet.PoolID
}

// MachineOutcome is what the platform said to a machine order.
type MachineOutcome uint8

// Outcomes of a machine order.
const (
	MachineDone MachineOutcome = iota + 1
	MachineBusy
	MachineFenced
	MachineGone
	MachineUncertain
)

// String names the outcome.
func (o MachineOutcome) String() string {
	return [...]string{"none", "done", "busy", "fenced", "gone", "uncertain"}[o]
}

// settleTime is how long a machine that is being moved or maintained is left alone; both take at most two seconds.
const machineTransitionTime = 2100 * time.Millisecond

// listInterval is how often the platform's list is read while machines are moved: each reading is paid for, and a
// leader's own moves keep the table right between two readings.
const machineListInterval = 15 * time.Second

// machine is the book of one machine.
type machine struct {
	Machine
	// rested is when a machine that could not be moved may be asked for again.
	backoffUntil time.Duration
}

// barring is a pool that the platform does not let a machine join.
type refusedMove struct {
	machine string
	pool    fleet.PoolID
}

// WantMachines reports whether the platform's list of machines should be read now.
func (s *Scheduler) MachineListDue() bool {
	if !s.movesEnabled() || s.now-s.machinesListedAt < machineListInterval {
		return false
	}
	s.machinesListedAt = s.now
	return true
}

// SetMachines takes the platform's list. A list that was read while a machine was on its way must not hide the machine
// until the next reading, and what this leader has just ordered is newer than the list.
func (s *Scheduler) SetMachines(list []Machine) {
	for _, m := range list {
		known := s.machineOf(m.Name)
		if s.moves[m.Name] != nil || s.now < known.backoffUntil {
			continue
		}
		known.Machine = m
		if m.InTransition {
			known.Available = true
			known.backoffUntil = s.now + machineTransitionTime
		}
	}
}

func (s *Scheduler) machineOf(name string) *machine {
	m := s.machines[name]
	if m == nil {
		m = &machine{Machine: Machine{Name: name}}
		s.machines[name] = m
	}
	return m
}

// onStandby reports whether a machine is off in a standby pool and free for planned work.
func (s *Scheduler) standbyAvailable(name string) bool {
	m := s.machines[name]
	return m != nil && m.Available && s.now >= m.backoffUntil && s.catalogue.IsStandby(m.Pool) && s.moves[name] == nil
}

// MachineOrders returns the machine orders made since the last call.
func (s *Scheduler) TakeMachineOrders() []MachineOrder {
	list := s.machineOrders
	s.machineOrders = nil
	return list
}

// MachineAnswered takes the outcome of a machine order and reports whether the maintenance of a wave has begun.
func (s *Scheduler) HandleMachineOutcome(now time.Duration, order MachineOrder, outcome MachineOutcome) (begun bool) {
	s.now = now
	if outcome == MachineFenced {
		s.superseded = true
		return false
	}
	if order.Pool != "" {
		s.handleMoveOutcome(order, outcome)
		return false
	}
	return s.handleMaintenanceOutcome(order, outcome)
}
