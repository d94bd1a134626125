package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// PollRequest describes the next poll of an instance.
type PollRequest struct {
	Instance fleet.InstanceID `cbor:"1,keyasint"`
	Address  string           `cbor:"2,keyasint"`
	Fence    uint64           `cbor:"3,keyasint"`
	// AckedEnd acknowledges the ends up to this number; their handling is committed. It is zero if the instance has answered a poll with it.
	AckedEnd uint64 `cbor:"4,keyasint,omitempty"`
	// Deadline extends the lease, on the clock of the instance; zero leaves it unchanged.
	Deadline time.Duration `cbor:"5,keyasint,omitempty"`
	// Wait is how long the instance may hold the response until a run ends.
	Wait time.Duration `cbor:"6,keyasint,omitempty"`
	// Timeout is how long the sender waits for the response of the instance.
	Timeout time.Duration `cbor:"7,keyasint,omitempty"`
	// DataCentre is where the instance is.
	DataCentre fleet.DataCentreID `cbor:"-"`
	// Boot is the one for which AckedEnd and Deadline are. It is not on the wire, so that its next boot may answer.
	Boot int64 `cbor:"8,keyasint,omitempty"`
}

// NextPoll returns the next poll request for an instance, or false if the instance is not enrolled. Without wait the
// instance responds immediately.
func (s *Scheduler) NextPoll(now time.Duration, id fleet.InstanceID, wait bool) (PollRequest, bool) {
	s.now = now
	in := s.instances.byID[id]
	if in == nil || !in.enrolled {
		return PollRequest{}, false
	}
	in.advanceAckedEnd(s.committedBatch)
	request := PollRequest{Instance: id, Boot: in.Boot, Address: in.Address, DataCentre: in.DataCentre, Fence: s.options.Fence}
	if in.ackedEnd > in.confirmedAck {
		// Not repeated once it is answered: a poll may be carried out late, by the next boot, which numbers its ends anew.
		request.AckedEnd = in.ackedEnd
	}
	if in.clock > 0 && in.failedPolls == 0 {
		request.Deadline = s.nextDeadline(in)
	}
	if wait && in.polled && in.failedPolls == 0 {
		request.Wait = s.pollWait(in)
	}
	return request, true
}

// PollNeed is what the next poll of an instance is for.
type PollNeed uint8

// Needs for a poll, the most urgent first.
const (
	// PollToReconcile shows whether runs of unknown status exist; it must not wait.
	PollToReconcile PollNeed = iota + 1
	// PollForEnds brings the ends of runs, shows whether tasks advance and extends their leases.
	PollForEnds
	// PollAfterCommit acknowledges ends that are being committed; before that, the response lists the same ends without waiting.
	PollAfterCommit
	// PollWhenIdle shows that an instance without runs responds.
	PollWhenIdle
)

// PollNeed returns what the next poll of an instance is for.
func (s *Scheduler) PollNeed(id fleet.InstanceID) PollNeed {
	in := s.instances.byID[id]
	if in == nil || !in.polled || in.failedPolls > 0 || in.hasOrphans {
		return PollToReconcile
	}
	need := PollWhenIdle
	for _, r := range in.runs {
		if r.status == statusUncertain || r.stopping {
			return PollToReconcile
		}
		need = PollForEnds
	}
	if n := len(in.pendingEnds); n > 0 && in.pendingEnds[n-1].batch > s.committedBatch {
		return PollAfterCommit
	}
	return need
}

// pollWait returns how long the instance may hold its response.
func (s *Scheduler) pollWait(in *instance) time.Duration {
	for _, r := range in.runs {
		step := r.job.step(r.task.Position)
		if !step.Service || r.percent < 100 || r.status != statusRunning || r.stopping {
			return shortPollWait
		}
	}
	if len(in.pendingEnds) > 0 {
		return 0
	}
	return longPollWait
}

// advanceAckedEnd acknowledges the ends whose batches are committed.
func (in *instance) advanceAckedEnd(committed uint64) {
	for len(in.pendingEnds) > 0 && in.pendingEnds[0].batch <= committed {
		in.ackedEnd = in.pendingEnds[0].number
		in.pendingEnds = in.pendingEnds[1:]
	}
}

