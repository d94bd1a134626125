package scheduler_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestWhereChangesNothing guards against an explanation that alters a decision: it compares all decisions of 4 s of an overloaded fleet, with
// a wave and moves, with and without explanations of new and accepted jobs. Load: 40 explanations a second.
func TestWhereChangesNothing(t *testing.T) {
	digest := func(explain bool) string {
		f := newLargeFleet(7, 0)
		f.digest = sha256.New()
		f.varied = true
		for i := 0; f.now-f.start < 4*time.Second; i++ {
			f.advance()
			if !explain || i%6 != 0 {
				continue
			}
			for _, queue := range []fleet.QueueID{"counter", "studio-hold"} {
				step := counterStep
				step.Service = queue == "studio-hold"
				_, ok := f.scheduler.Where(workload.Job{Steps: []workload.Step{step, {Count: 2, Gang: true, After: []int{0}}}}, queue, customerName(i%20))
				assert.Assert(t, ok)
			}
			for _, id := range f.jobs[max(0, len(f.jobs)-3):] {
				f.scheduler.WhereWaiting(id)
			}
		}
		return hex.EncodeToString(f.digest.Sum(nil))
	}
	assert.Equal(t, digest(true), digest(false))
}

// TestWhereNamesWhatRulesOut guards against an explanation that does not name the rule by which a task finds no place.
func TestWhereNamesWhatRulesOut(t *testing.T) {
	large := workload.Step{Count: 3, Resources: workload.Resources{Processors: 40000}, Estimate: time.Second}
	for _, c := range []struct {
		name    string
		prepare func(f *testFleet)
		step    func(st *workload.Step)
		fits    int
		changes string
	}{
		{"room", nil, func(st *workload.Step) { st.Count = 2 }, 2, ""},
		{"full", nil, func(*workload.Step) {}, 2, ""},
		{"full with others", func(f *testFleet) { f.submitJob(large); f.advance(time.Second) }, func(*workload.Step) {}, 0, "2 of 2 instances are full: 3 more tasks of 40000m 0Mi 0a need room"},
		{"pool size", nil, func(*workload.Step) {}, 2, "the pool has 2 instances and gets 2; 0 machines are on standby"},
		{"too large", nil, func(st *workload.Step) { st.Resources.Processors = 65000 }, 0, "no instance of the fleet can hold a task of 65000m 0Mi 0a"},
		{"label", nil, func(st *workload.Step) { st.RequiredLabel = "gpu" }, 0, `with label "gpu"`},
		{"gang", nil, func(st *workload.Step) { st.Gang = true }, 0, "gang: all tasks need room together"},
		{"limit", nil, func(st *workload.Step) { st.Count, st.Resources.Memory = 1, 5000 }, 1, "customer limit: uses 0m 0Mi 0a of 0m 4096Mi 0a, asks for 40000m 5000Mi 0a"},
		{"drained", func(f *testFleet) { f.scheduler.SetDrainedDataCentres(map[fleet.DataCentreID]bool{"": true}) }, func(*workload.Step) {}, 0, "in drained data centre"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			catalogue := f.state.Workload.Catalogue
			catalogue.Customers = []workload.Customer{{Name: "c", Weight: 3, Limit: workload.Resources{Memory: 4096}}}
			f.scheduler.SetCatalogue(&catalogue)
			f.addInstance("a", "p")
			f.addInstance("b", "p")
			f.scheduler.SetMachines([]scheduler.Machine{{Name: "m-c", Pool: "off", Available: true}})
			f.advance(500 * time.Millisecond)
			if c.prepare != nil {
				c.prepare(f)
			}
			step := large
			c.step(&step)
			p, ok := f.scheduler.Where(workload.Job{Steps: []workload.Step{step}}, "q", "c")
			assert.Assert(t, ok)
			assert.Equal(t, p.Pool, fleet.PoolID("p"))
			assert.Equal(t, p.Class, "on time")
			assert.Equal(t, p.Steps[0].Fits, c.fits)
			assert.Equal(t, len(p.Instances), 2)
			assert.Assert(t, cmp.Contains(strings.Join(p.Changes, "; "), c.changes))
		})
	}
	f := newTestFleet(t)
	_, ok := f.scheduler.Where(workload.Job{Steps: []workload.Step{large}}, "unknown", "")
	assert.Assert(t, !ok)
}

// TestWhereWaiting guards against an explanation of an accepted job that leaves out what is done, what waits for other steps, and what is ahead.
func TestWhereWaiting(t *testing.T) {
	f := newTestFleet(t)
	f.addInstance("a", "p")
	f.advance(500 * time.Millisecond)
	first := f.submitJob(workload.Step{Count: 9, Resources: workload.Resources{Processors: 10000}, Estimate: 30 * time.Second})
	f.advance(200 * time.Millisecond)
	step := workload.Step{Count: 2, Resources: workload.Resources{Processors: 10000}, Estimate: 40 * time.Second}
	later := step
	later.After = []int{0}
	id := f.submitJobTo("q", step, later)
	f.advance(200 * time.Millisecond)
	p, ok := f.scheduler.WhereWaiting(id)
	assert.Assert(t, ok)
	assert.Equal(t, p.Ahead, 3, "the tasks of the first job that wait")
	assert.DeepEqual(t, []string{p.Steps[0].State, p.Steps[1].State}, []string{"waits for a place", "waits for steps [0]"})
	assert.Equal(t, p.Steps[0].RuledOut["full"], 1)
	p, ok = f.scheduler.WhereWaiting(first)
	assert.Assert(t, ok)
	assert.Equal(t, p.Steps[0].Waiting, 3)
	assert.Assert(t, p.Share > 0.9 && p.Share < 1 && p.Entitled == 1, "%+v", p)
	f.scheduler.CancelJob(f.now, first)
	_, ok = f.scheduler.WhereWaiting(first)
	assert.Assert(t, !ok)
}

// TestWhereIsBounded guards against explanations that grow with the fleet, the job or the tasks of a step.
func TestWhereIsBounded(t *testing.T) {
	f := newLargeFleet(1, 0)
	for range 50 {
		f.advance()
	}
	job := workload.Job{}
	for range 256 {
		job.Steps = append(job.Steps, workload.Step{Count: 390, Resources: workload.Resources{Processors: 1}, RequiredLabel: "label"})
	}
	start := time.Now()
	p, ok := f.scheduler.Where(job, "counter", "")
	t.Logf("took %s", time.Since(start))
	assert.Assert(t, ok)
	text, err := json.Marshal(p)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 16<<10, "%d bytes", len(text))
	assert.Equal(t, len(p.Steps)+p.StepsOmitted, 256)
	assert.Equal(t, len(p.Instances), 20, fmt.Sprint(p.Instances))
	assert.Equal(t, p.Steps[0].Fits, 390)
}
