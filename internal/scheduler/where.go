package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forecaster"
	"github.com/sapphiresail/sapphiresail/internal/triager"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Bounds of an explanation. Judging 349 instances for a step takes 0.4 ms.
const (
	maxExplainedSteps     = 8
	maxExplainedInstances = 10 // that take a task, and as many that do not
	maxExplainedChanges   = 16
)

// Placement explains where the tasks of a job would be placed now. It is what the last planning run has left, so that asking changes nothing.
type Placement struct {
	Job      workload.JobID   `json:"job,omitempty"`
	Queue    fleet.QueueID    `json:"queue"`
	Customer fleet.CustomerID `json:"customer,omitempty"`
	Pool     fleet.PoolID     `json:"pool"`
	// Class is that of the batch steps, or of the service steps of a job without others.
	Class     string `json:"class"`
	Priority  int    `json:"priority"`
	Objective string `json:"objective"`
	// Expected is the duration of the longest chain of steps that are left, and Confidence the part of it that rests on observations.
	Expected   string  `json:"expected"`
	Confidence float64 `json:"confidence"`
	// Share is the part of the pool that the customer uses, and Entitled the part to which its weight entitles it now.
	Share    float64 `json:"share"`
	Entitled float64 `json:"entitled"`
	// Level is that of the job by what its customer got of the fleet over the last seconds, and why; it is empty without shares of the fleet.
	Level string `json:"level,omitempty"`
	Usage string `json:"usage"`
	Limit string `json:"limit"`
	// Ahead is the number of waiting tasks of the pool that are placed before those of the job.
	Ahead int             `json:"ahead"`
	Steps []StepPlacement `json:"steps"`
	// StepsOmitted is the number of steps beyond those listed.
	StepsOmitted int                 `json:"steps-omitted,omitempty"`
	Instances    []InstancePlacement `json:"instances"`
	// Changes say what would have to change for the tasks that find no room.
	Changes []string `json:"changes"`
}

// StepPlacement explains one step.
type StepPlacement struct {
	Step int `json:"step"`
	// Waiting is the number of tasks that are neither done nor running, and Fits how many of them there is room for now, if the step may run.
	Waiting  int    `json:"waiting"`
	Fits     int    `json:"fits"`
	Claim    string `json:"claim"`
	Expected string `json:"expected"`
	State    string `json:"state"`
	// RuledOut is the number of instances of the pool that take no task, by what rules them out.
	RuledOut map[string]int `json:"ruled-out"`
}

// InstancePlacement says whether an instance would take a task of a step.
type InstancePlacement struct {
	Step       int                `json:"step"`
	Instance   fleet.InstanceID   `json:"instance"`
	Rack       string             `json:"rack"`
	DataCentre fleet.DataCentreID `json:"data-centre"`
	Free       string             `json:"free"`
	Score      float64            `json:"score"`
	// Verdict is "takes N" or what rules the instance out.
	Verdict string `json:"verdict"`
}

// Where explains where a job that is not handed in would be placed now; ok is false if its queue is not known.
func (s *Scheduler) Where(handedIn workload.Job, queue fleet.QueueID, customer fleet.CustomerID) (p Placement, ok bool) {
	q, ok := s.catalogue.QueueByName(queue)
	if !ok {
		return p, false
	}
	j := &job{
		Job: handedIn, queue: queue, pool: q.Pool, customer: customer, priority: q.Priority, stretch: q.Stretch, constant: q.Objective, acceptedAt: s.now,
		limit: s.catalogue.CustomerLimit(customer), adviceConfig: q.Advice, customerUsage: &workload.Resources{}, occurrences: []*occurrence{newOccurrence(&handedIn, 0)},
	}
	if usage := s.customerUsage[customer]; usage != nil {
		j.customerUsage = usage
	}
	return s.describePlacement(j, j.occurrences[0]), true
}

