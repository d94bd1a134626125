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
				assert.Assert(t, allocations[c.Pool] >= c.Demand, "%v of %d", allocations, limit)
			}
			for _, o := range poolDemands {
				unfair := allocations[c.Pool] < c.Demand && allocations[o.Pool] > allocations[c.Pool]+1
				assert.Assert(t, !unfair, "%s gets %d of %d, %s gets %d", c.Pool, allocations[c.Pool], c.Demand, o.Pool, allocations[o.Pool])
			}
		}
		assert.Assert(t, len(poolDemands) == 0 || total == limit, "%d of %d", total, limit)
		slices.Reverse(poolDemands)
		assert.DeepEqual(t, limiter.New(limit).Divide(poolDemands), allocations)
	})
}
