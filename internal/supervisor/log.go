package supervisor

import (
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// Lines of decisions in a second; a line costs about 20 us of the leader.
const (
	maxRoutineLines = 300 // starts and ends that went well; a burst of a thousand starts is sampled
	maxNotableLines = 300 // everything that explains a failure
)

// lineBudget bounds the lines of decisions in a second.
type logLimiter struct {
	windowStart time.Duration
	routineLeft int
	notableLeft int
	dropped     int
}

// take reports whether a decision may be written.
func (b *logLimiter) allow(d scheduler.Decision) bool {
	remaining := &b.notableLeft
	if d.Routine() {
		remaining = &b.routineLeft
	}
	if *remaining == 0 {
		b.dropped++
		return false
	}
	*remaining--
	return true
}

// log writes decisions within a budget of lines a second.
func (t *term) logDecisions(now time.Duration) {
	if now-t.logLimiter.windowStart > time.Second {
		if t.logLimiter.dropped > 0 {
			event.LinesDropped.Warn(t.options.Logger, zap.Int("count", t.logLimiter.dropped))
		}
		t.logLimiter = logLimiter{windowStart: now, routineLeft: maxRoutineLines, notableLeft: maxNotableLines}
	}
	for _, d := range t.scheduler.TakeDecisions() {
		t.instruments.countDecision(d.What)
		if !t.logLimiter.allow(d) {
			continue
		}
		event.RunDecided.Info(t.options.Logger, zap.String("what", d.What), zap.Stringer("task", d.Task),
			zap.Uint64("run", uint64(d.Run)), zap.String("instance", string(d.Instance)), zap.String("machine", d.Machine), zap.String("reason", d.Reason))
	}
}
