package supervisor

import (
	"github.com/rcrowley/go-metrics"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// gauges are the counters and histograms of a supervisor.
type instruments struct {
	jobsAccepted   metrics.Counter
	jobsRefused    metrics.Counter
	termsLed       metrics.Counter
	polls          metrics.Counter
	pollsMissed    metrics.Counter
	commitDuration metrics.Timer
	orderDuration  metrics.Timer
	registry       metrics.Registry
}

func newInstruments(r metrics.Registry) *instruments {
	return &instruments{
		jobsAccepted:   metrics.GetOrRegisterCounter("jobs-accepted", r),
		jobsRefused:    metrics.GetOrRegisterCounter("jobs-refused", r),
		termsLed:       metrics.GetOrRegisterCounter("terms-led", r),
		polls:          metrics.GetOrRegisterCounter("looks", r),
		pollsMissed:    metrics.GetOrRegisterCounter("looks-missed", r),
		commitDuration: metrics.GetOrRegisterTimer("commit", r),
		orderDuration:  metrics.GetOrRegisterTimer("order", r),
		registry:       r,
	}
}

// decided counts a decision by its name.
func (g *instruments) countDecision(kind string) {
	metrics.GetOrRegisterCounter("decisions."+kind, g.registry).Inc(1)
}

// answered counts the outcome of an order.
func (g *instruments) countOrderOutcome(o scheduler.Order, outcome scheduler.Outcome) {
	metrics.GetOrRegisterCounter("orders."+o.Kind.String()+"."+outcome.String(), g.registry).Inc(1)
}
