package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestLateWorkIsServedDuringAnOverload answers a queue that asks for twice what its pool can do for ten seconds, after a stop
// that made twelve jobs late: each of them is served before it is worth nothing, and most of the pool stays with timely work.
func TestLateWorkIsServedDuringAnOverload(t *testing.T) {
	b := newBench(t)
	for _, name := range []string{"a", "b", "c", "d"} {
		b.join(name, "p")
	}
	step := workload.Step{Count: 1, Resources: workload.Resources{Processors: 16000}, Estimate: 500 * time.Millisecond}
	var late []workload.JobID
	for range 12 {
		late = append(late, b.submit(step))
	}
	b.now += 2500 * time.Millisecond // beyond the objective of 2 s, hopeless after 6 s
	began := map[workload.TaskID]time.Duration{}
	started, lateStarts := 0, 0
	for range 100 {
		for range 6 {
			b.submit(step)
		}
		b.pass(100 * time.Millisecond)
		for id, runs := range b.runs {
			for task := range runs {
				if began[task] == 0 {
					began[task] = b.now
					started++
				}
				if b.now-began[task] >= 500*time.Millisecond {
					b.end(id, task, workload.EndedDone)
				}
			}
		}
		if b.now-time.Hour < 6500*time.Millisecond {
			lateStarts = started
		}
	}
	for i, job := range late {
		at := began[workload.TaskID{Job: job}]
		assert.Assert(t, at > 0 && at-time.Hour < 5500*time.Millisecond, "late job %d started at %s", i, at-time.Hour)
	}
	assert.Assert(t, lateStarts >= 4*len(late), "%d starts, at least four fifths of them timely", lateStarts)
}
