package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Timing of maintenance waves.
const (
	waveStartDelay           = 4 * time.Second        // instances announce themselves every 1.5 s, so all are known by then
	maintenanceRetryInterval = 700 * time.Millisecond // the platform accepts few calls a second
	waveStopShare            = 0.5                    // part of the time limit after which batch runs are stopped
	machineReturnTimeout     = 8 * time.Second        // a moved or restarted machine is back well before
	busyMachineBackoff       = 3 * time.Second        // a machine that is down may be back by then
)

// wave is the state of one maintenance wave.
type wave struct {
	workload.Wave
	startedAt  time.Duration
	started    map[string]bool
	inProgress map[string]*maintenance
	// retryAt is when maintenance of a busy machine may be requested again.
	retryAt map[string]time.Duration
}

// maintenance is the state of a machine that is being evacuated or maintained.
type maintenance struct {
	instance    *instance
	endedBoot   int64
	startedAt   time.Duration
	requestedAt time.Duration
	inFlight    bool
	// uncertain is set once an order was not answered; it may have been carried out.
	uncertain bool
	done      bool
}

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
	s.waves[record.Wave.Number] = &wave{Wave: record.Wave, startedAt: startedAt, started: started, inProgress: map[string]*maintenance{}, retryAt: map[string]time.Duration{}}
}

func (s *Scheduler) tickWaves() {
	if s.now-s.options.LeadingSince < waveStartDelay {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		s.tickWave(s.waves[n])
	}
}

func (s *Scheduler) tickWave(w *wave) {
	for _, machine := range slices.Sorted(maps.Keys(w.inProgress)) {
		s.tickMaintenance(w, machine, w.inProgress[machine])
	}
	for len(w.inProgress) < max(1, w.MaxConcurrent) {
		machine, in := s.nextMachine(w)
		if machine == "" {
			return
		}
		m := &maintenance{startedAt: s.now, instance: in}
		if in != nil {
			in.evacuating = true
		}
		w.inProgress[machine] = m
	}
}

// nextMachine returns the next machine of the wave and its instance: a machine on standby, else one in a drained data centre, else the one with the fewest
// runs, else one whose instance is missing. The name is empty if there is none.
func (s *Scheduler) nextMachine(w *wave) (string, *instance) {
	var best *instance
	for _, machine := range w.Machines {
		if w.started[machine] || w.inProgress[machine] != nil || s.moves[machine] != nil || s.now < w.retryAt[machine] {
			continue
		}
		if s.standbyAvailable(machine) {
			return machine, nil
		}
		in := s.instanceOn(machine)
		if in == nil || !in.polled || in.failedPolls > 0 || in.evacuating || in.Draining {
			continue
		}
		if best == nil || cmp.Or(s.compareDrained(in, best), cmp.Compare(len(in.runs), len(best.runs)), cmp.Compare(in.ID, best.ID)) < 0 {
			best = in
		}
	}
	if best == nil {
		return s.missingMachine(w), nil
	}
	return best.Machine, best
}

// missingMachine returns a machine of the wave that has no instance machineReturnTimeout after the wave began. The outcome
// of its maintenance order shows whether the machine still exists.
func (s *Scheduler) missingMachine(w *wave) string {
	if s.now-w.startedAt < machineReturnTimeout {
		return ""
	}
	for _, machine := range w.Machines {
		if !w.started[machine] && w.inProgress[machine] == nil && s.moves[machine] == nil && s.now >= w.retryAt[machine] && s.instanceOn(machine) == nil {
			return machine
		}
	}
	return ""
}

func (s *Scheduler) instanceOn(machine string) *instance {
	for _, in := range s.instances.byMachine[machine] {
		if !in.departed {
			return in
		}
	}
	return nil
}

func (s *Scheduler) tickMaintenance(w *wave, machine string, m *maintenance) {
	if m.done {
		if in := s.instanceOn(machine); in != nil && in.Boot > m.endedBoot || s.now-m.startedAt > machineReturnTimeout {
			delete(w.inProgress, machine)
		}
		return
	}
	if in := s.instanceOn(machine); in != nil && m.instance != nil && in != m.instance && !m.inFlight && !m.uncertain {
		delete(w.inProgress, machine) // a later boot has to be evacuated first
		return
	}
	if in := m.instance; in != nil && s.instances.byID[in.ID] == in {
		s.evacuate(w, in)
		if len(in.runs) > 0 || in.failedPolls > 0 || !s.endsCommitted(in) {
			return
		}
	}
	if m.inFlight || s.now-m.requestedAt < maintenanceRetryInterval || !s.machineBudget.takeMaintenance(s.now) {
		return
	}
	if m.instance != nil && s.instances.byID[m.instance.ID] == m.instance {
		s.deregisterEvacuated(m.instance)
	}
	if m.requestedAt == 0 {
		m.endedBoot = s.latestBoot(machine)
	}
	m.inFlight = true
	m.requestedAt = s.now
	s.machineOrders = append(s.machineOrders, MachineOrder{Machine: machine, Wave: w.Number})
}

// evacuate empties an instance. Service runs are stopped within the availability budgets of their steps; batch runs may
// end by themselves, and checkpointing ones outside gangs are stopped once waveStopShare of the wave's time limit has passed.
func (s *Scheduler) evacuate(w *wave, in *instance) {
	in.evacuating = true
	stopBatch := s.now-w.startedAt > time.Duration(waveStopShare*float64(w.TimeLimit))
	for _, r := range in.runs {
		if r.stopping || r.status != statusRunning {
			continue
		}
		step := r.job.step(r.task.Position)
		switch {
		case step.Service && s.budgetAllowsStop(r, step):
			s.stopRun(in, r, "maintenance")
		case !step.Service && stopBatch && step.Checkpointing && !step.Gang:
			s.stopRun(in, r, "maintenance")
		}
	}
}

// budgetAllowsStop reports whether the availability budget of a service step allows stopping the run now and its task has
// capacity on another instance.
func (s *Scheduler) budgetAllowsStop(r *run, step *workload.Step) bool {
	unavailable := 0
	st := r.job.stage(r.task.Position)
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.run == r {
			continue
		}
		if t.run == nil || t.run.stopping || t.run.percent < 100 || t.instance.failedPolls > 0 {
			unavailable++
		}
	}
	return unavailable < max(1, step.MaxUnavailable) && s.fitsElsewhere(r)
}

// fitsElsewhere reports whether a schedulable instance of the pool can take the task of the run.
func (s *Scheduler) fitsElsewhere(r *run) bool {
	st := r.job.stage(r.task.Position)
	for _, in := range s.instances.sorted {
		if in.Pool == r.job.pool && s.schedulable(in) && in.admits(st) {
			return true
		}
	}
	return false
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
		m.startedAt = s.now
		s.markDeparted(order.Machine, m.endedBoot)
	case MachineGone:
		delete(w.inProgress, order.Machine)
	case MachineBusy:
		w.retryAt[order.Machine] = s.now + busyMachineBackoff
		if m.instance == nil {
			delete(w.inProgress, order.Machine)
		}
		return false
	default:
		m.uncertain = m.uncertain || outcome == MachineUncertain
		return false
	}
	w.started[order.Machine] = true
	return true
}

// latestBoot returns the latest known boot on a machine, which the first order of a move or maintenance ends.
func (s *Scheduler) latestBoot(machine string) (boot int64) {
	for _, in := range s.instances.byMachine[machine] {
		boot = max(boot, in.Boot)
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
