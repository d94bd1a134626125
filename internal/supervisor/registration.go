package supervisor

import (
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// commitInstanceChanges commits the changes to the enrolled instances that the scheduler requests.
func (t *term) commitInstanceChanges() {
	t.enqueueInstanceChanges()
	t.commitRegistrations()
}

// enqueueInstanceChanges deregisters instances, enrols those again for which the platform refused planned work, and records which
// instances are cordoned because they do not respond and which are uncordoned.
func (t *term) enqueueInstanceChanges() {
	deregistration := t.scheduler.TakeDeregistrations()
	for _, id := range deregistration.Instances {
		t.stopPolling(id)
	}
	if len(deregistration.Instances) > 0 {
		t.pendingRegistrations = append(t.pendingRegistrations, registration{deregistration.Instances, deregistration, func() {}})
	}
	for _, in := range t.scheduler.TakeEnrolments() {
		t.enrol(in)
	}
	if list := t.scheduler.TakeCordons(); len(list) > 0 {
		t.enqueueRegistration("", state.CordonInstances{Instances: list}, func() {})
	}
	if list := t.scheduler.TakeUncordons(); len(list) > 0 {
		t.enqueueRegistration("", state.UncordonInstances{Instances: list}, func() { t.scheduler.ConfirmUncordoned(list) })
	}
}

// registration is a pending change to the enrolled instances.
type registration struct {
	// instances holds one empty ID for cordons.
	instances []fleet.InstanceID
	command   state.Command
	onCommit  func()
}

// maxRegistrationsPerCommit bounds how long one commit of the start of a fleet holds up heartbeats and other commits: 3,000 instances take 24.
const maxRegistrationsPerCommit = 128

// enqueueRegistration queues a change to the enrolled instances for commitRegistrations. Changes are committed in order, so that the
// deregistration of an earlier boot cannot take effect after the enrolment of the later one.
func (t *term) enqueueRegistration(id fleet.InstanceID, c state.Command, onCommit func()) {
	t.pendingRegistrations = append(t.pendingRegistrations, registration{[]fleet.InstanceID{id}, c, onCommit})
}

// enqueueUrgent queues a change for which an instance waits before those of other instances: behind the enrolments of a fleet it would not be
// acknowledged in time.
func (t *term) enqueueUrgent(id fleet.InstanceID, c state.Command, onCommit func()) {
	i := len(t.pendingRegistrations)
	for i > 0 && !slices.Contains(t.pendingRegistrations[i-1].instances, id) {
		i--
	}
	t.pendingRegistrations = slices.Insert(t.pendingRegistrations, i, registration{[]fleet.InstanceID{id}, c, onCommit})
}

// commitRegistrations commits the first maxRegistrationsPerCommit queued changes as one batch, unless a batch is in flight.
func (t *term) commitRegistrations() {
	if t.registrationInFlight || len(t.pendingRegistrations) == 0 {
		return
	}
	t.registrationInFlight = true
	n := min(len(t.pendingRegistrations), maxRegistrationsPerCommit)
	batch := t.pendingRegistrations[:n:n]
	t.pendingRegistrations = t.pendingRegistrations[n:]
	commands := make([]state.Command, len(batch))
	for i, r := range batch {
		commands[i] = r.command
	}
	t.spawn(func() {
		_, errs := t.commitAll(commands)
		t.post(func() { t.handleRegistrationsCommitted(batch, errs) })
	})
}

func (t *term) handleRegistrationsCommitted(batch []registration, errs []error) {
	t.registrationInFlight = false
	for i, r := range batch {
		if errs[i] != nil {
			t.cancel() // which instances are enrolled is unknown now; the next term reads it from the committed state
			return
		}
		r.onCommit()
	}
	t.commitRegistrations()
}
