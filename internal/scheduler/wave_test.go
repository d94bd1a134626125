package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
