package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/reserver"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// largeFactor is the multiple of the mean claim of the batch runs in a pool from which on a task is large: the end of one or two runs leaves no room
// for it.
const largeFactor = 2

// A reservation begins when the slack of a job is less than reserveLead times the time until there is room, plus reserveMargin: forecasts of the ends
// of runs are off by up to a factor of two, and the report of an end takes up to 0.1 s to be acted on. Earlier ones take capacity from other
// timely work without need.
const (
	reserveLead   = 2
	reserveMargin = 200 * time.Millisecond
)

// reservation keeps instances for the waiting tasks of a timely stage that fit nowhere.
type reservation struct {
	job       *job
	stage     *stage
	instances []*instance
}

// keepReservations drops the reservations that are not needed any more and the instances that were lost, and counts the others.
func (s *Scheduler) keepReservations(pools poolCapacities) {
	s.reservations = slices.DeleteFunc(s.reservations, func(r *reservation) bool {
		r.instances = slices.DeleteFunc(r.instances, func(in *instance) bool {
			lost := s.instances.byID[in.ID] != in || in.capacity == nil || in.Pool != r.job.pool
			if lost {
				in.reservation = nil
			}
			return lost
		})
		if len(r.instances) > 0 && r.stage.waiting > 0 && !r.job.finished && s.batchClassOf(r.job) == classOnTime {
			return false
		}
		r.release()
		return true
	})
	for _, r := range s.reservations {
		pools.of(r.job.pool).reserved += len(r.instances)
	}
}

// release lets the instances go.
func (r *reservation) release() {
	for _, in := range r.instances {
		in.reservation = nil
	}
	r.instances = nil
}

// reservationOf returns the reservation of a stage, or nil.
func (s *Scheduler) reservationOf(st *stage) *reservation {
	for _, r := range s.reservations {
		if r.stage == st {
			return r
		}
	}
	return nil
}

// placeOnReserved starts tasks of a stage on the instances that are reserved for it.
func (s *Scheduler) placeOnReserved(c *candidate) {
	if len(s.reservations) == 0 || c.stage.step.Service {
		return
	}
	r := s.reservationOf(c.stage)
	if r == nil {
		return
	}
	pool := c.job.account.capacity
	switch {
	case c.stage.suspects > 0:
		return
	case c.stage.step.Gang:
		s.placeGang(c, slices.Concat(r.instances, pool.instances))
	default:
		s.placeTasks(c, &poolCapacity{instances: r.instances})
	}
	// The other tasks of the stage reserve anew, since an instance that has got one is not the one that will be free soonest.
	r.instances = slices.DeleteFunc(r.instances, func(in *instance) bool {
		if c.stage.waiting == 0 || in.startedAt == s.now {
			in.reservation = nil
			return true
		}
		return false
	})
	if len(r.instances) == 0 {
		s.reservations = slices.DeleteFunc(s.reservations, func(other *reservation) bool { return other == r })
	}
}

// reserveRoom reserves the instances that will have room soonest for the waiting tasks of a timely stage that fit nowhere now.
func (s *Scheduler) reserveRoom(c *candidate, pool *poolCapacity) {
	if c.class != classOnTime || c.stage.waiting == 0 || c.job.adviceConfig != nil || !s.uses(ReservationCriterion) || !s.isLarge(c, pool) {
		return
	}
	limit := reserver.Limit(len(pool.instances)+pool.withheld) - pool.reserved
	if limit <= 0 || s.reservationOf(c.stage) != nil {
		return
	}
	chosen := s.soonestFree(c, pool.instances, limit)
	if len(chosen) == 0 || s.timelinessOf(c.job).state.Slack() > reserveLead*chosen[len(chosen)-1].after+reserveMargin {
		return
	}
	r := &reservation{job: c.job, stage: c.stage}
	for _, f := range chosen {
		f.instance.reservation = r
		r.instances = append(r.instances, f.instance)
	}
	s.reservations = append(s.reservations, r)
	pool.reserved += len(chosen)
	pool.withhold()
	id := workload.TaskID{Job: c.job.ID, Position: workload.NewPosition(c.occurrence, c.stage.stepIndex, 0)}
	s.decisions = append(s.decisions, Decision{What: "room reserved", Task: id, Instance: chosen[0].instance.ID, Machine: chosen[0].instance.Machine, Reason: fmt.Sprintf(
		"%d tasks of %s fit nowhere; %d instances are kept for them, the first is expected to have room in %s", c.stage.waiting, c.stage.claim, len(chosen), rounded(chosen[0].after))})
}

