package scheduler

import (
	"fmt"
	"math"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Timing and weights of the estimate of demand.
const (
	unplacedWindow      = 300 * time.Millisecond // a standing task that found no room lately still waits
	peakDecayTime       = 2 * time.Second        // a queue's turn lasts some seconds, with gaps below a second in it
	slopeWindow         = 500 * time.Millisecond // gathers some jobs of a turn that rises
	slopeHorizonSeconds = 1.0                    // seconds; a move takes so long
	demandMargin        = 1.1                    // of the measured demand, for what comes until the next decision
	reserveInstances    = 0.2                    // of one instance, against a lost one
	minPoolInstances    = 2                      // instances of a pool with work, so that one may be lost
)

// demand is the need of one pool for instances.
type demand struct {
	service       float64 // instances that standing tasks fill
	batch         float64 // instances that work that ends needs at once
	batchPeak     float64
	batchSlope    float64
	sampledBatch  float64
	sampledAt     time.Duration
	desired       int
	available     int
	queueCount    int
	loggedDesired int
	// spread is how many instances a standing step must spread over, and leaving how many are about to be maintained.
	minSpread  int
	evacuating int
	// stuck is when a standing task last found no room.
	unplacedAt   time.Duration
	surplusSince time.Duration
}

func (d *demand) deficit() int { return d.desired - d.available }

// measure computes what each pool needs and has.
func (s *Scheduler) updateDemand(elapsed time.Duration) {
	for _, d := range s.demands {
		*d = demand{batchPeak: d.batchPeak, sampledBatch: d.sampledBatch, sampledAt: d.sampledAt, batchSlope: d.batchSlope, surplusSince: d.surplusSince, loggedDesired: d.loggedDesired, unplacedAt: d.unplacedAt}
	}
	for _, q := range s.catalogue.Queues {
		s.demandOf(q.Pool).queueCount++
	}
	capacity := s.meanCapacity()
	for _, j := range s.jobs {
		s.addJobDemand(j, capacity)
	}
	decay := math.Exp(-float64(elapsed) / float64(peakDecayTime))
	for pool, d := range s.demands {
		d.updateTrend(s.now, decay)
		d.available = s.availableInstances(pool)
		d.evacuating = s.evacuatingInstances(pool)
		d.desired = d.desiredInstances()
		if s.now-d.unplacedAt < unplacedWindow && d.unplacedAt > 0 {
			d.desired = max(d.desired, d.available+1)
		}
		if d.available <= d.desired || !s.batchWorkSeen {
			d.surplusSince = s.now
		}
		if d.desired != d.loggedDesired {
			d.loggedDesired = d.desired
			s.decisions = append(s.decisions, Decision{What: "pool planned", Reason: fmt.Sprintf(
				"pool %s has %d, wants %d: %.1f for standing tasks, %.1f now, %.1f at the peak, rising %.1f a second",
				pool, d.available, d.desired, d.service, d.batch, d.batchPeak, d.batchSlope)})
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
			case unfinished > 0 && o.ready(j, st.stepIndex):
				d.batch += unfinished * capacity.DominantShare(step.Claim())
			}
		}
	}
}

// track follows the rise and the peak of the demand.
func (d *demand) updateTrend(now time.Duration, decay float64) {
	if now-d.sampledAt >= slopeWindow {
		d.batchSlope = max(0, d.batch-d.sampledBatch) / (now - d.sampledAt).Seconds()
		d.sampledBatch, d.sampledAt = d.batch, now
	}
	d.batchPeak = max(d.batch, d.batchPeak*decay)
}

// wanted returns how many instances of a typical size the pool needs.
func (d *demand) desiredInstances() int {
	if d.queueCount == 0 {
		return 0
	}
	batch := demandMargin * max(d.batchPeak, d.batch+slopeHorizonSeconds*d.batchSlope)
	return max(minPoolInstances, int(math.Ceil(batch+d.service+reserveInstances)), d.minSpread+d.evacuating)
}

// leaving counts the instances of a pool that are about to be maintained.
func (s *Scheduler) evacuatingInstances(pool fleet.PoolID) int {
	n := 0
	for _, in := range s.instances {
		if in.Pool == pool && in.enrolled && in.evacuating && s.moves[in.Machine] == nil {
			n++
		}
	}
	return n
}

// typicalCapacity returns the mean size of the instances.
func (s *Scheduler) meanCapacity() workload.Resources {
	total, n := workload.Resources{}, int64(0)
	for _, in := range s.instances {
		total = total.Add(in.Capacity)
		n++
	}
	if n == 0 {
		return workload.Resources{}
	}
	return workload.Resources{Processors: total.Processors / n, Memory: total.Memory / n}
}

// has counts the instances of a pool that can take work, and the machines on their way to it.
func (s *Scheduler) availableInstances(pool fleet.PoolID) int {
	n := 0
	for _, in := range s.instances {
		if in.Pool == pool && in.enrolled && !in.Draining && !in.departed && in.failedPolls == 0 && s.moves[in.Machine] == nil {
			n++
		}
	}
	for _, m := range s.moves {
		if m.pool == pool {
			n++
		}
	}
	return n
}
