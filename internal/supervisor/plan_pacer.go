package supervisor

import "time"

// planPauseFactor is how many times the duration of a planning run the loop waits before the next one, so that planning takes at most a
// tenth of its time: keepers have about half of a core, and starts, polls and commits need most of it under load.
const planPauseFactor = 9

// planPacer spaces planning runs by their duration, but by no more than idlePlanInterval: a single slow run, or one during
// which the process stood still, must not delay the decisions that follow.
type planPacer struct {
	notBefore time.Duration
}

// record sets the pause after a planning run.
func (p *planPacer) record(start, end time.Duration) {
	p.notBefore = end + min(planPauseFactor*(end-start), idlePlanInterval)
}

// delay returns how long after now the next planning run starts, if it is wanted after the given time.
func (p *planPacer) delay(now, wanted time.Duration) time.Duration {
	return max(wanted, p.notBefore-now)
}
