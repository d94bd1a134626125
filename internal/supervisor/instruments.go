package supervisor

import (
	"github.com/rcrowley/go-metrics"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// instruments are the counters and timers of a supervisor.
type instruments struct {
	jobsAccepted   metrics.Counter
	jobsRefused    metrics.Counter
	termsLed       metrics.Counter
	leaseLapses    metrics.Counter
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
		leaseLapses:    metrics.GetOrRegisterCounter("lease-lapses", r),
		polls:          metrics.GetOrRegisterCounter("looks", r),
		pollsMissed:    metrics.GetOrRegisterCounter("looks-missed", r),
		commitDuration: metrics.GetOrRegisterTimer("commit", r),
		orderDuration:  metrics.GetOrRegisterTimer("order", r),
		registry:       r,
	}
}

// countDecision counts a scheduling decision by its kind.
func (m *instruments) countDecision(kind string) {
	metrics.GetOrRegisterCounter("decisions."+kind, m.registry).Inc(1)
}

// countOrderOutcome counts an order by its kind and outcome.
func (m *instruments) countOrderOutcome(o scheduler.Order, outcome scheduler.Outcome) {
	metrics.GetOrRegisterCounter("orders."+o.Kind.String()+"."+outcome.String(), m.registry).Inc(1)
}
