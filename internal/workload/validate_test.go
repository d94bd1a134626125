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
