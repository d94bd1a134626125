package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Limits of the search for tasks that crash the instances that start them. One crash has many suspects: all young runs on the instance.
// They start again in small groups, and those of a group that crashes again each alone, so that the third crash names the task. A task is
// suspected as long as all crashes may have come at the same age of its runs; a run that outlives that age clears it.
const (
	// settleTime is how long an instance must list a run before a crash is no longer at the start of the run.
	settleTime = 250 * time.Millisecond
	// earlyTime is how long an instance must list a run before a crash is certainly not the doing of the run.
	earlyTime = 3 * time.Second
	// clearMargin is how long a run must outlive the age of the crashes to clear its task.
	clearMargin = 50 * time.Millisecond
	// probeInterval is the time between reports that are requested of an instance with runs on probation.
	probeInterval = 100 * time.Millisecond
	// suspectGroup is the number of tasks with one crash that may start beside each other.
	suspectGroup = 4
	// crashesAtStart and crashesLater are the numbers of crashes after which a task is given up if it was the only suspect of the last one, and
	// if they hit several machines: a machine that crashes again and again proves nothing.
	crashesAtStart = 3
	crashesLater   = 4
	// maxCrashesAtStart is the number after which it is given up whatever else the instances ran.
	maxCrashesAtStart = 5
	// maxProbationShare is the part of a pool that may have runs on probation at a time.
	maxProbationShare = 0.5
)

// suspicion is how far a task is suspected to crash instances.
type suspicion uint8

const (
	unsuspected suspicion = iota
	// suspectedInGroup tasks start only beside each other and beside settled runs.
	suspectedInGroup
	// suspectedAlone tasks start only beside settled runs.
	suspectedAlone
)

func suspicionOf(c state.CrashCount) suspicion {
	switch {
	case c.Crashes >= crashesNeeded(c)-1:
		return suspectedAlone
	case c.Crashes > 0 && c.MinAge < settleTime:
		return suspectedInGroup
	default:
		return unsuspected
	}
}

func (t *task) suspicion() suspicion { return suspicionOf(t.crashes) }

// suspectAt returns the task that holds the count of crashes for a position: for a gang its first task.
func (j *job) suspectAt(p workload.Position) *task {
	if j.step(p).Gang {
		return &j.stage(p).tasks[0]
	}
	return j.task(p)
}

// suspectID returns the task whose record holds the count of crashes for a task.
func (j *job) suspectID(p workload.Position) workload.TaskID {
	if j.step(p).Gang {
		p = workload.NewPosition(p.Occurrence(), p.Step(), 0)
	}
	return workload.TaskID{Job: j.ID, Position: p}
}

// crashedRun is a run on an instance at the time of its loss.
type crashedRun struct {
	task workload.TaskID
	run  workload.Run
	// young is set if the crash may be the doing of the start of the run.
	young bool
	// adopted is set if the run is older than is known.
	adopted bool
	// minAge and maxAge bound the age of the run at the crash.
	minAge, maxAge time.Duration
	// alone is set if the crash cannot be the doing of any other run as well.
	alone bool
}

// listedFor returns for how long the instance has listed the run, on its own clock.
func (r *run) listedFor(in *instance) time.Duration {
	if !r.reported {
		return 0
	}
	return in.reportedAt - r.listedAt
}

func (r *run) settled(in *instance) bool { return r.reported && r.listedFor(in) >= settleTime }

// young reports whether a crash of the instance may be the doing of the start of the run.
func (r *run) young(in *instance) bool { return !r.undelivered && r.listedFor(in) < earlyTime }

// crashedRuns returns the runs of a lost instance that were delivered.
func (s *Scheduler) crashedRuns(in *instance) []crashedRun {
	lostAt := cmp.Or(in.failingSince, s.now)
	var list []crashedRun
	for _, r := range in.runs {
		if r.undelivered {
			continue
		}
		c := crashedRun{task: r.task, run: r.number, young: r.young(in), adopted: r.adopted, minAge: r.listedFor(in)}
		c.maxAge = max(c.minAge, lostAt-r.orderedAt)
		c.alone = c.young && in.otherSuspects(r, c.minAge, c.maxAge) == 0
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b crashedRun) int {
		return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Position, b.task.Position))
	})
	return list
}

// otherSuspects returns the number of other runs on the instance that a crash speaks against as much as against a run of an age. Those of
// the same gang are not counted: a gang is suspected as one.
func (in *instance) otherSuspects(r *run, minAge, maxAge time.Duration) int {
	n := 0
	for _, other := range in.runs {
		sameGang := other.number == r.number && other.job == r.job
		n += boolToInt(!sameGang && in.isSuspect(other, minAge, maxAge))
	}
	return n
}

