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
	moveSettle    = 300 * time.Millisecond // a new leader has heard all instances that answer by then
	moveInterval  = 50 * time.Millisecond
	moveRetry     = 700 * time.Millisecond  // the platform may be slow, and counts calls
	moveForget    = 8 * time.Second         // a machine that was moved announces itself within three seconds
	moveRest      = 3 * time.Second         // a machine that was busy is down or in maintenance
	idleBeforeOff = 2500 * time.Millisecond // two moves cost as much as an idle instance in three seconds
	maxMoves      = 24
)

// move is a machine on its way to a pool.
type move struct {
	to       fleet.PoolID
	since    time.Duration
	asked    time.Duration
	inFlight bool
	done     bool
	boot     int64
	instance *instance
}

// movable reports whether there is a standby pool, or several pools to move machines between.
func (s *Scheduler) movable() bool {
	return s.catalogue.Version > 0 && s.now-s.options.Led > moveSettle
}

// planMoves brings machines to the pools that need them, from standby first, and idle ones to standby.
func (s *Scheduler) planMoves() {
	if !s.movable() || s.now-s.planned < moveInterval {
		return
	}
	elapsed := s.now - s.planned
	s.planned = s.now
	s.followMoves()
	s.measure(elapsed)
	pools := slices.SortedFunc(maps.Keys(s.demands), func(a, b fleet.PoolID) int {
		return cmp.Or(cmp.Compare(s.demands[b].deficit(), s.demands[a].deficit()), cmp.Compare(a, b))
	})
	for _, p := range pools {
		for d := s.demands[p]; d.deficit() > 0 && len(s.moves) < maxMoves; d.have++ {
			if !s.bring(p) {
				break
			}
		}
	}
	for _, p := range pools {
		s.sendOff(p)
		s.vacate(p)
	}
}

// followMoves repeats orders without an answer and forgets moves that have arrived.
func (s *Scheduler) followMoves() {
	for name, m := range s.moves {
		if m.done {
			in := s.onMachine(name)
			arrived := in != nil && in.Boot > m.boot && in.looked || s.catalogue.Standby(m.to) && s.now-m.since > waveRetry*3
			if arrived || s.now-m.since > moveForget {
				delete(s.moves, name)
			}
			continue
		}
		if !m.inFlight && s.now-m.asked > moveRetry {
			s.askMove(name, m)
		}
	}
}

func (s *Scheduler) askMove(name string, m *move) {
	m.inFlight = true
	m.asked = s.now
	s.machineOrders = append(s.machineOrders, MachineOrder{Machine: name, Pool: m.to})
}

// bring moves one machine to a pool and reports whether there was one.
func (s *Scheduler) bring(p fleet.PoolID) bool {
	for _, name := range slices.Sorted(maps.Keys(s.machines)) {
		if s.onStandby(name) && !s.barred[barring{name, p}] && !s.inWave(name) {
			s.begin(name, p, nil)
			return true
		}
	}
	in := s.idle(func(o *instance) bool {
		d := s.demands[o.Pool]
		return o.Pool != p && !s.barred[barring{o.Machine, p}] && d != nil && d.deficit() < 0
	})
	if in == nil {
		return false
	}
	s.demands[in.Pool].have--
	s.begin(in.Machine, p, in)
	return true
}

// idle returns the instance without work, of the pool with the largest surplus, that a test admits.
func (s *Scheduler) idle(admit func(in *instance) bool) *instance {
	var best *instance
	for _, in := range s.instances {
		if len(in.runs) > 0 || in.Machine == "" || !s.open(in) && !in.vacating || s.moves[in.Machine] != nil || s.now < s.machineOf(in.Machine).rested || !admit(in) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(s.demands[in.Pool].deficit(), s.demands[best.Pool].deficit()), cmp.Compare(in.ID, best.ID)) < 0 {
			best = in
		}
	}
	return best
}

// sendOff moves idle instances of a pool to standby once it has had too many for a while.
func (s *Scheduler) sendOff(p fleet.PoolID) {
	d := s.demands[p]
	standby := s.standbyPool()
	if standby == "" || s.now-d.surplus < idleBeforeOff {
		return
	}
	for d.deficit() < 0 && len(s.moves) < maxMoves {
		in := s.idle(func(o *instance) bool { return o.Pool == p && !s.barred[barring{o.Machine, standby}] })
		if in == nil {
			return
		}
		d.have--
		s.begin(in.Machine, standby, in)
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

// inWave reports whether maintenance of the machine is under way.
func (s *Scheduler) inWave(name string) bool {
	for _, w := range s.waves {
		if w.current[name] != nil {
			return true
		}
	}
	return false
}

func (s *Scheduler) begin(name string, to fleet.PoolID, in *instance) {
	m := &move{to: to, since: s.now, instance: in}
	if in != nil {
		in.vacating = false
		s.retire(in)
		m.boot = in.Boot
	}
	s.moves[name] = m
	s.decisions = append(s.decisions, Decision{What: "machine moved", Machine: name, Reason: "to pool " + string(to)})
	s.askMove(name, m)
}

func (s *Scheduler) moveAnswered(o MachineOrder, outcome MachineOutcome) {
	m := s.moves[o.Machine]
	if m == nil || m.done || m.to != o.Pool {
		return
	}
	m.inFlight = false
	book := s.machineOf(o.Machine)
	switch outcome {
	case MachineDone:
		m.done = true
		m.since = s.now
		m.boot = max(m.boot, s.takenDown(o.Machine))
		book.Pool = o.Pool
		book.Up = true
		book.rested = s.now + settleTime
	case MachineBusy, MachineGone:
		delete(s.moves, o.Machine)
		book.rested = s.now + moveRest
		if outcome == MachineGone {
			s.barred[barring{o.Machine, o.Pool}] = true
		}
		s.restore(m.instance)
	}
}
