package forecaster_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forecaster"
)

// errors are the median errors over many steps.
type errors struct{ forecast, estimate, evidence float64 }

// measure returns the errors of forecasts, of estimates, and of forecasts that know two tasks of the step. It does not observe.
func measure(f *forecaster.Forecaster, g *generator, steps int) errors {
	var forecasts, estimates, evidences []float64
	for range steps {
		s := g.step()
		expected := f.Expect(s.subject)
		forecasts = append(forecasts, logError(expected.Typical(), s.base))
		estimates = append(estimates, logError(s.subject.Estimate, s.base))
		evidence := &forecaster.Evidence{}
		for _, actual := range s.tasks[:min(2, len(s.tasks))] {
			evidence.Replace(forecaster.Sample{}, f.Finished(expected, "i", false, actual))
		}
		evidences = append(evidences, logError(expected.Given(evidence).Typical(), s.base))
	}
	return errors{median(forecasts), median(estimates), median(evidences)}
}

// TestErrorAgainstEstimates guards against forecasts that are worse than the estimates of callers, good or poor, and against too little
// use of the tasks of a step that have finished. The times and errors are those of the deployments.
func TestErrorAgainstEstimates(t *testing.T) {
	for _, c := range []struct {
		estimateError float64
		jobs          int
		// bounds are on the error of the forecast relative to that of the estimate, and of the forecast with evidence in itself.
		ratio, evidence float64
	}{
		{0.2, 5, 1.1, 0.11},
		{0.2, 20, 1.1, 0.1},
		{0.2, 300, 1.05, 0.1},
		{0.9, 5, 1.1, 0.14},
		{0.9, 20, 0.85, 0.14},
		{0.9, 300, 0.75, 0.14},
	} {
		t.Run(fmt.Sprintf("error %.1f, %d jobs", c.estimateError, c.jobs), func(t *testing.T) {
			var sum errors
			const seeds = 5
			for seed := range int64(seeds) {
				f := forecaster.New()
				g := newGenerator(seed, "q", c.estimateError)
				for range c.jobs {
					g.observe(f, g.step())
				}
				e := measure(f, g, 500)
				sum.forecast, sum.estimate, sum.evidence = sum.forecast+e.forecast/seeds, sum.estimate+e.estimate/seeds, sum.evidence+e.evidence/seeds
			}
			t.Logf("median errors: %.3f", sum)
			assert.Assert(t, sum.forecast <= c.ratio*sum.estimate, "forecast %.3f, estimate %.3f", sum.forecast, sum.estimate)
			assert.Assert(t, sum.evidence <= c.evidence, "with two tasks of the step %.3f", sum.evidence)
		})
	}
}

// TestQuantilesCover guards against quantiles that decisions cannot rely on.
func TestQuantilesCover(t *testing.T) {
	for _, estimateError := range []float64{0.2, 0.9} {
		f := forecaster.New()
		g := newGenerator(3, "q", estimateError)
		for range 300 {
			g.observe(f, g.step())
		}
		for _, p := range []float64{0.1, 0.5, 0.9, 0.99} {
			covered, total := 0, 0
			for range 2000 {
				s := g.step()
				expected := f.Expect(s.subject)
				for _, actual := range s.tasks {
					total++
					if actual <= expected.Quantile(p) {
						covered++
					}
				}
			}
			share := float64(covered) / float64(total)
			assert.Assert(t, share > p-0.06 && share < p+0.06, "error %.1f: quantile %.2f covers %.3f", estimateError, p, share)
		}
	}
}

// TestNothingObserved guards against forecasts that differ from the estimate while nothing is known, and for queues that are unknown.
func TestNothingObserved(t *testing.T) {
	f := forecaster.New()
	expected := f.Expect(forecaster.Subject{Queue: "q", Estimate: 3 * time.Second})
	assert.Equal(t, expected.Typical(), 3*time.Second)
	assert.Equal(t, expected.Confidence(), 0.0)
	assert.Equal(t, f.Expect(forecaster.Subject{Queue: "q"}).Typical(), 500*time.Millisecond)
	assert.Equal(t, f.InstanceSpeed("i"), forecaster.Speed{Factor: 1})
}

// TestUnknownQueueLearnsFromOthers guards against a queue that starts from nothing while others show that estimates are twice too low.
func TestUnknownQueueLearnsFromOthers(t *testing.T) {
	f := forecaster.New()
	g := newGenerator(1, "q", 0)
	for range 50 {
		s := g.step()
		s.subject.Estimate /= 2
		g.observe(f, s)
	}
	expected := f.Expect(forecaster.Subject{Queue: "new", Estimate: time.Second}).Typical()
	assert.Assert(t, expected > 1600*time.Millisecond && expected < 2200*time.Millisecond, "%s", expected)
}

// TestFewSamples guards against a forecast that one run changes too much or three do not change at all.
func TestFewSamples(t *testing.T) {
	f := forecaster.New()
	s := forecaster.Subject{Queue: "q", Customer: "c", Image: "m", Estimate: time.Second}
	previous := time.Second
	for n, least := range []time.Duration{1100 * time.Millisecond, 1250 * time.Millisecond, 1350 * time.Millisecond} {
		f.Observe(forecaster.Run{Subject: s, Actual: 2 * time.Second, Tasks: 1})
		expected := f.Expect(s).Typical()
		assert.Assert(t, expected > previous && expected >= least && expected < 2*time.Second, "%d runs: %s", n+1, expected)
		previous = expected
	}
	assert.Assert(t, f.Expect(s).Confidence() < 0.5)
}

