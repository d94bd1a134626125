package scheduler

import "time"

// Timing of the work on an instance that leaves.
const (
	drainHurry = 2 * time.Second // a standing task starts elsewhere within this time, so the budget of its step no longer holds it
	drainSave  = time.Second     // a stop, its look and a commit take a fraction of this
)

// tickDraining moves work off instances that will end: standing tasks within the availability budgets of their steps as
// long as there is time, and tasks that save their progress just before the end if they would not be done by then.
func (s *Scheduler) tickDraining() {
	for _, in := range s.instances {
		if !in.Draining || in.departed || in.misses > 0 || !in.looked {
			continue
		}
		left := in.Left - (s.now - in.announce)
		for _, r := range in.runs {
			if r.stopping || r.progress != running {
				continue
			}
			step := r.job.step(r.task.Place)
			switch {
			case step.Gang:
			case step.Standing && s.roomElsewhere(r, step) && (left < drainHurry || s.mayStop(r, step)):
				s.stop(in, r, "instance drains")
			case !step.Standing && step.Checkpoints && left < drainSave && r.remaining(s.now) > left:
				s.stop(in, r, "instance drains")
			}
		}
	}
}

// remaining estimates from its progress how long a run still takes.
func (r *run) remaining(now time.Duration) time.Duration {
	if r.percent <= 0 {
		return now - r.since
	}
	return time.Duration(float64(now-r.since) * float64(100-r.percent) / float64(r.percent))
}
