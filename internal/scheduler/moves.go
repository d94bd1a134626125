package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Timing and limits of moves between pools.
const (
	moveStartDelay     = 300 * time.Millisecond // by then a new leader has polled all instances that answer
	moveInterval       = 50 * time.Millisecond
	moveRetryInterval  = 700 * time.Millisecond  // the platform may be slow, and calls to it are metered
	moveArrivalTimeout = 8 * time.Second         // a moved machine announces itself within 3 s
	refusedMoveBackoff = 3 * time.Second         // a busy machine is down or in maintenance
	scaleInDelay       = 2500 * time.Millisecond // two moves cost as much as an idle instance in 3 s
)

// move is a machine move in progress.
type move struct {
	pool        fleet.PoolID
	startedAt   time.Duration
	requestedAt time.Duration
	inFlight    bool
	done        bool
	endedBoot   int64
	instance    *instance
}

// movesEnabled reports whether a catalogue is in force and the start delay of a new leader is over.
func (s *Scheduler) movesEnabled() bool {
	return s.catalogue.Version > 0 && s.now-s.options.LeadingSince > moveStartDelay
}

// planMoves moves machines to pools with a deficit, from standby first, and idle machines of pools with a surplus to
// standby.
func (s *Scheduler) planMoves() {
	if !s.movesEnabled() || s.now-s.movesPlannedAt < moveInterval {
		return
	}
	elapsed := s.now - s.movesPlannedAt
	s.movesPlannedAt = s.now
	s.advanceMoves()
	s.updateDemand(elapsed)
	s.reclaim()
	pools := slices.SortedFunc(maps.Keys(s.demands), func(a, b fleet.PoolID) int {
		return cmp.Or(cmp.Compare(s.demands[b].deficit(), s.demands[a].deficit()), cmp.Compare(a, b))
	})
	for _, p := range pools {
		for d := s.demands[p]; d.deficit() > 0 && s.mayMove(); d.available++ {
			if !s.growPool(p) {
				break
			}
		}
	}
	for _, p := range pools {
		s.shrinkPool(p)
		s.consolidate(p)
	}
}

// advanceMoves repeats unanswered orders and removes moves that are complete or timed out.
func (s *Scheduler) advanceMoves() {
	for _, name := range slices.Sorted(maps.Keys(s.moves)) {
		m := s.moves[name]
		if m.done {
			in := s.instanceOn(name)
			arrived := in != nil && in.Boot > m.endedBoot && in.polled || s.catalogue.IsStandby(m.pool) && s.now-m.startedAt > maintenanceRetryInterval*3
			if arrived || s.now-m.startedAt > moveArrivalTimeout {
				delete(s.moves, name)
			}
			continue
		}
		if !m.inFlight && s.now-m.requestedAt > moveRetryInterval && s.machineBudget.takeMove(s.now) {
			s.requestMove(name, m)
		}
	}
}

// mayMove reports whether the platform is expected to accept another move now. Moves that it has accepted hold up no others.
func (s *Scheduler) mayMove() bool {
	s.machineBudget.update(s.now)
	return s.machineBudget.available >= 1 && s.unansweredMoves < s.machineBudget.maxUnanswered()
}

func (s *Scheduler) requestMove(name string, m *move) {
	m.inFlight = true
	s.unansweredMoves++
	m.requestedAt = s.now
	s.machineOrders = append(s.machineOrders, MachineOrder{Machine: name, Pool: m.pool})
}

// growPool moves one machine to a pool and reports whether there was one to move.
func (s *Scheduler) growPool(pool fleet.PoolID) bool {
	for _, name := range s.machineNames {
		if s.standbyAvailable(name) && !s.machineDrained(name) && !s.refusedMoves[refusedMove{name, pool}] && !s.underMaintenance(name) {
			s.beginMove(name, pool, nil)
			return true
		}
	}
	in := s.idleInstance(func(o *instance) bool {
		d := s.demands[o.Pool]
		return o.Pool != pool && !s.refusedMoves[refusedMove{o.Machine, pool}] && d != nil && d.deficit() < 0
	})
	if in == nil {
		return false
	}
	s.demands[in.Pool].available--
	s.beginMove(in.Machine, pool, in)
	return true
}