// HandleReport processes the response to a poll that was sent at sentAt. Responses may overtake each other: one from before
// the latest report shows nothing that is still valid.
func (s *Scheduler) HandleReport(now time.Duration, id fleet.InstanceID, sentAt time.Duration, report StatusReport) {
	s.now = now
	in := s.instances.byID[id]
	if in == nil {
		return
	}
	if report.Boot != 0 && in.Boot != 0 && report.Boot != in.Boot {
		s.replaceRestarted(in, report)
		return
	}
	in.confirmedAck = max(in.confirmedAck, report.AckedEnd)
	if report.Clock < in.reportedAt {
		return
	}
	in.clockReadAt = cmp.Or(report.ReceivedAt, now)
	in.timeReport(sentAt, report.Clock)
	in.reportedAt = report.Clock
	in.clock = report.Clock
	in.failedPolls, in.failingSince = 0, 0
	in.moreEnds = report.MoreEnds
	firstReport := !in.polled && !in.moreEnds
	in.polled = in.polled || firstReport
	in.expiredRuns, in.markedPending = nil, false
	s.handleEnds(in, report.Ended)
	s.handleRuns(in, report.Running)
	s.dropUnlistedRuns(in, report, sentAt)
	s.settleRuns(in)
	if firstReport {
		in.inherited = false
		delete(s.unreconciled, id)
	}
	s.uncordon(in)
	s.updateThrottle(in)
}

// replaceRestarted replaces the state of an instance that restarted under the same ID. Its next announcement enrols the boot;
// until then the committed state has the earlier one, so that a later leader polls the instance too.
func (s *Scheduler) replaceRestarted(in *instance, report StatusReport) {
	if report.Boot < in.Boot {
		return
	}
	restarted := in.Instance
	restarted.Boot = report.Boot
	restarted.Sequence = 0
	restarted.Clock = 0
	replacement := s.replaceBoot(in, restarted, report.Clock)
	replacement.enrolled = in.enrolled
	replacement.bootUncommitted = in.enrolled
}

func (s *Scheduler) handleEnds(in *instance, ends []ReportedEnd) {
	for _, e := range ends {
		if e.Number <= in.lastEndNumber || e.Number <= in.ackedEnd {
			continue
		}
		in.lastEndNumber = e.Number
		batch := uint64(0)
		if s.handleEnd(in, e) {
			batch = s.lastBatch + 1
		}
		in.pendingEnds = append(in.pendingEnds, pendingEnd{number: e.Number, batch: batch})
	}
}

// handleEnd processes one ended run and reports whether the end must be committed.
func (s *Scheduler) handleEnd(in *instance, e ReportedEnd) bool {
	r := in.runs[e.Task]
	if r != nil && r.number != e.Run {
		r = nil
	}
	j := s.jobs[e.Task.Job]
	if r != nil {
		if e.Checkpoint != "" {
			r.checkpoint = e.Checkpoint
		}
		s.decisions = append(s.decisions, Decision{What: "run ended", Task: e.Task, Run: e.Run, Instance: in.ID, Reason: string(e.Ending)})
	}
	if r != nil {
		s.observeEnd(in, r, e.Ending)
		s.detachRun(in, r)
		s.endPending(r)
	}
	mustCommit := false
	switch {
	case j == nil || !j.hasTask(e.Task.Position):
	case e.Ending == workload.EndedDone && !j.step(e.Task.Position).Service:
		mustCommit = s.handleDone(j, e)
	case e.Ending == workload.EndedFailed:
		mustCommit = s.handleFailure(in, j, e)
	}
	return mustCommit
}

func (s *Scheduler) handleDone(j *job, e ReportedEnd) bool {
	if j.task(e.Task.Position).done {
		return false
	}
	positions := []workload.Position{e.Task.Position}
	if j.step(e.Task.Position).Gang {
		positions = j.gangPositions(e.Task.Position)
	}
	for _, p := range positions {
		s.markDone(j, p)
		s.ends = append(s.ends, state.RunEnd{Task: workload.TaskID{Job: j.ID, Position: p}, Run: e.Run})
		if t := j.task(p); t.run != nil && t.run.number != e.Run {
			s.stopRun(t.instance, t.run, "another run completed the task")
		}
	}
	if j.tasksLeft == 0 {
		s.completedJobs = append(s.completedJobs, CompletedJob{Job: j.ID, Elapsed: s.now - j.acceptedAt})
		s.finishJob(j, "completed")
	}
	return true
}

// gangPositions returns the positions of all tasks of the step.
func (j *job) gangPositions(p workload.Position) []workload.Position {
	list := make([]workload.Position, j.step(p).Count)
	for i := range list {
		list[i] = workload.NewPosition(p.Occurrence(), p.Step(), i)
	}
	return list
}

func (s *Scheduler) handleFailure(in *instance, j *job, e ReportedEnd) bool {
	t := j.task(e.Task.Position)
	if t.done || slices.Contains(t.failedRuns, e.Run) {
		return false
	}
	in.recentFailures++
	step := j.step(e.Task.Position)
	if step.Service {
		return false
	}
	t.failedRuns = append(t.failedRuns, e.Run)
	s.ends = append(s.ends, state.RunEnd{Task: e.Task, Run: e.Run, Failed: true})
	if j.failedAttempts(e.Task.Position) >= j.maxAttempts && !j.finished {
		s.failedJobs = append(s.failedJobs, j.ID)
		s.finishJob(j, "failed")
	}
	return true
}

