package forecaster

import "math"

// component is a normal distribution and its part in a mixture.
type component struct{ mean, deviation, share float64 }

// mixture is the distribution of the logarithm of a run time.
type mixture [2]component

// below returns the probability of a value of at most y.
func (m *mixture) below(y float64) float64 { return 1 - m.above(y) }

// above returns the probability of a value above y. Unlike 1 - below(y) it is exact where it is small.
func (m *mixture) above(y float64) float64 {
	sum := 0.0
	for i := range m {
		c := &m[i]
		if c.share > 0 {
			sum += c.share * 0.5 * math.Erfc((y-c.mean)/(c.deviation*math.Sqrt2))
		}
	}
	return sum
}

// density returns the density at y.
func (m *mixture) density(y float64) float64 {
	sum := 0.0
	for i := range m {
		c := &m[i]
		z := (y - c.mean) / c.deviation
		sum += c.share * math.Exp(-z*z/2) / (c.deviation * math.Sqrt(2*math.Pi))
	}
	return sum
}

func (m *mixture) quantile(p float64) float64 { return m.exceededBy(1 - clamp(p, 1e-9, 1-1e-9)) }

const (
	quantileSteps     = 30
	quantilePrecision = 1e-7
)

// exceededBy returns the value that is exceeded with a probability. It lies between those of the components, and is found by Newton
// steps that are replaced by a bisection when they leave the interval.
func (m *mixture) exceededBy(probability float64) float64 {
	z := math.Sqrt2 * math.Erfinv(1-2*clamp(probability, 1e-15, 1-1e-15))
	low, high := math.Inf(1), math.Inf(-1)
	for _, c := range m {
		if c.share > 0 {
			low, high = min(low, c.mean+z*c.deviation), max(high, c.mean+z*c.deviation)
		}
	}
	y := low
	for range quantileSteps {
		over := m.above(y) - probability
		if over > 0 {
			low = y
		} else {
			high = y
		}
		next := y + over/m.density(y)
		if !(next > low && next < high) {
			next = (low + high) / 2
		}
		if math.Abs(next-y) < quantilePrecision || high-low < quantilePrecision {
			return next
		}
		y = next
	}
	return y
}
