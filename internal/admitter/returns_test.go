package admitter_test

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/admitter"
)

// TestCallersReturnInTurn guards against refused callers that return together, or before room comes free, or before those that were refused
// earlier. Load: 2,000 callers refused within a second, each with work for 10 ms of the pool.
func TestCallersReturnInTurn(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	var returns admitter.Returns
	var at []time.Duration
	perSecond := map[time.Duration]int{}
	for i := range 2000 {
		now := time.Hour + time.Duration(i)*time.Second/2000
		delay := returns.Delay(now, admitter.Verdict{Refused: true, Room: 3 * time.Second, Turn: 10 * time.Millisecond}, random.Float64())
		assert.Equal(t, delay, delay.Truncate(time.Second))
		assert.Assert(t, delay >= 3*time.Second, "%s, before there is room", delay)
		at = append(at, now+delay)
		perSecond[(now+delay)/time.Second]++
	}
	for second, n := range perSecond {
		assert.Assert(t, n < 200, "%d callers return in second %d, room for 100", n, second)
	}
	for i := 500; i < len(at); i++ {
		assert.Assert(t, at[i] > slices.Min(at[i-500:i]), "caller %d returns before all that were refused up to 5 s of work earlier", i)
	}
}

// TestDelaysAreBounded guards against delays without bounds while callers are refused that never return, and against zero.
func TestDelaysAreBounded(t *testing.T) {
	var returns admitter.Returns
	for i := range 100000 {
		delay := returns.Delay(time.Duration(i)*time.Millisecond, admitter.Verdict{Turn: 50 * time.Millisecond}, 0.99)
		assert.Assert(t, delay >= time.Second && delay <= 68*time.Second, "%s", delay)
	}
	var idle admitter.Returns
	assert.Equal(t, idle.Delay(time.Hour, admitter.Verdict{}, 0), time.Second)
}
