package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// reservationTime is how long an instance is kept free for a service task that leaves a machine: its stop, the report of its end
// and the next plan.
const reservationTime = 400 * time.Millisecond

// reservation keeps batch tasks off an instance until a time.
type reservation struct {
	instance *instance
	until    time.Duration
}

// evacuate empties a machine. Service runs are stopped within the availability budgets of their steps; batch runs may end by
// themselves, and checkpointing ones outside gangs are stopped if stopBatch is set.
func (s *Scheduler) evacuate(m *maintenance, stopBatch bool) {
	in := m.instance
	if in == nil || s.instances.byID[in.ID] != in || m.inFlight || m.done {
		return
	}
	in.evacuating = true
	for _, r := range in.runs {
		if r.stopping || r.status != statusRunning {
			continue
		}
		step := r.job.step(r.task.Position)
		switch {
		case step.Service:
			s.relocate(in, r, step)
		case stopBatch && step.Checkpointing && !step.Gang:
			s.stopRun(in, r, "maintenance")
		}
	}
}

// relocate stops a service run if the budget of its step allows it and another instance has capacity for its task. Otherwise it
// reserves capacity: batch tasks would take all that becomes free in a full pool.
func (s *Scheduler) relocate(in *instance, r *run, step *workload.Step) {
	if !s.budgetLeft(r, step) {
		return
	}
	target, fits := s.relocationTarget(r)
	if target == nil {
		if s.fitsElsewhere(r) {
			s.stopRun(in, r, "maintenance")
		} else {
			s.demandOf(r.job.pool).unplacedAt = s.now
		}
		return
	}
	s.reserve(target)
	if fits {
		s.stopRun(in, r, "maintenance")
		return
	}
	s.demandOf(r.job.pool).unplacedAt = s.now
}

// relocationTarget returns an instance that suits the task of a run and does not await maintenance itself: one with capacity, else
// the one that is closest to having it.
func (s *Scheduler) relocationTarget(r *run) (target *instance, fits bool) {
	st := r.job.stage(r.task.Position)
	least := 0.0
	for _, in := range s.instances.sorted {
		if in.Pool != r.job.pool || in.awaitsMaintenance || !s.schedulable(in) || in.suspectRuns > 0 || !in.Capacity.Fits(st.claim) || !in.suits(st) {
			continue
		}
		if in.free().Fits(st.claim) {
			return in, true
		}
		if shortfall := in.shortfall(st.claim); target == nil || shortfall < least {
			target, least = in, shortfall
		}
	}
	return target, false
}

func (s *Scheduler) reserve(in *instance) {
	if !in.reserved {
		in.reserved = true
		s.reservations = append(s.reservations, reservation{in, s.now + reservationTime})
	}
}

// releaseReservations ends the reservations whose time is over.
func (s *Scheduler) releaseReservations() {
	kept := s.reservations[:0]
	for _, r := range s.reservations {
		if s.now < r.until {
			kept = append(kept, r)
		} else {
			r.instance.reserved = false
		}
	}
	s.reservations = kept
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
