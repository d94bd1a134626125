package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/admitter"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

const (
	objective = 4 * time.Second
	chain     = time.Second
	// processors are those of the pool.
	processors = 100.0
)

// newJob returns a job of one processor-second; it is late if it waits for 3 s, and worth nothing after 11 s.
func newJob() admitter.Job {
	return admitter.Job{Priority: 1, Customer: "a", Objective: objective, Chain: chain, Confidence: 0.9, Needs: 1}
}

// aged returns an amount of work that was accepted some time ago in jobs like newJob.
func aged(age time.Duration, left admitter.ProcessorSeconds) admitter.Work {
	return admitter.Work{Priority: 1, Customer: "a", Left: left, Due: objective - age, Timely: objective - chain - age, Useful: 3*objective - chain - age}
}

// arrivals returns the work that is left of jobs accepted at a rate between two ages.
func arrivals(rate float64, oldest, newest time.Duration) (list []admitter.Work) {
	const step = 20 * time.Millisecond
	for age := oldest; age > newest; age -= step {
		list = append(list, aged(age, admitter.ProcessorSeconds(rate*step.Seconds())))
	}
	return list
}

// ofTasks sets the time of the tasks.
func ofTasks(d time.Duration, list []admitter.Work) []admitter.Work {
	for i := range list {
		list[i].Task = d
	}
	return list
}

// pool returns a pool that does 100 processor-seconds a second.
func pool(work []admitter.Work) *admitter.Pool {
	return poolOf(processors, nil, work)
}

func poolOf(processors float64, weights map[fleet.CustomerID]float64, work []admitter.Work) *admitter.Pool {
	p := admitter.NewPool(processors, weights)
	for _, w := range work {
		p.Add(w)
	}
	return p
}

func ExamplePool_Decide() {
	p := admitter.NewPool(100, nil)
	for range 40 {
		p.Add(aged(10*time.Millisecond, 50))
	}
	v := p.Decide(newJob(), 0)
	fmt.Println(v.Refused, v.Ahead, v.Possible, v.Room)
	// Output: true 2000 1100 2.99s
}

// TestDecisionUnderLoad guards against the refusal of a job that could have been done, and against the acceptance of what certainly cannot.
func TestDecisionUnderLoad(t *testing.T) {
	for _, c := range []struct {
		name string
		work []admitter.Work
		want bool
	}{
		{"idle pool", nil, false},
		{"outage after which all callers return within 0.2 s with more work than can be done before it is worth nothing", arrivals(10000, 200*time.Millisecond, 0), true},
		{"the same with work that can be done before it is worth nothing", arrivals(5000, 200*time.Millisecond, 0), false},
		{"half a second after the return of the callers, when their jobs will be late first", arrivals(10000, 700*time.Millisecond, 500*time.Millisecond), false},
		{"burst of twice the capacity that has lasted 12 s and of which nothing was done", arrivals(200, 12*time.Second, 0), false},
		{"five times the capacity for 2 s", arrivals(500, 2*time.Second, 0), false},
		{"five times the capacity for 12 s", arrivals(500, 12*time.Second, 0), true},
		{"five times the capacity for 12 s, until half a second ago", arrivals(500, 12*time.Second, 500*time.Millisecond), false},
		{"eight times the capacity for 12 s, in tasks of a second", ofTasks(time.Second, arrivals(800, 12*time.Second, 0)), true},
		{"late work alone", arrivals(5000, 12*time.Second, 3100*time.Millisecond), false},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, pool(c.work).Decide(newJob(), 0).Refused, c.want) })
	}
}

