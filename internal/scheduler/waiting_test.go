package scheduler_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// explainWithin5s advances the fleet by one second at a time and returns the first explanation, or none after five seconds.
func (f *testFleet) explainWithin5s() (list []scheduler.WaitingTask) {
	for n := 0; n < 5 && len(list) == 0; n++ {
		f.advance(time.Second)
		list, _ = f.scheduler.ExplainWaiting(f.now, 20)
	}
	return list
}

// publish replaces the catalogue by one with queue "q" on pool "p" and a customer limited to one processor.
func (f *testFleet) publish(advice *workload.Advice) {
	f.commit(state.PublishCatalogue{Source: []byte("x"), Catalogue: workload.Catalogue{
		Version:   2,
		Queues:    []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Objective: time.Second, Advice: advice}},
		Pools:     []workload.Pool{{Name: "p"}},
		Customers: []workload.Customer{{Name: "c", Limit: workload.Resources{Processors: 1000}}},
	}})
	f.scheduler.SetCatalogue(&f.state.Workload.Catalogue)
}

// TestWaitingTaskIsExplained checks for each cause of a wait that the explanation names it.
func TestWaitingTaskIsExplained(t *testing.T) {
	small := workload.Resources{Processors: 1000}
	for name, c := range map[string]struct {
		prepare func(f *testFleet)
		want    string
		class   string
	}{
		"customer limit": {func(f *testFleet) {
			f.addInstance("a", "p")
			f.publish(nil)
			job := workload.Job{ID: "00000000000000aa", Steps: []workload.Step{{Count: 2, Service: true, Resources: small}}}
			f.commit(state.SubmitJob{Job: job, Queue: "q", Customer: "c", At: state.Timestamp(f.now.Milliseconds())})
			f.scheduler.AddJob(f.now, f.now.Milliseconds(), f.state.Workload.Jobs[job.ID], false)
		}, `customer limit: "c" uses 1000m 0Mi 0a of 1000m 0Mi 0a, asks for 1000m 0Mi 0a`, "service"},
		"full instance": {func(f *testFleet) {
			f.addInstance("a", "p")
			f.submitJob(workload.Step{Count: 2, Resources: workload.Resources{Processors: 40000}})
		}, "no instance with room for 40000m 0Mi 0a: of 1 schedulable instances 0 admit it, 1 are full", "late"},
		"no instance": {func(f *testFleet) {
			f.submitJob(workload.Step{Count: 1, Service: true, Resources: small})
		}, "no instance with room for 1000m 0Mi 0a: of 0 schedulable instances", "service"},
		"instances that are not schedulable": {func(f *testFleet) {
			f.addInstance("a", "p")
			f.announceDraining("a", "p", time.Minute)
			f.submitJob(workload.Step{Count: 1, Service: true, Resources: small})
		}, "not schedulable: 1 draining", "service"},
		"label": {func(f *testFleet) {
			f.addInstance("a", "p")
			f.submitJob(workload.Step{Count: 1, Service: true, Resources: small, RequiredLabel: "gpu"})
		}, "of 1 schedulable instances 0 admit it, 0 are full, 1 lack the label", "service"},
		"most tasks per instance": {func(f *testFleet) {
			f.addInstance("a", "p")
			f.submitJob(workload.Step{Count: 2, Service: true, Resources: small, MaxPerInstance: 1})
		}, "0 lack the label, 1 have the most tasks", "service"},
		"advice": {func(f *testFleet) {
			f.addInstance("a", "p")
			f.publish(&workload.Advice{})
			f.submitJob(workload.Step{Count: 1, Service: true, Resources: small})
		}, "no advice for 1000m 0Mi 0a: of 1 schedulable instances 0 admit it", "service"},
		"unreconciled instance": {func(f *testFleet) {
			id := f.addInstance("a", "p")
			f.addInstance("b", "p")
			f.commitJob("00000000000000aa", workload.Step{Count: 1, Service: true, Resources: small})
			f.startLeader()
			delete(f.runs, id)
		}, "unreconciled: 1 instances may have runs of the job, first i-a with 0 failed polls, leases expire in", "service"},
		"run that is uncertain": {func(f *testFleet) {
			id := f.addInstance("a", "p")
			f.advance(time.Second)
			delete(f.runs, id)
			f.submitJob(workload.Step{Count: 1, Service: true, Resources: small})
		}, "is believed to exist: uncertain, never reported, ordered ", "service"},
		"run that stops": {func(f *testFleet) {
			f.addInstance("a", "p")
			f.addInstance("b", "p")
			f.advance(time.Second)
			f.submitJob(workload.Step{Count: 2, Gang: true, MaxPerInstance: 1, Resources: small})
			f.advance(300 * time.Millisecond)
			first := f.startOrders[0]
			delete(f.runs, f.startOrders[1].Instance)
			f.endRun(first.Instance, first.Task, workload.EndedFailed)
		}, "gang: run ", "late"},
		"gang that fits in part": {func(f *testFleet) {
			f.addInstance("a", "p")
			f.submitJob(workload.Step{Count: 2, Gang: true, Resources: workload.Resources{Processors: 40000}})
		}, "gang: too little room together for 40000m 0Mi 0a: of 1 schedulable instances 1 admit it", "late"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.taskTime = 500 * time.Millisecond // as long as a step without an estimate is expected to take
			c.prepare(f)
			list := f.explainWithin5s()
			assert.Equal(t, len(list), 1)
			assert.Assert(t, strings.Contains(list[0].Reason, c.want), list[0].Reason)
			assert.Equal(t, list[0].Class, c.class)
			assert.Assert(t, list[0].Waited > 3*time.Second, list[0].Waited)
			assert.Equal(t, list[0].Pool, fleet.PoolID("p"))
			assert.Equal(t, list[0].Inherited, name == "unreconciled instance")
		})
	}
}

