package scheduler

import (
	"fmt"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// loss is why the runs on an instance have ended without a report.
type loss uint8

const (
	// lossSilent means that the instance does not answer. It may be cut off or frozen; its leases have expired.
	lossSilent loss = iota + 1
	// lossPlanned means that the boot has ended after it was draining, or because its machine was moved.
	lossPlanned
	// lossCrash means that a later boot runs on the machine although nothing had announced the end of the earlier one. A refused
	// connection alone does not show that: some partitions reject packets.
	lossCrash
)

// String returns the name that logs use.
func (l loss) String() string { return [...]string{"none", "silent", "left", "crashed"}[l] }

// lossByLaterBoot returns how the boot of an instance ended that a later one has replaced. The later boot is the zero value if it has
// only answered in place of this one. Machines are ordered to move once they run nothing, but an order of an earlier leader may be
// carried out late.
func (in *instance) lossByLaterBoot(later workload.Instance) loss {
	moved := later.Machine != "" && later.Machine == in.Machine && later.Pool != in.Pool
	if in.Draining || in.departed || moved {
		return lossPlanned
	}
	return lossCrash
}

// dropRuns detaches the runs of an instance, which have certainly ended.
func (s *Scheduler) dropRuns(in *instance, reason string, cause loss) {
	crashed := s.crashedRuns(in)
	if cause == lossCrash {
		crashed = append(crashed, in.expiredRuns...)
	}
	runs := len(in.runs)
	for _, r := range in.runs {
		s.logRunDecision("run lost", r, in, reason+s.describeAge(in, r))
		s.detachRun(in, r)
	}
	if runs > 0 {
		s.decisions = append(s.decisions, Decision{What: "instance " + cause.String(), Instance: in.ID, Machine: in.Machine,
			Reason: fmt.Sprintf("%s, last report %s ago, %d failed polls, %d runs, %d of them young", reason, rounded(s.now-in.clockReadAt), in.failedPolls, runs, youngRuns(crashed))})
	}
	switch cause {
	case lossCrash:
		in.expiredRuns = nil
		s.countCrash(in, crashed)
	case lossSilent:
		in.expiredRuns = append(in.expiredRuns, crashed...)
	case lossPlanned:
	}
}

// describeAge describes how long ago a run was ordered and for how long the instance has listed it.
func (s *Scheduler) describeAge(in *instance, r *run) string {
	if !r.reported {
		return fmt.Sprintf(", ordered %s ago, never listed", rounded(s.now-r.orderedAt))
	}
	return fmt.Sprintf(", ordered %s ago, listed for %s", rounded(s.now-r.orderedAt), rounded(r.listedFor(in)))
}

func youngRuns(runs []crashedRun) int {
	n := 0
	for _, c := range runs {
		n += boolToInt(c.young)
	}
	return n
}
