package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forecaster"
)

// forecastInterval is the least time between summaries of run times. A new leader that starts from one lacks the runs since.
const forecastInterval = 5 * time.Second

// restoreForecast starts from the committed summary of run times. One that cannot be used is ignored: it only costs accuracy.
func (s *Scheduler) restoreForecast(summary []byte) {
	if len(summary) > 0 {
		s.forecastError = s.forecaster.Restore(summary)
	}
}

// ForecastError returns why the committed summary of run times was ignored, or nil.
func (s *Scheduler) ForecastError() error { return s.forecastError }

// ForecastDue reports whether TakeForecast is to be called, and starts the next interval if so.
func (s *Scheduler) ForecastDue() bool {
	if s.now-s.forecastTakenAt < forecastInterval {
		return false
	}
	s.forecastTakenAt = s.now
	return true
}

// TakeForecast returns a summary of run times to commit, or nil if little has changed since the last.
func (s *Scheduler) TakeForecast() ([]byte, error) {
	if !s.forecaster.SummaryDue() {
		return nil, nil
	}
	return s.forecaster.Summary()
}

// ForecastAccuracies returns how accurate the forecasts for each queue have been under this leader.
func (s *Scheduler) ForecastAccuracies() []forecaster.Accuracy { return s.forecaster.Accuracies() }

// SlowInstances returns the instances of this leader that are slow, in order.
func (s *Scheduler) SlowInstances() []fleet.InstanceID {
	var list []fleet.InstanceID
	for _, id := range s.forecaster.SlowInstances() {
		if s.instances.byID[id] != nil {
			list = append(list, id)
		}
	}
	return list
}
