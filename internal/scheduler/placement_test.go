package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

const (
	// placementFleetSize is that of the simulated pool.
	placementFleetSize = 24
	// placementSeeds is the number of seeds over which a comparison is made; a single one is subject to chance.
	placementSeeds = 5
)

func kind(name string, rate float64, processors, memory int64, count int, work time.Duration) *kindOfWork {
	return &kindOfWork{name: name, rate: rate, work: work, spread: 0.2, customers: 8, step: workload.Step{Count: count, Resources: workload.Resources{Processors: processors, Memory: memory}}}
}

// comparison is the part of the work in time, in total and by kind, without and with a criterion.
type comparison struct {
	total [2]float64
	parts [2]map[string]float64
}

// compare plays a load on seeded fleets without and with a criterion.
func compare(t *testing.T, criterion scheduler.Criteria, play func(f *placementFleet) float64) (c comparison) {
	t.Helper()
	const all = ^scheduler.Criteria(0)
	for i, without := range []scheduler.Criteria{all, all &^ criterion} {
		c.parts[i] = map[string]float64{}
		for seed := range placementSeeds {
			f := newPlacementFleet(int64(seed+1), placementFleetSize, without)
			c.total[i] += play(f) / placementSeeds
			for name := range f.asked {
				c.parts[i][name] += f.part(name) / placementSeeds
			}
		}
	}
	t.Logf("in time without: %.3f %.3v, with: %.3f %.3v", c.total[0], c.parts[0], c.total[1], c.parts[1])
	return c
}

// TestSlowInstancesCostLittle guards against jobs that become late on slow instances while others have room or are about to, and against an instance
// that counts as slow for good. Load: every third instance is half as fast in a turn of short and long jobs, and as fast as the others after
// it. The load is six tenths of the capacity, seven tenths in the turn, so that a tenth at most may be late.
func TestSlowInstancesCostLittle(t *testing.T) {
	t.Parallel()
	usual := map[fleet.InstanceID]bool{}
	c := compare(t, scheduler.SpeedCriterion, func(f *placementFleet) float64 {
		clear(usual)
		for i := 0; i < placementFleetSize; i += 3 {
			f.speeds[placedInstance(i)] = 0.5
		}
		f.stepped = func(elapsed time.Duration) {
			if elapsed == 12*time.Second {
				clear(f.speeds)
			}
		}
		f.decided = func(list []scheduler.Decision) {
			for _, d := range list {
				usual[d.Instance] = usual[d.Instance] || d.What == "instance speed usual"
			}
		}
		short := kind("short", 14, 3100, 4000, 8, 500*time.Millisecond)
		short.steps = 2
		return f.play(24*time.Second, short, kind("long", 1.3, 6000, 7500, 6, 2*time.Second))
	})
	assert.Check(t, c.total[1] > 0.9 && c.total[1] > c.total[0])
	for i := 0; i < placementFleetSize; i += 3 {
		assert.Check(t, usual[placedInstance(i)], "instance %d is never measured again", i)
	}
}

func playSmallBesideWide(f *placementFleet) float64 {
	gang := kind("gang", 0.7, 8000, 8000, 6, 1500*time.Millisecond)
	gang.step.Gang = true
	return f.play(12*time.Second, kind("small", 74, 2000, 2000, 10, 450*time.Millisecond), kind("wide", 1.5, 24000, 30000, 1, 1500*time.Millisecond), gang)
}

// TestSmallTasksDoNotStarveWideOnes guards against a stream of small tasks that leaves no room for tasks of three quarters of an instance and for gangs,
// and against reservations of more than a tenth of the pool. Load: the whole capacity of the pool, of which small tasks ask for nine tenths.
// Starved is work of which less than half as much is in time as of the small tasks. No more than the reserved tenth may be lost in total.
func TestSmallTasksDoNotStarveWideOnes(t *testing.T) {
	t.Parallel()
	most := 0
	c := compare(t, scheduler.ReservationCriterion, func(f *placementFleet) float64 {
		probe := workload.Job{Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 1}}}}
		f.stepped = func(elapsed time.Duration) {
			if elapsed%(100*time.Millisecond) == 0 {
				p, _ := f.scheduler.Where(probe, "q", "c-0")
				most = max(most, p.Steps[0].RuledOut["reserved for a waiting task"])
			}
		}
		return playSmallBesideWide(f)
	})
	small := c.parts[1]["small"]
	assert.Check(t, c.parts[1]["wide"] > small/2 && c.parts[1]["gang"] > small/2)
	assert.Check(t, c.total[1] > c.total[0]-0.1)
	assert.Check(t, most > 0 && most <= placementFleetSize/10, "%d reserved", most)
}

