package forecaster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/forecaster"
)

// TestImageThatChanges guards against forecasts from the samples of an earlier version of an image, under a new name or under the same.
func TestImageThatChanges(t *testing.T) {
	for _, c := range []struct {
		name, image string
		factor      float64
		jobs        int
	}{
		{"new name, four times as long", "image-2", 4, 12},
		{"same name, four times as long", "image-1", 4, 15},
		{"same name, seven times as long", "image-1", 7, 15},
		{"same name, a quarter", "image-1", 0.25, 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := forecaster.New()
			g := newGenerator(2, "q", 0)
			for range 150 {
				s := g.step()
				s.subject.Customer = "a"
				g.observe(f, s)
			}
			g.image = c.image
			for range c.jobs {
				s := g.step()
				s.subject.Customer = "a"
				for i := range s.tasks {
					s.tasks[i] = scale(s.tasks[i], c.factor)
				}
				g.observe(f, s)
			}
			got := f.Expect(forecaster.Subject{Queue: "q", Customer: "a", Image: c.image, Estimate: time.Second}).Typical().Seconds()
			assert.Assert(t, got > 0.7*c.factor && got < 1.45*c.factor, "%.2f s, want %.2f s", got, c.factor)
		})
	}
}

// TestMisreportingCustomer guards against a customer whose tasks end at once, or whose estimates are random, and spoils the forecasts for
// the others of its queue. It sends four times as many jobs as the others together.
func TestMisreportingCustomer(t *testing.T) {
	for _, c := range []struct {
		name      string
		misreport func(g *generator, s *step)
	}{
		{"ends at once", func(_ *generator, s *step) {
			for i := range s.tasks {
				s.tasks[i] = 5 * time.Millisecond
			}
		}},
		{"random estimates", func(g *generator, s *step) {
			s.subject.Estimate = scale(time.Second, 0.001+1000*g.random.Float64())
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := forecaster.New()
			g := newGenerator(5, "q", 0.2)
			for i := range 400 {
				s := g.step()
				if i%5 > 0 {
					s.subject.Customer, s.subject.Image = "misreporting", "other"
					c.misreport(g, &s)
				}
				g.observe(f, s)
			}
			e := measure(f, g, 500)
			assert.Assert(t, e.forecast < 1.5*e.estimate, "error %.3f, that of the estimates %.3f", e.forecast, e.estimate)
			unknown := g.step().subject
			unknown.Customer, unknown.Estimate = "new", time.Second
			expected := f.Expect(unknown).Typical()
			assert.Assert(t, expected > 400*time.Millisecond && expected < 2*time.Second, "a new customer's tasks: %s", expected)
		})
	}
}

// TestTasksOfOneCustomerThatDiffer guards against a customer whose tasks of a step differ a millionfold, so that what finished tasks of a step show
// counts for nothing for the customers of other queues.
func TestTasksOfOneCustomerThatDiffer(t *testing.T) {
	f, _ := trained(t)
	g := newGenerator(7, "q", 0.9)
	siblings := func() *forecaster.Evidence {
		var e forecaster.Evidence
		for range 4 {
			e.Replace(forecaster.Sample{}, f.Finished(f.Expect(secondTask), "i", false, 3*time.Second))
		}
		return &e
	}
	before := f.Expect(secondTask)
	beforeGiven := before.Given(siblings())
	var odd forecaster.Evidence
	odd.Replace(forecaster.Sample{}, f.Finished(before, "j", false, time.Second))
	for i := range 400 {
		run := forecaster.Run{Actual: time.Millisecond, Tasks: 1, Evidence: &odd, Subject: forecaster.Subject{Queue: "odd", Customer: "odd", Estimate: time.Second}}
		if i%2 == 0 {
			run.Actual = 20 * time.Hour
		}
		f.Observe(run)
		if i%4 == 0 {
			g.observe(f, g.step())
		}
	}
	after := f.Expect(secondTask)
	for what, pair := range map[string][2]time.Duration{
		"after other tasks of the step": {beforeGiven.Typical(), after.Given(siblings()).Typical()},
		"all of 16 tasks":               {before.QuantileOfAll(16, 0.5), after.QuantileOfAll(16, 0.5)},
	} {
		ratio := pair[1].Seconds() / pair[0].Seconds()
		assert.Check(t, ratio > 0.8 && ratio < 1.25, "%s: %s, then %s", what, pair[0], pair[1])
	}
}
