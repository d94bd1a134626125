package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/admitter"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forecaster"
	"github.com/sapphiresail/sapphiresail/internal/triager"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Backlog is the batch work of each pool at one moment, by which new jobs are admitted.
type Backlog struct {
	measuredAt time.Duration
	pools      map[fleet.PoolID]*admitter.Pool
}

// Pool returns what is known of a pool, or nil.
func (b *Backlog) Pool(pool fleet.PoolID) *admitter.Pool {
	if b == nil {
		return nil
	}
	return b.pools[pool]
}

// MeasureBacklog measures the batch work that waits or runs and the most capacity that each pool can get. It returns nil while that is not
// known: until the runs of earlier leaders are, and, with a standby pool, the machines there. It is called after Tick.
func (s *Scheduler) MeasureBacklog() *Backlog {
	s.backlog = nil
	if !s.Reconciled() || !s.machinesKnown() {
		return nil
	}
	b := &Backlog{measuredAt: s.now, pools: map[fleet.PoolID]*admitter.Pool{}}
	weights := map[fleet.CustomerID]float64{}
	for i := range s.catalogue.Customers {
		weights[s.catalogue.Customers[i].Name] = s.catalogue.Customers[i].Weight
	}
	for _, q := range s.catalogue.Queues {
		if b.pools[q.Pool] == nil {
			b.pools[q.Pool] = admitter.NewPool(s.mostProcessors(q.Pool), weights)
		}
	}
	for _, j := range s.activeJobs.jobs {
		if p := b.pools[j.pool]; p != nil && !j.finished && s.batchClassOf(j) < classExpired {
			s.addWork(p, j)
		}
	}
	s.backlog = b
	return b
}

// machinesKnown reports whether the platform has listed its machines, or has none that could join a pool.
func (s *Scheduler) machinesKnown() bool {
	if s.standbyPool() == "" {
		return true
	}
	for _, m := range s.machines {
		if m.Pool != "" {
			return true
		}
	}
	return false
}

// mostProcessors returns the processors that a pool has if all machines that may move to it do. An instance counts although it does not answer
// or is drained now.
func (s *Scheduler) mostProcessors(pool fleet.PoolID) float64 {
	total, largest := int64(0), int64(0)
	for _, in := range s.instances.sorted {
		largest = max(largest, in.Capacity.Processors)
		if in.Pool == pool || in.Machine != "" && !s.refusedMoves[refusedMove{in.Machine, pool}] {
			total += in.Capacity.Processors
		}
	}
	for _, name := range s.machineNames {
		m := s.machines[name]
		joins := m.Pool == pool || !s.refusedMoves[refusedMove{name, pool}]
		if len(s.instances.byMachine[name]) == 0 && joins && (m.Available || m.InTransition || s.moves[name] != nil) {
			total += largest
		}
	}
	return float64(total) / 1000
}

// addWork adds what is left of the steps of a job that may run now. Left out are tasks that may wait for something other than room for one
// of them, since other jobs are placed meanwhile: an instance with a label, room for a whole gang, an instance with fewer tasks of the step,
// advice, or an instance of their own.
func (s *Scheduler) addWork(p *admitter.Pool, j *job) {
	if j.adviceConfig != nil {
		return
	}
	t := s.timelinessOf(j).state
	for _, o := range j.occurrences {
		if o.dueMillis > s.wallMillis {
			continue
		}
		for _, st := range o.stages {
			if st.doneCount == len(st.tasks) || !holdsUpOthers(st.step) || st.suspects > 0 || !st.step.Resources.WithinLimit(j.limit) || !o.ready(j, st.stepIndex) {
				continue
			}
			p.Add(admitter.Work{
				Priority: j.priority, Customer: j.customer, Left: s.leastWork(j, st), Claim: st.claim, Task: s.expectedRunTime(j, st).Typical(), Most: mostAtOnce(st.claim, j.limit),
				Due: j.dueAt - s.now, Timely: t.Slack(), Useful: t.TimeLeft() - t.Remaining,
			})
		}
	}
}

// holdsUpOthers reports whether a waiting task of a step is placed before later ones wherever there is room for both.
func holdsUpOthers(step *workload.Step) bool {
	return !step.Service && !step.BestEffort && !step.Gang && step.RequiredLabel == "" && step.MaxPerInstance == 0 && step.Resources.Processors > 0
}

// mostAtOnce returns the processors that tasks of a claim may use at a time within a limit, or zero if there is none.
func mostAtOnce(claim, limit workload.Resources) float64 {
	most := 0.0
	for _, r := range [...]struct{ claim, limit int64 }{{claim.Processors, limit.Processors}, {claim.Memory, limit.Memory}, {claim.Accelerators, limit.Accelerators}} {
		if r.claim > 0 && r.limit > 0 {
			n := float64(r.limit) / float64(r.claim) * float64(claim.Processors) / 1000
			if most == 0 || n < most {
				most = n
			}
		}
	}
	return most
}