// TestRoomThatIsNotTakenIsExplained checks the explanation of a task that fits but has not been placed: the scheduler has not
// run since.
func TestRoomThatIsNotTakenIsExplained(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	f.submitJob(workload.Step{Count: 1, Service: true, Resources: workload.Resources{Processors: 1000}})
	list, total := f.scheduler.ExplainWaiting(f.now+4*time.Second, 20)
	assert.Equal(t, total, 1)
	assert.Assert(t, strings.HasPrefix(list[0].Reason, "room, but reserved or not yet planned for 1000m 0Mi 0a: of 1 schedulable instances 1 admit it"), list[0].Reason)
	assert.Equal(t, list[0].Free, workload.Resources{Processors: 64000, Memory: 131072})
}

// TestExplanationsAreBounded guards against a log that a backlog fills: a call explains at most as many jobs as asked for, each
// job at most every five seconds, and jobs that were not explained before go first.
func TestExplanationsAreBounded(t *testing.T) {
	f := newTestFleet(t)
	for range 30 {
		f.submitJob(workload.Step{Count: 1, Service: true, Resources: workload.Resources{Processors: 1000}})
	}
	f.advance(4 * time.Second)
	explained := map[workload.JobID]bool{}
	for _, want := range []int{20, 10, 0} {
		list, total := f.scheduler.ExplainWaiting(f.now, 20)
		assert.Equal(t, total, 30)
		assert.Equal(t, len(list), want)
		for _, w := range list {
			assert.Assert(t, !explained[w.Task.Job])
			explained[w.Task.Job] = true
		}
	}
	f.advance(5 * time.Second)
	list, _ := f.scheduler.ExplainWaiting(f.now, 20)
	assert.Equal(t, len(list), 20)
}

// TestRunningTaskIsNotExplained checks that a task whose run an instance reports does not count as waiting.
func TestRunningTaskIsNotExplained(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.submitJob(workload.Step{Count: 1, Service: true, Resources: workload.Resources{Processors: 1000}})
	assert.Equal(t, len(f.explainWithin5s()), 0)
}