// isSuspect reports whether a crash may be the doing of a run, next to another run that crashes instances at an age: of those that are not
// on probation only one that is not older.
func (in *instance) isSuspect(r *run, minAge, maxAge time.Duration) bool {
	settled := settleTime
	if minAge >= settleTime {
		settled = maxAge
	}
	return !r.undelivered && (r.suspicion != unsuspected || !r.reported || r.listedFor(in) < settled)
}

// countCrash counts a crash for each of the runs that the instance had, and gives up the tasks that it proves to have caused it.
func (s *Scheduler) countCrash(in *instance, runs []crashedRun) {
	s.extendStreaks(in, runs)
	for _, c := range runs {
		j := s.jobs[c.task.Job]
		if !c.young || j == nil || j.finished || j.task(c.task.Position).done {
			continue
		}
		id := j.suspectID(c.task.Position)
		t := j.task(id.Position)
		if t.crashedRun == c.run {
			continue // another member of the gang
		}
		t.crashedRun = c.run
		count := addCrash(t.crashes, c, in.host())
		s.commitCrashes(j, id.Position, count)
		d := Decision{What: "task set apart", Task: id, Run: c.run, Instance: in.ID, Machine: in.Machine,
			Reason: fmt.Sprintf("%s; the only suspect of the last: %t", describeCrashes(count), c.alone)}
		switch {
		case proven(count, c.alone):
			s.giveUp(j, d)
		case suspicionOf(count) != unsuspected:
			s.decisions = append(s.decisions, d)
		}
	}
}

// giveUp fails the job of a task that crashes the instances that start it.
func (s *Scheduler) giveUp(j *job, d Decision) {
	d.What = "task given up"
	s.decisions = append(s.decisions, d)
	s.failedJobs = append(s.failedJobs, j.ID)
	s.finishJob(j, "failed")
}

// commitCrashes replaces the count of crashes under a task, and holds the next start of the task until the count is committed.
func (s *Scheduler) commitCrashes(j *job, p workload.Position, count state.CrashCount) {
	count.Streak = j.task(p).streak.committed()
	s.setCrashes(j, p, count)
	j.task(p).heldFor = s.lastBatch + 1
	s.crashes = append(s.crashes, state.TaskCrashes{Task: workload.TaskID{Job: j.ID, Position: p}, Count: count})
}

// addCrash returns the count after another crash. Crashes that cannot have come at the same age of the runs as the earlier ones start a new count.
func addCrash(count state.CrashCount, c crashedRun, host string) state.CrashCount {
	minAge, maxAge := max(count.MinAge, c.minAge), min(count.MaxAge, c.maxAge)
	if count.Crashes == 0 || minAge > maxAge {
		return state.CrashCount{Crashes: 1, MinAge: c.minAge, MaxAge: c.maxAge, Hosts: []string{host}}
	}
	hosts := count.Hosts
	if !slices.Contains(hosts, host) {
		hosts = append(slices.Clone(hosts), host)
	}
	return state.CrashCount{Crashes: count.Crashes + 1, MinAge: minAge, MaxAge: maxAge, Hosts: hosts}
}

// proven reports whether the crashes under a task prove that it causes them. alone is set if it was the only suspect of the last one.
func proven(count state.CrashCount, alone bool) bool {
	atStart := count.MinAge < settleTime
	if atStart && count.Crashes >= maxCrashesAtStart {
		return true
	}
	return alone && count.Crashes >= crashesNeeded(count) && len(count.Hosts) > 1
}

// crashesNeeded returns the number of crashes that prove that a task causes them. Before the last of them it starts alone.
func crashesNeeded(count state.CrashCount) int {
	if count.MinAge < settleTime {
		return crashesAtStart
	}
	return crashesLater
}

// host names what stays the same when the instance restarts.
func (in *instance) host() string { return cmp.Or(in.Machine, in.Address) }

func describeCrashes(c state.CrashCount) string {
	return fmt.Sprintf("%d instances on %d machines crashed under it, its runs at most %s old and listed for %s", c.Crashes, len(c.Hosts), rounded(c.MaxAge), rounded(c.MinAge))
}

// setCrashes replaces the count of crashes under a task.
func (s *Scheduler) setCrashes(j *job, p workload.Position, count state.CrashCount) {
	t, st := j.task(p), j.stage(p)
	was := t.suspicion() != unsuspected
	t.crashes = count
	is := t.suspicion() != unsuspected
	if was != is {
		st.suspects += boolToInt(is) - boolToInt(was)
	}
}

