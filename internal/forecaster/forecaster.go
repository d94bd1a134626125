// Package forecaster predicts the run times of tasks. It learns from finished runs how long the tasks of a queue, of a customer and of an
// image take, and how far the estimates of callers can be relied on. It has no clock and does no I/O: equal calls give equal answers.
//
// A forecast is a mixture of two log-normal distributions, one for ordinary runs and one for the few that take many times as long. The
// centre of the first comes from a regression of the logarithm of the run time on that of the caller's estimate, for all queues, for the
// queue, for the customer in it, and for the image and step, each shrunk towards the one before. See docs/design/forecasts.md.
package forecaster

import (
	"math"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// StepNumber is the index of a step in its job.
type StepNumber int

// Subject is the kind of task that a forecast is about.
type Subject struct {
	Queue    fleet.QueueID
	Customer fleet.CustomerID
	Image    string
	Step     StepNumber
	// Estimate is the caller's estimate; zero means that there is none.
	Estimate time.Duration
}

// Run is a run of a task that ended by itself on one boot of an instance, without a checkpoint to resume from.
type Run struct {
	Subject
	Actual time.Duration
	// Tasks is the number of tasks of the step. They take alike, so that all of them together count as one sample.
	Tasks    int
	Instance fleet.InstanceID
	// Remote is set for a run away from the rack of its data.
	Remote bool
	// Evidence is what the other tasks of the step show; it may be nil.
	Evidence *Evidence
	// Sibling is the estimate times the ratio of actual to estimated time in other steps of the job; zero if none has finished.
	Sibling time.Duration
}

// Limits on the memory of a forecaster. The least recently observed entry is removed first.
const (
	defaultMaxQueues    = 512
	defaultMaxCustomers = 1024
	defaultMaxImages    = 1024
	defaultMaxInstances = 8192
)

// Times outside these bounds are taken as the bound, so that no single value can spoil a sum.
const (
	minTime = time.Millisecond
	maxTime = 24 * time.Hour
)

// Option changes a setting of a forecaster.
type Option func(f *Forecaster)

// WithLimits bounds the numbers of queues, of customers and of images in them, and of instances that are remembered.
func WithLimits(queues, customers, images, instances int) Option {
	return func(f *Forecaster) {
		f.levels = [...]*recent[levelKey, *level]{newRecent[levelKey, *level](queues), newRecent[levelKey, *level](customers), newRecent[levelKey, *level](images)}
		f.speeds = newRecent[fleet.InstanceID, *speed](instances)
	}
}

// Forecaster learns from finished runs and predicts the run times of others. It is not safe for concurrent use.
type Forecaster struct {
	root *level
	// levels holds the queues, the customers in them, and the images and steps of those.
	levels [levelCount - 1]*recent[levelKey, *level]
	speeds *recent[fleet.InstanceID, *speed]
	// within is the variance of the logarithm of the run time between the tasks of one step.
	within average
	// remote is the logarithm of how many times as long a task takes away from its data.
	remote average
	// unsaved is the weight of the runs that were observed since the last summary.
	unsaved float64
}

// New returns a forecaster that has observed nothing: it expects what callers estimate.
func New(options ...Option) *Forecaster {
	f := &Forecaster{
		root:   newLevel(depthRoot),
		within: average{value: priorWithin, weight: priorWithinWeight, window: withinWindow},
		remote: average{value: priorRemote, weight: priorRemoteWeight, window: remoteWindow},
	}
	WithLimits(defaultMaxQueues, defaultMaxCustomers, defaultMaxImages, defaultMaxInstances)(f)
	for _, o := range options {
		o(f)
	}
	return f
}

// Expect returns the forecast for a task before any task of its step has run, on an instance of usual speed and near its data.
func (f *Forecaster) Expect(s Subject) Forecast {
	var path path
	for i, k := range keysOf(&s) {
		path[i+1], _ = f.levels[i].get(k)
	}
	path[0] = f.root
	return f.forecast(&path, s.Estimate)
}

// forecast folds the levels of a path, in which those that were never observed are nil.
func (f *Forecaster) forecast(p *path, estimate time.Duration) Forecast {
	b := priorBelief(estimate > 0)
	x := logOf(estimate)
	for _, l := range p {
		if l != nil {
			b = l.refine(b, estimate > 0)
		}
	}
	return Forecast{
		mean: b.intercept + b.slope*x, variance: b.variance, within: min(f.within.value, b.variance),
		tailShare: b.tailShare, tailShift: b.tailShift, sibling: b.sibling, ignorance: b.ignorance,
	}
}

// Observe learns from a finished run.
func (f *Forecaster) Observe(r Run) {
	if r.Actual <= 0 || r.Estimate < 0 {
		return
	}
	p := f.pathOf(&r.Subject)
	before := f.forecast(&p, r.Estimate)
	weight := 1 / float64(max(1, r.Tasks))
	shared := weight * f.root.admit(r.Customer, weight)
	y := f.normal(logOf(r.Actual), r.Instance, r.Remote)
	if r.Evidence != nil {
		f.observeWithin(y, r.Evidence, shared)
	}
	f.observeInstance(&r, before, weight)
	if r.Remote {
		f.observeRemote(&r, before, shared)
	}
	if queue := p[depthQueue]; queue.accuracy == nil {
		queue.accuracy = &accuracy{}
	}
	p[depthQueue].accuracy.record(math.Abs(y-before.mean), math.Abs(y-logOf(estimateOr(r.Estimate))), weight)
	f.learn(&p, &r, y, weight, shared)
	f.unsaved += weight
}

// Size returns the numbers of queues, customers in them, images and steps of those, and instances that are remembered.
func (f *Forecaster) Size() (queues, customers, images, instances int) {
	return f.levels[0].len(), f.levels[1].len(), f.levels[2].len(), f.speeds.len()
}

// pathOf returns the levels of a subject and creates those that do not exist.
func (f *Forecaster) pathOf(s *Subject) path {
	p := path{f.root}
	for i, k := range keysOf(s) {
		l, ok := f.levels[i].touch(k)
		if !ok {
			l = newLevel(i + 1)
			f.levels[i].put(k, l)
		}
		p[i+1] = l
	}
	return p
}

// learn updates each level of a path with a run, against the belief that the levels above it give. shared is the weight of the run in what
// all customers share.
func (f *Forecaster) learn(p *path, r *Run, y, weight, shared float64) {
	hasEstimate := r.Estimate > 0
	x := logOf(r.Estimate)
	given, plain := priorBelief(true), priorBelief(false)
	for depth, l := range p {
		w := shared
		if depth > depthRoot {
			w = weight * l.admit(r.Customer, weight)
		}
		nextGiven, nextPlain := l.refine(given, true), l.refine(plain, false)
		if hasEstimate {
			w *= l.classify(nextGiven, y-nextGiven.at(x), w)
			l.given.observe(x, y, w, nextGiven, windowOf(depth), l.change.settling > 0)
		} else {
			w *= l.classify(nextPlain, y-nextPlain.at(0), w)
		}
		if d := y - logOf(r.Sibling); r.Sibling > 0 {
			l.sibling.add(min(d*d, maxSibling), w)
		}
		l.plain.observe(0, y, w, nextPlain, windowOf(depth), l.change.settling > 0)
		given, plain = nextGiven, nextPlain
	}
}

// observeWithin learns how far the tasks of one step differ.
func (f *Forecaster) observeWithin(y float64, e *Evidence, weight float64) {
	others := e.all()
	n := others.Weight()
	if n < 0.5 {
		return
	}
	d := y - others.mean()
	square := d * d * n / (n + 1)
	f.within.add(min(square, 9*f.within.value, maxWithinSample), weight)
	f.within.value = max(f.within.value, minWithin)
}

// observeRemote learns how much longer a task takes away from its data.
func (f *Forecaster) observeRemote(r *Run, before Forecast, weight float64) {
	d := logOf(r.Actual) - before.mean
	f.remote.add(clamp(d, 0, maxRemote), weight)
}

// normal returns the logarithm of the time that a run would have taken near its data on an instance of usual speed.
func (f *Forecaster) normal(y float64, id fleet.InstanceID, remote bool) float64 {
	if remote {
		y -= f.remote.value
	}
	if s, ok := f.speeds.get(id); ok && s.slow() {
		y += float64(s.log)
	}
	return y
}

// RemoteFactor returns how many times as long a task takes away from its data.
func (f *Forecaster) RemoteFactor() float64 { return math.Exp(f.remote.value) }

// estimateOr returns what a caller's estimate counts as: a step without an estimate counts as half a second.
func estimateOr(estimate time.Duration) time.Duration {
	if estimate == 0 {
		return unestimatedTime
	}
	return estimate
}

// logOf returns the logarithm of a time in seconds, and zero for none.
func logOf(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return math.Log(clamp(d, minTime, maxTime).Seconds())
}

func clamp[T float64 | time.Duration](v, low, high T) T { return max(low, min(v, high)) }
