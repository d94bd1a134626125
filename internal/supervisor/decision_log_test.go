package supervisor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// TestFailuresAreLoggedDuringBurstOfStarts guards against a burst of starts that uses up the log limit: the volume must stay
// bounded, and decisions that explain a failure must still be logged.
func TestFailuresAreLoggedDuringBurstOfStarts(t *testing.T) {
	limiter := logLimiter{routineLeft: maxRoutineLines, notableLeft: maxNotableLines}
	logged := 0
	for range 10 * maxRoutineLines {
		if limiter.allow(scheduler.Decision{What: "run placed"}) {
			logged++
		}
	}
	assert.Equal(t, logged, maxRoutineLines)
	assert.Assert(t, limiter.allow(scheduler.Decision{What: "run lost"}))
	assert.Assert(t, limiter.allow(scheduler.Decision{What: "run ended", Reason: "failed"}))
	assert.Equal(t, limiter.dropped, 9*maxRoutineLines)
}