// leastWork returns what the unfinished tasks of a stage need at least: a standard deviation less than expected.
func (s *Scheduler) leastWork(j *job, st *stage) admitter.ProcessorSeconds {
	f := s.expectedRunTime(j, st)
	least := f.Typical().Seconds() * math.Exp(-f.Spread())
	left := float64(st.waiting) * least
	if st.waiting < len(st.tasks)-st.doneCount {
		for i := range st.tasks {
			if t := &st.tasks[i]; t.run != nil && !t.done {
				left += min(least, s.typicalLeft(t.instance, t.run, f.Typical()).Seconds())
			}
		}
	}
	return processorTime(st.claim, left)
}

func processorTime(claim workload.Resources, seconds float64) admitter.ProcessorSeconds {
	return admitter.ProcessorSeconds(float64(claim.Processors) / 1000 * seconds)
}

// Admit decides whether a job that is handed in can still be complete while it is worth anything, and adds one that is accepted to the backlog.
// Jobs with times of their own, with steps that do not end or use only idle processors, and jobs that no instance can run are not decided
// about.
func (s *Scheduler) Admit(now time.Duration, b *Backlog, handedIn *workload.Job, queue fleet.QueueID, customer fleet.CustomerID) (v admitter.Verdict) {
	q, ok := s.catalogue.QueueByName(queue)
	if !ok || b.Pool(q.Pool) == nil || !endsByItself(handedIn) || !s.mayRun(handedIn, customer) {
		return v
	}
	p := b.Pool(q.Pool)
	after := now - b.measuredAt
	j, work := s.examine(handedIn, q, customer)
	v = p.Decide(j, after)
	if !v.Refused && q.Advice == nil {
		for _, w := range work {
			w.Due, w.Timely, w.Useful = w.Due+after, w.Timely+after, w.Useful+after
			p.Add(w)
		}
	}
	return v
}

// endsByItself reports whether a job runs once, at once, and ends by itself.
func endsByItself(j *workload.Job) bool {
	return j.Repetitions == 0 && j.FirstDueMillis == 0 && !slices.ContainsFunc(j.Steps, func(st workload.Step) bool { return st.Service || st.BestEffort })
}

// mayRun reports whether each step fits on some instance and into the limit of the customer.
func (s *Scheduler) mayRun(j *workload.Job, customer fleet.CustomerID) bool {
	limit := s.catalogue.CustomerLimit(customer)
	for i := range j.Steps {
		step := &j.Steps[i]
		if !step.Resources.WithinLimit(limit) || !slices.ContainsFunc(s.instances.sorted, func(in *instance) bool {
			return in.Capacity.Fits(step.Claim()) && (step.RequiredLabel == "" || slices.Contains(in.Labels, step.RequiredLabel))
		}) {
			return false
		}
	}
	return true
}

// examine returns what is expected of a job that is handed in, and the work that it adds to the backlog. It is examined by the tasks with the
// largest claim, without which it is not complete.
func (s *Scheduler) examine(handedIn *workload.Job, q *workload.Queue, customer fleet.CustomerID) (j admitter.Job, added []admitter.Work) {
	j = admitter.Job{Priority: q.Priority, Customer: customer, Confidence: 1}
	limit := s.catalogue.CustomerLimit(customer)
	times := make([]time.Duration, len(handedIn.Steps))
	for i := range handedIn.Steps {
		step := &handedIn.Steps[i]
		f := s.forecaster.Expect(forecaster.Subject{Queue: q.Name, Customer: customer, Image: step.Image, Step: forecaster.StepNumber(i), Estimate: step.Estimate})
		times[i] = f.TypicalLast(step.Count)
		claim := step.Claim()
		work := processorTime(claim, float64(step.Count)*f.Typical().Seconds())
		j.Needs += work
		j.Confidence = min(j.Confidence, f.Confidence())
		if cmp.Or(cmp.Compare(claim.Processors, j.Claim.Processors), cmp.Compare(claim.Memory, j.Claim.Memory)) > 0 {
			j.Claim = claim
		}
		if len(step.After) == 0 && holdsUpOthers(step) {
			left := work * admitter.ProcessorSeconds(math.Exp(-f.Spread()))
			added = append(added, admitter.Work{Priority: q.Priority, Customer: customer, Left: left, Claim: claim, Task: f.Typical(), Most: mostAtOnce(claim, limit)})
		}
	}
	j.Chain = longestChain(handedIn, make([]time.Duration, len(times)), func(step int) time.Duration { return times[step] })
	j.Objective = time.Duration(q.Stretch*float64(j.Chain)) + q.Objective
	for i := range added {
		added[i].Due, added[i].Timely = j.Objective, j.Objective-j.Chain
		added[i].Useful = triager.Job{Objective: j.Objective}.TimeLeft() - j.Chain
	}
	return j, added
}
