package allocator_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/allocator"
)

// TestPoolsCompeteForMachines is a pool with a backlog of seconds beside one whose burst begins. It guards against giving all machines to
// the backlog, which starves the jobs of the other pool for seconds.
func TestPoolsCompeteForMachines(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines int
		claims   []allocator.Claim
		want     []int
	}{
		{"enough for all", 349, []allocator.Claim{{9, 120}, {10, 90}, {6, 16}}, []int{120, 90, 16}},
		{"backlog beside a burst that begins", 349, []allocator.Claim{{9, 875}, {10, 163}, {6, 16}}, []int{282, 58, 9}},
		{"nothing beyond the floors", 30, []allocator.Claim{{9, 875}, {10, 163}, {11, 11}}, []int{9, 10, 11}},
		{"too few for the floors", 15, []allocator.Claim{{9, 875}, {10, 163}, {11, 11}}, []int{5, 5, 5}},
		{"none", 0, []allocator.Claim{{9, 875}}, []int{0}},
		{"floor above the want", 10, []allocator.Claim{{9, 3}, {0, 100}}, []int{3, 7}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, allocator.Allocate(c.machines, c.claims), c.want) })
	}
}

// TestAllocationsAddUp checks that no machine is allotted twice, that none stays unused while a pool wants it, and that no pool gets less
// than its floor while the floors fit.
func TestAllocationsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := rapid.IntRange(0, 500).Draw(t, "machines")
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) allocator.Claim {
			return allocator.Claim{Floor: rapid.IntRange(0, 60).Draw(t, "floor"), Wanted: rapid.IntRange(0, 900).Draw(t, "wanted")}
		}), 1, 8).Draw(t, "claims")
		sum, floors, wanted := 0, 0, 0
		shares := allocator.Allocate(machines, claims)
		for i, c := range claims {
			floors, wanted, sum = floors+min(c.Floor, c.Wanted), wanted+c.Wanted, sum+shares[i]
		}
		if sum != min(machines, wanted) {
			t.Fatalf("%v of %d machines: %v", claims, machines, shares)
		}
		for i, c := range claims {
			if shares[i] > c.Wanted || floors <= machines && shares[i] < min(c.Floor, c.Wanted) {
				t.Fatalf("%v of %d machines: %v", claims, machines, shares)
			}
		}
	})
}
