package triager_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/triager"
)

func ExampleJob_Rank() {
	j := triager.Job{Elapsed: 900 * time.Millisecond, Objective: 2 * time.Second, Remaining: 1200 * time.Millisecond}
	fmt.Println(j.Rank() == triager.Late, j.Slack())
	// Output: true -100ms
}

// TestRankUnderOverload guards against starting jobs that will be late in place of jobs that can still be in time, while a queue asks for
// more than its pool holds.
func TestRankUnderOverload(t *testing.T) {
	for _, c := range []struct {
		name string
		job  triager.Job
		want triager.Rank
	}{
		{"fresh", triager.Job{Objective: 2 * time.Second, Remaining: time.Second}, triager.Timely},
		{"waited, can still be in time", triager.Job{Elapsed: 900 * time.Millisecond, Objective: 2 * time.Second, Remaining: time.Second}, triager.Timely},
		{"cannot be in time before its due time has passed", triager.Job{Elapsed: 1100 * time.Millisecond, Objective: 2 * time.Second, Remaining: time.Second}, triager.Late},
		{"begun, with little left", triager.Job{Elapsed: 1700 * time.Millisecond, Objective: 2 * time.Second, Remaining: 200 * time.Millisecond}, triager.Timely},
		{"cannot be in time although nothing of it has waited", triager.Job{Objective: 2 * time.Second, Remaining: 3 * time.Second}, triager.Late},
		{"due time has passed", triager.Job{Elapsed: 2 * time.Second, Objective: 2 * time.Second}, triager.Late},
		{"worth nothing", triager.Job{Elapsed: 6 * time.Second, Objective: 2 * time.Second}, triager.Expired},
		{"objective of zero", triager.Job{}, triager.Expired},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.job.Rank(), c.want) })
	}
}
