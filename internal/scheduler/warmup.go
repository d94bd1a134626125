package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// coldShare is the part of its capacity that an instance uses at the beginning of its warm-up in a data centre that returns as a whole; the
// part grows evenly until the end. What is started there is slow, so that such a data centre must not take a backlog at once. An instance
// without runs takes a task of any size.
const coldShare = 0.25

// warmingUp reports whether the instance has not reached its full speed, on its own clock.
func (in *instance) warmingUp(now time.Duration) bool {
	return in.WarmupLeft > 0 && in.minClockAt(now) < in.WarmAt()
}

// observeWarmup takes note of an announced warm-up. It is a new one unless the instance was cold already.
func (in *instance) observeWarmup(stillCold bool) {
	if !stillCold {
		in.warmupTotal = 0
	}
	in.warmupTotal = max(in.warmupTotal, in.WarmupLeft)
}

// warmsLater reports whether the warm-up ends later than the committed state says.
func (in *instance) warmsLater() bool {
	return in.WarmAt() > in.committedWarmAt+workload.WarmupTolerance
}

// measureWarmups determines which schedulable instances are cold, and puts those of each pool behind the warm ones, for gangs, which take the
// first that have room.
func (s *Scheduler) measureWarmups(pools poolCapacities) {
	cold := 0
	for _, pool := range pools {
		n := 0
		for _, in := range pool.instances {
			in.warmupReserve = workload.Resources{}
			in.cold = in.warmingUp(s.now)
			n += boolToInt(in.cold)
		}
		if n > 0 {
			slices.SortStableFunc(pool.instances, func(a, b *instance) int { return cmp.Compare(boolToInt(a.cold), boolToInt(b.cold)) })
		}
		cold += n
	}
	if cold > 0 {
		s.reserveWarmups(pools)
	}
}

// reserveWarmups sets the reserves of the cold instances in data centres that return as a whole: where most instances are cold although most
// of all others are warm. Single instances that start have no reserve, nor has a fleet that starts.
func (s *Scheduler) reserveWarmups(pools poolCapacities) {
	type count struct{ cold, all int }
	counts, total := map[fleet.DataCentreID]count{}, count{}
	for _, pool := range pools {
		for _, in := range pool.instances {
			n := counts[in.DataCentre]
			n.cold, n.all = n.cold+boolToInt(in.cold), n.all+1
			counts[in.DataCentre] = n
			total.cold, total.all = total.cold+boolToInt(in.cold), total.all+1
		}
	}
	for _, pool := range pools {
		for _, in := range pool.instances {
			n := counts[in.DataCentre]
			if others := (count{total.cold - n.cold, total.all - n.all}); in.cold && 2*n.cold > n.all && 2*others.cold < others.all {
				left := float64(in.WarmAt()-in.minClockAt(s.now)) / float64(max(in.warmupTotal, 1))
				in.warmupReserve = in.Capacity.Scale((1 - coldShare) * min(left, 1))
			}
		}
	}
}

// warmInstances returns the warm ones of instances that are in the order of measureWarmups.
func warmInstances(instances []*instance) []*instance {
	n := len(instances)
	for n > 0 && instances[n-1].cold {
		n--
	}
	return instances[:n]
}
