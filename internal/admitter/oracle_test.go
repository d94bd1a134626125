package admitter_test

import (
	"cmp"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/admitter"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// startOf returns when a job would start if the pool did at every moment the most urgent work, and whether that is before it is worth nothing.
func startOf(list []admitter.Work, j admitter.Job) (time.Duration, bool) {
	const step = 30 * time.Millisecond
	work := slices.Clone(list)
	job := admitter.Work{Priority: j.Priority, Customer: j.Customer, Left: j.Needs, Due: j.Objective, Timely: j.Objective - j.Chain, Useful: 3*j.Objective - j.Chain}
	work = append(work, job)
	mine := &work[len(work)-1]
	for now := time.Duration(0); now < job.Useful; now += step {
		order := make([]*admitter.Work, len(work))
		for i := range work {
			order[i] = &work[i]
		}
		late := func(w *admitter.Work) int { return cmp.Compare(now, w.Timely) }
		slices.SortStableFunc(order, func(a, b *admitter.Work) int {
			return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Due, b.Due))
		})
		capacity := admitter.ProcessorSeconds(processors * step.Seconds())
		for _, w := range order {
			if now >= w.Useful {
				continue
			}
			if w == mine && capacity > 0 {
				return now, true
			}
			done := min(capacity, w.Left)
			w.Left, capacity = w.Left-done, capacity-done
		}
	}
	return 0, false
}

// TestRefusedJobsCouldNotBeDone compares decisions with the order of work under random loads: bursts of one to twelve times the capacity of the
// pool, of several priorities and objectives, with pauses. A job that could start, but for the last sixteenth of its times, is not refused.
func TestRefusedJobsCouldNotBeDone(t *testing.T) {
	random := rand.New(rand.NewSource(5))
	refused := 0
	for range 60 {
		var list []admitter.Work
		for range 1 + random.Intn(3) {
			newest := time.Duration(random.Intn(2)*random.Intn(2000)) * time.Millisecond
			oldest := newest + time.Duration(50+random.Intn(8000))*time.Millisecond
			stretch := 0.5 + random.Float64()*2
			priority, rate := random.Intn(3), 100+random.Float64()*1100
			for _, w := range arrivals(rate, oldest, newest) {
				w.Priority, w.Customer = priority, fleet.CustomerID("a")
				longer := time.Duration((stretch - 1) * float64(objective))
				w.Due, w.Timely, w.Useful = w.Due+longer, w.Timely+longer, w.Useful+3*longer
				list = append(list, w)
			}
		}
		j := newJob()
		v := pool(list).Decide(j, 0)
		if !v.Refused {
			continue
		}
		refused++
		start, starts := startOf(list, j)
		timely, useful := (objective-chain)*15/16, (3*objective-chain)*15/16
		assert.Assert(t, !starts || start >= timely && start < objective-chain || start >= useful, "starts after %s", start)
	}
	assert.Assert(t, refused > 5, "%d refused", refused)
}
