package forecaster_test

import (
	"testing"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/forecaster"
)

// BenchmarkForecaster measures the calls that a scheduler makes: Expect once a second for each step that waits, the rest for each decision
// or report.
func BenchmarkForecaster(b *testing.B) {
	f := learned()
	expected := f.Expect(secondTask)
	evidence := &forecaster.Evidence{}
	sample := f.Finished(expected, "i", false, time.Second)
	evidence.Replace(forecaster.Sample{}, sample)
	left := expected.Remaining(400*time.Millisecond, 30)
	for _, c := range []struct {
		name string
		call func()
	}{
		{"expect", func() { f.Expect(secondTask) }},
		{"given", func() { expected.Given(evidence) }},
		{"typical", func() { expected.Typical() }},
		{"within", func() { expected.Within(time.Second) }},
		{"within-all", func() { expected.WithinAll(12, time.Second) }},
		{"quantile", func() { expected.Quantile(0.9) }},
		{"remaining", func() { expected.Remaining(400*time.Millisecond, 30) }},
		{"remaining-within", func() { left.Within(time.Second) }},
		{"remaining-quantile", func() { left.Quantile(0.9) }},
		{"progress", func() {
			evidence.Replace(sample, f.Progress(expected, "i", false, time.Second, 60))
			evidence.Replace(f.Progress(expected, "i", false, time.Second, 60), sample)
		}},
		{"observe", func() {
			f.Observe(forecaster.Run{Subject: secondTask, Actual: time.Second, Tasks: 8, Instance: "i", Evidence: evidence})
		}},
		{"summary", func() { _, _ = f.Summary() }},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				c.call()
			}
		})
	}
}
