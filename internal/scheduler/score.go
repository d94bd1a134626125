package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/forecaster"
	"github.com/sapphiresail/sapphiresail/internal/scorer"
)

const (
	// speedCheckInterval is the time after which a slow instance that has started nothing gets a task that can bear it, so that its speed is
	// known again. It is longer than most tasks take.
	speedCheckInterval = 3 * time.Second
	// minSpeedRuns is the number of runs from which on placement follows the speed of an instance. With half of it, one of 349 equal instances
	// counted as slow by chance on each simulated day.
	minSpeedRuns = 8
	// maxSpeedAge is the time after which it gets any task, in a pool in which no job can bear it.
	maxSpeedAge = 10 * time.Second
)

// requirement is what a batch stage needs of an instance in one planning run.
type requirement struct {
	// slack is how much longer a task may take, and typical how long it takes on an instance of usual speed.
	slack, typical time.Duration
	// indifferent is set if a longer run time costs nothing.
	indifferent bool
}

// require computes what a batch stage needs, once in a planning run.
func (s *Scheduler) require(c *candidate) *requirement {
	if !c.required {
		c.required = true
		c.requirement = requirement{indifferent: c.class != classOnTime, typical: s.expectedRunTime(c.job, c.stage).Typical(), slack: s.timelinessOf(c.job).state.Slack()}
	}
	return &c.requirement
}

// observeSpeed takes over the present estimate of the speed of an instance. Only that of slow ones counts, so that equal instances are placed on alike.
func (in *instance) observeSpeed(speed forecaster.Speed) {
	in.slowdown = 0
	if speed.Slow && speed.Runs >= minSpeedRuns {
		in.slowdown = 1/speed.Factor - 1
	}
}

// score returns how well an instance with room suits a task.
func (s *Scheduler) score(in *instance, c *candidate, t *task) float64 {
	step := c.stage.step
	p := scorer.Place{
		Cold: in.cold, AwaitsMaintenance: in.awaitsMaintenance, InDataRack: step.DataRack != "" && in.Rack == step.DataRack, Previous: t.lastInstance == in.ID,
		Failures: in.recentFailures, CrashRisk: in.crashRisk(c, t), Load: float64(in.claimed.Processors) / float64(max(1, in.Capacity.Processors)),
	}
	if !step.Service {
		if in.slowdown > 0 && s.uses(SpeedCriterion) {
			p.Slow, p.Haste, p.CheckDue = true, s.hasteOn(in, c), s.now-in.startedAt > speedCheckInterval
		}
		p.CustomerShare = c.spread.share(in)
		return p.Score()
	}
	service := scorer.Service{
		Gathers: in.serviceRuns > 0 || c.serviceInstances < minPoolInstances, OnInstance: c.stage.runCounts[in], InRack: c.tasksPerRack[in.Rack],
	}
	if step.TailLatencyTarget > 0 || step.BestEffort {
		service.Interfering = in.interferingRuns(step)
	}
	p.Service = &service
	return p.Score()
}

// hasteOn returns what the longer run time of a batch task on a slow instance costs.
func (s *Scheduler) hasteOn(in *instance, c *candidate) scorer.Haste {
	r := s.require(c)
	switch {
	case r.indifferent:
		return scorer.Indifferent
	case time.Duration(in.slowdown*float64(r.typical)) > r.slack && s.now-in.startedAt < maxSpeedAge:
		return scorer.Tight
	default:
		return scorer.Slack
	}
}

// tooSlow reports whether a batch task makes its job late on the instance, because it is slow.
func (s *Scheduler) tooSlow(in *instance, c *candidate) bool {
	return in.slowdown > 0 && !c.stage.step.Service && s.uses(SpeedCriterion) && s.hasteOn(in, c) == scorer.Tight
}

// awaitsUsualSpeed reports whether an instance of usual speed that is full could take a task of the stage, so that it waits rather than become late on
// a slow one.
func (c *candidate) awaitsUsualSpeed(instances []*instance) bool {
	for _, in := range instances {
		if in.slowdown == 0 && in.Capacity.Fits(c.stage.claim) && in.accepts(c.stage) {
			return true
		}
	}
	return false
}
