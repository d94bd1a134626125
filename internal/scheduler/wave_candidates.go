package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/maintainer"
)

// waveStep identifies a service step of one occurrence of a job.
type waveStep = *stage

// waveView returns what the decisions of a wave depend on now.
func (s *Scheduler) waveView(w *wave) maintainer.View {
	view := maintainer.View{Now: s.now, Total: len(w.Machines), Begun: len(w.started), Down: s.inheritedDown(w), Surplus: map[fleet.PoolID]int{}}
	for _, m := range w.inProgress {
		if m.holdsPlace() {
			view.Down++
		}
	}
	view.StandbySurplus = s.usableStandbyMachines()
	for pool, d := range s.demands {
		view.Surplus[pool] = d.unneededInstances()
		view.StandbySurplus -= d.expectedCalls(w.maintainer.Round())
	}
	steps := map[waveStep]maintainer.StepID{}
	for _, machine := range w.Machines {
		m := w.inProgress[machine]
		if w.started[machine] || m != nil && m.inFlight {
			continue
		}
		c := s.waveCandidate(w, machine, steps)
		c.HoldsPlace = m != nil && m.uncertain
		view.Candidates = append(view.Candidates, c)
	}
	return view
}

// waveCandidate describes a machine of a wave.
func (s *Scheduler) waveCandidate(w *wave, machine string, steps map[waveStep]maintainer.StepID) maintainer.Candidate {
	c := maintainer.Candidate{Machine: machine, Evacuating: w.inProgress[machine] != nil}
	in := s.instanceOn(machine)
	if in != nil {
		delete(w.missingSince, machine)
		in.awaitsMaintenance = true
		c.Pool = in.Pool
	}
	c.Drained = s.machineDrained(machine)
	switch {
	case s.moves[machine] != nil || s.maintainedByOther(w, machine):
		c.Obstacle = maintainer.Moving
	case s.now < w.retryAt[machine]:
		c.Obstacle = maintainer.Refused
	case in == nil && s.standbyAvailable(machine):
		c.Standby, c.Empty = true, true
	case in == nil:
		s.describeMissing(w, &c)
	default:
		s.describeInstance(w, in, &c, steps)
	}
	return c
}

// maintainedByOther reports whether another wave evacuates or maintains the machine.
func (s *Scheduler) maintainedByOther(w *wave, machine string) bool {
	for _, other := range s.waves {
		if other != w && other.inProgress[machine] != nil {
			return true
		}
	}
	return false
}

// describeMissing describes a machine without an instance. The outcome of its maintenance order shows whether it still exists.
func (s *Scheduler) describeMissing(w *wave, c *maintainer.Candidate) {
	since, known := w.missingSince[c.Machine]
	if !known {
		since = s.now
		w.missingSince[c.Machine] = s.now
	}
	c.Doubtful, c.Empty = true, true
	if m := s.machines[c.Machine]; s.now-since < missingMachineDelay || m != nil && s.now < m.backoffUntil {
		c.Obstacle = maintainer.Missing
	}
}

// describeInstance describes a machine with an instance that has not departed.
func (s *Scheduler) describeInstance(w *wave, in *instance, c *maintainer.Candidate, steps map[waveStep]maintainer.StepID) {
	m := w.inProgress[c.Machine]
	c.Evacuating = m != nil && m.instance == in
	c.Empty = len(in.runs) == 0 && !in.hasOrphans && s.endsCommitted(in)
	c.Doubtful = in.failedPolls > 0 || in.Draining
	switch {
	case in.evacuating && !c.Evacuating:
		c.Obstacle = maintainer.Moving
	case in.failedPolls > 0 && (!c.Empty || s.now < s.leasesExpiredAt(in)):
		c.Obstacle = maintainer.Unreachable
	case in.failedPolls == 0 && !in.polled:
		c.Obstacle = maintainer.Unsettled
	case in.Draining && !c.Empty:
		c.Obstacle = maintainer.Leaving
	}
	if c.Obstacle == maintainer.Unobstructed || c.Obstacle == maintainer.Leaving {
		s.describeRuns(in, c, steps)
	}
}

// describeRuns adds the runs of an instance to the description of its machine.
func (s *Scheduler) describeRuns(in *instance, c *maintainer.Candidate, steps map[waveStep]maintainer.StepID) {
	for _, r := range in.runs {
		step := r.job.step(r.task.Position)
		switch {
		case r.stopping:
		case step.Service:
			c.AddServiceTask(stepID(steps, r), step.MaxUnavailable)
		default:
			c.BatchLeft = max(c.BatchLeft, s.expectedRemaining(r))
		}
	}
}

// stepID numbers the service steps of one decision.
func stepID(steps map[waveStep]maintainer.StepID, r *run) maintainer.StepID {
	st := r.job.stage(r.task.Position)
	id, known := steps[st]
	if !known {
		id = maintainer.StepID(len(steps))
		steps[st] = id
	}
	return id
}

// minProgressForEstimate is the percentage from which the progress of a run tells more of its end than the estimate of its step.
const minProgressForEstimate = 5

// expectedRemaining returns the expected time to the end of a batch run.
func (s *Scheduler) expectedRemaining(r *run) time.Duration {
	if r.percent >= minProgressForEstimate {
		return r.remainingTime(s.now)
	}
	estimate := r.job.step(r.task.Position).Estimate
	if estimate == 0 {
		estimate = defaultStepEstimate
	}
	return max(estimate-(s.now-r.orderedAt), s.now-r.orderedAt)
}

// inheritedDown returns how many machines of the wave may be down because of orders of earlier leaders. Orders that the platform
// receives after one of this term are refused, so a machine that has answered since then stays up.
func (s *Scheduler) inheritedDown(w *wave) (down int) {
	if !w.inherited || s.now-s.options.LeadingSince >= inheritedDownWindow {
		return 0
	}
	for _, machine := range w.Machines {
		if w.inProgress[machine] == nil && !s.standbyAvailable(machine) && !s.answersThisTerm(machine) {
			down++
		}
	}
	return down
}

// answersThisTerm reports whether the instance of a machine has answered this leader and cannot be shut down by an earlier one.
func (s *Scheduler) answersThisTerm(machine string) bool {
	in := s.instanceOn(machine)
	if in == nil || !in.polled || in.failedPolls > 0 {
		return false
	}
	return in.fromCommitted || s.platformFencedAt > 0 && in.clockReadAt > s.platformFencedAt
}

// mayProbePlatform reports whether a maintenance order may be sent: only one until the platform has answered an order of this term
// and refuses those of earlier terms, or until they are too old to be received.
func (s *Scheduler) mayProbePlatform() bool {
	if s.platformFencedAt > 0 || s.now-s.options.LeadingSince >= inheritedDownWindow {
		return true
	}
	for _, w := range s.waves {
		for _, m := range w.inProgress {
			if w.inherited && m.inFlight {
				return false
			}
		}
	}
	return true
}
