package forecaster_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/forecaster"
)

// learned returns a forecaster that knows queue "q", of which the estimates are good to a fifth.
func learned() *forecaster.Forecaster {
	f := forecaster.New()
	g := newGenerator(1, "q", 0.2)
	for range 200 {
		g.observe(f, g.step())
	}
	return f
}

var secondTask = forecaster.Subject{Queue: "q", Customer: "a", Image: "image-1", Estimate: time.Second}

// TestQuantilesAndProbabilitiesAgree guards against a search for a quantile that stops at a wrong value.
func TestQuantilesAndProbabilitiesAgree(t *testing.T) {
	f := learned()
	rapid.Check(t, func(t *rapid.T) {
		s := secondTask
		s.Estimate = time.Duration(rapid.Int64Range(int64(100*time.Millisecond), int64(20*time.Second)).Draw(t, "estimate"))
		p := rapid.Float64Range(0.001, 0.999).Draw(t, "p")
		elapsed := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "elapsed"))
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		expected := f.Expect(s)
		q := expected.Quantile(p)
		assert.Assert(t, math.Abs(expected.Within(q)-p) < 0.01, "quantile %g is %s, within which %g are complete", p, q, expected.Within(q))
		r := expected.Remaining(elapsed, percent)
		left := r.Quantile(p)
		assert.Assert(t, left >= 0 && r.Confidence() >= 0 && r.Confidence() <= 1)
		if left > 50*time.Millisecond { // below, the rounding counts
			assert.Assert(t, math.Abs(r.Within(left)-p) < 0.01, "after %s and %d %%, quantile %g is %s, within which %g are complete", elapsed, percent, p, left, r.Within(left))
		}
		assert.Assert(t, r.Quantile(p/2) <= left, "quantiles are in order")
	})
}

// TestRemaining guards against a remaining time that does not follow progress, or that ends while a task goes on.
func TestRemaining(t *testing.T) {
	expected := learned().Expect(secondTask)
	for _, c := range []struct {
		name       string
		elapsed    time.Duration
		percent    int
		least, max time.Duration
		confidence float64
	}{
		{"not begun", 0, 0, 800 * time.Millisecond, 1200 * time.Millisecond, 0.9},
		{"no progress reported", 500 * time.Millisecond, 0, 300 * time.Millisecond, 700 * time.Millisecond, 0.9},
		{"as expected", 500 * time.Millisecond, 50, 400 * time.Millisecond, 600 * time.Millisecond, 0.9},
		{"twice as fast", 250 * time.Millisecond, 50, 150 * time.Millisecond, 350 * time.Millisecond, 0.9},
		{"seven times as slow", 3500 * time.Millisecond, 50, 3 * time.Second, 4 * time.Second, 0.9},
		{"almost done", 950 * time.Millisecond, 95, 0, 150 * time.Millisecond, 0.9},
		{"beyond ordinary runs", 3 * time.Second, 0, time.Second, 6 * time.Second, 0.9},
		{"beyond all expectation", time.Hour, 0, 10 * time.Minute, time.Hour, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := expected.Remaining(c.elapsed, c.percent)
			left := r.Typical()
			assert.Assert(t, left >= c.least && left <= c.max, "%s, want %s to %s", left, c.least, c.max)
			assert.Assert(t, r.Confidence() >= c.confidence, "confidence %.2f", r.Confidence())
		})
	}
}

// TestLongTaskDoesNotSpoilItsStep guards against a forecast for a step that one task of it, which takes seven times as long, raises.
func TestLongTaskDoesNotSpoilItsStep(t *testing.T) {
	f := learned()
	expected := f.Expect(secondTask)
	evidence := &forecaster.Evidence{}
	for _, actual := range []time.Duration{7 * time.Second, time.Second} {
		evidence.Replace(forecaster.Sample{}, f.Finished(expected, "i", false, actual))
	}
	got := expected.Given(evidence).Typical()
	assert.Assert(t, got < 1200*time.Millisecond, "%s", got)
}

// TestEvidenceIsWithdrawn guards against evidence of runs that were lost, and against sums that depend on the order of reports.
func TestEvidenceIsWithdrawn(t *testing.T) {
	f := learned()
	expected := f.Expect(secondTask)
	rapid.Check(t, func(t *rapid.T) {
		var kept, dropped forecaster.Evidence
		for i, percent := range rapid.SliceOfN(rapid.IntRange(10, 100), 1, 20).Draw(t, "percent") {
			sample := f.Progress(expected, instanceName(i%5), false, time.Second, percent)
			dropped.Replace(forecaster.Sample{}, sample)
			if i%2 == 0 {
				kept.Replace(forecaster.Sample{}, sample)
				continue
			}
			dropped.Replace(sample, forecaster.Sample{})
		}
		assert.Equal(t, expected.Given(&kept).Typical(), expected.Given(&dropped).Typical())
	})
}

// TestProgressBelowTenPercent guards against a forecast from a progress that is mostly rounding.
func TestProgressBelowTenPercent(t *testing.T) {
	f := learned()
	assert.Assert(t, !f.Progress(f.Expect(secondTask), "i", false, 100*time.Millisecond, 9).Set())
	assert.Assert(t, f.Progress(f.Expect(secondTask), "i", false, 100*time.Millisecond, 10).Set())
}

// TestAllTasksOfStep guards against a probability for one task that is taken for all of a step, and against tasks that are taken for
// independent although they share the uncertain centre of their step.
func TestAllTasksOfStep(t *testing.T) {
	f := forecaster.New()
	g := newGenerator(3, "q", 0.9)
	for range 300 {
		g.observe(f, g.step())
	}
	for _, p := range []float64{0.25, 0.5, 0.9} {
		covered, predicted := 0, 0.0
		const steps = 2000
		for range steps {
			s := g.step()
			expected := f.Expect(s.subject)
			limit := expected.QuantileOfAll(len(s.tasks), p)
			predicted += expected.WithinAll(len(s.tasks), limit) / steps
			if slices.Max(s.tasks) <= limit {
				covered++
			}
		}
		share := float64(covered) / steps
		assert.Assert(t, math.Abs(share-p) < 0.12, "quantile %.2f covers %.3f", p, share)
		assert.Assert(t, math.Abs(predicted-p) < 0.01, "quantile %.2f has the probability %.3f", p, predicted)
	}
}
