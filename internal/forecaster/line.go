package forecaster

import "math"

// line is a regression of the logarithm of the run time on that of the estimate, which forgets old samples.
type line struct {
	// weight, x and y are the number of samples and the means.
	weight, x, y float64
	// xx and xy are the sums of the products of the distances to the means.
	xx, xy float64
	// variance is the mean square of the errors that were made before each sample was known, and errors is their number.
	variance, errors float64
	// reach is the distance beyond which a sample counts as at that distance, whatever the variance.
	reach float64
}

const (
	// maxDistance is the distance, in standard deviations, beyond which a sample counts as at that distance.
	maxDistance = 3
	// sharedReach is the reach in a level of several customers: it bounds, together with the share of a customer, how far that customer can
	// move the forecasts for others. Customers that differ more have a level of their own.
	sharedReach = 1
	// afterChange is the number of samples that those from before a change count as.
	afterChange = 1
	minVariance = 0.01
)

// refine returns the line and the variance after the samples.
func (l *line) refine(b belief, strength float64) belief {
	slope := (l.xy + slopeStrength*slopeSpread*b.slope) / (l.xx + slopeStrength*slopeSpread)
	middle := (l.weight*l.y + strength*b.at(l.x)) / (l.weight + strength)
	b.intercept, b.slope = middle-slope*l.x, slope
	b.variance = max(minVariance, (l.errors*l.variance+varianceStrength*b.variance)/(l.errors+varianceStrength))
	b.ignorance = min(b.ignorance, strength/(l.weight+strength))
	return b
}

// observe adds a sample. b is the belief before it. A sample far from it counts as less far, unless the run times have just changed.
func (l *line) observe(x, y, weight float64, b belief, window float64, changed bool) {
	if weight <= 0 {
		return
	}
	reach := min(maxDistance*math.Sqrt(b.variance), l.reach)
	distance := clamp(y-b.at(x), -reach, reach)
	if !changed {
		y = b.at(x) + distance
	}
	keep := 1 - min(1, weight/window)
	l.scale(keep)
	l.weight += weight
	dx, dy := x-l.x, y-l.y
	l.x += dx * weight / l.weight
	l.y += dy * weight / l.weight
	l.xx += weight * dx * (x - l.x)
	l.xy += weight * dx * (y - l.y)
	l.errors = l.errors*keep + weight
	l.variance += (distance*distance - l.variance) * weight / l.errors
}

func (l *line) scale(factor float64) {
	l.weight *= factor
	l.xx *= factor
	l.xy *= factor
}

// discount makes the samples count little after a change.
func (l *line) discount() {
	if l.weight > afterChange {
		l.scale(afterChange / l.weight)
	}
}
