package scheduler

import (
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// needsEnrolment reports whether an enrolment must be requested before tasks are started on the instance.
func (in *instance) needsEnrolment() bool {
	return (!in.enrolled || in.bootUncommitted) && !in.enrolling && !in.evacuating && !in.Draining && !in.departed
}

// beginEnrolment records that the caller has the enrolment to commit. ConfirmEnrolled names only the ID, so that the enrolments of
// an ID are matched in the order in which they are committed.
func (s *Scheduler) beginEnrolment(in *instance) {
	in.enrolling = true
	in.committedCapacity = in.Capacity
	in.committedWarmAt = in.WarmAt()
	s.enrolling[in.ID] = append(s.enrolling[in.ID], in)
}

// cancelEnrolment prevents that an enrolment which was requested before a deregistration or restart allows starts once it is
// committed.
func (s *Scheduler) cancelEnrolment(in *instance) {
	in.enrolling = false
	s.enrolments = slices.DeleteFunc(s.enrolments, func(other *instance) bool { return other == in })
	for i, other := range s.enrolling[in.ID] {
		if other == in {
			s.enrolling[in.ID][i] = nil
		}
	}
}

// ConfirmEnrolled records that the earliest unconfirmed enrolment of the ID is committed, which allows starts on the instance
// unless it was deregistered or restarted since the request.
func (s *Scheduler) ConfirmEnrolled(id fleet.InstanceID) {
	pending := s.enrolling[id]
	if len(pending) == 0 {
		return
	}
	in := pending[0]
	if s.enrolling[id] = pending[1:]; len(pending) == 1 {
		delete(s.enrolling, id)
	}
	if in != nil {
		in.enrolled = true
		in.enrolling = false
		in.bootUncommitted = false
		s.newlyEnrolled = append(s.newlyEnrolled, in)
	}
}

// TakeEnrolled returns the instances whose enrolment was confirmed since the last call and that are enrolled still.
func (s *Scheduler) TakeEnrolled() []fleet.InstanceID {
	var list []fleet.InstanceID
	for _, in := range s.newlyEnrolled {
		if in.enrolled && s.instances.byID[in.ID] == in {
			list = append(list, in.ID)
		}
	}
	s.newlyEnrolled = nil
	return list
}

// TakeEnrolments returns the instances that must be enrolled again before tasks are started on them.
func (s *Scheduler) TakeEnrolments() []workload.Instance {
	var list []workload.Instance
	for _, in := range s.enrolments {
		s.beginEnrolment(in)
		list = append(list, in.Instance)
	}
	s.enrolments = nil
	return list
}

// deregisterEvacuated deregisters an empty instance before a move or maintenance shuts it down, so that a later leader
// does not wait for it.
func (s *Scheduler) deregisterEvacuated(in *instance) {
	in.evacuating = true
	s.deregister(in)
}

// deregister removes an instance that certainly runs nothing from the committed state. Its next announcement enrols it
// again.
func (s *Scheduler) deregister(in *instance) {
	if in.enrolled || in.enrolling {
		s.cancelEnrolment(in)
		in.enrolled = false
		in.bootUncommitted = false
		s.requestDeregistration(in)
	}
}

// requestDeregistration removes an instance from the committed state, which keeps its boot.
func (s *Scheduler) requestDeregistration(in *instance) {
	s.deregistrations = append(s.deregistrations, in.ID)
	s.deregistered.Record(in.ID, state.DeregisteredBoot{Boot: in.Boot, Sequence: in.Sequence, At: state.Timestamp(s.wallMillis)})
}

// TakeDeregistrations returns the command that removes instances from the committed state; none of them runs a task.
func (s *Scheduler) TakeDeregistrations() state.DeregisterInstances {
	c := state.DeregisterInstances{Instances: s.deregistrations, At: state.Timestamp(s.wallMillis)}
	if len(c.Instances) == 0 {
		return c
	}
	s.deregistrations = nil
	c.Boots = make(state.DeregisteredBoots, len(c.Instances))
	for _, id := range c.Instances {
		b := s.deregistered[id]
		c.Boots[id] = state.DeregisteredBoot{Boot: b.Boot, Sequence: b.Sequence}
	}
	s.deregistered.Expire(c.At)
	return c
}

// cancelEvacuation makes an instance schedulable again after its move was refused.
func (s *Scheduler) cancelEvacuation(in *instance) {
	if in == nil || s.instances.byID[in.ID] != in {
		return
	}
	in.evacuating = false
	if !in.enrolled && !in.enrolling {
		in.enrolling = true
		s.enrolments = append(s.enrolments, in)
	}
}