// isLarge reports whether a stage that fits nowhere has to wait for several runs to end on one instance.
func (s *Scheduler) isLarge(c *candidate, pool *poolCapacity) bool {
	if c.stage.step.Gang {
		return true
	}
	if pool.runs == 0 {
		for _, in := range pool.instances {
			pool.runs += len(in.runs) - in.serviceRuns
			pool.claimed = pool.claimed.Add(in.claimed.Sub(in.serviceClaimed))
		}
	}
	return pool.total.DominantShare(c.stage.claim)*float64(pool.runs) >= largeFactor*pool.total.DominantShare(pool.claimed)
}

// freeInstance is an instance, and when it will have room.
type freeInstance struct {
	instance *instance
	after    time.Duration
	tasks    int
}

// soonestFree returns the instances that will be free soonest for the waiting tasks of a stage, limit at most. For a gang they hold all its tasks
// or there are none.
func (s *Scheduler) soonestFree(c *candidate, instances []*instance, limit int) []freeInstance {
	var list []freeInstance
	for _, in := range instances {
		if !in.accepts(c.stage) || !in.Capacity.Fits(c.stage.claim) || s.tooSlow(in, c) {
			continue
		}
		s.foresee(in)
		limit := 1
		if c.stage.step.Gang {
			limit = c.stage.waiting
			if n := c.stage.step.MaxPerInstance; n > 0 {
				limit = min(limit, n)
			}
		}
		s.slots = s.outlook.AppendSlots(s.slots[:0], c.stage.claim, limit)
		if len(s.slots) > 0 {
			list = append(list, freeInstance{in, s.slots[len(s.slots)-1], len(s.slots)})
		}
	}
	slices.SortStableFunc(list, func(a, b freeInstance) int { return cmp.Compare(a.after, b.after) })
	n, tasks := 0, 0
	for ; n < len(list) && n < limit && tasks < c.stage.waiting; n++ {
		tasks += list[n].tasks
	}
	if c.stage.step.Gang && tasks < c.stage.waiting {
		return nil
	}
	return list[:n]
}

// foresee sets the outlook to that of an instance.
func (s *Scheduler) foresee(in *instance) {
	s.outlook.Reset(in.free())
	for _, r := range in.runs {
		if st := r.job.stage(r.task.Position); !st.step.Service {
			s.outlook.Add(s.typicalLeft(in, r, s.expectedRunTime(r.job, st).Typical()), r.claim)
		}
	}
}

// withholdReserved takes the reserved instances from the pools.
func (p poolCapacities) withholdReserved() {
	for _, pool := range p {
		if pool.reserved > 0 {
			pool.withhold()
		}
	}
}

// withhold takes the reserved instances from the pool.
func (p *poolCapacity) withhold() {
	before := len(p.instances)
	p.instances = slices.DeleteFunc(slices.Clone(p.instances), func(in *instance) bool { return in.reservation != nil })
	p.withheld += before - len(p.instances)
}

// roomReason says for the log which room a run was placed on.
func (in *instance) roomReason() string {
	switch {
	case in.reservation != nil:
		return "reserved room"
	case in.slowdown > 0:
		return "room on a slow instance"
	default:
		return "room"
	}
}
