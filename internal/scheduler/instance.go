package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// instance is the book of one boot of an instance: what may run there and until when.
type instance struct {
	workload.Instance
	enrolled  bool
	inherited bool
	// looked is set once this leader has seen what runs there.
	polled   bool
	departed bool
	// heard is when the instance last told its clock, and clock what it told.
	clockReadAt time.Duration
	clock       time.Duration
	// sent is the latest deadline that an order may have carried there.
	maxDeadlineSent time.Duration
	failedPolls     int
	runs            map[workload.TaskID]*run
	claimed         workload.Resources
	lastEndNumber   uint64
	pendingEnds     []pendingEnd
	ackedEnd        uint64
	orphans         map[runKey]time.Duration
	backoffUntil    time.Duration
	announcedAt     time.Duration
	recentFailures  int
	throttlePercent int
	evacuating      bool
	// vacating is set while the standing tasks of an instance that its pool can do without move to others.
	consolidating bool
	// closed instances get no start: they were silent, and the committed state says so. closedAt is the log index of that,
	// for those that an earlier leader closed, and reopening is set while the opposite is being committed.
	cordoned    bool
	cordonIndex uint64
	uncordoning bool
	// strayed is set while runs are listed whose size is not known.
	hasOrphans bool
}

// mark is an end that was seen, with the batch whose commit it waits for.
type pendingEnd struct {
	number uint64
	batch  uint64
}

type runKey struct {
	task   workload.TaskID
	number workload.Run
}

// Progress of a run.
type runStatus uint8

const (
	statusOrdered runStatus = iota + 1
	statusRunning
	statusUncertain
)

// run is one start of a task on an instance.
type run struct {
	task      workload.TaskID
	number    workload.Run
	job       *job
	status    runStatus
	claim     workload.Resources
	orderedAt time.Duration
	// settled is when the instance answered the start.
	startOutcomeAt time.Duration
	// stopping is set once the run must end; stopSent and stopped are when a stop was sent and answered.
	stopping        bool
	stopSentAt      time.Duration
	stopAckedAt     time.Duration
	checkpoint      string
	percent         int
	progressedAt    time.Duration
	tailMillis      int
	throttlePercent int
	reported        bool
	// counted is whose part of which pool the run takes; it is empty for standing tasks.
	chargedTo poolCustomer
}

func (s *Scheduler) addInstance(announced workload.Instance) *instance {
	in := &instance{Instance: announced, runs: map[workload.TaskID]*run{}, orphans: map[runKey]time.Duration{}, clockReadAt: s.now, announcedAt: s.now, throttlePercent: 100}
	s.instances[announced.ID] = in
	return in
}

// Announce takes what an instance says of itself and reports whether its boot must be enrolled first.
func (s *Scheduler) HandleAnnouncement(now time.Duration, announced workload.Instance) (enrol bool) {
	s.now = now
	if s.supersedeBoots(announced) {
		return false
	}
	in := s.instances[announced.ID]
	if in != nil && announced.Boot > in.Boot {
		s.removeInstance(in, "born again")
		in = nil
	}
	if in == nil {
		s.addInstance(announced).observeClock(now, announced.Clock)
		return true
	}
	if announced.Sequence <= in.Sequence && in.Sequence > 0 {
		return in.needsEnrolment()
	}
	in.observeClock(now, announced.Clock)
	in.Instance = announced
	in.announcedAt = now
	return in.needsEnrolment()
}

// isStale reports whether the announcement is of a boot that a later one has replaced; it ends earlier boots.
func (s *Scheduler) supersedeBoots(announced workload.Instance) bool {
	for _, other := range s.instances {
		conflicts := other.ID == announced.ID || other.Address == announced.Address || announced.Machine != "" && other.Machine == announced.Machine
		if !conflicts {
			continue
		}
		if other.Boot > announced.Boot {
			return true
		}
		if other.ID != announced.ID && other.Boot < announced.Boot {
			s.removeInstance(other, "replaced at its address")
		}
	}
	return false
}

// wantsWork reports whether the instance must be enrolled to get work.
func (in *instance) needsEnrolment() bool {
	return !in.enrolled && !in.evacuating && !in.Draining && !in.departed
}

// heardClock raises the lower bound of the instance's clock.
func (in *instance) observeClock(now, clock time.Duration) {
	if clock > in.minClockAt(now) || in.clock == 0 {
		in.clockReadAt = now
		in.clock = clock
	}
}

func (in *instance) minClockAt(now time.Duration) time.Duration {
	return in.clock + time.Duration(float64(now-in.clockReadAt)*(1-clockDrift))
}

// Enrolled records that the boot is in the committed state, so that work may be given to it.
func (s *Scheduler) ConfirmEnrolled(id fleet.InstanceID) {
	if in := s.instances[id]; in != nil {
		in.enrolled = true
	}
}

// Depart records that an instance ends.
func (s *Scheduler) HandleDeparture(now time.Duration, id fleet.InstanceID, boot int64) {
	s.now = now
	in := s.instances[id]
	if in == nil || boot != 0 && in.Boot > boot {
		return
	}
	in.departed = true
}

