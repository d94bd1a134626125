package scheduler

import (
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// poolRack identifies the instances of a pool in one rack.
type poolRack struct {
	pool fleet.PoolID
	rack string
}

// rackOutlook is when a rack has room for the tasks that wait for it, in one planning run.
type rackOutlook struct {
	// slots are the times after which there is room for one more task each, and queued the number of tasks that wait for them.
	slots  []time.Duration
	queued int
}

// waitsForRack reports whether the next task of a stage waits for the rack of its data, since the wait is shorter than the longer run elsewhere.
func (s *Scheduler) waitsForRack(c *candidate, instances []*instance) bool {
	step := c.stage.step
	if step.DataRack == "" || step.Service || !s.uses(DataRackCriterion) {
		return false
	}
	o := s.rackOutlookOf(c, instances)
	if o == nil || o.queued >= len(o.slots) {
		return false
	}
	if c.stage.rackWaitSince == 0 {
		c.stage.rackWaitSince = s.now
	}
	need := s.require(c)
	longer := time.Duration(float64(need.typical) * (s.forecaster.RemoteFactor() - 1))
	if s.now-c.stage.rackWaitSince+o.slots[o.queued] >= longer {
		return false
	}
	o.queued++
	return true
}

// rackOutlookOf returns the outlook of the rack of a stage's data, nil if there is room or the pool has no instances there.
func (s *Scheduler) rackOutlookOf(c *candidate, instances []*instance) *rackOutlook {
	k := poolRack{c.job.pool, c.stage.step.DataRack}
	if o := s.rackOutlooks[k]; o != nil && o.queued > 0 {
		return o
	}
	o := &rackOutlook{}
	for _, in := range instances {
		if in.Rack != k.rack || !in.accepts(c.stage) {
			continue
		}
		if in.free().Fits(c.stage.claim) {
			return nil
		}
		s.foresee(in)
		o.slots = s.outlook.AppendSlots(o.slots, c.stage.claim, maxRackSlots)
	}
	if len(o.slots) == 0 {
		return nil
	}
	slices.Sort(o.slots)
	s.rackOutlooks[k] = o
	return o
}

// maxRackSlots bounds the number of tasks that wait for one instance.
const maxRackSlots = 16
