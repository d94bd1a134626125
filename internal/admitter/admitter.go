// Package admitter decides whether a batch job that is handed in can still be complete while it is worth anything. If that is certainly not
// so, the caller is better served by an immediate refusal that says when to return.
//
// The decision follows the order in which the scheduler places work: timely jobs before late ones, then by priority, by the share of the
// customer and by due time. A new job begins as soon as the work ahead of it is done, or has become late or worthless itself.
package admitter

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/triager"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

const (
	// margin is how many times the work that the pool can do must be ahead of a job that is refused. Run times of tasks of one step differ by
	// a fifth to a third, and a fleet that is partly down when the backlog is measured is not so for long.
	margin = 1.5
	// resolution is the number of parts in which the time of a job is examined. The last part is not: due times are not known as precisely.
	resolution = 16
	// minConfidence is the part of the forecast for a job that must rest on observations. Estimates of callers are wrong by up to nine tenths.
	minConfidence = 0.5
)

// ProcessorSeconds is an amount of work.
type ProcessorSeconds float64

// Work is what is left of an accepted job. Times count from the measurement.
type Work struct {
	// Priority is that of the queue; lower values are placed first.
	Priority int
	Customer fleet.CustomerID
	// Left is what the tasks that wait or run need at least, Claim what one of them claims, and Task the time that it takes.
	Left  ProcessorSeconds
	Claim workload.Resources
	Task  time.Duration
	// Most are the processors that the limit of the customer lets such tasks use at a time; zero means no limit.
	Most float64
	// Due is the end of the objective.
	Due time.Duration
	// Timely is how long its tasks can wait until the job is late, and Useful how long until it is worth nothing.
	Timely, Useful time.Duration
}

// Job is a job that is handed in.
type Job struct {
	Priority int
	Customer fleet.CustomerID
	// Objective is the time within which the job should be complete, and Chain the expected duration of its longest chain of steps.
	Objective, Chain time.Duration
	// Confidence is the part of the forecasts for its steps that rests on observations, from 0 to 1.
	Confidence float64
	// Claim is what one of its tasks claims.
	Claim workload.Resources
	// Needs is the work of all its steps.
	Needs ProcessorSeconds
}

// Verdict is a decision about a job.
type Verdict struct {
	Refused bool
	// Ahead is the timely work ahead of the job, and Possible what the pool can do at most while the job is worth anything.
	Ahead, Possible ProcessorSeconds
	// Room is the time until the work ahead is done or late, and Turn how long the pool works on the job if it does nothing else.
	Room, Turn time.Duration
}

// MayRefuse reports whether any job with an objective of at least the given time may be refused. It saves Decide while the pool is not
// overloaded.
func (p *Pool) MayRefuse(objective time.Duration) bool {
	return p.total > margin*p.possible(worthFor(objective))
}

// Decide decides about a job at a time after the measurement. It refuses only if the work ahead of the job fills the pool until the job
// would be late, and, with the late work, from then until it would be worth nothing.
func (p *Pool) Decide(j Job, after time.Duration) Verdict {
	timely, useful := j.Objective-j.Chain, worthFor(j.Objective)-j.Chain
	v := Verdict{Possible: p.possible(max(0, useful))}
	if p.processors <= 0 || j.Needs <= 0 || j.Objective <= 0 || j.Confidence < minConfidence || useful <= 0 {
		return v
	}
	j.Objective += after
	whileTimely := p.aheadOf(&j, timely, after, func(w *Work) time.Duration { return w.Timely })
	v.Ahead = whileTimely.during(0, useful)
	if p.fills(whileTimely, timely, after) {
		v.Refused = p.fills(p.aheadOf(&j, useful, after, func(w *Work) time.Duration { return w.Useful }), useful, after)
	}
	v.Room = max(0, min(p.timeFor(v.Ahead), whileTimely.longest))
	v.Turn = p.timeFor(j.Needs)
	return v
}

// possible returns what the pool can do in a time.
func (p *Pool) possible(d time.Duration) ProcessorSeconds {
	return ProcessorSeconds(p.processors * d.Seconds())
}

// timeFor returns the time in which the pool can do the work.
func (p *Pool) timeFor(w ProcessorSeconds) time.Duration {
	return time.Duration(float64(w) / p.processors * float64(time.Second))
}

// fills reports whether the work that stays ahead of a job fills the pool for a time: at no moment is the work that stays ahead for longer
// than that less than the pool may begin in the rest of the time. Work done since the measurement is subtracted.
func (p *Pool) fills(a *ahead, limit, after time.Duration) bool {
	if limit <= 0 {
		return true
	}
	for k := range resolution - 1 {
		rest := limit * time.Duration(resolution-k) / resolution
		// A job begins once all work ahead has begun, and tasks that end together make room for as much work as their time: all of the pool
		// after an outage, and never more than the rest of the time later.
		rest += min(rest, a.task)
		// What stays ahead until the end of a part of the time stays so throughout the part.
		if a.during(k+1, rest)-p.possible(after) <= margin*p.possible(rest) {
			return false
		}
	}
	return true
}

// worthFor returns how long after its acceptance a job with an objective is worth anything.
func worthFor(objective time.Duration) time.Duration {
	return triager.Job{Objective: objective}.TimeLeft()
}
