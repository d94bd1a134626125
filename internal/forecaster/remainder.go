package forecaster

import (
	"math"
	"time"
)

// Remainder is the distribution of the remaining time of a task that has run for some time.
type Remainder struct {
	mixture mixture
	elapsed time.Duration
	// left is the probability that the forecast gave to a run at least as long as it has been already.
	left       float64
	confidence float64
}

const (
	// percentStep is the doubt about a reported percentage: it is a whole number that was true some time ago.
	percentStep = 0.8
	// percentDoubt is the doubt about the pace of the rest of a run, relative to the part that is left.
	percentDoubt = 0.15
	// minPercentDoubt is left of it at the end.
	minPercentDoubt = 0.03
	// minLeft is the probability below which the forecast says nothing about a run that still goes on.
	minLeft = 1e-6
	// paretoIndex describes such a run: it goes on for as long again with probability 1/4.
	paretoIndex = 2
)

// Remaining returns the distribution of the remaining time of a task that has run for elapsed and reports to have done percent. A task that
// reports nothing has percent 0.
func (f Forecast) Remaining(elapsed time.Duration, percent int) Remainder {
	return f.RemainingSince(elapsed, elapsed, percent)
}

// RemainingSince is Remaining for a task that reported percent when it had run for reported, and may have progressed since.
func (f Forecast) RemainingSince(elapsed, reported time.Duration, percent int) Remainder {
	r := Remainder{mixture: *f.mixture(), elapsed: max(0, elapsed), confidence: f.Confidence(), left: 1}
	if elapsed <= 0 {
		return r
	}
	if percent > 0 && reported > 0 {
		r.refine(f, reported, percent)
	}
	r.left = r.mixture.above(math.Log(elapsed.Seconds()))
	if r.left < minLeft {
		r.confidence = 0
	}
	return r
}

// refine takes the total time that the percentage shows for an uncertain measurement of the run time.
func (r *Remainder) refine(f Forecast, reported time.Duration, percent int) {
	done := float64(min(percent, 100)) / 100
	shown := math.Log(reported.Seconds() / done)
	doubt := percentVariance(done)
	sum := 0.0
	for i := range r.mixture {
		c := &r.mixture[i]
		variance := c.deviation * c.deviation
		// The density is floored: a percentage that no forecast expected is believed.
		c.share *= density(shown-c.mean, variance+doubt) + 1e-12
		gain := variance / (variance + doubt)
		c.mean += gain * (shown - c.mean)
		c.deviation = math.Sqrt(variance * doubt / (variance + doubt))
		sum += c.share
	}
	for i := range r.mixture {
		r.mixture[i].share /= sum
	}
	r.confidence = 1 - f.ignorance*doubt/(f.variance+doubt)
}

// percentVariance returns the variance of the logarithm of a run time that is computed from a progress.
func percentVariance(done float64) float64 {
	step, pace := percentStep/(100*done), percentDoubt*(1-done)
	return step*step + pace*pace + minPercentDoubt*minPercentDoubt
}

// Quantile returns the time after which the task is complete with probability p.
func (r Remainder) Quantile(p float64) time.Duration {
	p = clamp(p, 0, 1-1e-9)
	if r.left < minLeft {
		return durationOf(r.elapsed.Seconds() * (math.Pow(1-p, -1.0/paretoIndex) - 1))
	}
	total := timeOf(r.mixture.exceededBy(r.left * (1 - p)))
	return max(0, total-r.elapsed)
}

// Typical returns the median of the remaining time.
func (r Remainder) Typical() time.Duration { return r.Quantile(0.5) }

// Within returns the probability that the task is complete within d from now.
func (r Remainder) Within(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	total := (r.elapsed + d).Seconds()
	if r.left < minLeft {
		return 1 - math.Pow(total/r.elapsed.Seconds(), -paretoIndex)
	}
	return clamp(1-r.mixture.above(math.Log(total))/r.left, 0, 1)
}

// Confidence returns the part of the answer that rests on observations and reports, from 0 to 1.
func (r Remainder) Confidence() float64 { return r.confidence }
