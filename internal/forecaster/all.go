package forecaster

import (
	"math"
	"time"
)

// centres are the nodes and weights of the Gauss-Hermite quadrature with five points for a standard normal distribution.
var centres = [5]struct{ at, weight float64 }{
	{-2.856970013872806, 0.011257411327720691},
	{-1.355626179974266, 0.22207592200561266},
	{0, 0.53333333333333333},
	{1.355626179974266, 0.22207592200561266},
	{2.856970013872806, 0.011257411327720691},
}

// WithinAll returns the probability that n tasks of a step are all complete within d if they start together. They take alike, so that the
// uncertain centre of the step counts once for all of them.
func (f Forecast) WithinAll(n int, d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return f.allBelow(n, math.Log(d.Seconds()))
}

func (f Forecast) allBelow(n int, y float64) float64 {
	within := max(f.within, minWithin)
	between := math.Sqrt(max(f.variance-within, 0))
	sum := 0.0
	for _, c := range centres {
		step := Forecast{mean: f.mean + c.at*between, variance: within, tailShare: f.tailShare, tailShift: f.tailShift}
		sum += c.weight * math.Pow(step.mixture().below(y), float64(max(1, n)))
	}
	return sum
}

// quantileOfAllSteps bisects the range between any task and one in a million to a thousandth.
const quantileOfAllSteps = 14

// QuantileOfAll returns the time within which n tasks of a step are all complete with probability p if they start together. It costs ten times
// as much as WithinAll.
func (f Forecast) QuantileOfAll(n int, p float64) time.Duration {
	p = clamp(p, 1e-3, 1-1e-3)
	low, high := f.mixture().quantile(1e-3), f.mixture().quantile(1-1e-6)
	for range quantileOfAllSteps {
		middle := (low + high) / 2
		if f.allBelow(n, middle) < p {
			low = middle
		} else {
			high = middle
		}
	}
	return timeOf((low + high) / 2)
}

// TypicalLast returns the median time within which n tasks of a step are all complete if they start together, for ordinary runs. It costs little
// more than Typical.
func (f Forecast) TypicalLast(n int) time.Duration {
	return timeOf(f.mean + medianOfLast(n)*math.Sqrt(max(f.within, minWithin)))
}

// maxTabledTasks is the number of tasks up to which the median of the last one is computed in advance.
const maxTabledTasks = 64

// mediansOfLast holds the median of the largest of n standard normal values.
var mediansOfLast = func() (table [maxTabledTasks + 1]float64) {
	for n := 1; n <= maxTabledTasks; n++ {
		table[n] = math.Sqrt2 * math.Erfinv(2*math.Pow(0.5, 1/float64(n))-1)
	}
	return table
}()

// medianOfLast returns the median of the largest of n standard normal values, for at most maxTabledTasks of them.
func medianOfLast(n int) float64 { return mediansOfLast[min(max(n, 1), maxTabledTasks)] }
