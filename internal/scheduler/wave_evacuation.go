package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Timing of the relocation of service tasks from machines that are being evacuated.
const (
	reservationTime   = 400 * time.Millisecond // a stop, the report of the end and the next plan
	relocationTimeout = time.Second            // most batch tasks end within it; after that a machine that awaits maintenance will do
)

// evacuate empties a machine. Service runs are stopped within the availability budgets of their steps; batch runs may end by
// themselves. In a hurry, those outside gangs are stopped if they are checkpointing or would hold the machine beyond the time limit.
func (s *Scheduler) evacuate(w *wave, m *maintenance, hurry bool) {
	in := m.instance
	if in == nil || s.instances.byID[in.ID] != in || m.inFlight || m.done {
		return
	}
	in.evacuating = true
	wasBlocked := m.blocked
	m.blocked = false
	for _, r := range in.runsInOrder() {
		if r.stopping || r.status != statusRunning {
			continue
		}
		step := r.job.step(r.task.Position)
		switch {
		case step.Service:
			s.relocate(m, r, step, hurry)
		case hurry && !step.Gang && (step.Checkpointing || s.outlastsWave(w, r)):
			s.stopRun(in, r, "maintenance")
		}
	}
	if !m.blocked || !wasBlocked {
		m.blockedSince = s.now
	}
}

// outlastsWave reports whether a run is shown by its progress to end too late for the maintenance of its machine, and its job loses
// nothing if it starts again elsewhere: a few runs take many times their expected time, and one of them would keep the wave from being
// done within its time limit.
func (s *Scheduler) outlastsWave(w *wave, r *run) bool {
	if r.percent < minProgressForEstimate || s.now+r.remainingTime(s.now) <= w.maintainer.LatestOrder() {
		return false
	}
	slack := s.timelinessOf(r.job).state.Slack()
	return slack <= 0 || slack > s.now-r.orderedAt+reservationTime
}

// runsInOrder returns the runs of an instance ordered by number.
func (in *instance) runsInOrder() []*run {
	return slices.SortedFunc(maps.Values(in.runs), func(a, b *run) int { return cmp.Compare(a.number, b.number) })
}

// relocate stops a service run if the budget of its step allows it and another instance has capacity for its task. Otherwise it
// reserves capacity: batch tasks would take all that becomes free in a full pool. In a hurry the budget alone decides.
func (s *Scheduler) relocate(m *maintenance, r *run, step *workload.Step, hurry bool) {
	if !s.budgetLeft(r, step) {
		return
	}
	target, fits := s.relocationTarget(r)
	if target != nil {
		s.reserve(target, r.claim)
	}
	if !fits && (target == nil || s.now-m.blockedSince > relocationTimeout) {
		fits = s.fitsElsewhere(r)
	}
	if !fits && !(hurry && step.MaxUnavailable > 0) {
		m.blocked = true
		s.demandOf(r.job.pool).unplacedAt = s.now
		return
	}
	s.stopRun(m.instance, r, "maintenance")
}

// relocationTarget returns an instance that suits the task of a run and does not await maintenance itself: one with capacity, else
// of those that have it once their batch tasks have ended the one that is closest to it.
func (s *Scheduler) relocationTarget(r *run) (target *instance, fits bool) {
	st := r.job.stage(r.task.Position)
	least := 0.0
	for _, in := range s.instances.sorted {
		if in.Pool != r.job.pool || in.awaitsMaintenance || !s.schedulable(in) || in.suspectRuns > 0 || !in.suits(st) {
			continue
		}
		claim := st.claim.Add(in.reservedClaim)
		if in.free().Fits(claim) {
			return in, true
		}
		if !in.Capacity.Fits(claim.Add(in.serviceClaimed)) {
			continue
		}
		if shortfall := in.shortfall(claim); target == nil || shortfall < least {
			target, least = in, shortfall
		}
	}
	return target, false
}

// reserve keeps batch and best-effort tasks off an instance.
func (s *Scheduler) reserve(in *instance, claim workload.Resources) {
	if in.reservedUntil == 0 {
		s.reserved = append(s.reserved, in)
	}
	in.reservedUntil = s.now + reservationTime
	in.reservedClaim = in.reservedClaim.Add(claim)
}

// renewReservations ends the reservations whose time is over. The others are claimed anew by the runs that need them.
func (s *Scheduler) renewReservations() {
	s.reserved = slices.DeleteFunc(s.reserved, func(in *instance) bool {
		in.reservedClaim = workload.Resources{}
		if s.now < in.reservedUntil {
			return false
		}
		in.reservedUntil = 0
		return true
	})
}

// budgetAllowsStop reports whether the availability budget of a service step allows stopping the run now and its task has
// capacity on another instance.
func (s *Scheduler) budgetAllowsStop(r *run, step *workload.Step) bool {
	return s.budgetLeft(r, step) && s.fitsElsewhere(r)
}

// budgetLeft reports whether the availability budget of a service step allows stopping the run now.
func (s *Scheduler) budgetLeft(r *run, step *workload.Step) bool {
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
	return unavailable < max(1, step.MaxUnavailable)
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
