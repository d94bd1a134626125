package scheduler

import (
	"fmt"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// replaceBoot replaces an instance by a later boot under the same ID, whose clock has reached the given value. While it is unknown what earlier
// leaders started on the instance, the later boot may have executed their orders, which name no boot.
func (s *Scheduler) replaceBoot(in *instance, later workload.Instance, clock time.Duration) *instance {
	unanswered := in.unansweredStarts()
	s.decisions = append(s.decisions, Decision{What: "instance replaced", Instance: in.ID, Machine: in.Machine, Reason: fmt.Sprintf(
		"boot %d after %d, acknowledged %d, deadline %s at clock %s, %d unanswered starts", later.Boot, in.Boot, in.ackedEnd, rounded(in.maxDeadlineSent), rounded(in.clock), len(unanswered))})
	s.dropRuns(in, "instance restarted", in.lossByLaterBoot(later))
	s.cancelEnrolment(in)
	replacement := s.addInstance(later)
	replacement.inherited, replacement.earlierLeases, replacement.cordonIndex = in.inherited, in.earlierLeases, in.cordonIndex
	// An order or poll for the earlier boot, of this leader or an earlier one, gives the later boot a lease if it is carried out late.
	replacement.maxDeadlineSent = clock + 2*s.options.LeaseDuration
	for _, r := range unanswered {
		s.keepUnanswered(replacement, r)
	}
	return replacement
}

// unansweredStarts returns the runs that a later boot may execute or have executed: no report of this boot has listed them, and an instance that
// names no boot may have accepted them after its restart. The later boot does not know of stops that the instance has accepted.
func (in *instance) unansweredStarts() []*run {
	var list []*run
	for _, r := range in.runsInOrder() {
		if !r.reported && !r.undelivered {
			list = append(list, r)
		}
	}
	return list
}

// keepUnanswered keeps a start that an earlier boot has not answered as one that the later boot may execute: its task starts elsewhere once
// a stop prevents that.
func (s *Scheduler) keepUnanswered(in *instance, lost *run) {
	r := &run{
		task: lost.task, number: lost.number, job: lost.job, status: statusUncertain, claim: lost.claim, orderedAt: lost.orderedAt, startOutcomeAt: s.now,
		throttlePercent: throttleUnset, checkpoint: lost.checkpoint,
	}
	s.attachRun(in, r)
	s.logRunDecision("run uncertain", r, in, "a later boot may execute its start")
}
