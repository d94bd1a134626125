package supervisor

import (
	"slices"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// maxMismatchIDs is the number of jobs that a line about mismatches names.
const maxMismatchIDs = 5

// mismatch is a difference between the committed state and the scheduler.
type mismatch string

// Differences between the committed state and the scheduler, as logs name them.
const (
	mismatchUnknown   mismatch = "active, unknown to the scheduler"
	mismatchFinished  mismatch = "active, finished in the scheduler"
	mismatchCancelled mismatch = "cancelled, unfinished in the scheduler"
	mismatchOver      mismatch = "over, unfinished in the scheduler"
)

var mismatches = []mismatch{mismatchUnknown, mismatchFinished, mismatchCancelled, mismatchOver}

// findMismatches compares the scheduler with the jobs that are active in the committed state; over tells for the jobs that
// are unfinished in the scheduler but not active whether they were cancelled.
func (t *term) findMismatches(active []workload.JobID, over map[workload.JobID]bool) map[workload.JobID]mismatch {
	found := map[workload.JobID]mismatch{}
	for _, id := range active {
		switch known, finished := t.scheduler.JobKnown(id); {
		case !known:
			found[id] = mismatchUnknown
		case finished:
			found[id] = mismatchFinished
		}
	}
	for id, cancelled := range over {
		found[id] = mismatchOver
		if cancelled {
			found[id] = mismatchCancelled
		}
	}
	return found
}

// unfinishedButOver returns the jobs that are unfinished in the scheduler but not active in the committed state, and whether
// each was cancelled.
func (t *term) unfinishedButOver(s *state.State) map[workload.JobID]bool {
	over := map[workload.JobID]bool{}
	for id := range t.scheduler.UnfinishedJobs() {
		if r := s.Workload.Jobs[id]; r == nil || !r.Active() {
			over[id] = r != nil && r.Cancelled
		}
	}
	return over
}

// reportMismatches logs and counts the differences that were also found by the previous check: in a single check a commit
// may still be waiting for its callback.
func (t *term) reportMismatches(found map[workload.JobID]mismatch) {
	lasting := map[mismatch][]string{}
	for id, m := range found {
		if t.mismatched[id] == m {
			lasting[m] = append(lasting[m], string(id))
		}
	}
	t.mismatched = found
	for _, m := range mismatches {
		ids := lasting[m]
		t.instruments.mismatches[m].Update(int64(len(ids)))
		if len(ids) == 0 {
			continue
		}
		slices.Sort(ids)
		event.JobsMismatched.Warn(t.options.Logger, zap.Uint64("term", t.number), zap.String("what", string(m)),
			zap.Int("count", len(ids)), zap.Strings("jobs", ids[:min(len(ids), maxMismatchIDs)]))
	}
}
