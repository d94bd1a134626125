package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Machine is an entry of the platform's list of machines.
type Machine struct {
	Name string
	Pool fleet.PoolID
	// Available is set for machines that can be moved and maintained.
	Available bool
	// InTransition is set while a move or maintenance is still running; the machine will be available within seconds.
	InTransition bool
}

// MachineOrder requests a move of a machine if Pool is set, and maintenance otherwise.
type MachineOrder struct {
	Machine string
	Wave    uint64
	Pool    fleet.PoolID
}

// MachineOutcome is the result of a machine order.
type MachineOutcome uint8

// Outcomes of a machine order.
const (
	MachineDone MachineOutcome = iota + 1
	MachineBusy
	MachineFenced
	MachineGone
	MachineUncertain
	// MachineUnsent means that the order was never sent, because the leader lease had expired.
	MachineUnsent
	// MachineThrottled means that the platform refused the order because it had too many; it will never carry it out.
	MachineThrottled
)

// String returns the name that logs use.
func (o MachineOutcome) String() string {
	return [...]string{"none", "done", "busy", "fenced", "gone", "uncertain", "unsent", "throttled"}[o]
}

// machineTransitionTime is how long a machine in a move or maintenance gets no further order. Both take at most 2 s.
const machineTransitionTime = 2100 * time.Millisecond

// machineListInterval is the interval between reads of the platform's list of machines. Each read is charged, and the
// leader applies its own moves to the table between reads.
const machineListInterval = 15 * time.Second

// machineListRetryInterval is the interval after a read that failed. Until the first has succeeded, a leader knows of no machines on standby.
const machineListRetryInterval = 2 * time.Second

// machine is the state of one machine.
type machine struct {
	Machine
	// backoffUntil is when the next order for the machine may be sent.
	backoffUntil time.Duration
	// movedAt is when this leader learned that its last move of the machine was carried out.
	movedAt time.Duration
}

// refusedMove is a machine and a pool that the platform does not let it join.
type refusedMove struct {
	machine string
	pool    fleet.PoolID
}

// MachineListDue reports whether the platform's list of machines is to be read now, and starts the next interval if so.
func (s *Scheduler) MachineListDue() bool {
	if !s.movesEnabled() || s.now-s.machinesListedAt < machineListInterval && !s.returnListDue() {
		return false
	}
	s.machinesListedAt = s.now
	return true
}

// HandleMachineListFailure has the platform's list of machines read again soon.
func (s *Scheduler) HandleMachineListFailure(now time.Duration) {
	s.now = now
	s.machinesListedAt = min(s.machinesListedAt, now+machineListRetryInterval-machineListInterval)
}

// SetMachines applies the platform's list of machines as it is now.
func (s *Scheduler) SetMachines(list []Machine) { s.applyMachineList(s.now, list) }

// applyMachineList applies the platform's list of machines that was requested at the given time, unless a later one has overtaken it. A
// machine in transition counts as available after a backoff, so that it is usable before the next read. An entry for a machine with an order of
// this leader in flight, or that was carried out after the request, may be older than the order and is ignored.
func (s *Scheduler) applyMachineList(requestedAt time.Duration, list []Machine) {
	if requestedAt < s.machineListRequestedAt {
		return
	}
	s.machineListRequestedAt = requestedAt
	for _, m := range list {
		known := s.machineOf(m.Name)
		if s.moves[m.Name] != nil || s.now < known.backoffUntil || requestedAt <= known.movedAt {
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
		i, _ := slices.BinarySearch(s.machineNames, name)
		s.machineNames = slices.Insert(s.machineNames, i, name)
	}
	return m
}

// standbyAvailable reports whether a machine is in a standby pool and can be moved or maintained.
func (s *Scheduler) standbyAvailable(name string) bool {
	m := s.machines[name]
	return m != nil && m.Available && s.now >= m.backoffUntil && s.catalogue.IsStandby(m.Pool) && s.moves[name] == nil && !s.serves(name)
}

// serves reports whether an instance on the machine serves a pool, so that the machine has left standby since the list was read.
func (s *Scheduler) serves(name string) bool {
	in := s.instanceOn(name)
	return in != nil && (in.polled || in.inherited) && !s.catalogue.IsStandby(in.Pool)
}

// TakeMachineOrders returns the machine orders issued since the last call.
func (s *Scheduler) TakeMachineOrders() []MachineOrder {
	list := s.machineOrders
	s.machineOrders = nil
	return list
}

// HandleMachineOutcome processes the outcome of a machine order and reports whether the machine's maintenance is to be
// recorded as begun.
func (s *Scheduler) HandleMachineOutcome(now time.Duration, order MachineOrder, outcome MachineOutcome) (begun bool) {
	s.now = now
	switch outcome {
	case MachineFenced:
		s.superseded = true
		return false
	case MachineDone:
		s.platformFencedAt = cmp.Or(s.platformFencedAt, now)
	case MachineThrottled:
		s.machineBudget.throttled(now)
	}
	if order.Pool != "" {
		s.handleMoveOutcome(order, outcome)
		return false
	}
	return s.handleMaintenanceOutcome(order, outcome)
}