// inheritCrashes takes over a committed count. A run that may have been at its start counts as crashed until an instance lists it.
func (s *Scheduler) inheritCrashes(j *job, p workload.Position, count state.CrashCount) {
	if count.Pending {
		if count.Crashes == 0 {
			count.MaxAge = settleTime
		}
		count.Crashes++
		count.Pending = false
		j.task(p).assumedCrash = true
	}
	s.setCrashes(j, p, count)
	s.inheritStreak(j, p, count.Streak)
}

// withdrawAssumedCrash corrects the count of a task whose run an instance lists.
func (s *Scheduler) withdrawAssumedCrash(j *job, p workload.Position) {
	j.task(p).streak.withdrawAssumed()
	if t := j.task(p); t.assumedCrash {
		t.assumedCrash = false
		count := t.crashes
		count.Crashes--
		count.Pending = true
		s.setCrashes(j, p, count)
	}
}

// markPending commits which runs were at their start on an instance that refuses connections, so that a crash counts if this leader is lost
// before the next boot shows it.
func (s *Scheduler) markPending(in *instance) {
	if in.markedPending {
		return
	}
	in.markedPending = true
	runs := s.crashedRuns(in)
	s.markStreaksPending(in, runs)
	for _, c := range runs {
		j := s.jobs[c.task.Job]
		if j == nil || j.finished || c.minAge >= settleTime {
			continue
		}
		id := j.suspectID(c.task.Position)
		if count := j.task(id.Position).crashes; !count.Pending {
			count.Pending = true
			s.commitCrashes(j, id.Position, count)
		}
	}
}

// endPending records that the run of a task has not crashed its instance.
func (s *Scheduler) endPending(r *run) {
	p := r.job.suspectID(r.task.Position).Position
	if count := r.job.task(p).crashes; count.Pending {
		count.Pending = false
		s.commitCrashes(r.job, p, count)
	}
}

// probation is a run of a suspect that has not run for long enough to be cleared.
type probation struct {
	instance *instance
	run      *run
	probedAt time.Duration
}

// beginProbation puts the run of a suspected task on probation.
func (s *Scheduler) beginProbation(in *instance, r *run) {
	t := r.job.suspectAt(r.task.Position)
	if r.suspicion = t.suspicion(); r.suspicion == unsuspected {
		return
	}
	in.suspectRuns++
	in.loneSuspectRuns += boolToInt(r.suspicion == suspectedAlone)
	s.probations = append(s.probations, probation{instance: in, run: r, probedAt: s.now})
}

func (in *instance) endProbation(r *run) {
	if r.suspicion == unsuspected {
		return
	}
	in.suspectRuns--
	in.loneSuspectRuns -= boolToInt(r.suspicion == suspectedAlone)
	r.suspicion = unsuspected
}

// settleRuns clears the tasks whose runs have outlived the age at which the instances crashed under them. The probation of a group ends with the
// start of its runs, as nothing is known of a crash in silence but that it came within seconds.
func (s *Scheduler) settleRuns(in *instance) {
	for _, r := range in.runs {
		if r.status == statusEnded { // it may have ended at any time since it was listed last
			continue
		}
		if r.suspicion == suspectedInGroup && r.settled(in) {
			in.endProbation(r)
		}
		p := r.job.suspectID(r.task.Position).Position
		s.settleStreak(in, r, p)
		count := r.job.task(p).crashes
		if !r.reported || !r.clears(in, count) {
			continue
		}
		s.commitCrashes(r.job, p, state.CrashCount{})
		in.endProbation(r)
		if suspicionOf(count) != unsuspected {
			s.logRunDecision("task cleared", r, in, "outlived the age of the crashes")
		}
	}
}

// clears reports whether the run has outlived the age of the crashes that were counted for its task.
func (r *run) clears(in *instance, count state.CrashCount) bool {
	switch {
	case count.Crashes == 0:
		return count.Pending && r.settled(in)
	case !r.young(in):
		return true
	default:
		return r.listedFor(in) > count.MaxAge+clearMargin
	}
}

// probeSuspects requests reports that show whether the runs on probation still run.
func (s *Scheduler) probeSuspects() {
	s.probations = slices.DeleteFunc(s.probations, func(p probation) bool {
		return p.run.suspicion == unsuspected || p.instance.runs[p.run.task] != p.run
	})
	for i := range s.probations {
		if p := &s.probations[i]; p.instance.failedPolls == 0 && s.now-p.probedAt > probeInterval {
			p.probedAt = s.now
			s.pollNow(p.instance)
		}
	}
}
