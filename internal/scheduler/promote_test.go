package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestLateJobsStartBeforeExpiryDuringOverload makes twelve jobs late, as an outage does, and then overloads their pool
// twofold for ten seconds. Each late job must start before it expires, and most of the pool must remain with on-time
// jobs.
func TestLateJobsStartBeforeExpiryDuringOverload(t *testing.T) {
	f := newTestFleet(t)
	for _, name := range []string{"a", "b", "c", "d"} {
		f.addInstance(name, "p")
	}
	step := workload.Step{Count: 1, Resources: workload.Resources{Processors: 16000}, Estimate: 500 * time.Millisecond}
	var late []workload.JobID
	for range 12 {
		late = append(late, f.submitJob(step))
	}
	f.now += 2500 * time.Millisecond // past the latency objective of 2 s; the jobs expire after 6 s
	startedAt := map[workload.TaskID]time.Duration{}
	started, earlyStarts := 0, 0
	for range 100 {
		for range 6 {
			f.submitJob(step)
		}
		f.advance(100 * time.Millisecond)
		for id, runs := range f.runs {
			for task := range runs {
				if startedAt[task] == 0 {
					startedAt[task] = f.now
					started++
				}
				if f.now-startedAt[task] >= 500*time.Millisecond {
					f.endRun(id, task, workload.EndedDone)
				}
			}
		}
		if f.now-time.Hour < 6500*time.Millisecond {
			earlyStarts = started
		}
	}
	for i, job := range late {
		at := startedAt[workload.TaskID{Job: job}]
		assert.Assert(t, at > 0 && at-time.Hour < 5500*time.Millisecond, "late job %d started at %s", i, at-time.Hour)
	}
	assert.Assert(t, earlyStarts >= 4*len(late), "%d starts, want at least four times the number of late jobs", earlyStarts)
}
