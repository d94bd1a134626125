package forecaster

import (
	"math"
	"time"
)

// Forecast is the distribution of the run time of a task. Its zero value says that tasks take a second.
type Forecast struct {
	// mean and variance are those of the logarithm of the run time in seconds, of ordinary runs.
	mean, variance float64
	// within is the variance between the tasks of one step.
	within float64
	// tailShare is the part of runs that take exp(tailShift) times as long.
	tailShare, tailShift float64
	// ignorance is the part of the forecast that rests on assumptions instead of observations.
	ignorance float64
}

// resolution is what answers are rounded to, so that decisions do not depend on the last bits of a sum, which differ between processors.
const resolution = 100 * time.Microsecond

// Typical returns the median run time of ordinary runs. It costs least.
func (f Forecast) Typical() time.Duration { return timeOf(f.mean) }

// Mean returns the expected run time, including the runs that take many times as long.
func (f Forecast) Mean() time.Duration {
	body := math.Exp(f.mean + f.variance/2)
	long := math.Exp(f.mean + f.tailShift + (f.variance+tailVariance)/2)
	return durationOf((1-f.tailShare)*body + f.tailShare*long)
}

// Quantile returns the time within which a task is complete with probability p.
func (f Forecast) Quantile(p float64) time.Duration { return timeOf(f.mixture().quantile(p)) }

// QuantileOfAll returns the time within which n tasks of a step are all complete with probability p if they start together.
func (f Forecast) QuantileOfAll(n int, p float64) time.Duration {
	return f.Quantile(math.Pow(p, 1/float64(max(1, n))))
}

// Within returns the probability that a task is complete within d of its start.
func (f Forecast) Within(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return f.mixture().below(math.Log(d.Seconds()))
}

// Confidence returns the part of the forecast that rests on observations, from 0 to 1. Without any it is the caller's estimate.
func (f Forecast) Confidence() float64 { return 1 - f.ignorance }

// Spread returns the standard deviation of the logarithm of ordinary run times: 0.2 stands for a fifth more or less.
func (f Forecast) Spread() float64 { return math.Sqrt(f.variance) }

// Scaled returns the forecast for an instance of a speed, or away from the data of the task: all times are factor times as long.
func (f Forecast) Scaled(factor float64) Forecast {
	if factor > 0 {
		f.mean += math.Log(factor)
	}
	return f
}

// Given returns the forecast after evidence from other tasks of the step, which take alike.
func (f Forecast) Given(e *Evidence) Forecast {
	return f.after(e.all())
}

func (f Forecast) after(s Sample) Forecast {
	if !s.Set() {
		return f
	}
	between := max(f.variance-f.within, minVariance)
	within := max(f.within, minWithin)
	// The tasks of a step share its image and input, so that very many of them still leave some doubt about the next one.
	weight := min(s.size(), maxEvidence)
	doubt := 1 / (1/between + weight/within)
	f.mean = doubt * (f.mean/between + s.mean()*weight/within)
	f.variance = doubt + within
	f.ignorance *= doubt / between
	return f
}

// maxEvidence bounds the weight of the other tasks of a step.
const maxEvidence = 32

func (f Forecast) mixture() *mixture {
	return &mixture{
		{f.mean, math.Sqrt(max(f.variance, minWithin)), 1 - f.tailShare},
		{f.mean + f.tailShift, math.Sqrt(max(f.variance, minWithin) + tailVariance), f.tailShare},
	}
}

// timeOf returns the time of a logarithm of seconds.
func timeOf(y float64) time.Duration { return durationOf(math.Exp(y)) }

func durationOf(seconds float64) time.Duration {
	if !(seconds < maxTime.Seconds()) {
		return maxTime
	}
	return time.Duration(seconds * float64(time.Second)).Round(resolution)
}
