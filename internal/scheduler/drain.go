package scheduler

import (
	"cmp"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Thresholds of the time left on a draining instance.
const (
	drainServiceWindow    = 2 * time.Second // a service task starts elsewhere within this time; below it, budgets no longer delay stops
	drainCheckpointWindow = time.Second     // a stop, the poll after it and a commit take a fraction of this
)

// UncommittedChange returns the record to commit for an enrolled instance that is draining, has departed, or has another capacity or a later end
// of its warm-up than the committed state says, or false if there is none. Without it a later leader would start too much there until the next announcement. One
// that has departed is recorded as draining.
func (s *Scheduler) UncommittedChange(id fleet.InstanceID) (workload.Instance, bool) {
	in := s.instances.byID[id]
	if in == nil || !in.enrolled && !in.enrolling || (!in.leaving() || in.drainCommitted) && in.Capacity == in.committedCapacity && !in.warmsLater() {
		return workload.Instance{}, false
	}
	record := in.Instance
	record.Draining = in.leaving()
	record.LargestCapacity = in.largestCapacity
	return record, true
}

// leaving reports whether the boot gets no more starts because it shuts down.
func (in *instance) leaving() bool { return in.Draining || in.departed }

// ConfirmChange records that the record of a boot is committed.
func (s *Scheduler) ConfirmChange(record workload.Instance) {
	if in := s.instances.byID[record.ID]; in != nil && in.Boot == record.Boot {
		in.drainCommitted = record.Draining
		in.committedCapacity = record.Capacity
		in.committedWarmAt = record.WarmAt()
	}
}

// evacuateDraining stops runs on draining instances: service tasks within the availability budgets of their steps while
// time is left, and checkpointing tasks shortly before the shutdown if they would not be done by then.
func (s *Scheduler) evacuateDraining(draining []*instance) {
	for _, in := range draining {
		if !in.Draining || in.departed || in.failedPolls > 0 || !in.polled {
			continue
		}
		remaining := in.shutdownIn(s.now)
		for _, r := range in.runs {
			if r.stopping || r.status != statusRunning {
				continue
			}
			step := r.job.step(r.task.Position)
			switch {
			case step.Gang:
			case step.Service && s.fitsElsewhere(r) && (remaining < drainServiceWindow || s.budgetAllowsStop(r, step)):
				s.stopRun(in, r, "instance is draining")
			case !step.Service && step.Checkpointing && remaining < drainCheckpointWindow && r.remainingTime(s.now) > remaining:
				s.stopRun(in, r, "instance is draining")
			}
		}
	}
}

// shutdownIn returns the time until a draining instance may shut down. It counts from the announcement, on the clock of the instance: the
// announcement may have been long on its way, or have been handled by an earlier leader.
func (in *instance) shutdownIn(now time.Duration) time.Duration {
	return in.TimeLeft - max(now-in.announcedAt, in.minClockAt(now)-in.Clock)
}

// remainingTime estimates the time to the end of the run from its progress.
func (r *run) remainingTime(now time.Duration) time.Duration {
	elapsed, progress := now-r.orderedAt, r.percent
	if r.adopted { // the run is older than this leader knows
		elapsed, progress = r.progressedAt-r.listedAt, r.percent-r.listedPercent
	}
	if progress > 0 {
		return time.Duration(float64(elapsed) * float64(100-r.percent) / float64(progress))
	}
	if r.adopted {
		estimate := cmp.Or(r.job.step(r.task.Position).Estimate, defaultStepEstimate)
		return max(estimate*time.Duration(100-r.percent)/100, now-r.orderedAt)
	}
	return elapsed
}
