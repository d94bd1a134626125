package scheduler

// Thresholds of the ratio between a service task's tail latency and its target, and steps of the throttle.
const (
	throttleAboveRatio = 0.85 // the tail latency is a rough figure over the last 0.5 s, so this is below the target
	releaseBelowRatio  = 0.6
	releaseStepPercent = 20 // percent; the full range takes five polls
	throttleDivisor    = 2
	throttleUnset      = -1 // differs from every throttle, so that the next report sends it again
)

// updateThrottle throttles the best-effort runs of an instance as the tail latency of a service task on it approaches its
// target, pauses them above the target, and releases them step by step.
func (s *Scheduler) updateThrottle(in *instance) {
	worstTailRatio, hasService, hasBestEffort := 0.0, false, false
	for _, r := range in.runs {
		step := r.job.step(r.task.Position)
		hasBestEffort = hasBestEffort || step.BestEffort
		if step.TailLatencyTarget > 0 && r.percent >= 100 {
			hasService = true
			worstTailRatio = max(worstTailRatio, float64(r.tailMillis)/float64(step.TailLatencyTarget.Milliseconds()))
		}
	}
	if !hasBestEffort {
		in.throttlePercent = 100
		return
	}
	switch {
	case !hasService || worstTailRatio < releaseBelowRatio:
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
		s.logRunDecision("run paced", r, in, "tail latency of a service task")
		s.orders = append(s.orders, Order{
			Kind: Throttle, Instance: in.ID, Boot: in.Boot, Address: in.Address, Task: r.task, Run: r.number, ThrottlePercent: in.throttlePercent, Fence: s.options.Fence,
		})
	}
}
