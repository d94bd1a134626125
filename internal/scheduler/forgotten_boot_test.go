package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// announce passes an announcement to the leader, commits what follows from it, and reports whether the boot was enrolled.
func (f *testFleet) announce(in workload.Instance) bool {
	enrol := f.scheduler.HandleAnnouncement(f.now, in)
	if c := f.scheduler.TakeDeregistrations(); len(c.Instances) > 0 {
		f.commit(c)
	}
	if enrol {
		f.commit(state.EnrolInstance{Instance: in})
		f.scheduler.ConfirmEnrolled(in.ID)
		f.runs[in.ID] = map[workload.TaskID]workload.Run{}
	}
	return enrol
}

// TestLateAnnouncementOfForgottenBoot guards against starts beyond the capacity of an instance that has shrunk (LIMIT): it was deregistered while it was
// empty, so that the leader does not know it, and an announcement from before it shrank arrives late. It guards as well against an instance that is
// kept out although it returns: its next announcement, 1.5 s later at most, enrols it.
func TestLateAnnouncementOfForgottenBoot(t *testing.T) {
	newLeader := func(f *testFleet) { f.startLeader() }
	for name, c := range map[string]struct {
		after    func(f *testFleet)                    // happens after the deregistration
		change   func(late, latest *workload.Instance) // of the announcements that follow
		enrolled bool                                  // by the late announcement
	}{
		"at the next leader":           {after: newLeader},
		"at the same leader":           {after: func(f *testFleet) { f.advance(12 * time.Second) }}, // which removes the silent instance
		"at the leader after the next": {after: func(f *testFleet) { f.startLeader(); f.advance(time.Second); f.startLeader() }},
		"copy of the latest":           {after: newLeader, change: func(late, latest *workload.Instance) { *late = *latest }},
		"earlier boot":                 {after: newLeader, change: func(late, _ *workload.Instance) { late.Boot--; late.Sequence = 9 }},
		"twice deregistered": {after: func(f *testFleet) {
			f.commit(state.DeregisterInstances{Instances: []fleet.InstanceID{"i-a"}, Boots: state.DeregisteredBoots{"i-a": {}}, At: state.Timestamp(f.now.Milliseconds())})
			f.startLeader()
		}},
		"expired record":      {after: func(f *testFleet) { f.now += 31 * time.Second; f.startLeader() }, enrolled: true},
		"later boot":          {after: newLeader, change: func(late, latest *workload.Instance) { late.Boot++; latest.Boot++ }, enrolled: true},
		"no sequence numbers": {after: newLeader, change: func(late, latest *workload.Instance) { late.Boot++; late.Sequence, latest.Boot = 0, late.Boot }, enrolled: true},
		"other instance": {after: newLeader, change: func(late, latest *workload.Instance) {
			late.ID, late.Boot, latest.ID, latest.Boot = "i-b", late.Boot+1, "i-b", late.Boot+1
		}, enrolled: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			id := f.addInstance("a", "p")
			f.advance(time.Second)
			late := f.state.Workload.Enrolled[id]
			f.announceCapacity(id, 2, 8000)
			latest := f.state.Workload.Enrolled[id]
			f.failPolls(id)
			f.advance(10 * time.Second)
			_, enrolled := f.state.Workload.Enrolled[id]
			assert.Assert(t, !enrolled, "not deregistered")
			c.after(f)
			if c.change != nil {
				c.change(&late, &latest)
			}
			assert.Equal(t, f.announce(late), c.enrolled, "the late announcement")
			job := f.submitJob(workload.Step{Count: 10, Resources: workload.Resources{Processors: 4000}})
			f.advance(time.Second)
			if !c.enrolled {
				assert.Equal(t, len(f.placements(job)), 0, "%d thousandths of a processor are claimed", f.claimed(id, 4000))
			}
			latest.Sequence = max(late.Sequence, latest.Sequence) + 1
			assert.Equal(t, f.announce(latest), !c.enrolled, "the next announcement")
			f.advance(time.Second)
			assert.Assert(t, len(f.placements(job)) >= 2, "nothing is started after the return")
			if !c.enrolled {
				assert.Equal(t, f.claimed(id, 4000), int64(8000))
			}
		})
	}
}

// TestLateAnnouncementDuringChangeOfLeader guards against a late announcement that enlarges an instance whose deregistration is lost with
// the leader (LIMIT), and against a deregistration that is committed by the next leader without what the first has learned.
func TestLateAnnouncementDuringChangeOfLeader(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	late := f.state.Workload.Enrolled[id]
	f.announceCapacity(id, 2, 8000)
	latest := f.state.Workload.Enrolled[id]
	f.failPolls(id)
	f.startLeader() // the first leader has not committed the deregistration
	assert.Assert(t, !f.announce(late))
	f.failPolls(id)
	f.advance(10 * time.Second)
	_, enrolled := f.state.Workload.Enrolled[id]
	assert.Assert(t, !enrolled, "not deregistered")
	f.startLeader()
	assert.Assert(t, !f.announce(late), "an overtaken announcement is enrolled")
	latest.Sequence++
	assert.Assert(t, f.announce(latest), "the next announcement is not enrolled")
}

// TestDeregistrationOfManyInstances guards against a command for each instance when hundreds leave at once, and against records that are lost
// when instances are deregistered together.
func TestDeregistrationOfManyInstances(t *testing.T) {
	const instances = 300
	f := newTestFleet(t)
	for i := range instances {
		f.addInstance(fmt.Sprint(i), "p")
	}
	f.advance(time.Second)
	records := f.state.Workload.Enrolled
	announced := make([]workload.Instance, 0, instances)
	for _, in := range records {
		announced = append(announced, in)
		f.scheduler.HandleDeparture(f.now, in.ID, in.Boot)
	}
	index := f.index
	f.advance(time.Second)
	assert.Equal(t, len(f.state.Workload.Enrolled), 0)
	assert.Equal(t, f.index, index+1, "commands")
	f.startLeader()
	for _, in := range announced {
		assert.Assert(t, !f.announce(in), "%s", in.ID)
	}
}
