package supervisor

import (
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// Limits on logged decisions, in lines per second; a line costs the leader about 20 us.
const (
	maxRoutineLines = 300 // starts and successful ends; a burst of a thousand starts is sampled
	maxNotableLines = 300 // all decisions that explain a failure
	maxWaitingLines = 10  // jobs with waiting tasks; the oldest lines of a play's log give way to new ones
)

// logLimiter limits the number of decisions logged per second.
type logLimiter struct {
	windowStart time.Duration
	routineLeft int
	notableLeft int
	dropped     int
}

// allow reports whether a decision may be logged, and counts it as dropped otherwise.
func (l *logLimiter) allow(d scheduler.Decision) bool {
	remaining := &l.notableLeft
	if d.Routine() {
		remaining = &l.routineLeft
	}
	if *remaining == 0 {
		l.dropped++
		return false
	}
	*remaining--
	return true
}

// logDecisions counts the decisions made since the last call and logs those that the limiter allows.
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
		event.DecisionMade.Info(t.options.Logger, zap.String("what", d.What), zap.Stringer("task", d.Task),
			zap.Uint64("run", uint64(d.Run)), zap.String("instance", string(d.Instance)), zap.String("machine", d.Machine), zap.String("reason", d.Reason))
	}
}
