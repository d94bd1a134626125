package scheduler

// Shares of a serving task's tail target between which filling tasks are slowed down or let go on.
const (
	paceDownAt = 0.85 // the tail is a rough figure of the last half second, so act before the target
	paceUpAt   = 0.6
	paceStep   = 20 // percent; a full range takes five looks
	paceHalf   = 2
)

// pace slows filling tasks down while a serving task beside them nears its target, and lets them go on slowly.
func (s *Scheduler) pace(in *instance) {
	worst, serves, fills := 0.0, false, false
	for _, r := range in.runs {
		step := r.job.step(r.task.Place)
		fills = fills || step.Fills
		if step.TailTarget > 0 && r.percent >= 100 {
			serves = true
			worst = max(worst, float64(r.tail)/float64(step.TailTarget.Milliseconds()))
		}
	}
	if !fills {
		in.paced = 100
		return
	}
	switch {
	case !serves || worst < paceUpAt:
		in.paced = min(100, in.paced+paceStep)
	case worst > 1:
		in.paced = 0
	case worst > paceDownAt:
		in.paced /= paceHalf
	}
	s.sendPace(in)
}

func (s *Scheduler) sendPace(in *instance) {
	for _, r := range in.runs {
		if !r.job.step(r.task.Place).Fills || r.pace == in.paced || r.progress != running || r.stopping {
			continue
		}
		r.pace = in.paced
		s.note("run paced", r, in, "tail of a serving task")
		s.orders = append(s.orders, Order{
			Kind: Pace, Instance: in.ID, Address: in.Address, Task: r.task, Run: r.number, Percent: in.paced, Fence: s.options.Fence,
		})
	}
}
