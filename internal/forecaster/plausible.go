package forecaster

import (
	"fmt"
	"math"
)

// Bounds on the numbers of a plausible summary. They are far beyond what observations can reach, so that they reject only damage and
// summaries of a faulty program.
const (
	maxSavedLog    = 20 // beyond the logarithms of minTime and maxTime in seconds
	maxSavedWeight = 1000
	maxSavedSlope  = 20
	maxSavedName   = 1024
)

// check returns the first implausible number in the summary.
func (s *summary) check() error {
	if !between(float64(s.Within), 0, maxSavedLog) || !between(float64(s.Remote), 0, maxRemote) {
		return fmt.Errorf("variance within steps %g, remote runs %g", s.Within, s.Remote)
	}
	for i, l := range s.Levels {
		if l.Depth < depthRoot || l.Depth >= levelCount || len(l.Numbers) != 4*levelNumbers || len(l.Queue)+len(l.Customer) > maxSavedName {
			return fmt.Errorf("level %d: depth %d, %d bytes", i, l.Depth, len(l.Numbers))
		}
		if err := l.checkNumbers(); err != nil {
			return fmt.Errorf("level %d: %w", i, err)
		}
	}
	for i, v := range s.Speeds {
		if !between(float64(v.Log), -maxSavedLog, maxSavedLog) || !between(float64(v.Weight), 0, 1/minVariance+1) || v.Runs < 0 || v.Runs > speedRuns || len(v.Instance) > maxSavedName {
			return fmt.Errorf("speed %d: %g in %d runs of weight %g", i, v.Log, v.Runs, v.Weight)
		}
	}
	return nil
}

func (s *levelSummary) checkNumbers() error {
	l := newLevel(s.Depth)
	l.decode(s.Numbers)
	for i, n := range l.numbers() {
		if math.IsNaN(*n) || math.IsInf(*n, 0) {
			return fmt.Errorf("number %d is %g", i, *n)
		}
	}
	if err := l.given.check(); err != nil {
		return fmt.Errorf("with estimate: %w", err)
	}
	if err := l.plain.check(); err != nil {
		return fmt.Errorf("without estimate: %w", err)
	}
	if !between(l.sibling.value, 0, maxSibling) || !between(l.sibling.weight, 0, maxSavedWeight) {
		return fmt.Errorf("variance between steps %g of %g", l.sibling.value, l.sibling.weight)
	}
	t := l.tail
	if !between(t.weight, 0, maxSavedWeight) || !between(t.hits, 0, t.weight+1) || !between(t.excess, 0, maxSavedLog*(t.hits+1)) {
		return fmt.Errorf("%g long runs of %g, %g times as long", t.hits, t.weight, t.excess)
	}
	return nil
}

func (l *line) check() error {
	switch {
	case !between(l.weight, 0, maxSavedWeight), !between(l.errors, 0, maxSavedWeight):
		return fmt.Errorf("weight %g, %g errors", l.weight, l.errors)
	case !between(l.x, -maxSavedLog, maxSavedLog), !between(l.y, -maxSavedLog, maxSavedLog):
		return fmt.Errorf("means %g, %g", l.x, l.y)
	case !between(l.variance, 0, maxSavedLog*maxSavedLog), !between(l.xx, 0, maxSavedWeight*maxSavedLog*maxSavedLog):
		return fmt.Errorf("variance %g, squares %g", l.variance, l.xx)
	case math.Abs(l.xy) > maxSavedSlope*(l.xx+1):
		return fmt.Errorf("products %g with squares %g", l.xy, l.xx)
	}
	return nil
}

func between(v, low, high float64) bool { return v >= low && v <= high }
