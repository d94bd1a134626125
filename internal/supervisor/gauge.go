package supervisor

import (
	"github.com/rcrowley/go-metrics"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// gauges are the counters and histograms of a supervisor.
type gauges struct {
	accepted metrics.Counter
	refused  metrics.Counter
	terms    metrics.Counter
	looks    metrics.Counter
	missed   metrics.Counter
	commits  metrics.Timer
	orders   metrics.Timer
	registry metrics.Registry
}

func newGauges(r metrics.Registry) *gauges {
	return &gauges{
		accepted: metrics.GetOrRegisterCounter("jobs-accepted", r),
		refused:  metrics.GetOrRegisterCounter("jobs-refused", r),
		terms:    metrics.GetOrRegisterCounter("terms-led", r),
		looks:    metrics.GetOrRegisterCounter("looks", r),
		missed:   metrics.GetOrRegisterCounter("looks-missed", r),
		commits:  metrics.GetOrRegisterTimer("commit", r),
		orders:   metrics.GetOrRegisterTimer("order", r),
		registry: r,
	}
}

// decided counts a decision by its name.
func (g *gauges) decided(what string) {
	metrics.GetOrRegisterCounter("decisions."+what, g.registry).Inc(1)
}

// answered counts the outcome of an order.
func (g *gauges) answered(o scheduler.Order, outcome scheduler.Outcome) {
	metrics.GetOrRegisterCounter("orders."+o.Kind.String()+"."+outcome.String(), g.registry).Inc(1)
}
