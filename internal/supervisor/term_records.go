package supervisor

import (
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// settleReservations charges the jobs, waves and instances that there are.
func (t *term) settleReservations(s *state.State) {
	settleInstances(t.instanceRoom, s.Workload.Enrolled, t.scheduler.KnowsInstance)
	settleWaves(t.waveRoom, s.Workload.Waves)
	settleJobs(t.jobRoom, s.Workload.Jobs, t.scheduler.HoldsJob, func(id workload.JobID) bool { return t.jobQueue.find(id) != nil })
}

// commitAsync commits a command and calls callback in the loop with the outcome, without a timeout.
func (t *term) commitAsync(c state.Command, callback func(reply state.Reply, err error)) {
	t.spawn(func() {
		replies, errs := t.commitAll([]state.Command{c})
		t.post(func() { callback(replies[0], errs[0]) })
	})
}

// commitEnds commits the ends of runs, one batch at a time so that the ends of each instance are acknowledged in order.
func (t *term) commitEnds() {
	if t.committingEnds {
		return
	}
	ends, failed, batch := t.scheduler.TakeEnds()
	if batch == 0 {
		return
	}
	t.committingEnds = true
	takenAt := monotonicNow()
	completed := t.scheduler.TakeCompleted()
	crashes := t.scheduler.TakeCrashes()
	for _, id := range failed {
		event.JobFailed.Info(t.options.Logger, zap.String("job", string(id)))
	}
	t.commitAsync(state.RecordRunEnds{Ends: ends, Failed: failed, Crashes: crashes, At: state.Timestamp(wallMillis())}, func(_ state.Reply, err error) {
		if err != nil {
			t.cancel()
			return
		}
		t.committingEnds = false
		t.pollPacer.commitDelay.observe(monotonicNow(), monotonicNow()-takenAt)
		t.scheduler.ConfirmEnds(batch)
		for _, c := range completed {
			event.JobCompleted.Info(t.options.Logger, zap.String("job", string(c.Job)), zap.Duration("took", c.Elapsed))
		}
	})
}

// releaseJobs deletes the records of jobs whose retention is over, and compares the others with the scheduler.
func (t *term) releaseJobs(now time.Duration) {
	if now-t.lastRelease < jobReleaseInterval {
		return
	}
	t.lastRelease = now
	var jobs, active []workload.JobID
	var over map[workload.JobID]bool
	var waves []uint64
	cutoff := state.Timestamp(wallMillis() - t.options.JobRetention.Milliseconds())
	t.options.Replica.View(func(s *state.State) {
		for id, r := range s.Workload.Jobs {
			if r.Active() {
				active = append(active, id)
			} else if r.FinishedAt < cutoff {
				jobs = append(jobs, id)
			}
		}
		t.settleReservations(s)
		waves = oldWaves(s.Workload.Waves, state.Timestamp(wallMillis()))
		over = t.unfinishedButOver(s)
		t.refreshDrains(s)
	})
	t.restateDrains(now)
	t.reportMismatches(t.findMismatches(active, over))
	t.releaseWaves(waves)
	if len(jobs) > 0 {
		t.commitAsync(state.DeleteJobs{Jobs: jobs}, func(state.Reply, error) {})
	}
}
