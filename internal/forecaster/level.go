package forecaster

import (
	"math"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// Depths of the levels. Each is shrunk towards the one before.
const (
	depthRoot = iota
	depthQueue
	depthCustomer
	depthImage
	levelCount
)

// path holds the levels of a subject from the root on.
type path [levelCount]*level

// levelKey names a level below the root; the fields beyond its depth are empty. Images are hashed, since callers choose their length.
type levelKey struct {
	queue    fleet.QueueID
	customer fleet.CustomerID
	image    uint64
	step     StepNumber
}

// keysOf returns the keys of the levels below the root.
func keysOf(s *Subject) [levelCount - 1]levelKey {
	return [...]levelKey{{queue: s.Queue}, {queue: s.Queue, customer: s.Customer}, {s.Queue, s.Customer, hashOf(s.Image), s.Step}}
}

// hashOf returns the FNV-1a hash of an image's name.
func hashOf(image string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(image) {
		h = (h ^ uint64(image[i])) * prime
	}
	return h
}

// unestimatedTime is what a step without an estimate counts as before anything is known.
const unestimatedTime = 500 * time.Millisecond

// Beliefs before any observation. An estimate is taken at its word, and may be wrong by a factor of two either way; a task
// without one may take five times as long or a fifth.
const (
	priorGivenVariance = 0.5
	priorPlainVariance = 1.0
	priorTailShare     = 0.02
	priorTailShift     = 1.8 // six times as long
	tailVariance       = 0.15
	maxTailShare       = 0.2
	minTailShift       = 0.9 // less than 2.5 times as long is an ordinary run
	priorWithin        = 0.04
	priorWithinWeight  = 20
	withinWindow       = 200
	minWithin          = 0.0025
	// maxWithinSample is two standard deviations of the tasks of a step. With a fifth of the weight, the customer with the greatest differences
	// leaves the variance below that between steps.
	maxWithinSample   = 4 * priorWithin
	priorRemote       = 0.9 // away from its data a task takes two to three times as long
	priorRemoteWeight = 5
	remoteWindow      = 100
	maxRemote         = 3
	priorSibling      = 1.0 // the steps of a job may be estimated each by itself
	maxSibling        = 4
)

// Strengths, in samples, with which a level is shrunk towards the one before, and variance of the logarithm of estimates
// that a sample of the slope counts with.
const (
	meanStrength     = 8
	changedStrength  = 2
	slopeStrength    = 12
	slopeSpread      = 0.25
	varianceStrength = 10
	tailStrength     = 50
)

// windowOf returns the number of samples after which older ones are forgotten at a depth.
func windowOf(depth int) float64 {
	return [levelCount]float64{400, 200, 100, 60}[depth]
}

// belief is what is known of a task before the next level is taken into account: a line from the logarithm of the estimate to that
// of the run time, and the distribution around it.
type belief struct {
	intercept, slope     float64
	variance             float64
	tailShare, tailShift float64
	// sibling is the variance of the logarithm of the run time around what other steps of the job let expect.
	sibling float64
	// ignorance is the part of the belief that rests on assumptions instead of observations.
	ignorance float64
}

func (b belief) at(x float64) float64 { return b.intercept + b.slope*x }

func priorBelief(hasEstimate bool) belief {
	b := belief{variance: priorGivenVariance, slope: 1, tailShare: priorTailShare, tailShift: priorTailShift, sibling: priorSibling, ignorance: 1}
	if !hasEstimate {
		b.variance, b.slope, b.intercept = priorPlainVariance, 0, math.Log(unestimatedTime.Seconds())
	}
	return b
}

// level is what was observed of all queues, one queue, one customer or one image and step.
type level struct {
	// given is the line for tasks with an estimate; plain is that of all tasks, without regard to estimates.
	given, plain line
	tail         tail
	// sibling is the mean square of the errors of what other steps of the job let expect.
	sibling average
	// shares are the weights of the customers in the level; nil in a level of one customer.
	shares   *shares
	change   change
	accuracy *accuracy
}

func newLevel(depth int) *level {
	reach := math.Inf(1)
	shared := depth <= depthQueue
	if shared {
		reach = sharedReach
	}
	l := &level{given: line{reach: reach}, plain: line{reach: reach}, sibling: average{window: windowOf(depth)}}
	if shared {
		l.shares = &shares{}
	}
	return l
}

// refine returns the belief after the observations of the level.
func (l *level) refine(b belief, hasEstimate bool) belief {
	n := &l.plain
	if hasEstimate {
		n = &l.given
	}
	strength := float64(meanStrength)
	if l.change.changed {
		strength = changedStrength
	}
	b = n.refine(b, strength)
	b.sibling = (l.sibling.weight*l.sibling.value + varianceStrength*b.sibling) / (l.sibling.weight + varianceStrength)
	return l.tail.refine(b)
}

// admit returns the factor on the weight of a customer's run that bounds the customer's part in the level.
func (l *level) admit(c fleet.CustomerID, weight float64) float64 {
	if l.shares == nil {
		return 1
	}
	return l.shares.admit(c, weight)
}

// classify returns the probability that a run is an ordinary one, given its distance to the belief, and records it. After a change in a
// level of one customer every run counts as ordinary and the older samples hardly count. In a level of several, runs that come to
// differ may be those of one customer, so that it changes with time only.
func (l *level) classify(b belief, distance, weight float64) float64 {
	if l.shares == nil && l.change.observe(distance/math.Sqrt(b.variance), weight) {
		l.given.discount()
		l.plain.discount()
	}
	if l.change.settling > 0 {
		return 1
	}
	ordinary := b.ordinary(distance)
	l.tail.observe(distance, 1-ordinary, weight)
	return ordinary
}

// ordinary returns the probability that a run at a distance from the line is an ordinary one.
func (b belief) ordinary(distance float64) float64 {
	if distance <= 0 {
		return 1
	}
	body := (1 - b.tailShare) * density(distance, b.variance)
	long := b.tailShare * density(distance-b.tailShift, b.variance+tailVariance)
	if distance > b.tailShift {
		long = max(long, b.tailShare*density(0, b.variance+tailVariance))
	}
	return body / (body + long)
}

// density returns the density of a normal distribution at a distance from its mean, without the constant factor.
func density(distance, variance float64) float64 {
	return math.Exp(-distance*distance/(2*variance)) / math.Sqrt(variance)
}

// tail is the part of runs that take many times as long.
type tail struct {
	weight, hits float64
	// excess is the sum of the logarithms of how many times as long they took.
	excess float64
}

const tailWindow = 400

func (t *tail) refine(b belief) belief {
	b.tailShare = min(maxTailShare, (t.hits+tailStrength*b.tailShare)/(t.weight+tailStrength))
	const hitStrength = 2
	b.tailShift = max(minTailShift, (t.excess+hitStrength*b.tailShift)/(t.hits+hitStrength))
	return b
}

func (t *tail) observe(distance, probability, weight float64) {
	keep := 1 - min(1, weight/tailWindow)
	t.weight = t.weight*keep + weight
	t.hits = t.hits*keep + weight*probability
	t.excess = t.excess*keep + weight*probability*clamp(distance, 0, 4)
}

// average is a mean that forgets.
type average struct{ value, weight, window float64 }

func (a *average) add(v, weight float64) {
	a.weight = min(a.weight+weight, a.window)
	a.value += (v - a.value) * weight / a.weight
}
