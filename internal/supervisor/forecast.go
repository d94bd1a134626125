package supervisor

import (
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// logForecastError logs that the committed summary of run times was ignored. The term learns from the start.
func (t *term) logForecastError(summaryBytes int) {
	if err := t.scheduler.ForecastError(); err != nil {
		t.instruments.forecastsIgnored.Inc(1)
		event.ForecastIgnored.Warn(t.options.Logger, zap.Uint64("term", t.number), zap.Int("bytes", summaryBytes), zap.Error(err))
	}
}

// commitForecast commits a summary of the run times that were learned, and updates their gauges. If the commit fails, the next one
// is as good.
func (t *term) commitForecast() {
	if t.committingForecast || !t.scheduler.ForecastDue() {
		return
	}
	t.instruments.updateForecast(t.scheduler.ForecastAccuracies(), len(t.scheduler.SlowInstances()))
	summary, err := t.scheduler.TakeForecast()
	if err != nil || summary == nil {
		return
	}
	t.committingForecast = true
	t.commitAsync(state.RecordForecast{Summary: summary}, func(reply state.Reply, err error) {
		t.committingForecast = false
		if err == nil && reply.Err() == nil {
			t.instruments.forecastsCommitted.Inc(1)
		}
	})
}
