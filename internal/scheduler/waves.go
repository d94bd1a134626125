package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/maintainer"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Timing of maintenance waves.
const (
	wavePlanInterval         = 25 * time.Millisecond   // a hundredth of the time for which a machine is down
	inheritedDownWindow      = 4 * time.Second         // by then the machines that an earlier leader has shut down are back
	missingMachineDelay      = 4 * time.Second         // instances announce themselves every 1.5 s, and a restart takes 2 s
	maintenanceRetryInterval = 700 * time.Millisecond  // the platform accepts few calls a second
	busyMachineBackoff       = 1500 * time.Millisecond // a machine in a move is back by then
	minMaintenanceTime       = 1500 * time.Millisecond // maintenance takes 2 s
)

// wave is the state of one maintenance wave.
type wave struct {
	workload.Wave
	maintainer *maintainer.Maintainer
	startedAt  time.Duration
	plannedAt  time.Duration
	started    map[string]bool
	// inProgress holds the machines that are being evacuated or maintained.
	inProgress map[string]*maintenance
	// retryAt is when maintenance of a busy machine may be requested again.
	retryAt map[string]time.Duration
	// missingSince is since when machines have had no instance.
	missingSince map[string]time.Duration
	// late is the number of machines begun after the time limit.
	late             int
	reportedAt       time.Duration
	reportedComplete bool
	// inherited is set if an earlier leader may have maintained machines of the wave.
	inherited bool
}

// maintenance is the state of a machine that is being evacuated or maintained.
type maintenance struct {
	instance *instance
	// endedBoot is the latest known boot at the first order, and orderedBoot that at the latest order: a repeated order may end a
	// boot that is back after the first.
	endedBoot, orderedBoot int64
	// requestedAt is when the latest order was sent, firstRequestedAt when the first was.
	requestedAt, firstRequestedAt time.Duration
	// begunAt is when the platform answered that the maintenance has begun.
	begunAt  time.Duration
	inFlight bool
	// uncertain is set once an order was not answered; it may have been carried out.
	uncertain bool
	done      bool
	// blocked is set while a service task could leave but has no capacity elsewhere, and blockedSince since when.
	blocked      bool
	blockedSince time.Duration
}

// holdsPlace reports whether the machine is down, or may be because of an order without an answer.
func (m *maintenance) holdsPlace() bool { return m.inFlight || m.uncertain || m.done }

// AddWave adds a committed wave.
func (s *Scheduler) AddWave(now time.Duration, wallMillis int64, record *state.WaveRecord) {
	if s.waves[record.Wave.Number] != nil {
		return
	}
	startedAt := now - time.Duration(wallMillis-int64(record.AcceptedAt))*time.Millisecond
	started := maps.Clone(record.Started)
	if started == nil {
		started = map[string]bool{}
	}
	w := record.Wave
	w.Machines = slices.Compact(slices.Sorted(slices.Values(w.Machines)))
	added := &wave{
		Wave: w, startedAt: startedAt, started: started, maintainer: maintainer.New(startedAt, w.TimeLimit, w.MaxConcurrent),
		inProgress: map[string]*maintenance{}, reportedAt: now, retryAt: map[string]time.Duration{}, missingSince: map[string]time.Duration{},
	}
	added.reportedComplete = added.allBegun()
	s.waves[w.Number] = added
}

// ForgetWave removes a wave whose record is deleted.
func (s *Scheduler) ForgetWave(number uint64) { delete(s.waves, number) }

func (s *Scheduler) tickWaves() {
	s.renewReservations()
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		s.tickWave(s.waves[n])
	}
}

// allBegun reports whether the maintenance of all machines has begun.
func (w *wave) allBegun() bool { return len(w.started) >= len(w.Machines) }

// finished reports whether nothing is left to do for the wave.
func (w *wave) finished() bool { return w.reportedComplete && len(w.inProgress) == 0 }

func (s *Scheduler) tickWave(w *wave) {
	if w.finished() {
		return
	}
	returned := s.releaseReturned(w)
	s.followBoots(w)
	completed := w.allBegun() && !w.reportedComplete
	if !returned && !completed && s.now-w.plannedAt < wavePlanInterval {
		return
	}
	w.plannedAt = s.now
	view := s.waveView(w)
	s.reportWave(w, view)
	s.applyWavePlan(w, view, w.maintainer.Plan(view))
}

