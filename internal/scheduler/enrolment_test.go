package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestStartsOnlyOnEnrolledInstances guards against a run on an instance that is deregistered in the committed state: the next leader
// knows nothing of the run and starts its task again. An instance announces itself twice before its enrolment is committed, and its
// move is ordered and refused before the second enrolment is.
func TestStartsOnlyOnEnrolledInstances(t *testing.T) {
	for name, repeated := range map[string]bool{"enrolled once": false, "enrolled twice": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addInstance("a", "p")
			in := workload.Instance{
				ID: "i-b", Boot: f.now.Milliseconds(), Pool: "p", Address: "b", Machine: "m-b", Sequence: 1,
				Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute, Rack: "r1-1",
			}
			var enrolments []workload.Instance // queued, committed in order
			announce := func() {
				if f.scheduler.HandleAnnouncement(f.now, in) {
					enrolments = append(enrolments, in)
				}
				in.Sequence++
			}
			commitEnrolment := func() {
				if len(enrolments) > 0 {
					f.commit(state.EnrolInstance{Instance: enrolments[0]})
					f.scheduler.ConfirmEnrolled(in.ID)
					enrolments = enrolments[1:]
				}
			}
			announce()
			if repeated {
				announce()
			}
			commitEnrolment()
			f.runs[in.ID] = map[workload.TaskID]workload.Run{}
			for _, n := range []string{"c", "d", "e", "f", "g", "h"} {
				f.addInstance(n, "p")
			}
			listStandbyMachines(f, 0)
			f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
			var deregistered []fleet.InstanceID
			var orders []scheduler.MachineOrder
			for end := f.now + 10*time.Second; f.now < end && len(orders) == 0; {
				f.now += 100 * time.Millisecond
				f.pollAll()
				f.scheduler.Tick(f.now, f.now.Milliseconds())
				for _, o := range f.scheduler.TakeOrders() {
					f.executeOrder(o)
				}
				deregistered = append(deregistered, f.scheduler.TakeDeregistrations().Instances...)
				orders = f.scheduler.TakeMachineOrders()
			}
			assert.Assert(t, slices.Contains(deregistered, in.ID), "its machine is not moved")
			commitEnrolment()
			f.commit(state.DeregisterInstances{Instances: deregistered})
			for _, o := range orders {
				f.scheduler.HandleMachineOutcome(f.now, o, scheduler.MachineBusy)
			}
			for _, e := range f.scheduler.TakeEnrolments() {
				f.commit(state.EnrolInstance{Instance: e})
				f.scheduler.ConfirmEnrolled(e.ID)
			}
			job := f.submitJob(workload.Step{Count: 8, Resources: workload.Resources{Processors: 60000}})
			f.advance(300 * time.Millisecond)
			for _, id := range f.placements(job) {
				_, enrolled := f.state.Workload.Enrolled[id]
				assert.Check(t, enrolled, "a task runs on %s", id)
			}
		})
	}
}

// TestRestartUnderSameIDIsKnownToNextLeader guards against a running task that a new leader starts again. An instance restarts under
// its ID, and a poll shows it before the announcement does, so that the committed state keeps the earlier boot.
func TestRestartUnderSameIDIsKnownToNextLeader(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("b", "p")
	f.advance(time.Second)
	boots := map[fleet.InstanceID]int64{"i-a": f.bootMillis["i-a"], "i-b": f.bootMillis["i-b"]}
	poll := func(id fleet.InstanceID) {
		_, ok := f.scheduler.NextPoll(f.now, id, false)
		assert.Assert(t, ok)
		report := scheduler.StatusReport{Boot: boots[id], Clock: time.Minute + f.now}
		for task, run := range f.runs[id] {
			report.Running = append(report.Running, scheduler.ReportedRun{Task: task, Run: run, Percent: 50})
		}
		f.scheduler.HandleReport(f.now, id, f.now-time.Millisecond, report)
	}
	tick := func() {
		f.scheduler.Tick(f.now, f.now.Milliseconds())
		for _, o := range f.scheduler.TakeOrders() {
			f.executeOrder(o)
		}
		if c := f.scheduler.TakeDeregistrations(); len(c.Instances) > 0 {
			f.commit(c)
		}
	}
	boots["i-a"] += 500 // restarts under the same id
	for range 3 {
		f.now += 100 * time.Millisecond
		poll("i-a")
		poll("i-b")
		tick()
	}
	announced := workload.Instance{
		ID: "i-a", Boot: boots["i-a"], Pool: "p", Address: "a", Machine: "m-a", Sequence: 1,
		Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute + f.now, Rack: "r1-1",
	}
	if f.scheduler.HandleAnnouncement(f.now, announced) {
		f.commit(state.EnrolInstance{Instance: announced})
		f.scheduler.ConfirmEnrolled("i-a")
	}
	job := f.submitJob(workload.Step{Count: 2, Resources: workload.Resources{Processors: 60000}})
	tick()
	assert.Equal(t, len(f.placements(job)), 2)
	f.addInstance("c", "p")
	boots["i-c"] = f.bootMillis["i-c"]
	starts := len(f.startOrders)
	f.now += 100 * time.Millisecond
	f.startLeader()
	f.now += 10 * time.Millisecond
	poll("i-b")
	poll("i-c")
	tick()
	assert.Equal(t, len(f.startOrders), starts, "before i-a was polled")
	poll("i-a")
	tick()
	f.now += 80 * time.Millisecond
	poll("i-a")
	tick()
	assert.Equal(t, len(f.startOrders), starts, "started again while it runs")
}

