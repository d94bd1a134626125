package forecaster

import (
	"cmp"
	"math"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Speed is how fast an instance runs tasks, relative to what is usual.
type Speed struct {
	// Factor is below 1 on a slow instance: at 0.5 tasks take twice as long.
	Factor float64
	// Runs is the number of recent runs that the factor rests on.
	Runs int
	// Slow is set if they are enough to call the instance slow.
	Slow bool
}

const (
	speedRuns = 24
	// speedUpdateRuns is the number of runs after which the speed is computed anew once speedRuns are known. It costs as much as the rest
	// of an observation.
	speedUpdateRuns = 4
	// usualWeight is the weight of the assumption that an instance is as fast as the others, in runs whose
	// time is known within a quarter.
	usualWeight = 1
	usualSpread = 0.0625
	// slowFactor is the speed below which runs of an instance do not count in full for others, and it is named as slow.
	slowFactor = 0.7
	// minSlowRuns is the number of runs after which an instance can be named as slow.
	minSlowRuns = 4
)

// speed holds the recent runs on an instance.
type speed struct {
	ratios [speedRuns]ratio
	next   int
	count  int
	// log is the logarithm of factor.
	log    float32
	factor float64
}

// ratio is the logarithm of expected over actual time, and its weight.
type ratio struct{ log, weight float32 }

// InstanceSpeed returns the speed of an instance; one that has run nothing has the usual one.
func (f *Forecaster) InstanceSpeed(id fleet.InstanceID) Speed {
	s, ok := f.speeds.get(id)
	if !ok {
		return Speed{Factor: 1}
	}
	return Speed{Factor: s.factor, Runs: s.count, Slow: s.slow()}
}

// SlowInstances returns the instances that are slow, in order.
func (f *Forecaster) SlowInstances() []fleet.InstanceID {
	var list []fleet.InstanceID
	f.speeds.each(func(id fleet.InstanceID, s *speed) {
		if s.slow() {
			list = append(list, id)
		}
	})
	slices.Sort(list)
	return list
}

func (s *speed) slow() bool { return s.factor < slowFactor && s.count >= minSlowRuns }

// ObserveUnfinished learns the speed of an instance from a run that was ended while it took longer than expected. It teaches nothing
// about the tasks of its kind.
func (f *Forecaster) ObserveUnfinished(r Run) {
	p := f.pathOf(&r.Subject)
	before := f.forecast(&p, r.Estimate)
	if r.Actual > before.Quantile(0.9) {
		f.observeInstance(&r, before, 1/float64(max(1, r.Tasks)))
	}
}

// observeInstance compares a run with what its kind, and other instances that run the same step, let expect.
func (f *Forecaster) observeInstance(r *Run, expected Forecast, weight float64) {
	if r.Instance == "" {
		return
	}
	variance := expected.variance / weight // tasks of one step are off together
	if r.Evidence != nil {
		if others := r.Evidence.without(r.Instance); others.Set() {
			expected = expected.after(others)
			variance = expected.variance
		}
	}
	y := logOf(r.Actual)
	if r.Remote {
		y -= f.remote.value
	}
	s, ok := f.speeds.touch(r.Instance)
	if !ok {
		s = &speed{factor: 1}
		f.speeds.put(r.Instance, s)
	}
	s.ratios[s.next] = ratio{float32(expected.mean - y), float32(1 / max(variance, minVariance))}
	s.next = (s.next + 1) % speedRuns
	s.count = min(s.count+1, speedRuns)
	if s.count < speedRuns || s.next%speedUpdateRuns == 0 {
		s.update()
	}
}

func (s *speed) meanWeight() float32 {
	sum := 0.0
	for _, r := range s.ratios[:s.count] {
		sum += float64(r.weight)
	}
	return float32(sum / float64(max(1, s.count)))
}

func (s *speed) update() {
	s.log = s.median()
	s.factor = math.Exp(float64(s.log))
}

// median returns the weighted median of the ratios and of the assumption that the instance is as fast as the others.
func (s *speed) median() float32 {
	var sorted [speedRuns + 1]ratio
	n := copy(sorted[:], s.ratios[:s.count])
	sorted[n] = ratio{0, usualWeight / usualSpread}
	list := sorted[:n+1]
	slices.SortFunc(list, func(a, b ratio) int { return cmp.Compare(a.log, b.log) })
	total, sum := float32(0), float32(0)
	for _, r := range list {
		total += r.weight
	}
	for _, r := range list {
		if sum += r.weight; sum >= total/2 {
			return r.log
		}
	}
	return 0
}
