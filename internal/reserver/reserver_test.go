package reserver_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/reserver"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestSlots guards against room that is promised before enough runs have ended, or twice.
func TestSlots(t *testing.T) {
	claim := func(n int64) workload.Resources { return workload.Resources{Processors: n, Memory: 10 * n} }
	for name, tc := range map[string]struct {
		free   int64
		claims []int64 // of runs that end after 3 s, 2 s, 1 s and so on
		task   int64
		limit  int
		want   []time.Duration
	}{
		"room now":                  {8, nil, 4, 5, []time.Duration{0, 0}},
		"limit":                     {8, nil, 4, 1, []time.Duration{0}},
		"after one run":             {1, []int64{2, 2, 4}, 4, 1, []time.Duration{1}},
		"after two runs":            {0, []int64{2, 2, 2}, 4, 2, []time.Duration{2}},
		"one run frees two places":  {0, []int64{0, 0, 8}, 4, 5, []time.Duration{1, 1}},
		"larger than the instance":  {4, []int64{2, 2, 2}, 11, 1, nil},
		"an overdue run ends now":   {0, []int64{0, 0, 0, 0, 4}, 4, 1, []time.Duration{0}},
		"capacity below the claims": {-4, []int64{0, 4, 4}, 4, 5, []time.Duration{2}},
	} {
		o := reserver.Outlook{}
		o.Reset(claim(tc.free))
		for i, n := range tc.claims {
			o.Add(time.Duration(3-i), claim(n))
		}
		got := o.AppendSlots(nil, claim(tc.task), tc.limit)
		assert.Check(t, slices.Equal(got, tc.want), "%s: %v", name, got)
	}
	assert.Equal(t, reserver.Limit(9), 0)
	assert.Equal(t, reserver.Limit(85), 8)
}