// TestReservedInstanceIsLost guards against a task that waits for a reserved instance that is lost. Load: that of the test above.
func TestReservedInstanceIsLost(t *testing.T) {
	f := newPlacementFleet(1, placementFleetSize, 0)
	lost := 0
	f.decided = func(list []scheduler.Decision) {
		for _, d := range list {
			if d.What == "room reserved" && lost < 3 && !f.byID[d.Instance].gone {
				f.lose(func(in *simulatedInstance) bool { return in.ID == d.Instance })
				lost++
			}
		}
	}
	playSmallBesideWide(f)
	assert.Equal(t, lost, 3)
	assert.Equal(t, f.open["wide"]+f.open["gang"], 0)
}

// TestMemoryBoundWorkBesideProcessorBound guards against memory or processors that are stranded. Load: three quarters of the capacity, from tasks with an
// eighth of the processors and a third of the memory of an instance, and the other way round. All of it has room.
func TestMemoryBoundWorkBesideProcessorBound(t *testing.T) {
	f := newPlacementFleet(1, placementFleetSize, 0)
	part := f.play(12*time.Second, kind("memory", 7, 2000, 22000, 6, time.Second), kind("processors", 9, 9000, 3000, 6, 800*time.Millisecond))
	assert.Check(t, part > 0.9, "%.3f in time", part)
}

// TestWantedRackIsWaitedFor guards against tasks that run at half speed elsewhere while the rack of their data has room soon, and against tasks that wait
// for it longer than that costs. Load: 60 % of the jobs want one rack of three for 5 s, which asks for about 0.9, 1.3 or 1.7 times what it can do.
// In the first case the pool has room for all, so that a tenth at most may be late.
func TestWantedRackIsWaitedFor(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{12, 18, 24} {
		c := compare(t, scheduler.DataRackCriterion, func(f *placementFleet) float64 {
			data := kind("data", rate, 3100, 4000, 8, 700*time.Millisecond)
			data.step.DataRack = "r-1"
			return f.play(5*time.Second, data, kind("other", rate*0.4/0.6, 3100, 4000, 8, 700*time.Millisecond))
		})
		assert.Check(t, c.total[1] > c.total[0], "%.0f jobs a second", rate)
		assert.Check(t, rate > 12 || c.parts[1]["data"] > 0.9)
	}
}

// TestLossOfRackIsShared guards against one customer that loses most of its work with one rack. Load: a third of the capacity from four customers; after
// 4 s the rack with most runs is lost. The worst served customer has to be served better than without the spread.
func TestLossOfRackIsShared(t *testing.T) {
	t.Parallel()
	worst := [2]float64{}
	for i, without := range []scheduler.Criteria{scheduler.CustomerSpreadCriterion, 0} {
		for seed := range 3 * placementSeeds {
			f := newPlacementFleet(int64(seed+1), placementFleetSize, without)
			f.stepped = func(elapsed time.Duration) {
				if elapsed == 4*time.Second {
					rack := f.busiestRack()
					f.lose(func(in *simulatedInstance) bool { return in.Rack == rack })
				}
			}
			var kinds []*kindOfWork
			for c := range 4 {
				k := kind(fmt.Sprint(c), 2, 3100, 4000, 8, 1500*time.Millisecond)
				k.customer, k.customers = c, 1
				kinds = append(kinds, k)
			}
			f.play(6*time.Second, kinds...)
			least := 1.0
			for c := range kinds {
				least = min(least, f.part(fmt.Sprint(c)))
			}
			worst[i] += least / (3 * placementSeeds)
		}
	}
	t.Logf("worst served customer without: %.3f, with: %.3f", worst[0], worst[1])
	assert.Check(t, worst[1] > worst[0])
}
