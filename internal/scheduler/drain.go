package scheduler

import "time"

// Timing of the work on an instance that leaves.
const (
	drainServiceWindow    = 2 * time.Second // a standing task starts elsewhere within this time, so the budget of its step no longer holds it
	drainCheckpointWindow = time.Second     // a stop, its look and a commit take a fraction of this
)

// tickDraining moves work off instances that will end: standing tasks within the availability budgets of their steps as
// long as there is time, and tasks that save their progress just before the end if they would not be done by then.
func (s *Scheduler) evacuateDraining() {
	for _, in := range s.instances {
		if !in.Draining || in.departed || in.failedPolls > 0 || !in.polled {
			continue
		}
		remaining := in.TimeLeft - (s.now - in.announcedAt)
		for _, r := range in.runs {
			if r.stopping || r.status != statusRunning {
				continue
			}
			step := r.job.step(r.task.Position)
			switch {
			case step.Gang:
			case step.Service && s.fitsElsewhere(r, step) && (remaining < drainServiceWindow || s.budgetAllowsStop(r, step)):
				s.stopRun(in, r, "instance drains")
			case !step.Service && step.Checkpointing && remaining < drainCheckpointWindow && r.remainingTime(s.now) > remaining:
				s.stopRun(in, r, "instance drains")
			}
		}
	}
}

// remaining estimates from its progress how long a run still takes.
func (r *run) remainingTime(now time.Duration) time.Duration {
	if r.percent <= 0 {
		return now - r.orderedAt
	}
	return time.Duration(float64(now-r.orderedAt) * float64(100-r.percent) / float64(r.percent))
}
