package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// alternateMachines returns every second machine.
func alternateMachines(f *waveFleet) (list []string) {
	for i := 0; i < len(f.names); i += 2 {
		list = append(list, f.names[i])
	}
	return list
}

// rackMachines returns the machines of every second rack.
func rackMachines(f *waveFleet) (list []string) {
	for i := range f.names {
		if i/8%2 == 0 {
			list = append(list, f.names[i])
		}
	}
	return list
}

// TestWaveUnderTurnsOfLoad guards against a wave that is not done in time although its places suffice. Load: the two pools get 1.2
// times what they can do by turns of 4.5 s, beside service tasks of which one a step may be unavailable. 50 machines in 25 s, six
// at once, need nine rounds of 2 s.
func TestWaveUnderTurnsOfLoad(t *testing.T) {
	for name, choose := range map[string]func(f *waveFleet) []string{"alternate machines": alternateMachines, "whole racks": rackMachines} {
		t.Run(name, func(t *testing.T) {
			f := newWaveFleet(t, 100)
			f.submitService(6, 8)
			f.step(2 * time.Second)
			f.openWave(choose(f), 25*time.Second, 6)
			start := f.now
			for f.now < start+25*time.Second && len(f.remaining()) > 0 {
				f.submitTurn(start, 6)
				f.step(100 * time.Millisecond)
				f.assertAvailable()
			}
			t.Logf("%d left after %s, %d down at once", len(f.remaining()), f.now-start, f.maxDown)
			assert.Equal(t, len(f.remaining()), 0, "machines left after %s: %v", f.now-start, f.remaining())
			assert.Assert(t, f.maxDown <= 6, "%d machines are down at once", f.maxDown)
		})
	}
}

// run lets the fleet work under turns of load until the wave is done or the time is over, and returns the time that it took. each is
// called every 100 ms.
func (f *waveFleet) run(limit time.Duration, jobs int, each func(elapsed time.Duration)) time.Duration {
	start := f.now
	for f.now < start+limit && len(f.remaining()) > 0 {
		if each != nil {
			each(f.now - start)
		}
		f.submitTurn(start, jobs)
		f.step(100 * time.Millisecond)
	}
	f.t.Logf("%d left after %s, %d down at once", len(f.remaining()), f.now-start, f.maxDown)
	return f.now - start
}

// TestWaveWithFailingMachines guards against machines that are left over because they cannot be maintained when their turn comes.
// Every fifth machine of the wave is, for a part of the wave, cut off, crashed, busy by the platform's account, or gone for good.
func TestWaveWithFailingMachines(t *testing.T) {
	f := newWaveFleet(t, 100)
	f.submitService(4, 6)
	wave := alternateMachines(f)
	busyUntil := map[string]time.Duration{}
	f.platform = func(o scheduler.MachineOrder) platformReply {
		if f.now < busyUntil[o.Machine] {
			return platformReply{outcome: scheduler.MachineBusy}
		}
		return platformReply{carriedOut: true, outcome: scheduler.MachineDone}
	}
	f.openWave(wave, 25*time.Second, 8)
	f.run(25*time.Second, 5, func(elapsed time.Duration) {
		left := f.remaining()
		if elapsed%(2*time.Second) != 0 || elapsed == 0 || elapsed > 10*time.Second {
			return
		}
		next := func() string { return left[f.random.Intn(len(left))] }
		f.cutOff(next(), 9*time.Second)
		f.crash(next())
		busyUntil[next()] = f.now + 4*time.Second
		if elapsed == 6*time.Second {
			f.leave(next())
		}
	})
	assert.Equal(t, len(f.remaining()), 0, "machines left: %v", f.remaining())
	assert.Assert(t, f.maxDown <= 8, "%d machines are down at once", f.maxDown)
}