// TestDoubtIsNoRefusal changes one thing at a time of a load at which a job is refused, so that the job could be done or that it is not known.
func TestDoubtIsNoRefusal(t *testing.T) {
	work := func(change func(w *admitter.Work)) *admitter.Pool {
		list := arrivals(500, 12*time.Second, 0)
		for i := range list {
			change(&list[i])
		}
		return pool(list)
	}
	for _, c := range []struct {
		name string
		pool *admitter.Pool
		job  func(j *admitter.Job)
		want bool
	}{
		{"as it is", work(func(*admitter.Work) {}), nil, true},
		{"more urgent work", work(func(w *admitter.Work) { w.Priority = 0 }), nil, true},
		{"more urgent work of others that is due later", work(func(w *admitter.Work) { w.Priority, w.Customer, w.Due = 0, "b", time.Minute }), nil, true},
		{"less urgent work", work(func(w *admitter.Work) { w.Priority = 2 }), nil, false},
		{"work that is due later", work(func(w *admitter.Work) { w.Due += 12 * time.Second }), nil, false},
		{"work of others, with none of the customer", work(func(w *admitter.Work) { w.Customer = "b" }), nil, false},
		{"tasks with the claim of those of the job", work(func(w *admitter.Work) { w.Claim.Memory = 5 }), func(j *admitter.Job) { j.Claim.Memory = 5 }, true},
		{"tasks that find no room where one of the job does", work(func(w *admitter.Work) { w.Claim.Memory = 5 }), func(j *admitter.Job) { j.Claim.Processors = 9 }, false},
		{"a limit that lets the customers use half of the pool", work(func(w *admitter.Work) { w.Most = processors / 2 }), nil, false},
		{"a limit beyond the pool", work(func(w *admitter.Work) { w.Most = processors * 2 }), nil, true},
		{"tasks of a second, which may end together", work(func(w *admitter.Work) { w.Task = time.Second }), nil, false},
		{"unknown run times", work(func(*admitter.Work) {}), func(j *admitter.Job) { j.Confidence = 0.3 }, false},
		{"no objective", work(func(*admitter.Work) {}), func(j *admitter.Job) { j.Objective = 0 }, false},
		{"never complete in time, on an idle pool either", work(func(*admitter.Work) {}), func(j *admitter.Job) { j.Chain = time.Minute }, false},
		{"no processors", work(func(*admitter.Work) {}), func(j *admitter.Job) { j.Needs = 0 }, false},
		{"unknown capacity", poolOf(0, nil, arrivals(500, 12*time.Second, 0)), nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := newJob()
			if c.job != nil {
				c.job(&j)
			}
			assert.Equal(t, c.pool.Decide(j, 0).Refused, c.want)
		})
	}
}

// TestShareOfCustomer guards against the refusal of a customer whose own work fits into its share of the pool, while another sends five times
// the capacity.
func TestShareOfCustomer(t *testing.T) {
	for _, c := range []struct {
		part, weight float64
		want         bool
	}{{0.01, 1, false}, {0.1, 1, false}, {0.5, 1, true}, {0.5, 9, false}} {
		p := poolOf(100, map[fleet.CustomerID]float64{"a": c.weight}, nil)
		for _, w := range arrivals(500, 12*time.Second, 0) {
			other := w
			other.Customer, other.Left, w.Left = "b", w.Left*admitter.ProcessorSeconds(1-c.part), w.Left*admitter.ProcessorSeconds(c.part)
			p.Add(w)
			p.Add(other)
		}
		assert.Equal(t, p.Decide(newJob(), 0).Refused, c.want, "%+v", c)
	}
}

// TestMeasurementAges guards against a refusal because of work that was done or became late since the measurement.
func TestMeasurementAges(t *testing.T) {
	p := pool(arrivals(10000, 200*time.Millisecond, 0))
	assert.Assert(t, p.Decide(newJob(), 0).Refused)
	assert.Assert(t, !p.Decide(newJob(), 500*time.Millisecond).Refused)
}

// TestMayRefuseMissesNothing guards against jobs that are accepted unexamined although they would be refused.
func TestMayRefuseMissesNothing(t *testing.T) {
	for rate := 0.0; rate < 3000; rate += 50 {
		for _, length := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 12 * time.Second} {
			p := pool(arrivals(rate, length, 0))
			assert.Assert(t, p.MayRefuse(objective/2) || !p.Decide(newJob(), 0).Refused, "%g for %s", rate, length)
		}
	}
}
