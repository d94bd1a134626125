package scheduler

import "github.com/sapphiresail/sapphiresail/internal/fleet"

// closeAfter is how many looks in a row an instance leaves unanswered before the committed state says that nothing is
// started there; a single lost answer is ordinary.
const closeAfter = 2

// close asks for a silent instance to be closed in the committed state: a later leader then knows that jobs which were
// accepted after that can't run there, and starts them without waiting for the instance.
func (s *Scheduler) close(in *instance) {
	if in.misses < closeAfter || in.closed || !in.enrolled {
		return
	}
	in.closed = true
	s.closings = append(s.closings, in.ID)
	s.decisions = append(s.decisions, Decision{What: "instance closed", Instance: in.ID, Machine: in.Machine, Reason: "two looks without an answer"})
}

// reopen asks for an instance that answers to be opened in the committed state.
func (s *Scheduler) reopen(in *instance) {
	if !in.closed || in.reopening || !in.enrolled {
		return
	}
	in.reopening = true
	s.reopenings = append(s.reopenings, in.ID)
	s.decisions = append(s.decisions, Decision{What: "instance opened", Instance: in.ID, Machine: in.Machine, Reason: "it answers"})
}

// Closings returns the instances to be closed in the committed state.
func (s *Scheduler) Closings() []fleet.InstanceID {
	list := s.closings
	s.closings = nil
	return list
}

// Reopenings returns the instances to be opened in the committed state before anything starts there; Reopened takes them back.
func (s *Scheduler) Reopenings() []fleet.InstanceID {
	list := s.reopenings
	s.reopenings = nil
	return list
}

// Reopened records that the committed state says that instances are open.
func (s *Scheduler) Reopened(list []fleet.InstanceID) {
	for _, id := range list {
		if in := s.instances[id]; in != nil && in.reopening {
			in.closed, in.reopening = false, false
		}
	}
}
