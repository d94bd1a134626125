package scheduler_test

import (
	"cmp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestOvertakenReportListsNoRun guards against a run that is adopted after its end: the report of an earlier moment arrives
// after the one with the end, and the instance counts as occupied by a run that is gone.
func TestOvertakenReportListsNoRun(t *testing.T) {
	for _, ending := range []workload.Ending{workload.EndedDone, workload.EndedFailed, workload.EndedStopped} {
		t.Run(string(ending), func(t *testing.T) {
			f := newTestFleet(t)
			id := f.addInstance("a", "p")
			f.advance(time.Second)
			start := submitAndTakeStart(f)
			f.now += 10 * time.Millisecond
			f.scheduler.HandleOrderOutcome(f.now, start, scheduler.Accepted)
			clock := time.Minute + f.now
			earlier := scheduler.StatusReport{Clock: clock, Running: []scheduler.ReportedRun{{Task: start.Task, Run: start.Run, Percent: 1}}}
			later := scheduler.StatusReport{Clock: clock + time.Millisecond, Ended: []scheduler.ReportedEnd{{Number: 1, Task: start.Task, Run: start.Run, Ending: ending}}}
			sentAt := f.now
			f.now += 10 * time.Millisecond
			f.scheduler.HandleReport(f.now, id, sentAt, later)
			f.scheduler.TakeDecisions()
			f.now += 10 * time.Millisecond
			f.scheduler.HandleReport(f.now, id, sentAt, earlier)
			for _, d := range f.scheduler.TakeDecisions() {
				assert.Check(t, d.What != "run adopted", "a run that has ended is adopted")
			}
		})
	}
}

// TestOvertakenReportKeepsProgress guards against work that is repeated: the report of an earlier moment arrives after a later
// one, and the run continues elsewhere from the earlier checkpoint.
func TestOvertakenReportKeepsProgress(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	job := f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}, Checkpointing: true})
	f.advance(200 * time.Millisecond)
	assert.Equal(t, len(f.startOrders), 1)
	run := f.startOrders[0].Run
	task := workload.TaskID{Job: job}
	report := func(clock time.Duration, percent int, checkpoint string) {
		f.scheduler.HandleReport(f.now, id, f.now-20*time.Millisecond, scheduler.StatusReport{
			Clock: clock, Running: []scheduler.ReportedRun{{Task: task, Run: run, Percent: percent, Checkpoint: checkpoint}},
		})
	}
	clock := time.Minute + f.now + 10*time.Millisecond
	f.now += 20 * time.Millisecond
	report(clock, 60, "later")
	f.now += 10 * time.Millisecond
	report(clock-5*time.Millisecond, 40, "earlier")

	f.runs[id] = nil
	delete(f.runs, id)
	f.addInstance("b", "p")
	f.failPoll(id, scheduler.Mismatched)
	f.advance(time.Second)
	assert.Equal(t, len(f.startOrders), 2)
	assert.Equal(t, f.startOrders[1].Checkpoint, "later")
}