// failedAttempts returns the number of failed runs of a task or of its whole gang.
func (j *job) failedAttempts(p workload.Position) int {
	if !j.step(p).Gang {
		return len(j.task(p).failedRuns)
	}
	runs := map[workload.Run]bool{}
	for _, q := range j.gangPositions(p) {
		for _, r := range j.task(q).failedRuns {
			runs[r] = true
		}
	}
	return len(runs)
}

func (s *Scheduler) handleRuns(in *instance, runs []ReportedRun) {
	in.hasOrphans = false
	for _, reported := range runs {
		r := in.runs[reported.Task]
		if r == nil || r.number != reported.Run {
			if r = s.adoptRun(in, reported); r == nil {
				continue
			}
		}
		if r.status != statusRunning {
			r.status = statusRunning
			r.startOutcomeAt = s.now
			r.markStarted(in.reportReceivedAt)
		}
		s.updateRun(in, r, reported)
	}
}

func (s *Scheduler) updateRun(in *instance, r *run, reported ReportedRun) {
	if reported.Checkpoint != "" {
		r.checkpoint = reported.Checkpoint
	}
	if !r.reported {
		r.listedAt, r.listedPercent = in.reportedAt, reported.Percent
	}
	progressed := reported.Percent != r.percent || !r.reported
	if progressed {
		r.progressedAt = in.reportedAt
		r.reported = true
	}
	r.percent = reported.Percent
	if progressed {
		s.observeProgress(in, r)
	}
	r.tailMillis = reported.TailMillis
	if r.stopping && s.now-r.stopSentAt > orderRetryInterval && s.now-r.stopAckedAt > orderRetryInterval {
		s.sendStop(in, r)
	}
}

// adoptRun takes over a listed run that an earlier leader started or whose start was executed late. A run that its task
// does not need is stopped and occupies capacity until it ends. For an orphaned run it orders a stop and returns nil.
func (s *Scheduler) adoptRun(in *instance, reported ReportedRun) *run {
	j := s.jobs[reported.Task.Job]
	if j != nil && j.hasTask(reported.Task.Position) && in.runs[reported.Task] == nil {
		t := j.task(reported.Task.Position)
		needed := !j.finished && !t.done && t.run == nil
		s.withdrawAssumedCrash(j, j.suspectID(reported.Task.Position).Position)
		r := &run{
			task: reported.Task, number: reported.Run, job: j, status: statusRunning, claim: j.step(reported.Task.Position).Claim(),
			orderedAt: s.now, startOutcomeAt: s.now, throttlePercent: throttleUnset, adopted: true,
		}
		s.attachRun(in, r)
		s.logRunDecision("run adopted", r, in, "listed by the instance")
		if !needed {
			s.stopRun(in, r, "task needs no run")
		}
		return r
	}
	in.hasOrphans = true
	key := runKey{task: reported.Task, number: reported.Run}
	if last, sent := in.orphans[key]; sent && s.now-last < orderRetryInterval {
		return nil
	}
	in.orphans[key] = s.now
	s.orders = append(s.orders, Order{Kind: Stop, Instance: in.ID, Boot: in.Boot, Address: in.Address, Task: reported.Task, Run: reported.Run, Fence: s.options.Fence, Reason: "task needs no run"})
	return nil
}

// dropUnlistedRuns removes runs that the instance no longer lists. Only reports of polls that were sent after the outcome of
// the start or stop was known, or after the run was first listed, show that a run is gone. If the instance has more ends than the report,
// theirs may be among them: they are kept until a report shows how they ended.
func (s *Scheduler) dropUnlistedRuns(in *instance, report StatusReport, sentAt time.Duration) {
	listed := make(map[runKey]bool, len(report.Running))
	for _, reported := range report.Running {
		listed[runKey{reported.Task, reported.Run}] = true
	}
	for _, r := range in.runs {
		if listed[runKey{r.task, r.number}] {
			continue
		}
		if r.status == statusUncertain && !r.stopping && r.startOutcomeAt < sentAt {
			s.sendStop(in, r) // prevents the start, which may still be executed
			continue
		}
		known := r.status == statusRunning || r.status == statusEnded
		ended := known && r.startOutcomeAt < sentAt || r.stopAckedAt > 0 && r.stopAckedAt < sentAt
		switch {
		case !ended:
		case report.MoreEnds:
			r.status = statusEnded
		default:
			s.logRunDecision("run lost", r, in, "not listed"+s.describeAge(in, r))
			s.detachRun(in, r)
		}
	}
}
