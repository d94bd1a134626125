package scheduler

import (
	"fmt"
	"math"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Timing and weights of the demand estimate.
const (
	unplacedWindow      = 300 * time.Millisecond // a service task counts as waiting for this long after it last found no capacity
	peakDecayTime       = 2 * time.Second        // a burst on a queue lasts several seconds, with gaps of less than 1 s
	slopeWindow         = 500 * time.Millisecond // spans several jobs of a rising burst
	slopeHorizonSeconds = 1.0                    // duration of a machine move
	demandMargin        = 1.1                    // factor on the demand, for jobs that arrive before the next decision
	reserveInstances    = 0.2                    // fraction of one instance kept spare, against the loss of an instance
	minPoolInstances    = 2                      // instances of a pool that has queues, so that one may be lost
)

// demand is the estimated demand of one pool, in instances of mean capacity.
type demand struct {
	service       float64 // claimed by service tasks
	batch         float64 // claimed by batch tasks of timely jobs that could run now
	urgent        float64 // the part of batch that has to run now, so that all of it is in time
	late          float64 // claimed by the batch tasks of late jobs that have to run at a time
	excess        float64 // the part of batch that is beyond the shares of its customers while others wait
	excessPeak    float64
	batchPeak     float64
	batchSlope    float64
	sampledBatch  float64
	sampledAt     time.Duration
	desired       int
	available     int
	arriving      int // part of available
	queueCount    int
	loggedDesired int
	// minSpread is the number of instances that the per-instance limit of a service step requires. evacuating is the
	// number of instances that are being emptied for maintenance.
	minSpread  int
	evacuating int
	// floor is the number of instances that the pool needs whatever other pools want.
	floor int
	// desiredWithin is the number of instances of desired that the pool needs without the excess.
	desiredWithin int
	// desiredNow is the number of instances of desired that the pool needs now, so that no timely job becomes late.
	desiredNow int
	// desiredLate is the number of instances that late batch tasks could use beside desired.
	desiredLate int
	// unplacedAt is when a service task last found no capacity, and unplaced the number of tasks of its step that waited.
	unplacedAt   time.Duration
	unplaced     int
	surplusSince time.Duration
}

func (d *demand) deficit() int { return d.desired - d.available }

// updateDemand computes the desired and available instances of each pool.
func (s *Scheduler) updateDemand(elapsed time.Duration) {
	for _, d := range s.demands {
		*d = demand{batchPeak: d.batchPeak, excessPeak: d.excessPeak, sampledBatch: d.sampledBatch, sampledAt: d.sampledAt, batchSlope: d.batchSlope, surplusSince: d.surplusSince, loggedDesired: d.loggedDesired, unplacedAt: d.unplacedAt, unplaced: d.unplaced}
	}
	for _, q := range s.catalogue.Queues {
		s.demandOf(q.Pool).queueCount++
	}
	capacity := s.meanCapacity()
	s.resetDemands()
	for _, j := range s.activeJobs.sorted() {
		s.addJobDemand(j, capacity)
	}
	for pool, d := range s.demands {
		d.arriving = s.arrivingMachines(pool)
		d.available = s.availableInstances(pool) + d.arriving
	}
	s.settleAccounts(capacity)
	decay := math.Exp(-float64(elapsed) / float64(peakDecayTime))
	for pool, d := range s.demands {
		d.updateTrend(s.now, decay)
		d.evacuating = s.evacuatingInstances(pool)
		d.desired = d.desiredInstances()
		d.desiredLate = max(0, d.neededInstances(d.batch+d.late)-d.desired)
		if s.now-d.unplacedAt < unplacedWindow && d.unplacedAt > 0 {
			d.desired = max(d.desired, d.available-d.arriving+d.unplaced)
		}
		d.floor = min(d.desired, d.neededInstances(0))
		d.desiredWithin = d.withinShares()
		d.desiredNow = min(d.desiredWithin, d.neededInstances(demandMargin*d.urgent))
	}
	s.allocate()
	for pool, d := range s.demands {
		if d.available <= d.desired || !s.batchWorkSeen {
			d.surplusSince = s.now
		}
		if d.desired != d.loggedDesired {
			d.loggedDesired = d.desired
			s.decisions = append(s.decisions, Decision{What: "pool planned", Reason: fmt.Sprintf(
				"pool %s has %d instances, gets %d: %.1f for service tasks, %.1f for batch tasks now, %.1f at their peak, rising %.1f/s, %.1f late",
				pool, d.available, d.desired, d.service, d.batch, d.batchPeak, d.batchSlope, d.late)})
		}
	}
}

func (s *Scheduler) demandOf(pool fleet.PoolID) *demand {
	d := s.demands[pool]
	if d == nil {
		d = &demand{surplusSince: s.now}
		s.demands[pool] = d
	}
	return d
}

func (s *Scheduler) addJobDemand(j *job, capacity workload.Resources) {
	if j.finished {
		return
	}
	d := s.demandOf(j.pool)
	timely := s.batchClassOf(j) == classOnTime
	for _, o := range j.occurrences {
		if o.dueMillis > s.wallMillis {
			continue
		}
		for _, st := range o.stages {
			step := &j.Steps[st.stepIndex]
			unfinished := float64(len(st.tasks) - st.doneCount)
			switch {
			case step.Service:
				d.service += float64(len(st.tasks)) * capacity.DominantShare(step.Claim())
				if step.MaxPerInstance > 0 {
					d.minSpread = max(d.minSpread, (len(st.tasks)+step.MaxPerInstance-1)/step.MaxPerInstance)
				}
			case unfinished > 0 && o.ready(j, st.stepIndex) && timely:
				claimed := unfinished * capacity.DominantShare(step.Claim())
				d.batch += claimed
				urgent := claimed * s.rateWithin(j, st, s.timelinessOf(j).state.Slack())
				d.urgent += urgent
				if s.options.FleetShares {
					s.accountOf(j).addDemand(claimed, urgent)
				}
			case unfinished > 0 && o.ready(j, st.stepIndex):
				d.late += unfinished * capacity.DominantShare(step.Claim()) * s.lateRate(j, st)
			}
		}
	}
}

// rateWithin returns the part of the tasks of a stage that has to run at a time, so that the last of them starts within the given time.
func (s *Scheduler) rateWithin(j *job, st *stage, slack time.Duration) float64 {
	typical := s.expectedRunTime(j, st).Typical()
	return float64(typical) / float64(typical+max(0, slack))
}

// lateRate returns the part of the tasks of a late stage that has to run at a time, so that all have run before they are worth nothing.
func (s *Scheduler) lateRate(j *job, st *stage) float64 {
	left := s.timelinessOf(j).state.TimeLeft()
	if left == 0 {
		return 0
	}
	return min(1, float64(s.expectedRunTime(j, st).Typical())/float64(left))
}

// updateTrend updates the slope and the decaying peak of the batch demand.
func (d *demand) updateTrend(now time.Duration, decay float64) {
	if now-d.sampledAt >= slopeWindow {
		d.batchSlope = max(0, d.batch-d.sampledBatch) / (now - d.sampledAt).Seconds()
		d.sampledBatch, d.sampledAt = d.batch, now
	}
	d.batchPeak = max(d.batch, d.batchPeak*decay)
	d.excessPeak = max(d.excess, d.excessPeak*decay)
}

// desiredInstances returns the number of instances of mean capacity that the pool needs.
func (d *demand) desiredInstances() int {
	if d.queueCount == 0 {
		return 0
	}
	batch := demandMargin * max(d.batchPeak, d.batch+slopeHorizonSeconds*d.batchSlope)
	return max(minPoolInstances, int(math.Ceil(batch+d.service+reserveInstances)), d.minSpread+d.evacuating)
}

// neededInstances returns what the pool needs for its service tasks and for batch tasks with the given claim.
func (d *demand) neededInstances(batch float64) int {
	if d.service+batch == 0 {
		return 0
	}
	return max(int(math.Ceil(d.service+batch+reserveInstances)), d.minSpread+d.evacuating)
}

// unneededInstances returns how many instances of the pool its tasks can do without now, at the recent peak and the present trend. It
// is negative if the pool has too few.
func (d *demand) unneededInstances() int {
	needed := d.service + demandMargin*max(d.batchPeak, d.batch+slopeHorizonSeconds*d.batchSlope)
	return d.available - int(math.Round(needed))
}

// expectedCalls returns how many machines the pool is expected to call within a time, by its deficit and its present rise.
func (d *demand) expectedCalls(within time.Duration) int {
	return max(0, d.deficit()+int(math.Ceil(demandMargin*d.batchSlope*within.Seconds())))
}

// evacuatingInstances returns the number of instances of a pool that are being emptied for maintenance.
func (s *Scheduler) evacuatingInstances(pool fleet.PoolID) int {
	n := 0
	for _, in := range s.instances.sorted {
		if in.Pool == pool && in.enrolled && in.evacuating && s.moves[in.Machine] == nil && !s.drained(in.DataCentre) {
			n++
		}
	}
	return n
}

// meanCapacity returns the mean processors and memory of all instances.
func (s *Scheduler) meanCapacity() workload.Resources {
	total, n := workload.Resources{}, int64(0)
	for _, in := range s.instances.sorted {
		total = total.Add(in.Capacity)
		n++
	}
	if n == 0 {
		return workload.Resources{}
	}
	return workload.Resources{Processors: total.Processors / n, Memory: total.Memory / n}
}

// availableInstances returns the number of instances of a pool that can run tasks. In a drained data centre none counts.
func (s *Scheduler) availableInstances(pool fleet.PoolID) int {
	n := 0
	for _, in := range s.instances.sorted {
		if in.Pool == pool && in.enrolled && !in.Draining && !in.departed && in.failedPolls == 0 && s.moves[in.Machine] == nil && !s.drained(in.DataCentre) {
			n++
		}
	}
	return n
}

// arrivingMachines returns the number of machines that are being moved to a pool.
func (s *Scheduler) arrivingMachines(pool fleet.PoolID) int {
	n := 0
	for name, m := range s.moves {
		if m.pool == pool && !s.machineDrained(name) {
			n++
		}
	}
	return n
}