// TestReturnedBootIsUsedAfterLateOutcome guards against a machine that gets no work until the next leader: its next boot
// announces itself before the outcome of the move or maintenance arrives, as after an order that is answered only when repeated.
func TestReturnedBootIsUsedAfterLateOutcome(t *testing.T) {
	returnBoot := func(f *testFleet) {
		order := f.machineOrders[0]
		f.now += 2 * time.Second
		f.addInstanceOnMachine("returned", cmp.Or(order.Pool, "p"), order.Machine)
		f.scheduler.HandleMachineOutcome(f.now, order, scheduler.MachineDone)
		f.advance(time.Second)
		f.submitJobTo(map[fleet.PoolID]fleet.QueueID{"": "q", "p": "q", "o": "other"}[order.Pool], workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
		f.advance(time.Second)
		assert.Assert(f.t, len(f.startOrders) > 0, "the returned boot gets no work")
	}
	t.Run("maintenance", func(t *testing.T) {
		f := newTestFleet(t)
		f.addInstance("a", "p")
		wave := workload.Wave{Number: 7, Machines: []string{"m-a"}, TimeLimit: time.Minute, MaxConcurrent: 1}
		f.commit(state.AddWave{Wave: wave, At: state.Timestamp(f.now.Milliseconds())})
		f.scheduler.AddWave(f.now, f.now.Milliseconds(), f.state.Workload.Waves[7])
		f.advance(5 * time.Second)
		assert.Equal(t, len(f.machineOrders), 1)
		delete(f.runs, "i-a")
		returnBoot(f)
	})
	t.Run("move", func(t *testing.T) {
		f := newTestFleet(t)
		listStandbyMachines(f, 1)
		f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
		f.advance(2 * time.Second)
		assert.Equal(t, len(f.machineOrders), 1)
		returnBoot(f)
	})
}

// TestMaintenanceWaitsForReturnedBoot guards against runs that maintenance kills: the instance that a wave evacuates crashes, and
// its machine is back with a boot that runs tasks before the maintenance is ordered or after it was refused.
func TestMaintenanceWaitsForReturnedBoot(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(map[bool]string{false: "before the order", true: "after a refused order"}[refused], func(t *testing.T) {
			f := newTestFleet(t)
			f.runOnEach("a")
			wave := workload.Wave{Number: 7, Machines: []string{"m-a"}, TimeLimit: time.Minute, MaxConcurrent: 1}
			f.commit(state.AddWave{Wave: wave, At: state.Timestamp(f.now.Milliseconds())})
			f.scheduler.AddWave(f.now, f.now.Milliseconds(), f.state.Workload.Waves[7])
			f.advance(5 * time.Second)
			assert.Equal(t, len(f.machineOrders), 0, "the machine has a run")
			if refused {
				f.endRun("i-a", f.startOrders[0].Task, workload.EndedDone)
				f.advance(time.Second)
				assert.Equal(t, len(f.machineOrders), 1)
				f.scheduler.HandleMachineOutcome(f.now, f.machineOrders[0], scheduler.MachineBusy)
				f.machineOrders = nil
				f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
			}
			delete(f.runs, "i-a")
			f.addInstanceOnMachine("returned", "p", "m-a")
			for range 50 {
				f.advance(100 * time.Millisecond)
				assert.Assert(t, len(f.machineOrders) == 0 || len(f.runs["i-returned"]) == 0, "the maintenance kills a run")
			}
			for task := range f.runs["i-returned"] {
				f.endRun("i-returned", task, workload.EndedDone)
			}
			f.advance(5 * time.Second)
			assert.Assert(t, len(f.machineOrders) > 0, "the maintenance is not ordered")
		})
	}
}

// TestCrossedStopKeepsRun guards against a second run of one task: a start that is not answered may still be carried out, until a
// poll that was sent after the accepted stop does not list the run.
func TestCrossedStopKeepsRun(t *testing.T) {
	for _, tc := range []struct {
		name      string
		sentAfter bool
		lost      bool
	}{
		{"poll sent before the stop is accepted", false, false},
		{"poll sent after the stop is accepted", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(t)
			id := f.addInstance("a", "p")
			f.advance(time.Second)
			start := submitAndTakeStart(f)
			report := func(sentAt time.Duration) {
				f.now += 10 * time.Millisecond
				f.scheduler.HandleReport(f.now, id, sentAt, scheduler.StatusReport{Clock: time.Minute + f.now})
			}
			f.scheduler.HandleOrderOutcome(f.now, start, scheduler.Uncertain)
			report(f.now + time.Millisecond)
			var stop scheduler.Order
			for _, o := range f.scheduler.TakeOrders() {
				if o.Kind == scheduler.Stop {
					stop = o
				}
			}
			assert.Equal(t, stop.Run, start.Run, "no stop prevents the start")
			sentBefore := f.now + time.Millisecond
			f.now += 10 * time.Millisecond
			f.scheduler.HandleOrderOutcome(f.now, stop, scheduler.Accepted)
			f.scheduler.TakeDecisions()
			if tc.sentAfter {
				report(f.now + time.Millisecond)
			} else {
				report(sentBefore)
			}
			lost := false
			for _, d := range f.scheduler.TakeDecisions() {
				lost = lost || d.What == "run lost"
			}
			assert.Equal(t, lost, tc.lost)
		})
	}
}

// TestOvertakenAnnouncementsAreIgnored guards against a start on an instance that is draining, and against the departure of an
// instance whose later boot is in use.
func TestOvertakenAnnouncementsAreIgnored(t *testing.T) {
	startsAfter := func(t *testing.T, overtaken func(f *testFleet)) int {
		f := newTestFleet(t)
		f.addInstance("a", "p")
		f.advance(time.Second)
		overtaken(f)
		f.submitJob(workload.Step{Count: 1, Resources: workload.Resources{Processors: 1000}})
		f.advance(time.Second)
		return len(f.startOrders)
	}
	assert.Equal(t, startsAfter(t, func(f *testFleet) {
		f.announceDraining("a", "p", time.Minute)
		earlier := f.state.Workload.Enrolled["i-a"]
		f.scheduler.HandleAnnouncement(f.now, earlier)
	}), 0, "started on a draining instance")
	assert.Equal(t, startsAfter(t, func(f *testFleet) {
		f.scheduler.HandleDeparture(f.now, "i-a", f.bootMillis["i-a"]-1)
	}), 1, "the later boot is not used")
}
