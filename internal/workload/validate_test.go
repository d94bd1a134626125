package workload_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestJobWithTooManyOccurrencesIsRefused guards against a job that ends one leader after the other: the product of tasks and occurrences
// overflows, the job is accepted, and each leader runs out of memory when it sets up the tasks.
func TestJobWithTooManyOccurrencesIsRefused(t *testing.T) {
	for _, repetitions := range []int{1 << 62, 1 << 61, math.MaxInt, 100_000} {
		j := workload.Job{ID: "0000000000000001", Steps: []workload.Step{{Count: 4}}, Repetitions: repetitions, Interval: time.Millisecond}
		assert.ErrorContains(t, j.Validate(), "tasks", "%d repetitions", repetitions)
	}
	j := workload.Job{ID: "0000000000000001", Steps: []workload.Step{{Count: 4}}, Repetitions: 25_000, Interval: time.Millisecond}
	assert.NilError(t, j.Validate())
}

// TestJobBeyondSumsIsRefused guards against sums over tasks that overflow: a customer would be within its limit, a pool would lose the machines that
// its work needs, and an occurrence that is due in the far future would be due at once.
func TestJobBeyondSumsIsRefused(t *testing.T) {
	for _, size := range []workload.Resources{{Processors: math.MaxInt64}, {Memory: workload.MaxAmount + 1}, {Accelerators: 1 << 62}} {
		j := workload.Job{ID: "0000000000000001", Steps: []workload.Step{{Count: 1, Resources: size}}}
		assert.ErrorContains(t, j.Validate(), "resources", "%s", size)
	}
	for _, due := range []int64{math.MaxInt64, math.MinInt64} {
		j := workload.Job{ID: "0000000000000001", Steps: []workload.Step{{Count: 1}}, FirstDueMillis: due, Repetitions: 2, Interval: time.Hour}
		assert.ErrorContains(t, j.Validate(), "first due time", "%d", due)
	}
	j := workload.Job{ID: "0000000000000001", Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: workload.MaxAmount}}}}
	assert.NilError(t, j.Validate())
}