// TestStepsWithoutEstimate guards against half a second for every step without an estimate.
func TestStepsWithoutEstimate(t *testing.T) {
	f := forecaster.New()
	g := newGenerator(1, "q", 0)
	g.spread = 0.3
	for range 40 {
		s := g.step()
		s.subject.Estimate = 0
		g.observe(f, s)
	}
	s := g.step()
	s.subject.Estimate = 0
	expected := f.Expect(s.subject).Typical()
	assert.Assert(t, expected > time.Second && expected < 1400*time.Millisecond, "%s", expected)
}

// TestMemoryIsBounded guards against a leader that grows with each new customer, image or instance.
func TestMemoryIsBounded(t *testing.T) {
	f := forecaster.New(forecaster.WithLimits(8, 16, 16, 16))
	known := forecaster.Subject{Queue: "known", Customer: "c", Image: "m", Estimate: time.Second}
	for i := range 2000 {
		name := fmt.Sprint(i)
		f.Observe(forecaster.Run{Tasks: 1, Actual: time.Second, Instance: fleet.InstanceID(name), Subject: forecaster.Subject{
			Queue: fleet.QueueID(name), Customer: fleet.CustomerID(name), Image: name, Estimate: time.Second,
		}})
		if i%4 == 0 {
			f.Observe(forecaster.Run{Tasks: 1, Actual: 3 * time.Second, Instance: "known", Subject: known})
		}
	}
	queues, customers, images, instances := f.Size()
	assert.Assert(t, queues <= 8 && customers <= 16 && images <= 16 && instances <= 16, "%d %d %d %d", queues, customers, images, instances)
	expected := f.Expect(known).Typical()
	assert.Assert(t, expected > 2700*time.Millisecond, "what is observed often is kept: %s", expected)
}

// TestInvalidRuns guards against values that make every later forecast invalid.
func TestInvalidRuns(t *testing.T) {
	f := forecaster.New()
	s := forecaster.Subject{Queue: "q", Estimate: time.Second}
	for _, r := range []forecaster.Run{
		{Subject: s, Actual: 0}, {Subject: s, Actual: -time.Second}, {Subject: forecaster.Subject{Queue: "q", Estimate: -1}, Actual: time.Second},
	} {
		f.Observe(r)
	}
	assert.Equal(t, f.Expect(s).Typical(), time.Second)
	f.Observe(forecaster.Run{Subject: s, Actual: 1 << 62, Tasks: -1})
	f.Observe(forecaster.Run{Subject: forecaster.Subject{Queue: "q", Estimate: 1 << 62}, Actual: 1})
	expected := f.Expect(s)
	assert.Assert(t, expected.Typical() > 0 && expected.Quantile(0.99) > expected.Typical())
}

// TestAnswersDoNotAllocate guards against planning runs that the garbage collector slows down.
func TestAnswersDoNotAllocate(t *testing.T) {
	f := forecaster.New()
	g := newGenerator(1, "q", 0.9)
	for range 50 {
		g.observe(f, g.step())
	}
	s := g.step().subject
	expected := f.Expect(s)
	evidence := &forecaster.Evidence{}
	sample := f.Finished(expected, "i", false, time.Second)
	allocations := testing.AllocsPerRun(100, func() {
		evidence.Replace(sample, sample)
		e := f.Expect(s).Given(evidence)
		r := e.Remaining(300*time.Millisecond, 20)
		_ = e.Typical() + e.Quantile(0.9) + r.Quantile(0.9)
		_ = e.Within(time.Second) + r.Within(time.Second) + f.InstanceSpeed("i-aa").Factor
	})
	assert.Equal(t, allocations, 0.0)
}

// TestStepsOfOneJob guards against forecasts that ignore by which factor a caller was wrong in the other steps of a job, and against those that
// follow it where each step is estimated by itself.
func TestStepsOfOneJob(t *testing.T) {
	for _, c := range []struct {
		name      string
		perJob    bool
		maxChange float64
	}{{"one factor for a job", true, 0.6}, {"a factor for each step", false, 1.05}} {
		t.Run(c.name, func(t *testing.T) {
			f := forecaster.New()
			g := newGenerator(7, "q", 0.9)
			var alone, alongside []float64
			for i := range 600 {
				first, second := g.step(), g.step()
				ratio := first.base.Seconds() / first.subject.Estimate.Seconds()
				if c.perJob {
					second.subject.Estimate = scale(second.base, 1/ratio)
				}
				second.subject.Customer = first.subject.Customer
				g.observe(f, first)
				sibling := scale(second.subject.Estimate, ratio)
				expected := f.Expect(second.subject)
				if i > 300 {
					alone = append(alone, logError(expected.Typical(), second.base))
					alongside = append(alongside, logError(expected.Alongside(sibling).Typical(), second.base))
				}
				for _, actual := range second.tasks {
					f.Observe(forecaster.Run{Subject: second.subject, Actual: actual, Tasks: len(second.tasks), Sibling: sibling})
				}
			}
			before, after := median(alone), median(alongside)
			t.Logf("median errors: %.3f alone, %.3f alongside", before, after)
			assert.Assert(t, after <= c.maxChange*before, "%.3f, then %.3f", before, after)
		})
	}
}
