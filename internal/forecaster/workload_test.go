package forecaster_test

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forecaster"
)

// generator generates jobs of one queue as the deployments send them: run times are log-normal around median, and the estimate is the time
// of the job with a random error.
type generator struct {
	random *rand.Rand
	queue  fleet.QueueID
	median time.Duration
	// spread is that of the logarithm of the times of jobs, and taskSpread that of the tasks of one step.
	spread, taskSpread float64
	// estimateError is the greatest relative error of an estimate; the error is uniform.
	estimateError float64
	customers     []fleet.CustomerID
	image         string
	// width is the greatest number of tasks.
	width int
	// longShare of the tasks take seven times as long.
	longShare float64
	instances int
}

func newGenerator(seed int64, queue fleet.QueueID, estimateError float64) *generator {
	return &generator{
		random: rand.New(rand.NewSource(seed)), queue: queue, median: 1200 * time.Millisecond, spread: 0.5, taskSpread: 0.2,
		estimateError: estimateError, customers: []fleet.CustomerID{"a", "b", "c", "d"}, image: "image-1", width: 12, longShare: 0.03, instances: 40,
	}
}

// step is one step of a generated job.
type step struct {
	subject forecaster.Subject
	base    time.Duration
	tasks   []time.Duration
}

func (g *generator) step() step {
	base := scale(g.median, math.Exp(g.spread*g.random.NormFloat64()))
	factor := 1 + g.estimateError*(2*g.random.Float64()-1)
	s := step{base: base, subject: forecaster.Subject{
		Queue: g.queue, Customer: g.customers[g.random.Intn(len(g.customers))], Image: g.image, Estimate: scale(base, factor),
	}}
	for range 1 + g.random.Intn(g.width) {
		actual := scale(base, math.Exp(g.taskSpread*g.random.NormFloat64()))
		if g.random.Float64() < g.longShare {
			actual *= 7
		}
		s.tasks = append(s.tasks, actual)
	}
	return s
}

// observe shows the runs of a step in the order in which they end, with what the earlier ones show.
func (g *generator) observe(f *forecaster.Forecaster, s step) {
	evidence := &forecaster.Evidence{}
	prior := f.Expect(s.subject)
	for _, actual := range slices.Sorted(slices.Values(s.tasks)) {
		id := instanceName(g.random.Intn(g.instances))
		f.Observe(forecaster.Run{Subject: s.subject, Actual: actual, Tasks: len(s.tasks), Instance: id, Evidence: evidence})
		evidence.Replace(forecaster.Sample{}, f.Finished(prior, id, false, actual))
	}
}

func instanceName(i int) fleet.InstanceID {
	return fleet.InstanceID("i-" + string(rune('a'+i%26)) + string(rune('a'+i/26)))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// logError returns the absolute logarithm of the ratio of two times.
func logError(a, b time.Duration) float64 { return math.Abs(math.Log(a.Seconds() / b.Seconds())) }

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
