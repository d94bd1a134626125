package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// inheritStreak takes over a committed streak. A pending crash counts until an instance lists the run.
func (s *Scheduler) inheritStreak(j *job, p workload.Position, record *state.CrashStreak) {
	if record == nil {
		return
	}
	k := &streak{record: *record, events: make([]*recordedCrash, len(record.Crashes)), inherited: record.Exposure > 0, inheritedRate: record.Rate}
	if pending := record.Pending; pending != nil {
		k.append(*pending, nil)
		k.assumed = true
	}
	j.task(p).streak = k
	h := s.crashesOf(j.pool)
	h.inheritRate(record.Rate, record.Exposure)
	delay := k.delay(h)
	if record.HeldUntil > 0 && !k.assumed { // the clock of this leader may differ
		left := time.Duration(int64(record.HeldUntil)-s.wallMillis) * time.Millisecond
		delay = min(delay, max(0, left))
	}
	k.heldUntil = s.now + delay
}

// streakSuspect is a run on an instance that crashed.
type streakSuspect struct {
	job  *job
	id   workload.TaskID
	task *task
	run  workload.Run
	age  time.Duration
	// hazard is the rate at which the run explains a crash.
	hazard float64
}

// streakSuspects returns the runs that may have crashed an instance, a gang as one.
func (s *Scheduler) streakSuspects(h *crashHistory, runs []crashedRun) []streakSuspect {
	var list []streakSuspect
	for _, c := range runs {
		j := s.jobs[c.task.Job]
		if j == nil || j.finished || j.task(c.task.Position).done {
			continue
		}
		id := j.suspectID(c.task.Position)
		t := j.task(id.Position)
		counted := t.streak != nil && t.streak.run == c.run
		if counted || slices.ContainsFunc(list, func(o streakSuspect) bool { return o.task == t }) {
			continue
		}
		age := c.maxAge
		if c.adopted {
			age += adoptedAge
		}
		list = append(list, streakSuspect{job: j, id: id, task: t, run: c.run, age: age, hazard: t.streak.probability(h, -1) * crashDensity(age)})
	}
	return list
}

// streakCrashes returns the crash of an instance as it is recorded for each of the suspects, and begins the streaks of those that have none.
func (s *Scheduler) streakCrashes(in *instance, h *crashHistory, list []streakSuspect) []state.StreakCrash {
	total := 0.0
	for _, c := range list {
		total += c.hazard
	}
	crashes := make([]state.StreakCrash, len(list))
	for i, c := range list {
		if c.task.streak == nil {
			c.task.streak = &streak{}
		}
		crashes[i] = state.StreakCrash{Age: c.age, Hazard: total - c.hazard + h.hostRate(s.now, in.host(), c.task.streak), Host: in.host()}
	}
	return crashes
}

// extendStreaks adds a crash to the streaks of the tasks that the instance ran, and gives up those that it proves to cause them.
//
// The crash of an instance of which this leader does not know what it ran is left out: it is pending in the streaks of its tasks.
func (s *Scheduler) extendStreaks(in *instance, runs []crashedRun) {
	if !in.polled && len(runs) == 0 {
		return
	}
	h := s.crashesOf(in.Pool)
	list := s.streakSuspects(h, runs)
	crashes := s.streakCrashes(in, h, list)
	event := h.record(s.now, in.host(), s.poolSizes[in.Pool])
	for i, c := range list {
		k := c.task.streak
		k.append(crashes[i], event)
		k.run = c.run
		event.suspects = append(event.suspects, crashSuspect{streak: k, age: c.age})
	}
	h.explain()
	for _, c := range list {
		s.judge(h, in, c)
	}
}

// judge commits the streak of a task after a crash, and gives the task up or delays its next start if the evidence suffices.
func (s *Scheduler) judge(h *crashHistory, in *instance, c streakSuspect) {
	k := c.task.streak
	k.record.Rate, k.record.Exposure = h.rateWithout(k), h.observed()
	delay := k.delay(h)
	k.heldUntil = s.now + delay
	k.record.HeldUntil = state.Timestamp(s.wallMillis + delay.Milliseconds())
	s.commitCrashes(c.job, c.id.Position, c.task.crashes)
	d := Decision{What: "task set apart", Task: c.id, Run: c.run, Instance: in.ID, Machine: in.Machine, Reason: k.describe(h)}
	if k.proves(h) {
		k.proven = true
		s.giveUp(c.job, d)
		return
	}
	if delay > 0 {
		d.Reason += fmt.Sprintf("; starts again after %s", delay)
		s.decisions = append(s.decisions, d)
	}
}

// heldBack reports whether a task must not start yet after a crash. It gives up a task if the last crash that proves its guilt was pending under
// an earlier leader.
func (s *Scheduler) heldBack(c *candidate, index int) bool {
	t := &c.stage.tasks[index]
	k := t.streak
	switch {
	case c.job.finished || t.heldFor > s.committedBatch:
		return true
	case k == nil:
		return false
	}
	h := s.crashesOf(c.job.pool)
	if !k.assumed || !k.proves(h) {
		return s.now < k.heldUntil
	}
	k.proven = true
	id := workload.TaskID{Job: c.job.ID, Position: workload.NewPosition(c.occurrence, c.stage.stepIndex, index)}
	s.giveUp(c.job, Decision{Task: id, Reason: k.describe(h) + "; the last under an earlier leader"})
	return true
}

// markStreaksPending commits the crash that a later leader counts for the runs of an instance that refuses connections, if this leader is lost
// before the next boot shows the crash.
func (s *Scheduler) markStreaksPending(in *instance, runs []crashedRun) {
	h := s.crashesOf(in.Pool)
	list := s.streakSuspects(h, runs)
	for i, crash := range s.streakCrashes(in, h, list) {
		list[i].task.streak.record.Pending = &crash
		s.commitCrashes(list[i].job, list[i].id.Position, list[i].task.crashes)
	}
}

// settleStreak withdraws the pending crash of a task of which a run is listed, and ends the streak if the run has lived long enough.
func (s *Scheduler) settleStreak(in *instance, r *run, p workload.Position) {
	t := r.job.task(p)
	k := t.streak
	switch {
	case !r.reported || k == nil && r.streakLevel == 0:
		return
	case k == nil: // another member of the gang has ended the streak
		in.countStreak(r, 0)
		return
	case r.listedFor(in) > k.timeToEnd() || k.crashes() == 0:
		k.ended = true
		t.streak = nil
		in.countStreak(r, 0)
	case k.record.Pending != nil:
		k.record.Pending = nil
	default:
		return
	}
	s.commitCrashes(r.job, p, t.crashes)
}