// idleInstance returns an eligible instance without runs and uncommitted ends from the pool with the largest surplus, or nil.
func (s *Scheduler) idleInstance(eligible func(in *instance) bool) *instance {
	var best *instance
	for _, in := range s.instances.sorted {
		if len(in.runs) > 0 || in.Machine == "" || !s.schedulable(in) && !in.consolidating && !in.reclaimed || s.moves[in.Machine] != nil || s.now < s.machineOf(in.Machine).backoffUntil || !eligible(in) || !s.endsCommitted(in) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(s.demands[in.Pool].deficit(), s.demands[best.Pool].deficit()), cmp.Compare(in.ID, best.ID)) < 0 {
			best = in
		}
	}
	return best
}

// shrinkPool moves idle instances of a pool to standby once its surplus has lasted for scaleInDelay.
func (s *Scheduler) shrinkPool(pool fleet.PoolID) {
	d := s.demands[pool]
	standby := s.standbyPool()
	if standby == "" || s.now-d.surplusSince < scaleInDelay {
		return
	}
	for d.deficit() < 0 && s.mayMove() {
		in := s.idleInstance(func(o *instance) bool { return o.Pool == pool && !s.refusedMoves[refusedMove{o.Machine, standby}] })
		if in == nil {
			return
		}
		d.available--
		s.beginMove(in.Machine, standby, in)
	}
}

func (s *Scheduler) standbyPool() fleet.PoolID {
	for _, p := range s.catalogue.Pools {
		if p.Standby {
			return p.Name
		}
	}
	return ""
}

// underMaintenance reports whether a wave is evacuating or maintaining the machine.
func (s *Scheduler) underMaintenance(name string) bool {
	for _, w := range s.waves {
		if w.inProgress[name] != nil {
			return true
		}
	}
	return false
}

func (s *Scheduler) beginMove(name string, pool fleet.PoolID, in *instance) {
	m := &move{pool: pool, startedAt: s.now, instance: in, endedBoot: s.latestBoot(name)}
	if in != nil {
		in.consolidating, in.reclaimed = false, false
		s.deregisterEvacuated(in)
	}
	s.moves[name] = m
	s.machineBudget.takeMove(s.now)
	s.decisions = append(s.decisions, Decision{What: "machine moved", Machine: name, Reason: "to pool " + string(pool)})
	s.requestMove(name, m)
}

// movePending reports whether an order to move the machine of an instance out of its pool may still be carried out. Orders name no boot, so
// that one made for an earlier boot ends the runs of this one.
func (s *Scheduler) movePending(in *instance) bool {
	if len(s.moves) == 0 {
		return false
	}
	m := s.moves[in.Machine]
	return m != nil && !m.done && m.pool != in.Pool
}

// markMoved marks the instances of a machine that was moved to a pool as departed: those up to the given boot, and later ones of other pools,
// which came before the order was carried out.
func (s *Scheduler) markMoved(machine string, pool fleet.PoolID, endedBoot int64) {
	s.markDeparted(machine, endedBoot)
	for _, in := range s.instances.byMachine[machine] {
		if in.Pool != pool {
			in.departed = true
		}
	}
}

func (s *Scheduler) handleMoveOutcome(order MachineOrder, outcome MachineOutcome) {
	m := s.moves[order.Machine]
	if m == nil || m.done || m.pool != order.Pool {
		return
	}
	if m.inFlight {
		m.inFlight = false
		s.unansweredMoves--
	}
	moved := s.machineOf(order.Machine)
	switch outcome {
	case MachineDone:
		m.done = true
		m.startedAt = s.now
		s.markMoved(order.Machine, order.Pool, m.endedBoot)
		moved.Pool = order.Pool
		moved.Available = true
		moved.backoffUntil = s.now + machineTransitionTime
		moved.movedAt = s.now
	case MachineBusy, MachineGone:
		delete(s.moves, order.Machine)
		moved.backoffUntil = s.now + refusedMoveBackoff
		if outcome == MachineGone {
			s.refusedMoves[refusedMove{order.Machine, order.Pool}] = true
		}
		s.cancelEvacuation(m.instance)
	}
}
