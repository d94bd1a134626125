package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// admittingFleet is a large fleet of which the leader examines jobs. Run times have been learned.
type admittingFleet struct {
	*largeFleet
	backlog           *scheduler.Backlog
	measuredAt        time.Duration
	accepted, refused int
}

// counterStep is one of which the whole fleet does 68 jobs of 40 tasks a second.
var counterStep = workload.Step{Count: 40, Resources: workload.Resources{Processors: 4100, Memory: 7500}, Estimate: time.Second}

func newAdmittingFleet() *admittingFleet {
	f := &admittingFleet{largeFleet: newLargeFleet(1, 0)}
	f.runFor(200*time.Millisecond, 0)
	f.runFor(1500*time.Millisecond, 20)
	f.runFor(2*time.Second, 0)
	return f
}

// runFor runs the fleet for a time, in which jobs arrive at a rate.
func (f *admittingFleet) runFor(d time.Duration, jobsPerSecond float64) {
	due := 0.0
	f.workload = func(time.Duration) {
		for due += jobsPerSecond * largeFleetStep.Seconds(); due >= 1; due-- {
			f.handIn("counter", customerName((f.accepted+f.refused)%20), workload.Job{Steps: []workload.Step{counterStep}})
		}
	}
	for end := f.now + d; f.now < end; {
		f.advance()
		if f.now-f.measuredAt >= 250*time.Millisecond {
			f.backlog, f.measuredAt = f.scheduler.MeasureBacklog(), f.now
		}
	}
}

// handIn examines a job, and submits it if it is accepted.
func (f *admittingFleet) handIn(queue fleet.QueueID, customer fleet.CustomerID, job workload.Job) bool {
	if f.scheduler.Admit(f.now, f.backlog, &job, queue, customer).Refused {
		f.refused++
		return false
	}
	f.accepted++
	f.submit(queue, customer, job.Steps...)
	return true
}

// TestBurstOfTwiceTheCapacity guards against refusals in a burst that ends before the jobs are worth nothing. Load: for 3 s, jobs of one pool
// for twice the capacity of the whole fleet.
func TestBurstOfTwiceTheCapacity(t *testing.T) {
	f := newAdmittingFleet()
	f.runFor(3*time.Second, 2*68)
	assert.Equal(t, f.refused, 0, "of %d", f.accepted)
	assert.Assert(t, f.accepted > 400, "%d", f.accepted)
}

// TestReturnAfterOutage guards against jobs that are accepted although more work waits than can be done before it is worth nothing, and
// against refusals once that is over. Load: no instance answers for a second, and then 2,500 jobs arrive within 0.2 s, for which the fleet needs 37 s.
func TestReturnAfterOutage(t *testing.T) {
	f := newAdmittingFleet()
	cut := func(cut bool) {
		for _, in := range f.instances {
			in.cut = cut
		}
	}
	cut(true)
	f.runFor(time.Second, 0)
	cut(false)
	before := f.accepted
	f.runFor(200*time.Millisecond, 12500)
	t.Logf("%d of %d accepted", f.accepted-before, f.accepted-before+f.refused)
	assert.Assert(t, f.refused > 500, "%d refused", f.refused)
	assert.Assert(t, f.accepted-before > 650, "%d accepted: the fleet does about 600 before they are worth nothing", f.accepted-before)
	for name, job := range map[string]workload.Job{
		"service":     {Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 1000}, Service: true}}},
		"best effort": {Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 1000}, BestEffort: true}}},
		"scheduled":   {Steps: []workload.Step{counterStep}, Repetitions: 1, FirstDueMillis: 1},
		"too large":   {Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 33000}}}},
		"no label":    {Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 1000}, RequiredLabel: "none"}}},
	} {
		assert.Assert(t, !f.scheduler.Admit(f.now, f.backlog, &job, "counter", customerName(0)).Refused, name)
	}
	f.refused = 0
	f.runFor(500*time.Millisecond, 20)
	assert.Equal(t, f.refused, 0, "half a second after the return of the callers")
}

// TestBacklogOfNewLeader guards against refusals by a leader that does not know yet what runs, or which machines its pools can get.
func TestBacklogOfNewLeader(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	assert.Assert(t, f.scheduler.MeasureBacklog() == nil, "the machines are not listed")
	f.scheduler.SetMachines([]scheduler.Machine{{Name: "m-a", Pool: "p", Available: true}, {Name: "m-b", Pool: "off", Available: true}})
	assert.Equal(t, f.scheduler.MeasureBacklog().Pool("p").Processors(), 128.0)
	assert.Equal(t, f.scheduler.MeasureBacklog().Pool("o").Processors(), 128.0)
	f.startLeader()
	f.scheduler.SetMachines([]scheduler.Machine{{Name: "m-a", Pool: "p", Available: true}})
	assert.Assert(t, f.scheduler.MeasureBacklog() == nil, "the runs of the earlier leader are not known")
}

// TestBacklogLeavesOut guards against refusals because of work that does not hold up other jobs while it waits.
func TestBacklogLeavesOut(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	f.scheduler.SetMachines([]scheduler.Machine{{Name: "m-a", Pool: "p", Available: true}})
	processor := workload.Resources{Processors: 1000}
	for _, step := range []workload.Step{
		{Count: 1, Resources: processor, Service: true}, {Count: 1, Resources: processor, BestEffort: true}, {Count: 2, Resources: processor, Gang: true},
		{Count: 1, Resources: processor, RequiredLabel: "none"}, {Count: 1, Resources: processor, MaxPerInstance: 1}, {Count: 1, Resources: workload.Resources{Memory: 1}},
	} {
		f.submitJob(step)
	}
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	assert.Equal(t, float64(f.scheduler.MeasureBacklog().Pool("p").Total()), 0.0)
	f.submitJob(workload.Step{Count: 2, Resources: processor, Estimate: time.Second})
	f.scheduler.Tick(f.now, f.now.Milliseconds())
	total := float64(f.scheduler.MeasureBacklog().Pool("p").Total())
	assert.Assert(t, total > 0.5 && total < 2, "%g", total)
}

// TestBacklogExplainsWaiting guards against waiting tasks that do not name the work by which new jobs are refused.
func TestBacklogExplainsWaiting(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(time.Second)
	f.scheduler.SetMachines([]scheduler.Machine{{Name: "m-a", Pool: "p", Available: true}})
	for range 10 {
		f.submitJob(workload.Step{Count: 20, Resources: workload.Resources{Processors: 4000}, Estimate: time.Second})
	}
	f.advance(4 * time.Second)
	f.scheduler.MeasureBacklog()
	list, _ := f.scheduler.ExplainWaiting(f.now, 1)
	assert.Equal(t, len(list), 1)
	assert.Assert(t, cmp.Contains(list[0].Reason, "processor-seconds on at most 64 processors"))
}
