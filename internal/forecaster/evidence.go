package forecaster

import (
	"math"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Evidence is what the tasks of one step of a job that have finished or report progress show about the others. The zero value is none.
type Evidence struct {
	// slots holds the first instances apart, so that an instance is compared with others.
	slots [3]slot
	rest  slot
}

// slot is the sum of the samples of an instance.
type slot struct {
	name fleet.InstanceID
	Sample
}

// Sample is the contribution of one run to the evidence. The zero value is none. It is in fixed point, so that sums do not depend on the
// order of their terms.
type Sample struct {
	// weight is in parts of fixedOne, and moment is the weighted sum of the logarithms.
	weight, moment int64
	instance       fleet.InstanceID
}

const fixedOne = 1 << 24

// Set reports whether the sample says anything.
func (s Sample) Set() bool { return s.weight > 0 }

// Weight returns how far the sample counts: 1 for a finished ordinary run.
func (s Sample) Weight() float64 { return float64(s.weight) / fixedOne }

// Time returns the run time that the sample shows, near the data and on an instance of usual speed.
func (s Sample) Time() time.Duration { return timeOf(s.mean()) }

func (s Sample) mean() float64 { return float64(s.moment) / float64(max(1, s.weight)) }

// minEvidencePercent is the progress from which on a run shows how long it takes.
const minEvidencePercent = 10

// Progress returns the sample of a run that has done percent after elapsed. f is the forecast for the step; what
// looks like one of the few runs that take many times as long hardly counts.
func (f *Forecaster) Progress(forecast Forecast, id fleet.InstanceID, remote bool, elapsed time.Duration, percent int) Sample {
	if elapsed <= 0 || percent < minEvidencePercent {
		return Sample{}
	}
	done := float64(min(percent, 100)) / 100
	y := f.normal(math.Log(elapsed.Seconds()/done), id, remote)
	within := max(forecast.within, minWithin)
	return forecast.sample(y, id, within/(within+percentVariance(done)))
}

// Finished returns the sample of a run that has finished.
func (f *Forecaster) Finished(forecast Forecast, id fleet.InstanceID, remote bool, actual time.Duration) Sample {
	if actual <= 0 {
		return Sample{}
	}
	return forecast.sample(f.normal(logOf(actual), id, remote), id, 1)
}

func (f Forecast) sample(y float64, id fleet.InstanceID, weight float64) Sample {
	b := belief{variance: max(f.variance, minWithin), tailShare: f.tailShare, tailShift: f.tailShift}
	fixed := math.Round(weight * b.ordinary(y-f.mean) * fixedOne)
	return Sample{instance: id, weight: int64(fixed), moment: int64(math.Round(fixed * y))}
}

// Replace adds the sample of a run in place of its earlier one.
func (e *Evidence) Replace(before, after Sample) {
	e.add(before, -1)
	e.add(after, 1)
}

func (e *Evidence) add(s Sample, sign int64) {
	if s.Set() {
		e.slotOf(s.instance).include(s, sign)
	}
}

func (s *slot) include(o Sample, sign int64) {
	s.weight += sign * o.weight
	s.moment += sign * o.moment
}

func (e *Evidence) slotOf(id fleet.InstanceID) *slot {
	for i := range e.slots {
		s := &e.slots[i]
		if s.name == "" {
			s.name = id
		}
		if s.name == id {
			return s
		}
	}
	return &e.rest
}

// all returns the sum of all samples.
func (e *Evidence) all() Sample { return e.without("") }

// without returns the sum of all samples except those of an instance that has a slot of its own.
func (e *Evidence) without(id fleet.InstanceID) Sample {
	total := e.rest
	for i := range e.slots {
		if s := &e.slots[i]; s.name != id {
			total.include(s.Sample, 1)
		}
	}
	return total.Sample
}
