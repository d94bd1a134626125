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
	stuckFor     = 300 * time.Millisecond // a standing task that found no room lately still waits
	demandDecay  = 2 * time.Second        // a queue's turn lasts some seconds, with gaps below a second in it
	slopeSpan    = 500 * time.Millisecond // gathers some jobs of a turn that rises
	slopeAhead   = 1.0                    // seconds; a move takes so long
	demandMargin = 1.1                    // of the measured demand, for what comes until the next decision
	reserveShare = 0.2                    // of one instance, against a lost one
	leastPool    = 2                      // instances of a pool with work, so that one may be lost
)

// demand is the need of one pool for instances.
type demand struct {
	standing float64 // instances that standing tasks fill
	now      float64 // instances that work that ends needs at once
	peak     float64
	slope    float64
	past     float64
	pastAt   time.Duration
	want     int
	have     int
	queues   int
	told     int
	// spread is how many instances a standing step must spread over, and leaving how many are about to be maintained.
	spread  int
	leaving int
	// stuck is when a standing task last found no room.
	stuck   time.Duration
	surplus time.Duration
}

func (d *demand) deficit() int { return d.want - d.have }

// measure computes what each pool needs and has.
func (s *Scheduler) measure(elapsed time.Duration) {
	for _, d := range s.demands {
		*d = demand{peak: d.peak, past: d.past, pastAt: d.pastAt, slope: d.slope, surplus: d.surplus, told: d.told, stuck: d.stuck}
	}
	for _, q := range s.catalogue.Queues {
		s.demandOf(q.Pool).queues++
	}
	capacity := s.typicalCapacity()
	for _, j := range s.jobs {
		s.measureJob(j, capacity)
	}
	decay := math.Exp(-float64(elapsed) / float64(demandDecay))
	for p, d := range s.demands {
		d.track(s.now, decay)
		d.have = s.has(p)
		d.leaving = s.leaving(p)
		d.want = d.wanted()
		if s.now-d.stuck < stuckFor && d.stuck > 0 {
			d.want = max(d.want, d.have+1)
		}
		if d.have <= d.want || !s.worked {
			d.surplus = s.now
		}
		if d.want != d.told {
			d.told = d.want
			s.decisions = append(s.decisions, Decision{What: "pool planned", Reason: fmt.Sprintf(
				"pool %s has %d, wants %d: %.1f for standing tasks, %.1f now, %.1f at the peak, rising %.1f a second",
				p, d.have, d.want, d.standing, d.now, d.peak, d.slope)})
		}
	}
}

func (s *Scheduler) demandOf(p fleet.PoolID) *demand {
	d := s.demands[p]
	if d == nil {
		d = &demand{surplus: s.now}
		s.demands[p] = d
	}
	return d
}

func (s *Scheduler) measureJob(j *job, capacity workload.Need) {
	if j.over {
		return
	}
	d := s.demandOf(j.pool)
	for _, ro := range j.rounds {
		if ro.dueWall > s.wall {
			continue
		}
		for _, st := range ro.steps {
			step := &j.Steps[st.step]
			open := float64(len(st.tasks) - st.done)
			switch {
			case step.Standing:
				d.standing += float64(len(st.tasks)) * capacity.Share(step.Claim())
				if step.PerInstance > 0 {
					d.spread = max(d.spread, (len(st.tasks)+step.PerInstance-1)/step.PerInstance)
				}
			case open > 0 && ro.ready(j, st.step):
				d.now += open * capacity.Share(step.Claim())
			}
		}
	}
}

// track follows the rise and the peak of the demand.
func (d *demand) track(now time.Duration, decay float64) {
	if now-d.pastAt >= slopeSpan {
		d.slope = max(0, d.now-d.past) / (now - d.pastAt).Seconds()
		d.past, d.pastAt = d.now, now
	}
	d.peak = max(d.now, d.peak*decay)
}

// wanted returns how many instances of a typical size the pool needs.
func (d *demand) wanted() int {
	if d.queues == 0 {
		return 0
	}
	ending := demandMargin * max(d.peak, d.now+slopeAhead*d.slope)
	return max(leastPool, int(math.Ceil(ending+d.standing+reserveShare)), d.spread+d.leaving)
}

// leaving counts the instances of a pool that are about to be maintained.
func (s *Scheduler) leaving(p fleet.PoolID) int {
	n := 0
	for _, in := range s.instances {
		if in.Pool == p && in.enrolled && in.evacuate && s.moves[in.Machine] == nil {
			n++
		}
	}
	return n
}

// typicalCapacity returns the mean size of the instances.
func (s *Scheduler) typicalCapacity() workload.Need {
	total, n := workload.Need{}, int64(0)
	for _, in := range s.instances {
		total = total.Add(in.Capacity)
		n++
	}
	if n == 0 {
		return workload.Need{}
	}
	return workload.Need{Processors: total.Processors / n, Memory: total.Memory / n}
}

// has counts the instances of a pool that can take work, and the machines on their way to it.
func (s *Scheduler) has(p fleet.PoolID) int {
	n := 0
	for _, in := range s.instances {
		if in.Pool == p && in.enrolled && !in.Draining && !in.departed && in.misses == 0 && s.moves[in.Machine] == nil {
			n++
		}
	}
	for _, m := range s.moves {
		if m.to == p {
			n++
		}
	}
	return n
}
