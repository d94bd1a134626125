package limiter_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/limiter"
)

// TestDivideIsFairAndWithinLimit checks that demand within the limit is met, that no pool gets two tasks more than a pool with unmet
// demand, that the whole limit is allocated, and that the order of the demands doesn't matter.
func TestDivideIsFairAndWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 50).Draw(t, "limit")
		demands := rapid.SliceOfN(rapid.IntRange(0, 30), 0, 8).Draw(t, "demands")
		var poolDemands []limiter.PoolDemand
		sum := 0
		for i, d := range demands {
			poolDemands = append(poolDemands, limiter.PoolDemand{Pool: fleet.PoolID(fmt.Sprint("p", i)), Demand: d})
			sum += d
		}
		allocations := limiter.New(limit).Divide(poolDemands)
		total := 0
		for _, c := range poolDemands {
			total += allocations[c.Pool]
			if sum <= limit {
				assert.Assert(t, allocations[c.Pool] >= c.Demand, "%v with a limit of %d leaves demand unmet", allocations, limit)
			}
			for _, o := range poolDemands {
				unfair := allocations[c.Pool] < c.Demand && allocations[o.Pool] > allocations[c.Pool]+1
				assert.Assert(t, !unfair, "pool %s gets %d of its demand %d while pool %s gets %d", c.Pool, allocations[c.Pool], c.Demand, o.Pool, allocations[o.Pool])
			}
		}
		assert.Assert(t, len(poolDemands) == 0 || total == limit, "allocated %d of the limit %d", total, limit)
		slices.Reverse(poolDemands)
		assert.DeepEqual(t, limiter.New(limit).Divide(poolDemands), allocations)
	})
}
