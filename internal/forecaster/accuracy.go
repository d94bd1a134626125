package forecaster

import (
	"cmp"
	"slices"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Accuracy compares the forecasts for a queue with the estimates of its callers, by the median of the absolute logarithm of the ratio to
// the actual run time: 0.1 stands for a tenth.
type Accuracy struct {
	Queue           fleet.QueueID
	Forecast, Given float64
}

const accuracyRuns = 64

// accuracy holds the errors of recent forecasts and estimates.
type accuracy struct {
	forecast, given [accuracyRuns]float32
	next, count     int
	// skipped is the weight since the last recorded run, so that a wide step counts once.
	skipped float64
}

func (a *accuracy) record(forecast, given, weight float64) {
	if a.skipped += weight; a.skipped < 0.999 && a.count > 0 {
		return
	}
	a.skipped = 0
	a.forecast[a.next], a.given[a.next] = float32(forecast), float32(given)
	a.next = (a.next + 1) % accuracyRuns
	a.count = min(a.count+1, accuracyRuns)
}

// Accuracies returns the accuracy for each queue that was observed since the start, ordered by queue.
func (f *Forecaster) Accuracies() []Accuracy {
	var list []Accuracy
	f.levels[depthQueue-1].each(func(k levelKey, l *level) {
		if a := l.accuracy; a != nil {
			list = append(list, Accuracy{Queue: k.queue, Forecast: medianOf(a.forecast[:a.count]), Given: medianOf(a.given[:a.count])})
		}
	})
	slices.SortFunc(list, func(a, b Accuracy) int { return cmp.Compare(a.Queue, b.Queue) })
	return list
}

func medianOf(values []float32) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[len(sorted)/2])
}