// TestWaveWithLongTasks guards against a wave that begins to wait for long tasks when its time is nearly over, and against one that stops
// tasks although there is time to let them end. Load: tasks of 8 s or 30 s, more of them than the fleet can hold, from 5 s before the wave on.
func TestWaveWithLongTasks(t *testing.T) {
	for name, tc := range map[string]struct {
		length, limit time.Duration
		stops         bool
	}{
		"short of time": {30 * time.Second, 20 * time.Second, true},
		"with time":     {8 * time.Second, 60 * time.Second, false},
		"just enough":   {8 * time.Second, 20 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newWaveFleet(t, 100)
			f.length = func(workload.TaskID) time.Duration { return tc.length }
			submit := func() {
				for _, queue := range []fleet.QueueID{"q", "other"} {
					f.submitJobTo(queue, workload.Step{
						Count: 4, Resources: workload.Resources{Processors: 8000, Memory: 1000}, Estimate: time.Second, Checkpointing: true,
					})
				}
			}
			for range 50 {
				submit()
				f.step(100 * time.Millisecond)
			}
			f.openWave(alternateMachines(f), tc.limit, 10)
			stops, start := 0, f.now
			for f.now < start+tc.limit && len(f.remaining()) > 0 {
				submit()
				f.step(100 * time.Millisecond)
				for _, d := range f.scheduler.TakeDecisions() {
					if d.What == "run stopping" && d.Reason == "maintenance" {
						stops++
					}
				}
			}
			t.Logf("%d left after %s, %d stops", len(f.remaining()), f.now-start, stops)
			assert.Equal(t, len(f.remaining()), 0, "machines left: %v", f.remaining())
			assert.Equal(t, stops > 0, tc.stops, "%d tasks are stopped", stops)
		})
	}
}

// TestWaveOutlivesLeader guards against a new leader that waits, and against one that does not count the machines which the earlier leader
// has shut down. The leader is lost twice while all places are in use; nobody leads for 1 s.
func TestWaveOutlivesLeader(t *testing.T) {
	f := newWaveFleet(t, 100)
	f.submitService(4, 6)
	f.openWave(alternateMachines(f), 27*time.Second, 8)
	f.run(27*time.Second, 5, func(elapsed time.Duration) {
		if elapsed == 5*time.Second || elapsed == 12*time.Second {
			f.now += time.Second
			f.endDueRuns()
			f.replaceLeader()
		}
	})
	assert.Equal(t, len(f.remaining()), 0, "machines left: %v", f.remaining())
	assert.Assert(t, f.maxDown <= 8, "%d machines are down at once", f.maxDown)
}

// TestWaveNeverExceedsItsPlaces guards against more machines that are down than the wave allows: a third of the orders is not answered
// although half of them is carried out, and answers take up to 1 s. A platform may carry out a repeated order again, or answer it only.
func TestWaveNeverExceedsItsPlaces(t *testing.T) {
	t.Parallel()
	for name, again := range map[string]bool{"repeated orders are carried out": true, "repeated orders are answered": false} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(5) {
				f := newWaveFleet(t, 60)
				f.random.Seed(seed)
				f.submitService(3, 5)
				f.platform = func(o scheduler.MachineOrder) platformReply {
					delay := time.Duration(f.random.Intn(10)) * 100 * time.Millisecond
					if _, repeated := f.begun[o.Machine]; repeated && !again && o.Pool == "" {
						return platformReply{outcome: scheduler.MachineDone, delay: delay}
					}
					switch f.random.Intn(6) {
					case 0:
						return platformReply{outcome: scheduler.MachineUncertain, delay: delay}
					case 1:
						return platformReply{carriedOut: true, outcome: scheduler.MachineUncertain, delay: delay}
					default:
						return platformReply{carriedOut: true, outcome: scheduler.MachineDone, delay: delay}
					}
				}
				f.openWave(rackMachines(f), 25*time.Second, 5)
				f.run(60*time.Second, 3, func(elapsed time.Duration) {
					if elapsed == 9*time.Second {
						f.replaceLeader()
					}
				})
				assert.Equal(t, len(f.remaining()), 0, "seed %d, machines left: %v", seed, f.remaining())
				assert.Assert(t, f.maxDown <= 5, "seed %d: %d machines are down at once", seed, f.maxDown)
			}
		})
	}
}
