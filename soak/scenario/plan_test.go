package scenario

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPlanRepeatsAndKeepsMajority guards against a seed that does not repeat its faults, and against a plan that empties a majority of the
// data folders, or two of them before the first keeper can have been replaced: no system keeps its guarantees then.
func TestPlanRepeatsAndKeepsMajority(t *testing.T) {
	for seed := range uint64(500) {
		for _, keepers := range []int{3, 5} {
			series := plan(seed, time.Minute, keepers, 2, 9)
			again := plan(seed, time.Minute, keepers, 2, 9)
			var emptied []time.Duration
			for i, list := range series {
				assert.Equal(t, len(list), len(again[i]))
				for n, f := range list {
					assert.Equal(t, f, again[i][n])
					assert.Assert(t, n == 0 || f.at >= list[n-1].at+list[n-1].duration)
					if f.kind == emptyDataFolder {
						emptied = append(emptied, f.at)
					}
				}
			}
			assert.Assert(t, len(emptied) <= (keepers-1)/2)
			for i := 1; i < len(emptied); i++ {
				assert.Assert(t, emptied[i]-emptied[i-1] >= emptyInterval)
			}
		}
	}
}
