package supervisor

import (
	"github.com/rcrowley/go-metrics"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forecaster"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// instruments are the counters, gauges and timers of a supervisor.
type instruments struct {
	jobsAccepted metrics.Counter
	jobsRefused  metrics.Counter
	termsLed     metrics.Counter
	leaseLapses  metrics.Counter
	polls        metrics.Counter
	pollsMissed  metrics.Counter
	// pollsCrossed counts the polls that another boot answered than the one they were for.
	pollsCrossed   metrics.Counter
	commitDuration metrics.Timer
	orderDuration  metrics.Timer
	pollDuration   metrics.Timer
	planDuration   metrics.Timer
	postDelay      metrics.Timer
	jobsWaiting    metrics.Gauge
	customersAhead metrics.Gauge
	wavesCompleted metrics.Counter
	machinesLate   metrics.Counter
	machinesLeft   metrics.Gauge
	machinesDown   metrics.Gauge
	waveDuration   metrics.Timer
	// announcementsBatched counts the announcements that arrived in batches.
	announcementsBatched metrics.Counter
	drained              metrics.Gauge
	mismatches           map[mismatch]metrics.Gauge
	slowInstances        metrics.Gauge
	// forecastErrors are the gauges of the queues that this process has had forecasts for.
	forecastErrors                       map[fleet.QueueID]forecastGauges
	forecastsCommitted, forecastsIgnored metrics.Counter
	// hopelessJobs are the counters of the queues of which this process has refused jobs.
	hopelessJobs map[fleet.QueueID]metrics.Counter
	registry     metrics.Registry
}

func newInstruments(r metrics.Registry) *instruments {
	m := &instruments{
		jobsAccepted:   metrics.GetOrRegisterCounter("jobs-accepted", r),
		jobsRefused:    metrics.GetOrRegisterCounter("jobs-refused", r),
		termsLed:       metrics.GetOrRegisterCounter("terms-led", r),
		leaseLapses:    metrics.GetOrRegisterCounter("lease-lapses", r),
		polls:          metrics.GetOrRegisterCounter("looks", r),
		pollsMissed:    metrics.GetOrRegisterCounter("looks-missed", r),
		pollsCrossed:   metrics.GetOrRegisterCounter("polls-crossed", r),
		commitDuration: metrics.GetOrRegisterTimer("commit", r),
		orderDuration:  metrics.GetOrRegisterTimer("order", r),
		pollDuration:   metrics.GetOrRegisterTimer("look", r),
		planDuration:   metrics.GetOrRegisterTimer("plan", r),
		postDelay:      metrics.GetOrRegisterTimer("post-delay", r),
		jobsWaiting:    metrics.GetOrRegisterGauge("jobs-waiting", r),
		customersAhead: metrics.GetOrRegisterGauge("customers-ahead", r),
		wavesCompleted: metrics.GetOrRegisterCounter("waves-completed", r),
		machinesLate:   metrics.GetOrRegisterCounter("wave-machines-late", r),
		machinesLeft:   metrics.GetOrRegisterGauge("wave-machines-left", r),
		machinesDown:   metrics.GetOrRegisterGauge("wave-machines-down", r),
		waveDuration:   metrics.GetOrRegisterTimer("wave", r),
		drained:        metrics.GetOrRegisterGauge("data-centres-drained", r),
		mismatches:     map[mismatch]metrics.Gauge{},
		hopelessJobs:   map[fleet.QueueID]metrics.Counter{},
		slowInstances:  metrics.GetOrRegisterGauge("instances-slow", r),
		forecastErrors: map[fleet.QueueID]forecastGauges{}, forecastsCommitted: metrics.GetOrRegisterCounter("forecasts-committed", r),
		forecastsIgnored:     metrics.GetOrRegisterCounter("forecasts-ignored", r),
		announcementsBatched: metrics.GetOrRegisterCounter("announcements-batched", r),
		registry:             r,
	}
	for kind, name := range map[mismatch]string{
		mismatchUnknown: "unknown", mismatchFinished: "finished", mismatchCancelled: "cancelled", mismatchOver: "over",
	} {
		m.mismatches[kind] = metrics.GetOrRegisterGauge("jobs-mismatched."+name, r)
	}
	return m
}

// resetGauges sets the gauges of a leader to zero.
func (m *instruments) resetGauges() {
	m.jobsWaiting.Update(0)
	m.customersAhead.Update(0)
	m.machinesLeft.Update(0)
	m.machinesDown.Update(0)
	m.drained.Update(0)
	for _, g := range m.mismatches {
		g.Update(0)
	}
	m.updateForecast(nil, 0)
}

// forecastGauges are the median errors of the forecasts for a queue and of the estimates of its callers.
type forecastGauges struct{ forecast, estimate metrics.GaugeFloat64 }

// maxForecastGauges bounds the number of queues with gauges, since a process keeps them, and with counters of hopeless jobs.
const maxForecastGauges = 256

// updateForecast sets the gauges of forecasts; those of queues without an accuracy are set to zero.
func (m *instruments) updateForecast(accuracies []forecaster.Accuracy, slow int) {
	m.slowInstances.Update(int64(slow))
	for _, g := range m.forecastErrors {
		g.forecast.Update(0)
		g.estimate.Update(0)
	}
	for _, a := range accuracies {
		g, ok := m.forecastErrors[a.Queue]
		if !ok && len(m.forecastErrors) >= maxForecastGauges {
			continue
		}
		if !ok {
			g = forecastGauges{
				metrics.GetOrRegisterGaugeFloat64("forecast-error."+string(a.Queue), m.registry), metrics.GetOrRegisterGaugeFloat64("estimate-error."+string(a.Queue), m.registry),
			}
			m.forecastErrors[a.Queue] = g
		}
		g.forecast.Update(a.Forecast)
		g.estimate.Update(a.Given)
	}
}

// countHopelessJob counts a job of a queue that was refused for want of capacity.
func (m *instruments) countHopelessJob(queue fleet.QueueID) {
	c, ok := m.hopelessJobs[queue]
	if !ok {
		if len(m.hopelessJobs) >= maxForecastGauges {
			return
		}
		c = metrics.GetOrRegisterCounter("jobs-hopeless."+string(queue), m.registry)
		m.hopelessJobs[queue] = c
	}
	c.Inc(1)
}

// countDecision counts a scheduling decision by its kind.
func (m *instruments) countDecision(kind string) {
	metrics.GetOrRegisterCounter("decisions."+kind, m.registry).Inc(1)
}

// countOrderOutcome counts an order by its kind and outcome.
func (m *instruments) countOrderOutcome(o scheduler.Order, outcome scheduler.Outcome) {
	metrics.GetOrRegisterCounter("orders."+o.Kind.String()+"."+outcome.String(), m.registry).Inc(1)
}

// measureWave records the progress of a maintenance wave.
func (m *instruments) measureWave(r scheduler.WaveReport) {
	m.machinesLeft.Update(int64(r.Machines - r.Begun))
	m.machinesDown.Update(int64(r.Down))
	if r.Completed {
		m.machinesDown.Update(0)
		m.wavesCompleted.Inc(1)
		m.machinesLate.Inc(int64(r.Late))
		m.waveDuration.Update(r.Elapsed)
	}
}
