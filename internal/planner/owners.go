package planner

import (
	"fmt"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// owners assigns each pool that has no owner, or whose owner's state lease has expired, to the entry that owns the fewest pools.
func (p *Planner) owners(v *View, c *configuration.Configuration) []Step {
	owned := map[fleet.EntryID]int{}
	for _, o := range v.State.Owners {
		owned[o.Entry]++
	}
	var steps []Step
	for _, pool := range c.Pools {
		o, has := v.State.Owners[pool.Name]
		if has && !v.LeaseExpired(o.Entry) {
			continue
		}
		entry, ok := leastLoaded(v.Entries, owned)
		if !ok || has && entry == o.Entry {
			continue
		}
		owned[entry]++
		owned[o.Entry]--
		reason := "the pool has no owner"
		if has {
			reason = fmt.Sprintf("the state lease of owner %s has expired", o.Entry)
		}
		steps = append(steps, Step{Command: state.AssignOwner{Pool: pool.Name, Entry: entry, Epoch: o.Epoch + 1}, Reason: reason})
	}
	return steps
}

func leastLoaded(entries []fleet.EntryID, owned map[fleet.EntryID]int) (fleet.EntryID, bool) {
	if len(entries) == 0 {
		return "", false
	}
	sorted := slices.Sorted(slices.Values(entries))
	best := sorted[0]
	for _, e := range sorted[1:] {
		if owned[e] < owned[best] {
			best = e
		}
	}
	return best, true
}
