package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// acceptMachineOrders answers the machine orders issued since the call before, at the pace of a platform that accepts rate orders a
// second, and returns how many it accepted and how many were too many. seen is the number of orders answered before.
func (f *testFleet) acceptMachineOrders(seen *int, accepted []time.Duration, rate int) (all []time.Duration, throttled int) {
	for _, o := range f.machineOrders[*seen:] {
		recent := 0
		for _, at := range accepted {
			if f.now-at < time.Second {
				recent++
			}
		}
		if recent >= rate {
			throttled++
			f.scheduler.HandleMachineOutcome(f.now, o, scheduler.MachineThrottled)
			continue
		}
		accepted = append(accepted, f.now)
		f.scheduler.HandleMachineOutcome(f.now, o, scheduler.MachineDone)
	}
	*seen = len(f.machineOrders)
	return accepted, throttled
}

// TestTurnOfLargeFleet is the beginning of a queue's turn, in which its demand rises from nearly none to more than its pool holds:
// machines must come at the rate that the platform accepts, whatever the size of the fleet. A fixed number of moves at a time
// that was right for 48 instances takes half a turn at 350 and all of it at 550.
func TestTurnOfLargeFleet(t *testing.T) {
	for _, c := range []struct{ instances, needed, rate int }{{48, 12, 64}, {350, 90, 215}, {550, 140, 330}} {
		t.Run(fmt.Sprint(c.instances, " instances"), func(t *testing.T) {
			f := newTestFleet(t)
			f.scheduler = scheduler.New(f.now, f.now.Milliseconds(), scheduler.Options{
				Fence: f.index + 1, LeaseDuration: 5400 * time.Millisecond, LeadingSince: f.now, MachineOrderRate: float64(c.rate),
			}, &f.state.Workload)
			for i := range c.instances / 5 {
				f.addInstance(fmt.Sprint("p-", i), "p")
			}
			listStandbyMachines(f, c.instances/2)
			f.advance(time.Second)
			for range c.instances/5 + c.needed {
				f.submitJob(workload.Step{Count: 8, Resources: workload.Resources{Processors: 8000, Memory: 1000}})
			}
			seen, throttled, accepted := 0, 0, []time.Duration(nil)
			for end := f.now + 1200*time.Millisecond; f.now < end; {
				f.advance(100 * time.Millisecond)
				var refused int
				accepted, refused = f.acceptMachineOrders(&seen, accepted, c.rate)
				throttled += refused
			}
			assert.Assert(t, len(accepted) >= c.needed, "%d of %d machines move within 1.2 s", len(accepted), c.needed)
			assert.Equal(t, throttled, 0, "the platform refuses orders")
		})
	}
}

// TestThrottledMovesBackOff guards against a leader that repeats moves at full rate at a platform that accepts less than it states.
// The moves must still be made, and fewer than half of the orders may be refused.
func TestThrottledMovesBackOff(t *testing.T) {
	f := newTestFleet(t)
	f.scheduler = scheduler.New(f.now, f.now.Milliseconds(), scheduler.Options{
		Fence: f.index + 1, LeaseDuration: 5400 * time.Millisecond, LeadingSince: f.now, MachineOrderRate: 200,
	}, &f.state.Workload)
	f.addInstance("a", "p")
	listStandbyMachines(f, 150)
	f.advance(time.Second)
	for range 200 {
		f.submitJob(workload.Step{Count: 8, Resources: workload.Resources{Processors: 8000, Memory: 1000}})
	}
	seen, throttled, accepted := 0, 0, []time.Duration(nil)
	for end := f.now + 6*time.Second; f.now < end; {
		f.advance(100 * time.Millisecond)
		var refused int
		accepted, refused = f.acceptMachineOrders(&seen, accepted, 40)
		throttled += refused
	}
	assert.Assert(t, len(accepted) >= 100, "%d of 150 machines move within 6 s", len(accepted))
	assert.Assert(t, throttled < len(accepted), "%d orders refused, %d accepted", throttled, len(accepted))
}

// TestMaintenanceGoesAheadOfMoves guards against a wave that waits for a turn's moves: both share the rate of the platform, and
// only the wave has a time limit.
func TestMaintenanceGoesAheadOfMoves(t *testing.T) {
	f := newTestFleet(t)
	f.scheduler = scheduler.New(f.now, f.now.Milliseconds(), scheduler.Options{
		Fence: f.index + 1, LeaseDuration: 5400 * time.Millisecond, LeadingSince: f.now, MachineOrderRate: 10,
	}, &f.state.Workload)
	f.addInstance("a", "p")
	var machines []string
	for i := range 6 {
		machines = append(machines, "m-"+fmt.Sprint("w-", i))
		f.addInstance(fmt.Sprint("w-", i), "o")
	}
	listStandbyMachines(f, 100)
	f.advance(4500 * time.Millisecond)
	for range 100 {
		f.submitJob(workload.Step{Count: 8, Resources: workload.Resources{Processors: 8000, Memory: 1000}})
	}
	f.commit(state.AddWave{Wave: workload.Wave{Number: 1, Machines: machines, TimeLimit: 10 * time.Second, MaxConcurrent: 6}, At: state.Timestamp(f.now.Milliseconds())})
	f.scheduler.AddWave(f.now, f.now.Milliseconds(), f.state.Workload.Waves[1])
	seen, accepted := 0, []time.Duration(nil)
	for range 5 {
		f.advance(100 * time.Millisecond)
		accepted, _ = f.acceptMachineOrders(&seen, accepted, 1000)
	}
	maintained := 0
	for _, o := range f.machineOrders {
		if o.Wave == 1 {
			maintained++
		}
	}
	assert.Equal(t, maintained, 6, "all six are ordered within half a second")
	assert.Assert(t, len(f.movesTo("p")) < 10, "%d moves beside them", len(f.movesTo("p")))
}
