package forecaster

import (
	"fmt"
	"math"
)

// Bounds on the numbers of a plausible summary. They are far beyond what usual observations reach, so that they reject only damage and
// summaries of a faulty program. A summary omits what is beyond them, as the slope of a customer whose tasks misreport may be.
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
	for i := range s.Levels {
		if err := s.Levels[i].check(); err != nil {
			return fmt.Errorf("level %d: %w", i, err)
		}
	}
	for i := range s.Speeds {
		if err := s.Speeds[i].check(); err != nil {
			return fmt.Errorf("speed %d: %w", i, err)
		}
	}
	return nil
}

func (s *levelSummary) check() error {
	if s.Depth < depthRoot || s.Depth >= levelCount || len(s.Numbers) != 4*levelNumbers || len(s.Queue)+len(s.Customer) > maxSavedName {
		return fmt.Errorf("depth %d, %d bytes", s.Depth, len(s.Numbers))
	}
	return s.checkNumbers()
}

func (s *speedSummary) check() error {
	if !between(float64(s.Log), -maxSavedLog, maxSavedLog) || !between(float64(s.Weight), 0, 1/minVariance+1) || s.Runs < 0 || s.Runs > speedRuns || len(s.Instance) > maxSavedName {
		return fmt.Errorf("%g in %d runs of weight %g", s.Log, s.Runs, s.Weight)
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
