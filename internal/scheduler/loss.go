package scheduler

import (
	"fmt"
	"time"
)

// settleTime is how long an instance must list a run before a crash of the instance is unlikely to be the doing of the run.
const settleTime = 250 * time.Millisecond

// loss is why the runs on an instance have ended without a report.
type loss uint8

const (
	// lossSilent means that the instance does not answer. It may be cut off or frozen; its leases have expired.
	lossSilent loss = iota + 1
	// lossPlanned means that the boot has ended after it was draining, or after a move or maintenance of its machine was ordered.
	lossPlanned
	// lossCrash means that a later boot runs on the machine although nothing had announced the end of the earlier one. A refused
	// connection alone does not show that: some partitions reject packets.
	lossCrash
)

// String returns the name that logs use.
func (l loss) String() string { return [...]string{"none", "silent", "left", "crashed"}[l] }

// lossByLaterBoot returns how the boot of an instance ended that a later one has replaced.
func (in *instance) lossByLaterBoot() loss {
	if in.Draining || in.departed || in.evacuating {
		return lossPlanned
	}
	return lossCrash
}

// dropRuns detaches the runs of an instance, which have certainly ended.
func (s *Scheduler) dropRuns(in *instance, reason string, cause loss) {
	if len(in.runs) == 0 {
		return
	}
	runs, unsettled := len(in.runs), 0
	for _, r := range in.runs {
		if !r.settled(in) {
			unsettled++
		}
		s.logRunDecision("run lost", r, in, reason+s.describeAge(in, r))
		s.detachRun(in, r)
	}
	s.decisions = append(s.decisions, Decision{What: "instance " + cause.String(), Instance: in.ID, Machine: in.Machine,
		Reason: fmt.Sprintf("%s, last report %s ago, %d failed polls, %d runs, %d of them not settled", reason, rounded(s.now-in.clockReadAt), in.failedPolls, runs, unsettled)})
}

// describeAge describes how long ago a run was ordered and for how long the instance has listed it.
func (s *Scheduler) describeAge(in *instance, r *run) string {
	if !r.reported {
		return fmt.Sprintf(", ordered %s ago, never listed", rounded(s.now-r.orderedAt))
	}
	return fmt.Sprintf(", ordered %s ago, listed for %s", rounded(s.now-r.orderedAt), rounded(in.reportedAt-r.listedAt))
}

// settled reports whether the instance has listed the run for settleTime, on its own clock.
func (r *run) settled(in *instance) bool { return r.reported && in.reportedAt-r.listedAt >= settleTime }
