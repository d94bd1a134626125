package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

const (
	// rackWaitMargin is how many times as long as the wait the run elsewhere has to be: jobs that are due earlier take some of the places that a
	// task was to get. Without it a rack from which a third more is asked than it can do made more jobs late than no wait at all.
	rackWaitMargin = 2
	// maxRackWait bounds the wait of a stage whose places are always taken by others, in multiples of the longer run.
	maxRackWait = 3
	// maxRackSlots bounds the number of tasks that wait for one instance.
	maxRackSlots = 16
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
	// claim is that of the tasks; a smaller one needs another outlook.
	claim workload.Resources
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
	longer := time.Duration(float64(s.require(c).typical) * (s.forecaster.RemoteFactor() - 1))
	since := cmp.Or(c.stage.rackWaitSince, s.now)
	if o.slots[o.queued] >= longer/rackWaitMargin || s.now-since >= maxRackWait*longer {
		return false
	}
	c.stage.rackWaitSince = since
	o.queued++
	return true
}

// rackOutlookOf returns the outlook of the rack of a stage's data, nil if there is room or the pool has no instances there.
func (s *Scheduler) rackOutlookOf(c *candidate, instances []*instance) *rackOutlook {
	k := poolRack{c.job.pool, c.stage.step.DataRack}
	known := s.rackOutlooks[k]
	if known != nil && c.stage.claim.Fits(known.claim) {
		return known
	}
	o := &rackOutlook{claim: c.stage.claim}
	if known != nil {
		o.queued = known.queued
	}
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
