package scheduler

import "github.com/sapphiresail/sapphiresail/internal/fleet"

// closeAfter is how many looks in a row an instance leaves unanswered before the committed state says that nothing is
// started there; a single lost answer is ordinary.
const cordonFailedPolls = 2

// close asks for a silent instance to be closed in the committed state: a later leader then knows that jobs which were
// accepted after that can't run there, and starts them without waiting for the instance.
func (s *Scheduler) cordon(in *instance) {
	if in.failedPolls < cordonFailedPolls || in.cordoned || !in.enrolled {
		return
	}
	in.cordoned = true
	s.cordons = append(s.cordons, in.ID)
	s.decisions = append(s.decisions, Decision{What: "instance closed", Instance: in.ID, Machine: in.Machine, Reason: "two looks without an answer"})
}

// reopen asks for an instance that answers to be opened in the committed state.
func (s *Scheduler) uncordon(in *instance) {
	if !in.cordoned || in.uncordoning || !in.enrolled {
		return
	}
	in.uncordoning = true
	s.uncordons = append(s.uncordons, in.ID)
	s.decisions = append(s.decisions, Decision{What: "instance opened", Instance: in.ID, Machine: in.Machine, Reason: "it answers"})
}

// Closings returns the instances to be closed in the committed state.
func (s *Scheduler) TakeCordons() []fleet.InstanceID {
	list := s.cordons
	s.cordons = nil
	return list
}

// Reopenings returns the instances to be opened in the committed state before anything starts there; Reopened takes them back.
func (s *Scheduler) TakeUncordons() []fleet.InstanceID {
	list := s.uncordons
	s.uncordons = nil
	return list
}

// Reopened records that the committed state says that instances are open.
func (s *Scheduler) ConfirmUncordoned(list []fleet.InstanceID) {
	for _, id := range list {
		if in := s.instances[id]; in != nil && in.uncordoning {
			in.cordoned, in.uncordoning = false, false
		}
	}
}