// Followed returns the enrolled instances.
func (s *Scheduler) EnrolledInstances() []fleet.InstanceID {
	list := make([]fleet.InstanceID, 0, len(s.instances))
	for id, in := range s.instances {
		if in.enrolled {
			list = append(list, id)
		}
	}
	return list
}

// outlived returns when the leases of all runs on the instance are surely over.
func (s *Scheduler) leasesExpiredAt(in *instance) time.Duration {
	expired := in.clockReadAt + maxElapsed(in.maxDeadlineSent-in.clock)
	if in.inherited && !in.polled {
		expired = max(expired, s.options.LeadingSince+maxElapsed(s.options.LeaseDuration))
	}
	return expired + leaseExpiryMargin
}

// lapse returns how long a lease lasts at most on a clock that may be slow.
func maxElapsed(remaining time.Duration) time.Duration {
	return time.Duration(float64(max(0, remaining)) / (1 - clockDrift))
}

// deadline returns the next lease deadline on the clock of the instance and remembers that it is sent.
func (s *Scheduler) nextDeadline(in *instance) time.Duration {
	d := in.clock + (s.now - in.clockReadAt) + s.options.LeaseDuration
	in.maxDeadlineSent = max(in.maxDeadlineSent, d)
	return d
}

// kill forgets an instance that is known to run nothing.
func (s *Scheduler) removeInstance(in *instance, reason string) {
	s.dropRuns(in, reason)
	delete(s.instances, in.ID)
	delete(s.unreconciled, in.ID)
	s.deregistrations = append(s.deregistrations, in.ID)
}

// retire takes an instance without work out of the committed state before planned work ends it: a later leader need
// not wait for it.
func (s *Scheduler) deregisterEvacuated(in *instance) {
	in.evacuating = true
	s.deregister(in)
}

// strike takes an instance that surely runs nothing out of the committed state; it is enrolled again when it announces itself.
func (s *Scheduler) deregister(in *instance) {
	if in.enrolled {
		in.enrolled = false
		s.deregistrations = append(s.deregistrations, in.ID)
	}
}

// restore gives an instance work again whose planned work was refused.
func (s *Scheduler) cancelEvacuation(in *instance) {
	if in == nil || s.instances[in.ID] != in {
		return
	}
	in.evacuating = false
	if !in.enrolled {
		s.enrolments = append(s.enrolments, in.Instance)
	}
}

// Enrols returns instances that must be enrolled again before they get work.
func (s *Scheduler) TakeEnrolments() []workload.Instance {
	list := s.enrolments
	s.enrolments = nil
	return list
}

func (s *Scheduler) dropRuns(in *instance, reason string) {
	for _, r := range in.runs {
		s.logRunDecision("run lost", r, in, reason)
		s.detachRun(in, r)
	}
}

func (s *Scheduler) attachRun(in *instance, r *run) {
	in.runs[r.task] = r
	in.claimed = in.claimed.Add(r.claim)
	s.customerUsage[r.job.customer] = s.customerUsage[r.job.customer].Add(r.job.step(r.task.Position).Resources)
	s.chargeUsage(in, r)
	r.job.started = true
	r.job.runCount++
	if t := r.job.task(r.task.Position); t.run == nil {
		t.run = r
		t.instance = in
	}
}

// detach removes a run that is surely over; its task waits again unless it is done.
func (s *Scheduler) detachRun(in *instance, r *run) {
	if in.runs[r.task] != r {
		return
	}
	delete(in.runs, r.task)
	in.claimed = in.claimed.Sub(r.claim)
	s.customerUsage[r.job.customer] = s.customerUsage[r.job.customer].Sub(r.job.step(r.task.Position).Resources)
	s.releaseUsage(r)
	t := r.job.task(r.task.Position)
	if t.run == r {
		t.run = nil
		t.instance = nil
		t.lastInstance = in.ID
	}
	r.job.runCount--
	if r.checkpoint != "" {
		s.storeCheckpoint(r)
	}
}

// free returns what may still be placed on the instance.
func (in *instance) free() workload.Resources { return in.Capacity.Sub(in.claimed) }

// open reports whether new tasks may be placed on the instance.
func (s *Scheduler) schedulable(in *instance) bool {
	return in.enrolled && in.polled && !in.Draining && !in.departed && !in.evacuating && !in.consolidating && !in.cordoned && !in.hasOrphans && in.failedPolls < unschedulableFailedPolls && s.now >= in.backoffUntil
}

// age drops the runs of silent instances whose leases are over, and forgets instances that are gone.
//
// An instance that is empty and gets no more work leaves the committed state, so that a later leader need not wait for it.
func (s *Scheduler) expireInstances() {
	for _, in := range s.instances {
		if (in.Draining || in.departed) && in.polled && len(in.runs) == 0 && !in.hasOrphans {
			s.deregister(in)
		}
		if in.failedPolls == 0 && in.polled || s.now < s.leasesExpiredAt(in) {
			continue
		}
		s.dropRuns(in, "lease outlived")
		delete(s.unreconciled, in.ID)
		if in.failedPolls > 0 {
			s.deregister(in)
		}
		in.polled = false
		in.inherited = false
		if in.departed || s.now-max(in.announcedAt, in.clockReadAt) > silentInstanceRetention {
			s.removeInstance(in, "gone")
		}
	}
}
