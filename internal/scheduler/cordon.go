package scheduler

import "github.com/sapphiresail/sapphiresail/internal/fleet"

// cordonFailedPolls is the number of consecutive failed polls after which an instance is cordoned in the committed state.
// A single lost response is normal.
const cordonFailedPolls = 2

// cordon requests the cordon of an unreachable instance in the committed state. A later leader then knows that jobs
// accepted after it cannot run there, and starts them without waiting for the instance.
func (s *Scheduler) cordon(in *instance) {
	if in.failedPolls < cordonFailedPolls || in.cordoned || !in.enrolled {
		return
	}
	in.cordoned = true
	s.cordons = append(s.cordons, in.ID)
	s.decisions = append(s.decisions, Decision{What: "instance closed", Instance: in.ID, Machine: in.Machine, Reason: "two consecutive polls failed"})
}

// uncordon requests the removal of a cordon from an instance that answers polls again.
func (s *Scheduler) uncordon(in *instance) {
	if !in.cordoned || in.uncordoning || !in.enrolled {
		return
	}
	in.uncordoning = true
	s.uncordons = append(s.uncordons, in.ID)
	s.decisions = append(s.decisions, Decision{What: "instance opened", Instance: in.ID, Machine: in.Machine, Reason: "instance answers polls"})
}

// TakeCordons returns the instances to cordon in the committed state.
func (s *Scheduler) TakeCordons() []fleet.InstanceID {
	list := s.cordons
	s.cordons = nil
	return list
}

// TakeUncordons returns the instances to uncordon in the committed state. They get no starts until ConfirmUncordoned.
func (s *Scheduler) TakeUncordons() []fleet.InstanceID {
	list := s.uncordons
	s.uncordons = nil
	return list
}

// ConfirmUncordoned records that the removal of the cordons is committed.
func (s *Scheduler) ConfirmUncordoned(list []fleet.InstanceID) {
	for _, id := range list {
		if in := s.instances.byID[id]; in != nil && in.uncordoning {
			in.cordoned, in.uncordoning = false, false
		}
	}
}
