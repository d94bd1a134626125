package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Timing of maintenance.
const (
	waveSettle  = 4 * time.Second        // instances announce themselves every 1.5 s, so all of them are known by then
	waveRetry   = 700 * time.Millisecond // the platform takes few calls a second
	waveHurry   = 0.5                    // part of a wave's time that may pass before running work is stopped for it
	waveUnknown = 8 * time.Second        // a machine that moves or restarts is back well before
	waveAgain   = 3 * time.Second        // a machine that is down may be back after this
)

// wave is the progress of one maintenance wave.
type wave struct {
	workload.Wave
	since   time.Duration
	begun   map[string]bool
	current map[string]*upkeep
	// again is when a machine that was busy is asked for next.
	again map[string]time.Duration
}

// upkeep is the maintenance of one machine that is under way.
type upkeep struct {
	instance *instance
	boot     int64
	since    time.Duration
	asked    time.Duration
	inFlight bool
	done     bool
}

// AddWave takes a committed wave.
func (s *Scheduler) AddWave(now time.Duration, wall int64, r *state.WaveRecord) {
	if s.waves[r.Wave.Number] != nil {
		return
	}
	since := now - time.Duration(wall-int64(r.Since))*time.Millisecond
	begun := maps.Clone(r.Begun)
	if begun == nil {
		begun = map[string]bool{}
	}
	s.waves[r.Wave.Number] = &wave{Wave: r.Wave, since: since, begun: begun, current: map[string]*upkeep{}, again: map[string]time.Duration{}}
}

func (s *Scheduler) tickWaves() {
	if s.now-s.options.Led < waveSettle {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		s.tickWave(s.waves[n])
	}
}

func (s *Scheduler) tickWave(w *wave) {
	for machine, u := range w.current {
		s.tickUpkeep(w, machine, u)
	}
	for len(w.current) < max(1, w.AtOnce) {
		machine, in := s.nextMachine(w)
		if machine == "" {
			return
		}
		u := &upkeep{since: s.now, instance: in}
		if in != nil {
			u.boot = in.Boot
			in.evacuate = true
		}
		w.current[machine] = u
	}
}

// nextMachine returns the machine of the wave with the least work, or nothing.
func (s *Scheduler) nextMachine(w *wave) (string, *instance) {
	var best *instance
	for _, machine := range w.Machines {
		if w.begun[machine] || w.current[machine] != nil || s.moves[machine] != nil || s.now < w.again[machine] {
			continue
		}
		if s.onStandby(machine) {
			return machine, nil
		}
		in := s.onMachine(machine)
		if in == nil || !in.looked || in.misses > 0 || in.evacuate || in.Draining {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(len(in.runs), len(best.runs)), cmp.Compare(in.ID, best.ID)) < 0 {
			best = in
		}
	}
	if best == nil {
		return s.unknownMachine(w), nil
	}
	return best.Machine, best
}

// unknownMachine returns a machine that has no instance for so long that the platform must tell what became of it.
func (s *Scheduler) unknownMachine(w *wave) string {
	if s.now-w.since < waveUnknown {
		return ""
	}
	for _, machine := range w.Machines {
		if !w.begun[machine] && w.current[machine] == nil && s.moves[machine] == nil && s.now >= w.again[machine] && s.onMachine(machine) == nil {
			return machine
		}
	}
	return ""
}

func (s *Scheduler) onMachine(machine string) *instance {
	for _, in := range s.instances {
		if in.Machine == machine && !in.departed {
			return in
		}
	}
	return nil
}

func (s *Scheduler) tickUpkeep(w *wave, machine string, u *upkeep) {
	if u.done {
		if in := s.onMachine(machine); in != nil && in.Boot > u.boot || s.now-u.since > waveUnknown {
			delete(w.current, machine)
		}
		return
	}
	if in := u.instance; in != nil && s.instances[in.ID] == in {
		s.evacuate(w, in)
		if len(in.runs) > 0 || in.misses > 0 {
			return
		}
	}
	if u.inFlight || s.now-u.asked < waveRetry {
		return
	}
	if u.instance != nil && s.instances[u.instance.ID] == u.instance {
		s.retire(u.instance)
	}
	u.inFlight = true
	u.asked = s.now
	s.machineOrders = append(s.machineOrders, MachineOrder{Machine: machine, Wave: w.Number})
}

// evacuate moves work off an instance: what lasts within the availability budget of its step, other work by waiting
// for its end as long as the wave allows.
func (s *Scheduler) evacuate(w *wave, in *instance) {
	in.evacuate = true
	hurry := s.now-w.since > time.Duration(waveHurry*float64(w.Within))
	for _, r := range in.runs {
		if r.stopping || r.progress != running {
			continue
		}
		step := r.job.step(r.task.Place)
		switch {
		case step.Standing && s.mayStop(r, step):
			s.stop(in, r, "maintenance")
		case !step.Standing && hurry && step.Checkpoints && !step.Gang:
			s.stop(in, r, "maintenance")
		}
	}
}

// mayStop reports whether the availability budget of a standing task's step allows a planned stop now.
func (s *Scheduler) mayStop(r *run, step *workload.Step) bool {
	away := 0
	st := r.job.stage(r.task.Place)
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.run == r {
			continue
		}
		if t.run == nil || t.run.stopping || t.run.percent < 100 || t.on.misses > 0 {
			away++
		}
	}
	return away < max(1, step.MayMiss) && s.roomElsewhere(r, step)
}

func (s *Scheduler) roomElsewhere(r *run, step *workload.Step) bool {
	c := candidate{job: r.job, round: r.task.Place.Occurrence(), stage: r.job.stage(r.task.Place)}
	for _, in := range s.instances {
		if in.Pool == r.job.pool && s.open(in) && in.admits(c, step) {
			return true
		}
	}
	return false
}

// upkeepAnswered takes the outcome of an order of maintenance and reports whether it has begun.
func (s *Scheduler) upkeepAnswered(o MachineOrder, outcome MachineOutcome) (begun bool) {
	w := s.waves[o.Wave]
	if w == nil || w.current[o.Machine] == nil {
		return false
	}
	u := w.current[o.Machine]
	u.inFlight = false
	switch outcome {
	case MachineDone:
		u.done = true
		u.since = s.now
		u.boot = max(u.boot, s.takenDown(o.Machine))
	case MachineGone:
		delete(w.current, o.Machine)
	case MachineBusy:
		w.again[o.Machine] = s.now + waveAgain
		if u.instance == nil {
			delete(w.current, o.Machine)
		}
		return false
	default:
		return false
	}
	w.begun[o.Machine] = true
	return true
}

// takenDown notes the boot that a planned stop has ended, so that only a later one counts as the machine's return.
func (s *Scheduler) takenDown(machine string) (boot int64) {
	for _, in := range s.instances {
		if in.Machine == machine {
			in.departed = true
			boot = max(boot, in.Boot)
		}
	}
	return boot
}
