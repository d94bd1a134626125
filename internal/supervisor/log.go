package supervisor

import (
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// Lines of decisions in a second; a line costs about 20 us of the leader.
const (
	routineLines = 300 // starts and ends that went well; a burst of a thousand starts is sampled
	notableLines = 300 // everything that explains a failure
)

// lineBudget bounds the lines of decisions in a second.
type lineBudget struct {
	since   time.Duration
	routine int
	notable int
	dropped int
}

// take reports whether a decision may be written.
func (b *lineBudget) take(d scheduler.Decision) bool {
	left := &b.notable
	if d.Routine() {
		left = &b.routine
	}
	if *left == 0 {
		b.dropped++
		return false
	}
	*left--
	return true
}

// log writes decisions within a budget of lines a second.
func (t *term) log(now time.Duration) {
	if now-t.lines.since > time.Second {
		if t.lines.dropped > 0 {
			event.LinesDropped.Warn(t.options.Logger, zap.Int("count", t.lines.dropped))
		}
		t.lines = lineBudget{since: now, routine: routineLines, notable: notableLines}
	}
	for _, d := range t.scheduler.TakeDecisions() {
		t.gauges.decided(d.What)
		if !t.lines.take(d) {
			continue
		}
		event.RunDecided.Info(t.options.Logger, zap.String("what", d.What), zap.Stringer("task", d.Task),
			zap.Uint64("run", uint64(d.Run)), zap.String("instance", string(d.Instance)), zap.String("machine", d.Machine), zap.String("reason", d.Reason))
	}
}
