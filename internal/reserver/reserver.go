// Package reserver computes when instances that are full have room again, from the expected ends of their runs.
package reserver

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Outlook is the free capacity of one instance now, and what its runs release. It can be used again after Reset.
type Outlook struct {
	free     workload.Resources
	releases []release
}

// release is the expected end of a run.
type release struct {
	after time.Duration
	claim workload.Resources
}

// Reset forgets the releases and sets the free capacity.
func (o *Outlook) Reset(free workload.Resources) {
	o.free = free
	o.releases = o.releases[:0]
}

// Add adds a run that is expected to end after some time.
func (o *Outlook) Add(after time.Duration, claim workload.Resources) {
	o.releases = append(o.releases, release{after, claim})
}

// AppendSlots appends the times, in order, after which the instance has room for one more task of a claim, limit at most. Nothing else is
// started there.
func (o *Outlook) AppendSlots(slots []time.Duration, claim workload.Resources, limit int) []time.Duration {
	slices.SortFunc(o.releases, func(a, b release) int { return cmp.Compare(a.after, b.after) })
	free, found := o.free, 0
	take := func(at time.Duration) {
		for found < limit && free.Fits(claim) {
			free = free.Sub(claim)
			slots = append(slots, at)
			found++
		}
	}
	take(0)
	for _, r := range o.releases {
		if found == limit {
			break
		}
		free = free.Add(r.claim)
		take(max(0, r.after))
	}
	return slots
}

// Limit returns how many instances of a pool may be reserved at a time: a tenth, so that the others lose little capacity.
func Limit(instances int) int { return instances / reservedShare }

// reservedShare is the number of instances of which one may be reserved.
const reservedShare = 10
