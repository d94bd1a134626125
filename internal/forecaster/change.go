package forecaster

// change detects that runs have come to take another time, as with a new version of an image.
type change struct {
	// drift is the moving average of the distances to the expectation, in standard deviations.
	drift float64
	// settling is the weight of the runs after a change that all count as ordinary.
	settling float64
	// changed is set after the first change: the level differs from the one above it, and is shrunk less towards that.
	changed bool
}

const (
	changeRate = 1.0 / 6
	// changeDrift is five standard deviations of the moving average of independent runs.
	changeDrift    = 1.5
	settlingWeight = 6
)

// observe records a distance and reports whether the run times have changed.
func (c *change) observe(distance, weight float64) (changed bool) {
	c.settling = max(0, c.settling-weight)
	c.drift += (clamp(distance, -maxDistance, maxDistance) - c.drift) * changeRate * min(1, weight)
	if c.drift < changeDrift && c.drift > -changeDrift {
		return false
	}
	c.drift, c.settling, c.changed = 0, settlingWeight, true
	return true
}