// WhereWaiting explains where the waiting tasks of an accepted job would be placed now; ok is false if none of it is left.
func (s *Scheduler) WhereWaiting(id workload.JobID) (p Placement, ok bool) {
	j := s.jobs[id]
	if j == nil || j.finished {
		return p, false
	}
	for _, o := range j.occurrences {
		if slices.ContainsFunc(o.stages, func(st *stage) bool { return st.doneCount < len(st.tasks) }) {
			p = s.describePlacement(j, o)
			p.Job = id
			return p, true
		}
	}
	return p, false
}

// forecastOf returns the forecast for a stage without keeping it.
func (s *Scheduler) forecastOf(j *job, st *stage) forecaster.Forecast {
	f := s.forecaster.Expect(j.subject(st))
	if st.expectation != nil {
		f = f.Alongside(j.estimateRatio.without(st.expectation.own).scale(st.step.Estimate)).Given(&st.expectation.evidence)
	}
	return f
}

func (s *Scheduler) describePlacement(j *job, o *occurrence) Placement {
	p := Placement{
		Queue: j.queue, Customer: j.customer, Pool: j.pool, Priority: j.priority, Usage: j.customerUsage.String(), Limit: j.limit.String(), Confidence: 1,
		Steps: []StepPlacement{}, Instances: []InstancePlacement{}, Changes: []string{},
	}
	whole, left := make([]time.Duration, len(o.stages)), make([]time.Duration, len(o.stages))
	for i, st := range o.stages {
		f := s.forecastOf(j, st)
		p.Confidence = min(p.Confidence, f.Confidence())
		whole[i] = f.TypicalLast(len(st.tasks))
		if n := len(st.tasks) - st.doneCount; n > 0 {
			left[i] = f.TypicalLast(n)
		}
	}
	chain := func(times []time.Duration) time.Duration {
		return longestChain(&j.Job, make([]time.Duration, len(times)), func(step int) time.Duration { return times[step] })
	}
	objective := time.Duration(j.stretch*float64(chain(whole))) + j.constant
	standing := triager.Job{Elapsed: s.now - j.acceptedAt, Objective: objective, Remaining: chain(left)}
	p.Objective, p.Expected = rounded(objective).String(), rounded(standing.Remaining).String()
	class := classOfRank(standing.Rank())
	if !slices.ContainsFunc(o.stages, func(st *stage) bool { return !st.step.Service }) {
		class = s.classOf(j, o.stages[0])
	}
	p.Class = class.String()
	p.Share, p.Entitled = s.shareIn(j.pool, j.customer)
	p.Level = s.describeLevel(j)
	p.Ahead = s.tasksAhead(j, class, j.acceptedAt+objective)
	s.describeSteps(&p, j, o, class, whole, standing.Slack())
	return p
}

// classOfRank is what batchClassOf gives for a rank.
func classOfRank(r triager.Rank) class {
	switch r {
	case triager.Timely:
		return classOnTime
	case triager.Late:
		return classLate
	default:
		return classExpired
	}
}

// shareIn returns the part of a pool that a customer uses for batch tasks, and the part to which it is entitled beside those that were active in
// the last planning run.
func (s *Scheduler) shareIn(pool fleet.PoolID, customer fleet.CustomerID) (used, entitled float64) {
	weight, active := defaultWeight, 0.0
	for i := range s.catalogue.Customers {
		if c := &s.catalogue.Customers[i]; c.Name == customer && c.Weight > 0 {
			weight = c.Weight
		}
	}
	counted := false
	for k, a := range s.accounts {
		if k.pool != pool || a.weighedIn != s.placementRound || a.capacity == nil {
			continue
		}
		active = a.capacity.activeWeight
		if k.customer == customer {
			used = a.capacity.total.DominantShare(a.used)
			counted = a.activeIn == s.placementRound
		}
	}
	if !counted {
		active += weight
	}
	return used, weight / max(active, weight)
}

