package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestMachineKeptUntilEndsAreCommitted guards against a task that is started again after it was done: a move or maintenance
// shuts down the instance that lists the end, and the session ends before the end is committed.
func TestMachineKeptUntilEndsAreCommitted(t *testing.T) {
	t.Run("maintenance", func(t *testing.T) {
		f := newTestFleet(t)
		f.runOnEach("a")
		wave := workload.Wave{Number: 7, Machines: []string{"m-a"}, TimeLimit: time.Minute, MaxConcurrent: 1}
		f.commit(state.AddWave{Wave: wave, At: state.Timestamp(f.now.Milliseconds())})
		f.scheduler.AddWave(f.now, f.now.Milliseconds(), f.state.Workload.Waves[7])
		f.advance(5 * time.Second)
		assert.Equal(t, len(f.machineOrders), 0, "the machine has a run")
		f.assertKeptUntilCommit()
	})
	t.Run("move", func(t *testing.T) {
		f := newTestFleet(t)
		f.runOnEach("a", "b", "c", "d")
		listStandbyMachines(f, 0)
		f.advance(time.Second)
		assert.Equal(t, len(f.machineOrders), 0, "every machine has a run")
		f.assertKeptUntilCommit()
	})
}

// TestInstanceStaysEnrolledUntilEndsAreCommitted guards against a task that is started again after it was done: the instance
// that lists the end is deregistered, and the session ends before the end is committed, so that the next leader does not
// poll the instance.
func TestInstanceStaysEnrolledUntilEndsAreCommitted(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leave func(f *testFleet)
	}{
		{"draining", func(f *testFleet) { f.announceDraining("a", "p", time.Minute) }},
		{"departed", func(f *testFleet) { f.scheduler.HandleDeparture(f.now, "i-a", f.bootMillis["i-a"]) }},
		{"unreachable", func(f *testFleet) { f.failPoll("i-a", scheduler.Uncertain) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.runOnEach("a")
			f.endRun("i-a", f.startOrders[0].Task, workload.EndedDone)
			f.now += 100 * time.Millisecond
			f.pollAll()
			tc.leave(f)
			for range 100 {
				f.now += 100 * time.Millisecond
				f.scheduler.Tick(f.now, f.now.Milliseconds())
				assert.Equal(t, len(f.scheduler.TakeDeregistrations().Instances), 0, "deregistered before the end is committed")
			}
			_, _, batch := f.scheduler.TakeEnds()
			f.scheduler.ConfirmEnds(batch)
			f.now += 100 * time.Millisecond
			f.scheduler.Tick(f.now, f.now.Milliseconds())
			assert.Equal(t, len(f.scheduler.TakeDeregistrations().Instances), 1, "not deregistered after the commit")
		})
	}
}

// runOnEach adds instances to pool "p" and starts a task that fills an instance on each of them.
func (f *testFleet) runOnEach(names ...string) {
	for _, name := range names {
		f.addInstance(name, "p")
	}
	f.submitJob(workload.Step{Count: len(names), Resources: workload.Resources{Processors: 64000}})
	f.advance(time.Second)
	assert.Equal(f.t, len(f.startOrders), len(names))
}

// assertKeptUntilCommit ends all runs as done and checks that no machine is ordered while the ends are not committed, and that
// one is afterwards.
func (f *testFleet) assertKeptUntilCommit() {
	for _, o := range f.startOrders {
		f.endRun(o.Instance, o.Task, workload.EndedDone)
	}
	for range 40 {
		f.now += 100 * time.Millisecond
		f.pollAll()
		f.scheduler.Tick(f.now, f.now.Milliseconds())
		for _, o := range f.scheduler.TakeMachineOrders() {
			f.t.Fatalf("machine %s is ordered before the end of its run is committed", o.Machine)
		}
	}
	f.advance(4 * time.Second)
	assert.Assert(f.t, len(f.machineOrders) > 0, "no machine is ordered after the commit")
}
