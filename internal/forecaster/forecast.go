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
	// sibling is the variance around what other steps of the job let expect.
	sibling float64
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
	// The tasks of a step share its image and input, so that very many of them still leave some doubt about the next one.
	return f.measured(s.mean(), max(f.within, minWithin)/min(s.Weight(), maxEvidence))
}

// measured returns the forecast after a measurement of the centre of the step, which has a variance itself.
func (f Forecast) measured(y, variance float64) Forecast {
	between := max(f.variance-f.within, minVariance)
	doubt := 1 / (1/between + 1/variance)
	f.mean = doubt * (f.mean/between + y/variance)
	f.variance = doubt + max(f.within, minWithin)
	f.ignorance *= doubt / between
	return f
}

// Alongside returns the forecast after other steps of the job have finished: d is the estimate times the ratio of their actual to their
// estimated times. Callers that are wrong by one factor for a whole job make this as good as evidence from the step itself.
func (f Forecast) Alongside(d time.Duration) Forecast {
	// Both rest on the estimate of the step, so that their errors are not independent: the weaker of them adds little.
	advantage := 1 - f.sibling/f.variance
	if d <= 0 || advantage <= 0 {
		return f
	}
	return f.measured(logOf(d), max(f.sibling-f.within, minVariance)/advantage)
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