// applyWavePlan evacuates the machines of a plan and those before them, and orders the maintenance of the empty ones.
func (s *Scheduler) applyWavePlan(w *wave, view maintainer.View, plan maintainer.Plan) {
	for _, i := range plan.Evacuate {
		machine := view.Candidates[i].Machine
		s.beginEvacuation(w, machine)
		s.decisions = append(s.decisions, Decision{What: "machine evacuated", Machine: machine, Reason: fmt.Sprintf("maintenance wave %d", w.Number)})
	}
	hurry := map[string]bool{}
	for _, i := range plan.Hurry {
		hurry[view.Candidates[i].Machine] = true
	}
	for _, machine := range slices.Sorted(maps.Keys(w.inProgress)) {
		s.evacuate(w, w.inProgress[machine], hurry[machine])
	}
	for _, i := range plan.Maintain {
		s.orderMaintenance(w, view.Candidates[i].Machine)
	}
}

// beginEvacuation keeps new work off a machine of the wave.
func (s *Scheduler) beginEvacuation(w *wave, machine string) *maintenance {
	m := w.inProgress[machine]
	if m == nil {
		m = &maintenance{}
		w.inProgress[machine] = m
	}
	m.instance = s.instanceOn(machine)
	if m.instance != nil {
		m.instance.evacuating = true
	}
	return m
}

// orderMaintenance orders the maintenance of an empty machine, within the rate that the platform accepts.
func (s *Scheduler) orderMaintenance(w *wave, machine string) {
	m := w.inProgress[machine]
	if m != nil && s.now-m.requestedAt < maintenanceRetryInterval || !s.mayProbePlatform() || !s.machineBudget.takeMaintenance(s.now) {
		return
	}
	m = s.beginEvacuation(w, machine)
	if m.instance != nil {
		s.deregisterEvacuated(m.instance)
	}
	m.orderedBoot = s.latestBoot(machine)
	if !m.uncertain {
		m.endedBoot, m.firstRequestedAt = m.orderedBoot, s.now
	}
	m.inFlight = true
	m.requestedAt = s.now
	s.machineOrders = append(s.machineOrders, MachineOrder{Machine: machine, Wave: w.Number})
}

// handleMaintenanceOutcome processes the outcome of a maintenance order and reports whether the maintenance is to be
// recorded as begun; a machine that no longer exists counts.
func (s *Scheduler) handleMaintenanceOutcome(order MachineOrder, outcome MachineOutcome) (begun bool) {
	w := s.waves[order.Wave]
	if w == nil || w.inProgress[order.Machine] == nil {
		return false
	}
	m := w.inProgress[order.Machine]
	m.inFlight = false
	switch outcome {
	case MachineDone:
		m.done = true
		m.begunAt = s.now
		ended := s.latestBootKnownBy(order.Machine, m.firstRequestedAt+minMaintenanceTime)
		m.endedBoot, m.orderedBoot = max(m.endedBoot, ended), max(m.orderedBoot, ended)
		s.markDeparted(order.Machine, m.endedBoot)
	case MachineGone:
		delete(w.inProgress, order.Machine)
	case MachineBusy:
		w.retryAt[order.Machine] = s.now + busyMachineBackoff
		if m.instance == nil && !m.uncertain {
			delete(w.inProgress, order.Machine)
		}
		return false
	default:
		m.uncertain = m.uncertain || outcome == MachineUncertain
		return false
	}
	s.recordBegun(w, order.Machine)
	return true
}

// latestBoot returns the latest known boot on a machine, which the first order of a move or maintenance ends.
func (s *Scheduler) latestBoot(machine string) (boot int64) {
	return s.latestBootKnownBy(machine, s.now)
}

// latestBootKnownBy returns the latest boot on a machine of which this leader knew at a time. One that was known before the maintenance can
// have been over is not the return from it.
func (s *Scheduler) latestBootKnownBy(machine string, at time.Duration) (boot int64) {
	for _, in := range s.instances.byMachine[machine] {
		if in.knownSince <= at {
			boot = max(boot, in.Boot)
		}
	}
	return boot
}

// markDeparted marks the instances of a machine as departed, except for those that booted after the given boot: a machine may be
// back before the outcome of its order is known. Only a later boot counts as the machine's return.
func (s *Scheduler) markDeparted(machine string, endedBoot int64) {
	for _, in := range s.instances.byMachine[machine] {
		if in.Boot <= endedBoot {
			in.departed = true
		}
	}
}
