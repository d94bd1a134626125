package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/allocator"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// allocate reduces what the pools desire to what there is: first what cannot wait, then other timely work within the shares of its customers,
// then that beyond them, then late work. Jobs of short steps
// have to start within a second or two, while those of long steps can wait as long without being late. No pool gives away what it needs for its
// service tasks and its availability.
func (s *Scheduler) allocate() {
	pools := slices.Sorted(maps.Keys(s.demands))
	machines := s.usableMachines()
	claims := make([]allocator.Claim, len(pools))
	for i, pool := range pools {
		d := s.demands[pool]
		claims[i] = allocator.Claim{Floor: d.floor, Wanted: max(d.floor, d.desiredNow)}
	}
	if s.options.FleetShares {
		for i, n := range allocator.Allocate(machines, claims) {
			claims[i] = allocator.Claim{Floor: n, Wanted: max(n, s.demands[pools[i]].desiredWithin)}
		}
	}
	for i, n := range allocator.Allocate(machines, claims) {
		claims[i] = allocator.Claim{Floor: n, Wanted: max(n, s.demands[pools[i]].desired)}
	}
	for i, n := range allocator.Allocate(machines, claims) {
		claims[i] = allocator.Claim{Floor: n, Wanted: n + s.demands[pools[i]].desiredLate}
	}
	for i, n := range allocator.Allocate(machines, claims) {
		d := s.demands[pools[i]]
		d.desired = max(n, min(max(d.floor, minPoolInstances), d.desired, d.available))
	}
}

// usableMachines returns the number of machines that pools have, and of those on standby that they can get.
func (s *Scheduler) usableMachines() int {
	n := s.usableStandbyMachines()
	for _, d := range s.demands {
		n += d.available
	}
	return n
}

// usableStandbyMachines returns the number of machines on standby that pools can get.
func (s *Scheduler) usableStandbyMachines() int {
	n := 0
	for _, name := range s.machineNames {
		if s.standbyAvailable(name) && !s.machineDrained(name) && !s.underMaintenance(name) {
			n++
		}
	}
	return n
}

// reclaim empties instances of pools that have more than they are allotted, for pools with work and a deficit that the machines on standby do
// not cover. They get no more starts, and are moved once their batch runs have ended.
func (s *Scheduler) reclaim() {
	deficit := -s.usableStandbyMachines()
	surplus := map[fleet.PoolID]int{}
	for pool, d := range s.demands {
		if d.service+d.batch > 0 {
			deficit += max(0, d.deficit())
		}
		surplus[pool] = max(0, -d.deficit())
	}
	deficit = s.keepReclaimed(deficit, surplus)
	if deficit <= 0 {
		return
	}
	for _, in := range s.reclaimable(surplus) {
		if deficit > 0 && surplus[in.Pool] > 0 {
			in.reclaimed = len(in.runs) > 0
			surplus[in.Pool]--
			deficit--
		}
	}
}

// keepReclaimed ends the reclaiming of instances that are not needed any more, and returns the deficit that the others leave.
func (s *Scheduler) keepReclaimed(deficit int, surplus map[fleet.PoolID]int) int {
	for _, in := range s.instances.sorted {
		if !in.reclaimed {
			continue
		}
		if deficit <= 0 || surplus[in.Pool] <= 0 {
			in.reclaimed = false
			continue
		}
		surplus[in.Pool]--
		deficit--
	}
	return deficit
}

// reclaimable returns the instances without service tasks in pools with a surplus, those with the fewest runs first.
func (s *Scheduler) reclaimable(surplus map[fleet.PoolID]int) []*instance {
	var list []*instance
	for _, in := range s.instances.sorted {
		if surplus[in.Pool] > 0 && in.Machine != "" && in.serviceRuns == 0 && s.schedulable(in) && s.moves[in.Machine] == nil && s.now >= s.machineOf(in.Machine).backoffUntil {
			list = append(list, in)
		}
	}
	slices.SortStableFunc(list, func(a, b *instance) int { return cmp.Compare(len(a.runs), len(b.runs)) })
	return list
}
