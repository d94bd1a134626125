package supervisor

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// announce handles the announcement of an instance and names this leader for the next ones.
func (t *term) announce(ctx context.Context, request forwarder.Request) forwarder.Response {
	in := *request.Instance
	var refusal error
	if !t.changeInstances(ctx, []fleet.InstanceID{in.ID}, func() { refusal = t.handleAnnouncement(in) }) {
		return forwarder.Response{Outcome: forwarder.NotLeading}
	}
	if refusal != nil {
		return forwarder.Response{Outcome: forwarder.Refused, Detail: refusal.Error(), RetryAfter: instanceRoomRetryAfter}
	}
	if in.Draining {
		event.InstanceDraining.Info(t.options.Logger, zap.String("instance", string(in.ID)), zap.Duration("left", in.TimeLeft))
	}
	return forwarder.Response{Outcome: forwarder.Done, Leader: t.options.Entry}
}

// announceBatch handles announcements that a keeper has collected, in one turn of the loop. Enrolments are not waited for: an instance gets
// no start before its enrolment is committed, and it announces itself again. What a later leader must know of enrolled boots is committed
// before the response, as for a single announcement.
func (t *term) announceBatch(ctx context.Context, request forwarder.Request) forwarder.Response {
	ids := make([]fleet.InstanceID, len(request.Instances))
	for i := range request.Instances {
		ids[i] = request.Instances[i].ID
	}
	if !t.changeInstances(ctx, ids, func() {
		for _, in := range request.Instances {
			_ = t.handleAnnouncement(in) // what is refused is counted, and announces itself again
		}
	}) {
		return forwarder.Response{Outcome: forwarder.NotLeading}
	}
	t.instruments.announcementsBatched.Inc(int64(len(ids)))
	return forwarder.Response{Outcome: forwarder.Done, Leader: t.options.Entry}
}

// handleAnnouncement passes an announcement to the scheduler and queues the changes that follow. The enrolment of a later boot under the same
// id replaces the earlier record in one command: the boot may execute orders to the earlier one, so that a later leader must know of the
// instance all the time. Other instances that the announced boot has replaced are deregistered before. It returns an error for an instance
// for which there is no room: anyone may announce instances, also such that do not exist.
func (t *term) handleAnnouncement(in workload.Instance) error {
	if err := t.instanceRoom.reserve(in.ID, bytesOfInstance(&in)); err != nil {
		return fmt.Errorf("no room for instance %q: %w", in.ID, err)
	}
	enrol := t.scheduler.HandleAnnouncement(monotonicNow(), in)
	t.enqueueInstanceChanges()
	if !enrol {
		return nil
	}
	if !t.scheduler.Enrolled(in.ID) {
		t.stopPolling(in.ID) // the earlier boot, whose polls may wait for seconds
	}
	t.enrol(in)
	return nil
}

// changeInstances runs change in the loop, and waits until what it changes of the instances is committed. It returns false if ctx or the
// term ends before.
func (t *term) changeInstances(ctx context.Context, ids []fleet.InstanceID, change func()) bool {
	committed, uncommitted := make(chan struct{}), len(ids)
	if !t.postAndWait(ctx, func() {
		change()
		for _, id := range ids {
			t.commitChange(id, func() {
				if uncommitted--; uncommitted == 0 {
					close(committed)
				}
			})
		}
		t.commitRegistrations()
	}) {
		return false
	}
	select {
	case <-committed:
		return true
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	return false
}

// enrol commits a boot of an instance, so that the next leader knows that runs may exist there.
func (t *term) enrol(in workload.Instance) {
	t.enqueueRegistration(in.ID, state.EnrolInstance{Instance: in}, func() {
		event.InstanceEnrolled.Info(t.options.Logger, zap.String("instance", string(in.ID)), zap.String("pool", string(in.Pool)),
			zap.String("machine", in.Machine), zap.String("address", in.Address))
		t.scheduler.ConfirmEnrolled(in.ID)
	})
}

// commitChange commits that an enrolled instance is draining, has departed or has another capacity, unless that is committed already. It calls onCommit
// once the next leader knows all that the announcement says.
func (t *term) commitChange(id fleet.InstanceID, onCommit func()) {
	record, uncommitted := t.scheduler.UncommittedChange(id)
	if !uncommitted {
		onCommit()
		return
	}
	event.InstanceChanged.Info(t.options.Logger, zap.String("instance", string(record.ID)), zap.Bool("draining", record.Draining), zap.Stringer("capacity", record.Capacity))
	t.enqueueUrgent(id, state.EnrolInstance{Instance: record, KeepsCordon: true}, func() {
		t.scheduler.ConfirmChange(record)
		onCommit()
	})
}

// depart handles the deregistration that an instance sends when it shuts down.
func (t *term) depart(ctx context.Context, request forwarder.Request) forwarder.Response {
	in := *request.Instance
	if !t.changeInstances(ctx, []fleet.InstanceID{in.ID}, func() { t.scheduler.HandleDeparture(monotonicNow(), in.ID, in.Boot) }) {
		return forwarder.Response{Outcome: forwarder.NotLeading}
	}
	return forwarder.Response{Outcome: forwarder.Done}
}
