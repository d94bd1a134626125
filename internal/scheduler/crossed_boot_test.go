package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestLateStartReachesNextBoot guards against a second run of one task: an instance restarts under its ID while a start is on its way to it.
// Orders name no boot, so that the next boot may execute the start, and its task must not start elsewhere before a stop has prevented that.
func TestLateStartReachesNextBoot(t *testing.T) {
	for _, tc := range []struct {
		name string
		// uncertain is set if the start is known to be unanswered before the restart, polled if a poll shows the next boot and not its announcement.
		uncertain, polled bool
	}{
		{"announced before the response", false, false},
		{"announced after the time-out", true, false},
		{"polled before the response", false, true},
		{"polled after the time-out", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addInstance("a", "p")
			f.addInstance("b", "p")
			f.advance(time.Second)
			f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
			f.scheduler.Tick(f.now, f.now.Milliseconds())
			start := f.scheduler.TakeOrders()[0]
			id := start.Instance
			if tc.uncertain {
				f.scheduler.HandleOrderOutcome(f.now, start, scheduler.Uncertain)
			}
			f.now += 100 * time.Millisecond
			next := f.state.Workload.Enrolled[id]
			next.Boot = f.now.Milliseconds()
			next.Clock = time.Second
			if tc.polled {
				f.scheduler.HandleReport(f.now, id, f.now-time.Millisecond, scheduler.StatusReport{Boot: next.Boot, Clock: next.Clock})
			}
			f.enrol(next)
			f.scheduler.Tick(f.now, f.now.Milliseconds())
			stopped := false
			for _, o := range f.scheduler.TakeOrders() {
				assert.Check(t, o.Kind != scheduler.Start, "started as run %d while run %d is on its way", o.Run, start.Run)
			}
			if !tc.uncertain {
				f.scheduler.HandleOrderOutcome(f.now, start, scheduler.Uncertain)
			}
			f.now += 100 * time.Millisecond
			f.scheduler.HandleReport(f.now, id, f.now-time.Millisecond, scheduler.StatusReport{Boot: next.Boot, Clock: next.Clock + 100*time.Millisecond})
			for _, o := range f.scheduler.TakeOrders() {
				stopped = stopped || o.Kind == scheduler.Stop && o.Run == start.Run
				f.executeOrder(o)
			}
			assert.Assert(t, stopped, "no stop prevents the start")
			f.advance(time.Second)
			assert.Equal(t, len(f.startOrders), 1, "the task does not start again")
		})
	}
}

// TestLateAnswerOfOtherAddress guards against a second run of one task: the response that another instance serves the address of an instance
// arrives after the instance is known at another address, or with a later boot, where it runs tasks.
func TestLateAnswerOfOtherAddress(t *testing.T) {
	for _, tc := range []struct {
		name    string
		address string
		reboots bool
	}{
		{"same boot at another address", "elsewhere", false},
		{"later boot at another address", "elsewhere", true},
		{"later boot at the same address", "a", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(t)
			id := f.addInstance("a", "p")
			f.advance(time.Second)
			request, _ := f.scheduler.NextPoll(f.now, id, false)
			earlier := submitAndTakeStart(f)
			f.now += 10 * time.Millisecond
			next := f.state.Workload.Enrolled[id]
			next.Address, next.Sequence = tc.address, next.Sequence+1
			if tc.reboots {
				next.Boot += 500
				f.enrol(next)
			} else {
				f.scheduler.HandleAnnouncement(f.now, next)
			}
			f.advance(time.Second)
			job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
			f.advance(time.Second)
			assert.Equal(t, len(f.placements(job)), 1)
			f.scheduler.TakeDecisions()
			f.scheduler.HandlePollFailure(f.now, request, scheduler.Mismatched)
			f.scheduler.HandleOrderOutcome(f.now, earlier, scheduler.Mismatched)
			for _, d := range f.scheduler.TakeDecisions() {
				assert.Check(t, d.What != "run lost", "the run is taken for lost: %s", d.Reason)
			}
		})
	}
}

// TestStartAnsweredByNextBoot guards against a second run of one task: the boot that follows a restart under the ID executes and answers a start
// before the leader knows of the restart, and its first report lists the run.
func TestStartAnsweredByNextBoot(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.addInstance("b", "p")
	f.advance(time.Second)
	start := submitAndTakeStart(f)
	f.scheduler.HandleOrderOutcome(f.now, start, scheduler.Accepted)
	next := f.state.Workload.Enrolled[start.Instance]
	next.Boot += 500
	report := func() {
		f.now += 10 * time.Millisecond
		f.scheduler.HandleReport(f.now, start.Instance, f.now-time.Millisecond, scheduler.StatusReport{
			Boot: next.Boot, Clock: f.now - time.Hour, Running: []scheduler.ReportedRun{{Task: start.Task, Run: start.Run, Percent: 1}},
		})
		f.scheduler.Tick(f.now, f.now.Milliseconds())
	}
	report()
	next.Clock = f.now - time.Hour
	f.enrol(next)
	f.runs[start.Instance][start.Task] = start.Run
	report()
	for _, d := range f.scheduler.TakeDecisions() {
		assert.Check(t, d.What != "run adopted", "the run was forgotten")
	}
	f.advance(time.Second)
	assert.Equal(t, len(f.startOrders), 0, "the task starts again")
}

// TestFailedPollKeepsLeaseOfEarlierLeader guards against a second run of one task: a poll that was sent before the first report of an instance
// fails after it, while a run that it lists has a lease of an earlier leader.
func TestFailedPollKeepsLeaseOfEarlierLeader(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.addInstance("b", "p")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}, MaxPerInstance: 1})
	f.advance(time.Second)
	for _, on := range f.placements(job) {
		id = on
	}
	f.startLeader()
	since := f.now
	overlapping, _ := f.scheduler.NextPoll(f.now, id, false)
	f.pollAll()
	f.scheduler.HandlePollFailure(f.now, overlapping, scheduler.Uncertain)
	for f.now < since+5*time.Second {
		f.now += 100 * time.Millisecond
		f.scheduler.Tick(f.now, f.now.Milliseconds())
		for _, d := range f.scheduler.TakeDecisions() {
			assert.Assert(t, d.What != "run lost", "lost %s after the change of leader: %s", f.now-since, d.Reason)
		}
	}
}

// TestOvertakenAnnouncementEnrolsNothing guards against a start beyond the capacity of an instance: an announcement that a later one has
// overtaken enrols an instance that was deregistered, and the next leader reads what it says.
func TestOvertakenAnnouncementEnrolsNothing(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	earlier := f.state.Workload.Enrolled[id]
	later := earlier
	later.Sequence++
	later.Capacity.Processors = 1000
	f.scheduler.HandleAnnouncement(f.now, later)
	delete(f.runs, id)
	f.failPoll(id, scheduler.Uncertain)
	f.advance(10 * time.Second)
	_, enrolled := f.state.Workload.Enrolled[id]
	assert.Assert(t, !enrolled, "the silent instance is deregistered")
	assert.Assert(t, !f.scheduler.HandleAnnouncement(f.now, earlier), "an overtaken announcement is enrolled")
	assert.Assert(t, f.scheduler.HandleAnnouncement(f.now, later), "the latest announcement is not enrolled")
}
