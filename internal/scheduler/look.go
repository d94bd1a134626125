package scheduler

import (
	"slices"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Inquiry is how to look at an instance.
type Inquiry struct {
	Instance fleet.InstanceID
	Address  string
	Fence    uint64
	// Cursor is the highest end that is committed.
	Cursor uint64
	// Deadline extends the lease; zero leaves it as it is.
	Deadline time.Duration
	Wait     time.Duration
}

// Look is what an instance says of its runs.
type Look struct {
	Boot    int64
	Clock   time.Duration
	Running []Row
	Ended   []EndRow
}

// Row is one run that an instance lists.
type Row struct {
	Task    workload.TaskID
	Run     workload.Run
	Saved   string
	Percent int
	// Tail is the tail latency of a serving task in milliseconds.
	Tail int
}

// EndRow is one end that an instance lists.
type EndRow struct {
	Number uint64
	Task   workload.TaskID
	Run    workload.Run
	How    workload.Ending
	Saved  string
}

// Inquire returns how to look at an instance next; ok is false when it is no longer followed.
func (s *Scheduler) Inquire(now time.Duration, id fleet.InstanceID, wait bool) (Inquiry, bool) {
	s.now = now
	in := s.instances[id]
	if in == nil || !in.enrolled {
		return Inquiry{}, false
	}
	in.advanceCursor(s.committed)
	q := Inquiry{Instance: id, Address: in.Address, Fence: s.options.Fence, Cursor: in.cursor}
	if in.clock > 0 && in.misses == 0 {
		q.Deadline = s.deadline(in)
	}
	if wait && in.looked && in.misses == 0 {
		q.Wait = s.patience(in)
	}
	return q, true
}

// patience returns how long a look may wait for an end.
func (s *Scheduler) patience(in *instance) time.Duration {
	for _, r := range in.runs {
		st := r.job.step(r.task.Place)
		if !st.Standing || r.percent < 100 || r.progress != running || r.stopping {
			return quickLook
		}
	}
	if len(in.marks) > 0 {
		return 0
	}
	return slowLook
}

// advanceCursor moves the cursor over ends whose commit is done.
func (in *instance) advanceCursor(committed uint64) {
	for len(in.marks) > 0 && in.marks[0].batch <= committed {
		in.cursor = in.marks[0].number
		in.marks = in.marks[1:]
	}
}

// Looked takes the answer to a look that was sent at a moment.
func (s *Scheduler) Looked(now time.Duration, id fleet.InstanceID, sent time.Duration, l Look) {
	s.now = now
	in := s.instances[id]
	if in == nil {
		return
	}
	if l.Boot != 0 && in.Boot != 0 && l.Boot != in.Boot {
		s.reborn(in, l.Boot)
		return
	}
	in.heard = now
	in.clock = l.Clock
	in.misses = 0
	first := !in.looked
	in.looked = true
	s.takeEnds(in, l.Ended)
	s.takeRows(in, l.Running, sent)
	s.dropMissing(in, l, sent)
	if first {
		in.inherited = false
		delete(s.unsettled, id)
	}
	s.reopen(in)
	s.pace(in)
}

// reborn starts a new book for an instance that started again under its id.
func (s *Scheduler) reborn(in *instance, boot int64) {
	if boot < in.Boot {
		return
	}
	s.dropRuns(in, "born again")
	delete(s.unsettled, in.ID)
	next := in.Instance
	next.Boot = boot
	next.Sequence = 0
	next.Clock = 0
	s.addInstance(next).enrolled = true
}

func (s *Scheduler) takeEnds(in *instance, rows []EndRow) {
	for _, e := range rows {
		if e.Number <= in.seen || e.Number <= in.cursor {
			continue
		}
		in.seen = e.Number
		batch := uint64(0)
		if s.takeEnd(in, e) {
			batch = s.batch + 1
		}
		in.marks = append(in.marks, mark{number: e.Number, batch: batch})
	}
}

// takeEnd handles one end and reports whether it must be committed.
func (s *Scheduler) takeEnd(in *instance, e EndRow) bool {
	r := in.runs[e.Task]
	if r != nil && r.number != e.Run {
		r = nil
	}
	j := s.jobs[e.Task.Job]
	if r != nil {
		if e.Saved != "" {
			r.saved = e.Saved
		}
		s.decisions = append(s.decisions, Decision{What: "run ended", Task: e.Task, Run: e.Run, Instance: in.ID, Reason: string(e.How)})
	}
	if r != nil {
		s.detach(in, r)
	}
	commit := false
	switch {
	case j == nil || !j.holds(e.Task.Place):
	case e.How == workload.EndedDone && !j.step(e.Task.Place).Standing:
		commit = s.takeDone(j, e)
	case e.How == workload.EndedFailed:
		commit = s.takeFailure(in, j, e)
	}
	return commit
}

func (s *Scheduler) takeDone(j *job, e EndRow) bool {
	if j.task(e.Task.Place).done {
		return false
	}
	places := []workload.Place{e.Task.Place}
	if j.step(e.Task.Place).Gang {
		places = j.gang(e.Task.Place)
	}
	for _, p := range places {
		s.markDone(j, p)
		s.ends = append(s.ends, state.End{Task: workload.TaskID{Job: j.ID, Place: p}, Run: e.Run})
		if t := j.task(p); t.run != nil && t.run.number != e.Run {
			s.stop(t.on, t.run, "done elsewhere")
		}
	}
	if j.left == 0 {
		s.completed = append(s.completed, Completed{Job: j.ID, Took: s.now - j.at})
		s.end(j, "completed")
	}
	return true
}

// gang returns the places of all tasks of the step.
func (j *job) gang(p workload.Place) []workload.Place {
	list := make([]workload.Place, j.step(p).Count)
	for i := range list {
		list[i] = workload.At(p.Occurrence(), p.Step(), i)
	}
	return list
}

func (s *Scheduler) takeFailure(in *instance, j *job, e EndRow) bool {
	t := j.task(e.Task.Place)
	if t.done || slices.Contains(t.failures, e.Run) {
		return false
	}
	in.faults++
	step := j.step(e.Task.Place)
	if step.Standing {
		return false
	}
	t.failures = append(t.failures, e.Run)
	s.ends = append(s.ends, state.End{Task: e.Task, Run: e.Run, Failed: true})
	if j.failures(e.Task.Place) >= j.attempts && !j.over {
		s.failed = append(s.failed, j.ID)
		s.end(j, "failed")
	}
	return true
}

// failures counts the failed runs of a task, or of its whole gang.
func (j *job) failures(p workload.Place) int {
	if !j.step(p).Gang {
		return len(j.task(p).failures)
	}
	runs := map[workload.Run]bool{}
	for _, q := range j.gang(p) {
		for _, r := range j.task(q).failures {
			runs[r] = true
		}
	}
	return len(runs)
}

func (s *Scheduler) takeRows(in *instance, rows []Row, sent time.Duration) {
	in.strayed = false
	for _, row := range rows {
		r := in.runs[row.Task]
		if r == nil || r.number != row.Run {
			if r = s.adopt(in, row); r == nil {
				continue
			}
		}
		if r.progress != running {
			r.progress = running
			r.settled = min(r.settled, sent)
		}
		s.update(in, r, row)
	}
}

func (s *Scheduler) update(in *instance, r *run, row Row) {
	if row.Saved != "" {
		r.saved = row.Saved
	}
	if row.Percent != r.percent || !r.begun {
		r.moved = s.now
		r.begun = true
	}
	r.percent = row.Percent
	r.tail = row.Tail
	if r.stopping && s.now-r.stopSent > retryPause && s.now-r.stopped > retryPause {
		s.sendStop(in, r)
	}
}

// adopt takes over a run that an earlier leader started or that started late; one that its task does not need is stopped,
// and takes room until it has ended.
func (s *Scheduler) adopt(in *instance, row Row) *run {
	j := s.jobs[row.Task.Job]
	if j != nil && j.holds(row.Task.Place) && in.runs[row.Task] == nil {
		t := j.task(row.Task.Place)
		needed := !j.over && !t.done && t.run == nil
		r := &run{
			task: row.Task, number: row.Run, job: j, progress: running, claim: j.step(row.Task.Place).Claim(),
			since: s.now, settled: s.now, moved: s.now, pace: 100,
		}
		s.attach(in, r)
		s.note("run adopted", r, in, "seen running")
		if !needed {
			s.stop(in, r, "not needed")
		}
		return r
	}
	in.strayed = true
	key := stray{task: row.Task, number: row.Run}
	if last, sent := in.strays[key]; sent && s.now-last < retryPause {
		return nil
	}
	in.strays[key] = s.now
	s.orders = append(s.orders, Order{Kind: Stop, Instance: in.ID, Address: in.Address, Task: row.Task, Run: row.Run, Fence: s.options.Fence, Reason: "not needed"})
	return nil
}

// dropMissing ends the books of runs that the instance no longer lists.
func (s *Scheduler) dropMissing(in *instance, l Look, sent time.Duration) {
	listed := make(map[stray]bool, len(l.Running))
	for _, row := range l.Running {
		listed[stray{row.Task, row.Run}] = true
	}
	for _, r := range in.runs {
		if listed[stray{r.task, r.number}] {
			continue
		}
		if r.progress == unsure && !r.stopping && r.settled < sent {
			s.sendStop(in, r) // bars the start, which may yet be carried out
			continue
		}
		gone := r.progress == running && r.settled < sent || r.stopped > 0 && r.stopped < sent
		if gone {
			s.note("run lost", r, in, "not listed")
			s.detach(in, r)
		}
	}
}

// Missed records that a look had no answer.
func (s *Scheduler) Missed(now time.Duration, id fleet.InstanceID, o Outcome) {
	s.now = now
	in := s.instances[id]
	if in == nil {
		return
	}
	in.misses++
	s.close(in)
	switch {
	case o == Fenced:
		s.superseded = true
	case o == Mismatched, o == Refused && in.departed:
		s.kill(in, o.String())
	}
}
