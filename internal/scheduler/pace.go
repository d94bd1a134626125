package scheduler

// Shares of a serving task's tail target between which filling tasks are slowed down or let go on.
const (
	throttleAboveRatio = 0.85 // the tail is a rough figure of the last half second, so act before the target
	releaseBelowRatio  = 0.6
	releaseStepPercent = 20 // percent; a full range takes five looks
	throttleDivisor    = 2
)

// pace slows filling tasks down while a serving task beside them nears its target, and lets them go on slowly.
func (s *Scheduler) updateThrottle(in *instance) {
	worstTailRatio, hasServing, hasBestEffort := 0.0, false, false
	for _, r := range in.runs {
		step := r.job.step(r.task.Position)
		hasBestEffort = hasBestEffort || step.BestEffort
		if step.TailLatencyTarget > 0 && r.percent >= 100 {
			hasServing = true
			worstTailRatio = max(worstTailRatio, float64(r.tailMillis)/float64(step.TailLatencyTarget.Milliseconds()))
		}
	}
	if !hasBestEffort {
		in.throttlePercent = 100
		return
	}
	switch {
	case !hasServing || worstTailRatio < releaseBelowRatio:
		in.throttlePercent = min(100, in.throttlePercent+releaseStepPercent)
	case worstTailRatio > 1:
		in.throttlePercent = 0
	case worstTailRatio > throttleAboveRatio:
		in.throttlePercent /= throttleDivisor
	}
	s.sendThrottle(in)
}

func (s *Scheduler) sendThrottle(in *instance) {
	for _, r := range in.runs {
		if !r.job.step(r.task.Position).BestEffort || r.throttlePercent == in.throttlePercent || r.status != statusRunning || r.stopping {
			continue
		}
		r.throttlePercent = in.throttlePercent
		s.logRunDecision("run paced", r, in, "tail of a serving task")
		s.orders = append(s.orders, Order{
			Kind: Throttle, Instance: in.ID, Address: in.Address, Task: r.task, Run: r.number, ThrottlePercent: in.throttlePercent, Fence: s.options.Fence,
		})
	}
}
