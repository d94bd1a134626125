package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestWaveWithRunThatOutlastsIt guards against a wave that is late because of one run without checkpoints, and against stopping a run whose
// job would be late only because of that. Load: every machine runs one task, and its progress shows whether it ends after the wave's time limit; its
// job has waited for the tasks before it.
func TestWaveWithRunThatOutlastsIt(t *testing.T) {
	for name, tc := range map[string]struct {
		waited, length, ran, limit time.Duration
		stops                      bool
	}{
		"a job that has time to start again":           {0, 10 * time.Second, 2 * time.Second, 6 * time.Second, true},
		"a job that is late anyway":                    {10 * time.Second, 6 * time.Second, 4 * time.Second, 2500 * time.Millisecond, true},
		"a job that would be late if it started again": {6 * time.Second, 6 * time.Second, 4 * time.Second, 2500 * time.Millisecond, false},
		"a run that ends in time":                      {0, 10 * time.Second, 2 * time.Second, 12 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newWaveFleet(t, 16)
			submit := func(length time.Duration) {
				f.length = func(workload.TaskID) time.Duration { return length }
				for range 8 {
					for _, queue := range []fleet.QueueID{"q", "other"} {
						f.submitJobTo(queue, workload.Step{
							Count: 1, Resources: workload.Resources{Processors: 64000, Memory: 1000}, Estimate: time.Second,
						})
					}
				}
				f.step(200 * time.Millisecond)
			}
			if tc.waited > 0 {
				submit(tc.waited)
			}
			submit(tc.length)
			f.step(tc.waited + tc.ran)
			assert.Equal(t, len(f.runs[f.machines[f.names[0]].instance]), 1)
			f.scheduler.TakeDecisions()
			f.openWave(f.names[:4], tc.limit, 4)
			f.step(tc.limit - time.Second)
			stops := 0
			for _, d := range f.scheduler.TakeDecisions() {
				if d.What == "run stopping" && d.Reason == "maintenance" {
					stops++
				}
			}
			assert.Equal(t, stops > 0, tc.stops, "%d runs are stopped", stops)
		})
	}
}
