package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// TestBurstLeavesRoomForWhatExplainsFailures answers a burst of starts: the volume stays bounded, and lines that explain a
// failure are still written.
func TestBurstLeavesRoomForWhatExplainsFailures(t *testing.T) {
	b := lineBudget{routine: routineLines, notable: notableLines}
	written := 0
	for range 10 * routineLines {
		if b.take(scheduler.Decision{What: "run placed"}) {
			written++
		}
	}
	assert.Equal(t, written, routineLines)
	assert.Assert(t, b.take(scheduler.Decision{What: "run lost"}))
	assert.Assert(t, b.take(scheduler.Decision{What: "run ended", Reason: "failed"}))
	assert.Equal(t, b.dropped, 9*routineLines)
}
