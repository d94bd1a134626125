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

// addColdInstance announces and enrols an instance that is warming up.
func (f *testFleet) addColdInstance(name string, left time.Duration) fleet.InstanceID {
	in := f.instanceIn("cold", name)
	in.WarmupLeft = left
	return f.enrol(in)
}

// addFullInstance adds a warm instance in a data centre of its own, and fills it with a service task.
func (f *testFleet) addFullInstance() {
	f.addInstanceIn("full", "full")
	f.advance(200 * time.Millisecond)
	f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 64000}, Service: true})
	f.advance(200 * time.Millisecond)
	assert.Equal(f.t, f.startsOn("i-full"), 1)
}

// urgentCatalogue makes queue q, of priority 0 already, and queue other serve pool p.
func (f *testFleet) urgentCatalogue() {
	c := f.state.Workload.Catalogue
	c.Version++
	c.Queues[1].Pool, c.Queues[1].Priority = "p", 3
	f.commit(state.PublishCatalogue{Source: []byte("y"), Catalogue: c})
	f.scheduler.SetCatalogue(&c)
}

// TestColdInstanceGetsWorkLast guards against work on a cold instance while a warm one has room, for urgent and other queues, with data on the
// rack of the cold instance, and for gangs that fit into its rack only.
func TestColdInstanceGetsWorkLast(t *testing.T) {
	f := newTestFleet(t)
	f.urgentCatalogue()
	f.addColdInstance("a", time.Minute)
	f.addInstanceInRack("w1", "p", "r1")
	f.addInstanceInRack("w2", "p", "r2")
	f.advance(200 * time.Millisecond)
	small := workload.Resources{Processors: 10000}
	jobs := []workload.JobID{
		f.submitJob(workload.Step{Count: 2, Resources: small, DataRack: "r-cold"}),
		f.submitJobTo("other", workload.Step{Count: 2, Resources: small, DataRack: "r-cold"}),
		f.submitJob(workload.Step{Count: 2, Resources: workload.Resources{Processors: 30000}, Gang: true, DataRack: "r-cold"}),
		f.submitJob(workload.Step{Count: 2, Resources: small, Service: true}),
	}
	f.advance(300 * time.Millisecond)
	assert.Equal(t, len(f.startOrders), 8)
	assert.Equal(t, f.startsOn("i-a"), 0, "%v", f.instancesOf(jobs...))
	overflow := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 30000}})
	f.advance(300 * time.Millisecond)
	assert.Assert(t, f.instancesOf(overflow)["i-a"], "no warm instance has room")
}

// TestWarmInstanceIsUsedAgain guards against an instance that counts as cold for good: after its warm-up, by its own clock, without another
// announcement, and under a next leader that reads the record of the enrolment.
func TestWarmInstanceIsUsedAgain(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		f := newTestFleet(t)
		f.addFullInstance()
		f.addColdInstance("a", 5*time.Second)
		f.advance(200 * time.Millisecond)
		f.submitJob(workload.Step{Count: 6, Resources: workload.Resources{Processors: 10000}})
		f.advance(time.Second)
		before := f.startsOn("i-a")
		assert.Assert(t, before > 0 && before < 6, "%d starts on a cold instance", before)
		if newLeader {
			f.startLeader()
			f.advance(500 * time.Millisecond)
			assert.Assert(t, f.startsOn("i-a") < 6, "filled by the next leader")
		}
		f.advance(5 * time.Second)
		assert.Equal(t, f.startsOn("i-a"), 6, "new leader: %t", newLeader)
	}
}

// TestReturningDataCentreIsNotFilledAtOnce guards against a resumption after which all of a backlog is started on instances that are all
// slow, and against a task that no cold instance is ever large enough for.
func TestReturningDataCentreIsNotFilledAtOnce(t *testing.T) {
	f := newTestFleet(t)
	f.urgentCatalogue() // no other pool needs instances
	f.addFullInstance()
	for i := range 4 {
		f.addInstanceIn("a", fmt.Sprint("a", i))
	}
	f.advance(200 * time.Millisecond)
	f.drain("a")
	backlog := f.submitJob(workload.Step{Count: 60, Resources: workload.Resources{Processors: 4000}})
	f.advance(time.Second)
	for i := range 4 {
		in := f.instanceIn("a", fmt.Sprint("a", i))
		in.Boot, in.Sequence, in.WarmupLeft = f.bootMillis[string(in.ID)], 2, 8*time.Second
		f.scheduler.HandleAnnouncement(f.now, in)
		record, uncommitted := f.scheduler.UncommittedChange(in.ID)
		assert.Assert(t, uncommitted, "a later leader must know the warm-up")
		f.commit(state.EnrolInstance{Instance: record, KeepsCordon: true})
		f.scheduler.ConfirmChange(record)
		_, uncommitted = f.scheduler.UncommittedChange(in.ID)
		assert.Assert(t, !uncommitted)
	}
	f.resume("a")
	counts := []int{}
	for range 4 {
		f.advance(2 * time.Second)
		counts = append(counts, len(f.placements(backlog)))
	}
	assert.Assert(t, counts[0] > 0 && counts[0] <= 30, "%v", counts)
	assert.Assert(t, counts[0] < counts[1] && counts[1] < counts[2] && counts[2] < counts[3], "%v", counts)
	assert.Equal(t, counts[3], 60, "%v", counts)
	large := newTestFleet(t)
	large.addFullInstance()
	large.addColdInstance("a", time.Hour)
	large.advance(200 * time.Millisecond)
	large.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 64000}})
	large.advance(300 * time.Millisecond)
	assert.Equal(t, large.startsOn("i-a"), 1)
}

// TestStartingInstancesAreFilled guards against a fleet that starts, or a single instance that was restarted, and is held back as a data
// centre that returns is.
func TestStartingInstancesAreFilled(t *testing.T) {
	step := workload.Step{Count: 12, Resources: workload.Resources{Processors: 10000}}
	fleetStart := newTestFleet(t)
	fleetStart.addColdInstance("a", time.Minute)
	fleetStart.addColdInstance("b", time.Minute)
	fleetStart.advance(200 * time.Millisecond)
	fleetStart.submitJob(step)
	fleetStart.advance(300 * time.Millisecond)
	assert.Equal(t, len(fleetStart.startOrders), 12)
	single := newTestFleet(t)
	single.urgentCatalogue()
	single.addFullInstance()
	for _, name := range []string{"w1", "w2"} {
		single.addInstanceIn("cold", name)
	}
	single.addColdInstance("a", time.Minute)
	single.advance(200 * time.Millisecond)
	step.Count = 18
	single.submitJob(step)
	single.advance(300 * time.Millisecond)
	assert.Equal(t, len(single.startOrders), 19)
}