// TestLaterBootIsReconciledBeforeStarts guards against a running task that a new leader starts again. An instance restarts under its
// ID and executes the order that the earlier leader sent to the earlier boot; the new leader learns of the restart first.
func TestLaterBootIsReconciledBeforeStarts(t *testing.T) {
	for name, learn := range map[string]func(f *testFleet, in workload.Instance){
		"by a poll": func(f *testFleet, in workload.Instance) {
			f.scheduler.HandleReport(f.now, in.ID, f.now-time.Millisecond, scheduler.StatusReport{Boot: in.Boot, Clock: in.Clock})
		},
		"by an announcement": func(*testFleet, workload.Instance) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			in := workload.Instance{
				ID: f.addInstance("a", "p"), Boot: f.now.Milliseconds() + 500, Pool: "p", Address: "a", Machine: "m-a", Sequence: 1,
				Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute + f.now, Rack: "r1-1",
			}
			f.advance(time.Second)
			f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 60000}})
			f.advance(300 * time.Millisecond)
			assert.Equal(t, len(f.startOrders), 1)
			f.addInstance("b", "p")
			f.startLeader()
			runs := f.runs[in.ID]
			delete(f.runs, in.ID) // is not polled
			f.now += 10 * time.Millisecond
			learn(f, in)
			f.advance(200 * time.Millisecond)
			assert.Equal(t, len(f.startOrders), 1, "before the boot is announced")
			assert.Assert(t, f.scheduler.HandleAnnouncement(f.now, in))
			f.advance(200 * time.Millisecond)
			assert.Equal(t, len(f.startOrders), 1, "before the boot is enrolled")
			f.commit(state.EnrolInstance{Instance: in})
			f.scheduler.ConfirmEnrolled(in.ID)
			f.advance(200 * time.Millisecond)
			assert.Equal(t, len(f.startOrders), 1, "before the boot has reported its runs")
			f.runs[in.ID] = runs
			f.advance(300 * time.Millisecond)
			assert.Equal(t, len(f.startOrders), 1, "started again while it runs")
		})
	}
}

// TestSupersededEnrolmentAllowsNoStarts guards against a run on an instance that the committed state does not have. An enrolment is
// committed after the decision to deregister the instance, or after the instance restarted.
func TestSupersededEnrolmentAllowsNoStarts(t *testing.T) {
	for name, supersede := range map[string]func(f *testFleet, in workload.Instance){
		"deregistered": func(f *testFleet, in workload.Instance) {
			for range 2 {
				f.failPoll(in.ID, scheduler.Uncertain)
			}
			f.advance(12 * time.Second) // the leases expire, two lease durations after the restart at the latest
			_, enrolled := f.state.Workload.Enrolled[in.ID]
			assert.Assert(t, !enrolled)
		},
		"restarted": func(f *testFleet, in workload.Instance) {
			in.Boot++
			assert.Assert(t, f.scheduler.HandleAnnouncement(f.now, in))
			f.advance(100 * time.Millisecond)
			record, enrolled := f.state.Workload.Enrolled[in.ID]
			assert.Assert(t, enrolled && record.Boot < in.Boot-1, "the earlier boot is replaced only by the enrolment of the later one")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			in := workload.Instance{
				ID: f.addInstance("a", "p"), Boot: f.now.Milliseconds() + 500, Pool: "p", Address: "a", Machine: "m-a", Sequence: 1,
				Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Clock: time.Minute + f.now, Rack: "r1-1",
			}
			f.advance(time.Second)
			f.scheduler.HandleReport(f.now, in.ID, f.now-time.Millisecond, scheduler.StatusReport{Boot: in.Boot, Clock: in.Clock})
			assert.Assert(t, f.scheduler.HandleAnnouncement(f.now, in))
			delete(f.runs, in.ID) // is not polled
			supersede(f, in)
			f.scheduler.ConfirmEnrolled(in.ID) // of the first announcement
			f.runs[in.ID] = map[workload.TaskID]workload.Run{}
			job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
			f.advance(300 * time.Millisecond)
			assert.Equal(t, len(f.placements(job)), 0)
		})
	}
}
