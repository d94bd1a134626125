package scheduler

import (
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// instance is the state of one boot of an instance: what may run there and until when.
type instance struct {
	workload.Instance
	enrolled bool
	// enrolling is set from the request of an enrolment until it is committed or cancelled.
	enrolling bool
	// bootUncommitted is set while the committed state has an earlier boot of the enrolled instance. The instance is polled but
	// gets no starts.
	bootUncommitted bool
	// drainCommitted is set once the committed state records that the enrolled instance is leaving.
	drainCommitted bool
	// committedCapacity is the capacity in the committed state, or in the enrolment that is being committed.
	committedCapacity workload.Resources
	// committedWarmAt is the end of the warm-up that the committed state knows.
	committedWarmAt time.Duration
	// warmupTotal is the longest WarmupLeft of the current warm-up. cold is set during the warm-up, and warmupReserve is capacity that is
	// not used then; both are set in each planning run.
	warmupTotal   time.Duration
	cold          bool
	warmupReserve workload.Resources
	// largestCapacity is the largest that the boot has announced.
	largestCapacity workload.Resources
	// inherited is set for instances that an earlier leader enrolled, until the first report or lease expiry.
	inherited bool
	// earlierLeases is set if earlier leaders may have extended leases of the instance.
	earlierLeases bool
	// polled is set while this leader knows what runs there.
	polled bool
	// departed is set once the instance or its machine is shutting down.
	departed bool
	// clockReadAt is when the response that contained clock arrived.
	clockReadAt time.Duration
	// stallsCheckedAt is the value of clockReadAt at the last check for runs that stand still.
	stallsCheckedAt time.Duration
	clock           time.Duration
	// reportedAt is the clock of the instance in the latest report.
	reportedAt time.Duration
	// reportReceivedAt and previousReportAt are when the last two reports arrived. reportHeld is set if the instance held the latest until
	// it had something to report. reportDelay is how much longer it took to arrive than the one before.
	reportReceivedAt, previousReportAt time.Duration
	reportDelay                        time.Duration
	reportHeld                         bool
	// maxDeadlineSent is the latest lease deadline in any order or poll sent to the instance.
	maxDeadlineSent time.Duration
	failedPolls     int
	// failingSince is when the first poll failed since the last report, zero if none has.
	failingSince time.Duration
	runs         map[workload.TaskID]*run
	serviceRuns  int
	// serviceClaimed is the part of claimed that service tasks claim.
	serviceClaimed workload.Resources
	claimed        workload.Resources
	// capacity is that of the pool if the instance is schedulable in the current planning run, else nil.
	capacity *poolCapacity
	// lastEndNumber is the highest end number that was processed, ackedEnd the highest that is acknowledged, and confirmedAck the highest
	// acknowledgement that the boot has answered.
	lastEndNumber uint64
	pendingEnds   []pendingEnd
	ackedEnd      uint64
	confirmedAck  uint64
	// orphans holds the time of the last stop order for each orphaned run.
	orphans         map[runKey]time.Duration
	backoffUntil    time.Duration
	announcedAt     time.Duration
	recentFailures  int
	throttlePercent int
	evacuating      bool
	// awaitsMaintenance is set while a wave has yet to maintain the machine.
	awaitsMaintenance bool
	// reservedUntil is until when batch tasks are kept off the instance for service tasks that leave other machines, zero if they are
	// not, and reservedClaim what those claim in the current decision.
	reservedUntil time.Duration
	reservedClaim workload.Resources
	// fromCommitted is set for instances that this leader found in the committed state.
	fromCommitted bool
	// consolidating is set while the service tasks of a surplus instance are relocated.
	consolidating bool
	// reclaimed is set while the instance gets no starts because another pool is to have its machine.
	reclaimed bool
	// cordoned instances get no starts because polls failed; the committed state records it. cordonIndex is the log index
	// of a cordon by an earlier leader. uncordoning is set while the removal of the cordon is being committed.
	cordoned    bool
	cordonIndex uint64
	uncordoning bool
	// hasOrphans is set while the instance lists runs whose claim is unknown.
	hasOrphans bool
	// moreEnds is set while the instance may have ends that it has not reported.
	moreEnds bool
	// suspectRuns and loneSuspectRuns are the numbers of runs on probation, and of those that must not share an instance.
	suspectRuns, loneSuspectRuns int
	// streakRuns are the numbers of runs whose tasks have a streak of each level.
	streakRuns [maxStreakLevel + 1]int
	// expiredRuns are the runs that were dropped when the instance fell silent. They count as crashed if a later boot shows that
	// the instance has crashed.
	expiredRuns []crashedRun
	// markedPending is set once the runs at their start are committed, until the next report.
	markedPending bool
	// reservation keeps batch tasks of other stages off the instance, nil if there is none.
	reservation *reservation
	// slowdown is the part by which tasks take longer than on an instance of usual speed, zero unless the instance is slow.
	slowdown float64
	// rackIndex is the index of the rack in the spreads of customers.
	rackIndex int
	// startedAt is when a task was started here last.
	startedAt time.Duration
	// knownSince is when this leader first knew of the boot.
	knownSince time.Duration
}

// pendingEnd is a reported end that is acknowledged once its batch is committed.
type pendingEnd struct {
	number uint64
	batch  uint64
}

func (s *Scheduler) addInstance(announced workload.Instance) *instance {
	in := &instance{Instance: announced, runs: map[workload.TaskID]*run{}, orphans: map[runKey]time.Duration{}, clockReadAt: s.now, announcedAt: s.now, knownSince: s.now, throttlePercent: 100,
		largestCapacity: announced.Capacity.Max(announced.LargestCapacity)}
	in.observeWarmup(false)
	in.rackIndex = s.rackIndex(in.Rack)
	in.observeSpeed(s.forecaster.InstanceSpeed(in.ID))
	s.instances.put(in)
	s.locateMachine(in)
	return in
}

// KnowsInstance reports whether the scheduler has an instance.
func (s *Scheduler) KnowsInstance(id fleet.InstanceID) bool { return s.instances.byID[id] != nil }

// HandleAnnouncement processes an instance's announcement and reports whether its boot must be enrolled.
func (s *Scheduler) HandleAnnouncement(now time.Duration, announced workload.Instance) (enrol bool) {
	s.now = now
	in := s.instances.byID[announced.ID]
	if in == nil && s.deregistered.Overtakes(announced.ID, announced.Boot, announced.Sequence, state.Timestamp(s.wallMillis)) {
		return false
	}
	if s.supersedeBoots(announced) {
		return false
	}
	if in == nil || announced.Boot > in.Boot {
		if in == nil {
			in = s.addInstance(announced)
		} else {
			in = s.replaceBoot(in, announced, announced.Clock) // its enrolment replaces that of the earlier boot
		}
		in.observeClock(now, announced.Clock)
		s.beginEnrolment(in)
		return true
	}
	if announced.Sequence > in.Sequence || in.Sequence == 0 {
		in.observeClock(now, announced.Clock)
		stillCold := in.warmingUp(now)
		s.instances.update(in, announced)
		in.observeWarmup(stillCold)
		in.rackIndex = s.rackIndex(in.Rack)
		s.locateMachine(in)
		in.announcedAt = now
		in.drainCommitted = in.drainCommitted && in.leaving()
	}
	if !in.needsEnrolment() || announced.Sequence < in.Sequence { // the caller commits the announcement
		return false
	}
	s.beginEnrolment(in)
	return true
}

// supersedeBoots removes the other instances with an earlier boot at the same address or machine. It reports whether the
// announced boot itself is older than a known one and must be ignored.
func (s *Scheduler) supersedeBoots(announced workload.Instance) bool {
	for _, other := range s.instances.conflicting(&announced) {
		if other.Boot > announced.Boot {
			return true
		}
		if other.ID != announced.ID && other.Boot < announced.Boot {
			s.removeInstance(other, "address or machine taken by a later boot", other.lossByLaterBoot(announced))
		}
	}
	return false
}

// observeClock raises the lower bound of the instance's clock.
func (in *instance) observeClock(now, clock time.Duration) {
	if clock > in.minClockAt(now) || in.clock == 0 {
		in.clockReadAt = now
		in.clock = clock
	}
}

// minClockAt returns a lower bound of the instance's clock, allowing for drift since the last reading.
func (in *instance) minClockAt(now time.Duration) time.Duration {
	return in.clock + time.Duration(float64(now-in.clockReadAt)*(1-clockDrift))
}

// HandleDeparture records that an instance is shutting down. A departure of a boot earlier than the known one is ignored;
// a zero boot matches any boot.
func (s *Scheduler) HandleDeparture(now time.Duration, id fleet.InstanceID, boot int64) {
	s.now = now
	in := s.instances.byID[id]
	if in == nil || boot != 0 && in.Boot > boot {
		return
	}
	in.departed = true
}

// Enrolled reports whether the known boot of an instance is enrolled, or an earlier one that a poll has shown to be replaced.
func (s *Scheduler) Enrolled(id fleet.InstanceID) bool {
	in := s.instances.byID[id]
	return in != nil && in.enrolled
}

// EnrolledInstances returns the instances to poll.
func (s *Scheduler) EnrolledInstances() []fleet.InstanceID {
	list := make([]fleet.InstanceID, 0, len(s.instances.sorted))
	for _, in := range s.instances.sorted {
		if in.enrolled {
			list = append(list, in.ID)
		}
	}
	return list
}

// leasesExpiredAt returns the time from which the leases of all runs on the instance have certainly expired.
func (s *Scheduler) leasesExpiredAt(in *instance) time.Duration {
	expired := in.clockReadAt + maxElapsed(in.maxDeadlineSent-in.clock)
	if in.earlierLeases {
		expired = max(expired, s.options.LeadingSince+maxElapsed(s.options.LeaseDuration))
	}
	return expired + leaseExpiryMargin
}

// maxElapsed returns the longest time in which a slow instance clock advances by remaining.
func maxElapsed(remaining time.Duration) time.Duration {
	return time.Duration(float64(max(0, remaining)) / (1 - clockDrift))
}

// nextDeadline returns a new lease deadline on the clock of the instance and records it as sent.
func (s *Scheduler) nextDeadline(in *instance) time.Duration {
	d := in.clock + (s.now - in.clockReadAt) + s.options.LeaseDuration
	in.maxDeadlineSent = max(in.maxDeadlineSent, d)
	return d
}

// removeInstance deletes an instance that certainly runs nothing any more, and reports its remaining runs as lost.
func (s *Scheduler) removeInstance(in *instance, reason string, cause loss) {
	s.dropRuns(in, reason, cause)
	s.cancelEnrolment(in)
	s.instances.remove(in.ID)
	delete(s.unreconciled, in.ID)
	s.requestDeregistration(in)
}

// free returns the unclaimed capacity of the instance, without the reserve of a warm-up unless it is empty.
func (in *instance) free() workload.Resources {
	free := in.Capacity.Sub(in.claimed)
	if in.cold && len(in.runs) > 0 {
		return free.Sub(in.warmupReserve)
	}
	return free
}

// schedulable reports whether tasks may be started on the instance.
func (s *Scheduler) schedulable(in *instance) bool {
	return in.enrolled && !in.bootUncommitted && in.polled && !in.Draining && !in.departed && !in.evacuating && !in.consolidating && !in.reclaimed && !in.cordoned && !in.hasOrphans && in.failedPolls < unschedulableFailedPolls && s.now >= in.backoffUntil && !s.drained(in.DataCentre) && !s.movePending(in)
}

// endsCommitted reports whether all ends of the instance are reported and committed. Until then the instance holds the only
// record of them that a later leader can read.
func (s *Scheduler) endsCommitted(in *instance) bool {
	return !in.moreEnds && !slices.ContainsFunc(in.pendingEnds, func(e pendingEnd) bool { return e.batch > s.committedBatch })
}

// expireInstances drops the runs of unreachable instances whose leases have expired, and removes instances that are gone.
//
// Empty instances that are draining or have departed are deregistered, so that a later leader does not wait for them.
func (s *Scheduler) expireInstances(unsettled []*instance) {
	for _, in := range unsettled {
		if (in.Draining || in.departed) && in.polled && len(in.runs) == 0 && !in.hasOrphans && s.endsCommitted(in) {
			s.deregister(in)
		}
		if in.failedPolls == 0 && in.polled || s.now < s.leasesExpiredAt(in) {
			continue
		}
		s.dropRuns(in, "lease outlived", lossSilent)
		delete(s.unreconciled, in.ID)
		if in.failedPolls > 0 && s.endsCommitted(in) {
			s.deregister(in)
		}
		in.polled = false
		in.inherited = false
		if in.departed || s.now-max(in.announcedAt, in.clockReadAt) > silentInstanceRetention {
			s.removeInstance(in, "gone", lossSilent)
		}
	}
}
