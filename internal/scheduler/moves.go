package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Timing and weights of moves between pools.
const (
	stuckFor      = 300 * time.Millisecond // a standing task that found no room lately still waits
	moveSettle    = 300 * time.Millisecond // a new leader has heard all instances that answer by then
	moveInterval  = 50 * time.Millisecond
	moveRetry     = 700 * time.Millisecond  // the platform may be slow, and counts calls
	moveForget    = 8 * time.Second         // a machine that was moved announces itself within three seconds
	moveRest      = 3 * time.Second         // a machine that was busy is down or in maintenance
	demandDecay   = 2 * time.Second         // a queue's turn lasts some seconds, with gaps below a second in it
	slopeSpan     = 500 * time.Millisecond  // gathers some jobs of a turn that rises
	slopeAhead    = 1.0                     // seconds; a move takes so long
	demandMargin  = 1.1                     // of the measured demand, for what comes until the next decision
	reserveShare  = 0.2                     // of one instance, against a lost one
	idleBeforeOff = 2500 * time.Millisecond // two moves cost as much as an idle instance in three seconds
	leastPool     = 2                       // instances of a pool with work, so that one may be lost
	maxMoves      = 24
)

// demand is the need of one pool for instances.
type demand struct {
	standing float64 // instances that standing tasks fill
	now      float64 // instances that work that ends needs at once
	peak     float64
	slope    float64
	past     float64
	pastAt   time.Duration
	want     int
	have     int
	queues   int
	told     int
	// spread is how many instances a standing step must spread over, and leaving how many are about to be maintained.
	spread  int
	leaving int
	// stuck is when a standing task last found no room.
	stuck   time.Duration
	surplus time.Duration
}

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

func (d *demand) deficit() int { return d.want - d.have }

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

// measure computes what each pool needs and has.
func (s *Scheduler) measure(elapsed time.Duration) {
	for _, d := range s.demands {
		*d = demand{peak: d.peak, past: d.past, pastAt: d.pastAt, slope: d.slope, surplus: d.surplus, told: d.told, stuck: d.stuck}
	}
	for _, q := range s.catalogue.Queues {
		s.demandOf(q.Pool).queues++
	}
	capacity := s.typicalCapacity()
	for _, j := range s.jobs {
		s.measureJob(j, capacity)
	}
	decay := math.Exp(-float64(elapsed) / float64(demandDecay))
	for p, d := range s.demands {
		d.track(s.now, decay)
		d.have = s.has(p)
		d.leaving = s.leaving(p)
		d.want = d.wanted()
		if s.now-d.stuck < stuckFor && d.stuck > 0 {
			d.want = max(d.want, d.have+1)
		}
		if d.have <= d.want || !s.worked {
			d.surplus = s.now
		}
		if d.want != d.told {
			d.told = d.want
			s.decisions = append(s.decisions, Decision{What: "pool planned", Reason: fmt.Sprintf(
				"pool %s has %d, wants %d: %.1f for standing tasks, %.1f now, %.1f at the peak, rising %.1f a second",
				p, d.have, d.want, d.standing, d.now, d.peak, d.slope)})
		}
	}
}

func (s *Scheduler) demandOf(p fleet.PoolID) *demand {
	d := s.demands[p]
	if d == nil {
		d = &demand{surplus: s.now}
		s.demands[p] = d
	}
	return d
}

func (s *Scheduler) measureJob(j *job, capacity workload.Need) {
	if j.over {
		return
	}
	d := s.demandOf(j.pool)
	for _, ro := range j.rounds {
		if ro.dueWall > s.wall {
			continue
		}
		for _, st := range ro.steps {
			step := &j.Steps[st.step]
			open := float64(len(st.tasks) - st.done)
			switch {
			case step.Standing:
				d.standing += float64(len(st.tasks)) * capacity.Share(step.Claim())
				if step.PerInstance > 0 {
					d.spread = max(d.spread, (len(st.tasks)+step.PerInstance-1)/step.PerInstance)
				}
			case open > 0 && ro.ready(j, st.step):
				d.now += open * capacity.Share(step.Claim())
			}
		}
	}
}

// track follows the rise and the peak of the demand.
func (d *demand) track(now time.Duration, decay float64) {
	if now-d.pastAt >= slopeSpan {
		d.slope = max(0, d.now-d.past) / (now - d.pastAt).Seconds()
		d.past, d.pastAt = d.now, now
	}
	d.peak = max(d.now, d.peak*decay)
}

// wanted returns how many instances of a typical size the pool needs.
func (d *demand) wanted() int {
	if d.queues == 0 {
		return 0
	}
	ending := demandMargin * max(d.peak, d.now+slopeAhead*d.slope)
	return max(leastPool, int(math.Ceil(ending+d.standing+reserveShare)), d.spread+d.leaving)
}

// leaving counts the instances of a pool that are about to be maintained.
func (s *Scheduler) leaving(p fleet.PoolID) int {
	n := 0
	for _, in := range s.instances {
		if in.Pool == p && in.enrolled && in.evacuate && s.moves[in.Machine] == nil {
			n++
		}
	}
	return n
}

// typicalCapacity returns the mean size of the instances.
func (s *Scheduler) typicalCapacity() workload.Need {
	total, n := workload.Need{}, int64(0)
	for _, in := range s.instances {
		total = total.Add(in.Capacity)
		n++
	}
	if n == 0 {
		return workload.Need{}
	}
	return workload.Need{Processors: total.Processors / n, Memory: total.Memory / n}
}

// has counts the instances of a pool that can take work, and the machines on their way to it.
func (s *Scheduler) has(p fleet.PoolID) int {
	n := 0
	for _, in := range s.instances {
		if in.Pool == p && in.enrolled && !in.Draining && !in.departed && in.misses == 0 && s.moves[in.Machine] == nil {
			n++
		}
	}
	for _, m := range s.moves {
		if m.to == p {
			n++
		}
	}
	return n
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