// describeSteps describes the steps of an occurrence, and the instances for the first that may run now.
func (s *Scheduler) describeSteps(p *Placement, j *job, o *occurrence, class class, expected []time.Duration, slack time.Duration) {
	for i, st := range o.stages {
		if len(p.Steps) == maxExplainedSteps {
			p.StepsOmitted = len(o.stages) - i
			return
		}
		step := StepPlacement{Step: i, Waiting: st.waiting, Claim: st.claim.String(), Expected: rounded(expected[i]).String(), State: s.stateOf(j, o, st), RuledOut: map[string]int{}}
		if step.State == stateRunnable {
			c := candidate{job: j, occurrence: slices.Index(j.occurrences, o), stage: st, class: class}
			c.required, c.requirement = true, requirement{indifferent: class != classOnTime, typical: s.forecastOf(j, st).Typical(), slack: slack}
			verdicts := s.judgeInstances(&c)
			step.sum(&c, verdicts)
			if len(p.Instances) == 0 && len(p.Changes) == 0 {
				p.Instances, p.Changes = listInstances(i, verdicts), s.neededChanges(&c, step, verdicts)
			}
		}
		p.Steps = append(p.Steps, step)
	}
}

// sum counts what the instances of the pool do for the step.
func (p *StepPlacement) sum(c *candidate, verdicts []verdict) {
	for _, v := range verdicts {
		if v.ruledOut != "" {
			p.RuledOut[v.ruledOut]++
		}
		p.Fits += v.takes
	}
	p.Fits = min(p.Fits, p.Waiting)
	if c.stage.step.Gang && p.Fits < len(c.stage.tasks) {
		p.Fits = 0
	}
}

// stateRunnable is the state of a step with tasks that may be placed now.
const stateRunnable = "waits for a place"

func (s *Scheduler) stateOf(j *job, o *occurrence, st *stage) string {
	switch {
	case st.doneCount == len(st.tasks):
		return "done"
	case !o.ready(j, st.stepIndex):
		return fmt.Sprintf("waits for steps %v", st.step.After)
	case st.waiting == 0:
		return "running"
	case o.dueMillis > s.wallMillis:
		return fmt.Sprintf("is due in %s", time.Duration(o.dueMillis-s.wallMillis)*time.Millisecond)
	default:
		return stateRunnable
	}
}

// listInstances lists the instances that take most by their score, and some that take nothing, one of each reason first.
func listInstances(step int, verdicts []verdict) []InstancePlacement {
	var admitting, others []verdict
	seen := map[string]int{}
	for _, v := range verdicts {
		if v.ruledOut == "" {
			admitting = append(admitting, v)
			continue
		}
		v.repeats = seen[v.ruledOut]
		seen[v.ruledOut]++
		others = append(others, v)
	}
	slices.SortStableFunc(admitting, func(a, b verdict) int { return cmp.Compare(b.score, a.score) })
	slices.SortStableFunc(others, func(a, b verdict) int { return cmp.Compare(a.repeats, b.repeats) })
	list := []InstancePlacement{}
	for _, v := range slices.Concat(admitting[:min(len(admitting), maxExplainedInstances)], others[:min(len(others), maxExplainedInstances)]) {
		in := v.instance
		row := InstancePlacement{Step: step, Instance: in.ID, Rack: in.Rack, DataCentre: in.DataCentre, Free: in.free().String(), Score: v.score, Verdict: v.ruledOut}
		if v.ruledOut == "" {
			row.Verdict = fmt.Sprintf("takes %d", v.takes)
		}
		list = append(list, row)
	}
	return list
}

// reasons returns the reasons by the number of instances that they rule out, most first.
func reasons(ruledOut map[string]int) []string {
	return slices.SortedFunc(maps.Keys(ruledOut), func(a, b string) int { return cmp.Or(cmp.Compare(ruledOut[b], ruledOut[a]), cmp.Compare(a, b)) })
}
