package dispatcher

import (
	"fmt"
	"time"
)

// Parameters of the isolation of failing instances.
const (
	windowSize      = 10
	isolateFailures = 3
	isolateFraction = 0.5
	// maxPoolFailureFraction is the failure rate of the other instances above which failures aren't attributed to an instance.
	maxPoolFailureFraction = 0.3
	// jobFaultFailures is the number of healthy instances a job fails on before its failures are attributed to the job.
	jobFaultFailures = 2
	minProbeBackoff  = 2 * time.Second
	maxProbeBackoff  = time.Minute
	releasePasses    = 3
)

// window is a ring buffer of the latest results of an instance or of the pool.
type window struct {
	results  [64]bool
	next     int
	count    int
	failures int
}

func (w *window) add(failed bool, size int) {
	if w.count == size {
		if w.results[w.next] {
			w.failures--
		}
	} else {
		w.count++
	}
	w.results[w.next] = failed
	if failed {
		w.failures++
	}
	w.next = (w.next + 1) % size
}

func (w *window) fraction() float64 {
	if w.count == 0 {
		return 0
	}
	return float64(w.failures) / float64(w.count)
}

// health is the health state of one instance.
type health struct {
	window              window
	consecutiveFailures int
	isolated            bool
	nextProbe           time.Duration
	backoff             time.Duration
	consecutivePasses   int
}

// probeDue reports whether an isolated instance may receive a probe task.
func (h *health) probeDue(now time.Duration) bool { return now >= h.nextProbe }

// recordResult counts a result for its instance. A failure of a job that has failed on jobFaultFailures healthy instances is
// attributed to the job and isn't counted, unless the instance is isolated.
func (d *Dispatcher) recordResult(now time.Duration, x *task, outcome Outcome, healthyFailures int) {
	r, ok := d.instances.Get(x.instance)
	if !ok {
		return
	}
	failed := outcome == Failed
	if failed && healthyFailures >= jobFaultFailures && !r.health.isolated {
		return
	}
	h := &r.health
	h.window.add(failed, windowSize)
	if !h.isolated {
		d.poolResults.add(failed, len(d.poolResults.results))
	}
	if failed {
		h.consecutiveFailures++
		h.consecutivePasses = 0
	} else {
		h.consecutiveFailures = 0
		h.consecutivePasses++
	}
	if h.isolated {
		d.recordProbe(now, r, failed)
		return
	}
	d.isolateIfFailing(now, r)
}

func (d *Dispatcher) isolateIfFailing(now time.Duration, r *instanceRecord) {
	h := &r.health
	failing := h.consecutiveFailures >= isolateFailures ||
		h.window.failures >= isolateFailures && h.window.fraction() > isolateFraction
	failingElsewhere := float64(d.poolResults.failures-h.window.failures) / float64(max(d.poolResults.count-h.window.count, 1))
	if !failing || failingElsewhere > maxPoolFailureFraction {
		return
	}
	h.isolated = true
	h.backoff = minProbeBackoff
	h.nextProbe = now + h.backoff
	d.emit(Decision{Kind: Isolated, Instance: r.view.Instance.ID,
		Reason: fmt.Sprintf("%d of the last %d tasks failed, %.0f%% failed on other instances", h.window.failures, h.window.count, 100*failingElsewhere)})
}

func (d *Dispatcher) recordProbe(now time.Duration, r *instanceRecord, failed bool) {
	h := &r.health
	if failed {
		h.backoff = min(2*h.backoff, maxProbeBackoff)
		h.nextProbe = now + h.backoff
		return
	}
	h.nextProbe = now
	if h.consecutivePasses < releasePasses {
		return
	}
	h.isolated = false
	h.window = window{}
	d.emit(Decision{Kind: Released, Instance: r.view.Instance.ID, Reason: fmt.Sprintf("%d consecutive probes succeeded", h.consecutivePasses)})
}
