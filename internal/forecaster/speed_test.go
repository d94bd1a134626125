package forecaster_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forecaster"
)

// observeOn shows steps whose tasks run on random instances, or all on one if together is set, and take as much longer as slow says.
func observeOn(f *forecaster.Forecaster, g *generator, jobs int, together bool, slow map[fleet.InstanceID]float64) {
	for range jobs {
		s := g.step()
		evidence := &forecaster.Evidence{}
		expected := f.Expect(s.subject)
		id := instanceName(g.random.Intn(g.instances))
		for _, actual := range slices.Sorted(slices.Values(s.tasks)) {
			if !together {
				id = instanceName(g.random.Intn(g.instances))
			}
			if factor := slow[id]; factor > 0 {
				actual = scale(actual, factor)
			}
			f.Observe(forecaster.Run{Subject: s.subject, Actual: actual, Tasks: len(s.tasks), Instance: id, Evidence: evidence})
			evidence.Replace(forecaster.Sample{}, f.Finished(expected, id, false, actual))
		}
	}
}

// TestSlowInstancesAreNamed guards against a slow instance that gets as much work as the others, with poor estimates and with all tasks
// of a step on one instance, and against others that are called slow because some of their tasks take seven times as long.
func TestSlowInstancesAreNamed(t *testing.T) {
	for _, c := range []struct {
		name          string
		estimateError float64
		together      bool
	}{{"tasks apart", 0.9, false}, {"tasks together", 0.2, true}} {
		t.Run(c.name, func(t *testing.T) {
			f := forecaster.New()
			g := newGenerator(4, "q", c.estimateError)
			slow := map[fleet.InstanceID]float64{instanceName(3): 2.5, instanceName(9): 3}
			observeOn(f, g, 600, c.together, slow)
			assert.DeepEqual(t, f.SlowInstances(), []fleet.InstanceID{instanceName(3), instanceName(9)})
			for id, factor := range slow {
				got := f.InstanceSpeed(id).Factor
				assert.Assert(t, math.Abs(math.Log(got*factor)) < 0.3, "%s has speed %.2f, want %.2f", id, got, 1/factor)
			}
		})
	}
}

// TestInstanceRecovers guards against an instance that stays named as slow after it has its usual speed again.
func TestInstanceRecovers(t *testing.T) {
	f := forecaster.New()
	g := newGenerator(4, "q", 0.2)
	observeOn(f, g, 400, false, map[fleet.InstanceID]float64{instanceName(3): 3})
	assert.Assert(t, f.InstanceSpeed(instanceName(3)).Slow)
	observeOn(f, g, 400, false, nil)
	assert.Assert(t, !f.InstanceSpeed(instanceName(3)).Slow)
}

// TestSlowInstanceDoesNotRaiseForecasts guards against a queue that counts as slow because one of its instances is.
func TestSlowInstanceDoesNotRaiseForecasts(t *testing.T) {
	f := forecaster.New()
	g := newGenerator(4, "q", 0)
	g.instances = 4
	observeOn(f, g, 400, false, map[fleet.InstanceID]float64{instanceName(0): 4})
	expected := f.Expect(secondTask).Typical()
	assert.Assert(t, expected < 1150*time.Millisecond, "%s", expected)
}

// TestStoppedRunsShowSlowInstance guards against a stalled instance that ends nothing and so is never named.
func TestStoppedRunsShowSlowInstance(t *testing.T) {
	f := learned()
	before := f.Expect(secondTask).Typical()
	for range 6 {
		f.ObserveUnfinished(forecaster.Run{Subject: secondTask, Actual: 200 * time.Millisecond, Tasks: 1, Instance: "preempted"})
		f.ObserveUnfinished(forecaster.Run{Subject: secondTask, Actual: 5 * time.Second, Tasks: 1, Instance: "stalled"})
	}
	assert.DeepEqual(t, f.SlowInstances(), []fleet.InstanceID{"stalled"})
	assert.Equal(t, f.Expect(secondTask).Typical(), before)
}

// TestRemoteRuns guards against forecasts near the data that runs away from it have raised.
func TestRemoteRuns(t *testing.T) {
	f := learned()
	g := newGenerator(6, "q", 0)
	for range 200 {
		s := g.step()
		f.Observe(forecaster.Run{Subject: s.subject, Actual: 2 * s.base, Tasks: 1, Remote: true})
	}
	expected := f.Expect(secondTask).Typical()
	assert.Assert(t, expected > 850*time.Millisecond && expected < 1200*time.Millisecond, "%s", expected)
	assert.Assert(t, math.Abs(f.RemoteFactor()-2) < 0.3, "%.2f", f.RemoteFactor())
}
