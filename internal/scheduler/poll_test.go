package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestCrossedPollsKeepRun guards against a second run of one task: the report of a poll that was sent before the start was
// executed arrives after the report that lists the run, and the run must not be taken for lost.
func TestCrossedPollsKeepRun(t *testing.T) {
	for _, tc := range []struct {
		name string
		// reportsBefore is how many of the two reports arrive before the outcome of the start.
		reportsBefore int
		outcome       scheduler.Outcome
	}{
		{"accepted before both reports", 0, scheduler.Accepted},
		{"accepted between the reports", 1, scheduler.Accepted},
		{"accepted after both reports", 2, scheduler.Accepted},
		{"unanswered before both reports", 0, scheduler.Uncertain},
		{"unanswered between the reports", 1, scheduler.Uncertain},
		{"unanswered after both reports", 2, scheduler.Uncertain},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(t)
			id := f.addInstance("a", "p")
			f.advance(time.Second)
			start := submitAndTakeStart(f)
			f.scheduler.TakeDecisions()
			sentBeforeStart := f.now + time.Millisecond
			sentAfterStart := f.now + 3*time.Millisecond
			listing := scheduler.StatusReport{Running: []scheduler.ReportedRun{{Task: start.Task, Run: start.Run, Percent: 1}}}
			reportsSeen := 0
			handleOutcome := func() {
				f.now += 10 * time.Millisecond
				if reportsSeen == tc.reportsBefore {
					f.scheduler.HandleOrderOutcome(f.now, start, tc.outcome)
				}
			}
			handleReport := func(sentAt time.Duration, report scheduler.StatusReport) {
				f.now += 10 * time.Millisecond
				report.Clock = time.Minute + f.now
				f.scheduler.HandleReport(f.now, id, sentAt, report)
				reportsSeen++
			}

			handleOutcome()
			handleReport(sentAfterStart, listing)
			handleOutcome()
			handleReport(sentBeforeStart, scheduler.StatusReport{})
			handleOutcome()

			f.scheduler.Tick(f.now, f.now.Milliseconds())
			for _, d := range f.scheduler.TakeDecisions() {
				assert.Check(t, d.What != "run lost", "the run is taken for lost: %s", d.Reason)
			}
			for _, o := range f.scheduler.TakeOrders() {
				assert.Check(t, o.Kind != scheduler.Start, "the task is started again as run %d", o.Run)
			}
		})
	}
}

// TestAcknowledgementIsSentUntilItIsAnswered guards against a second run of one task (TWICE): a poll without anything new to acknowledge is carried out
// late, by the next boot under the ID, which forgets its ends up to the acknowledged number before they are read. It guards as well against an
// acknowledgement that is lost with the answer to its poll.
func TestAcknowledgementIsSentUntilItIsAnswered(t *testing.T) {
	f := newTestFleet(t)
	id := f.addInstance("a", "p")
	f.advance(time.Second)
	clock := time.Minute + f.now
	report := func(r scheduler.StatusReport) {
		clock += 10 * time.Millisecond
		f.now += 10 * time.Millisecond
		r.Clock = clock
		f.scheduler.HandleReport(f.now, id, f.now-time.Millisecond, r)
	}
	next := func() scheduler.PollRequest {
		request, ok := f.scheduler.NextPoll(f.now, id, false)
		assert.Assert(t, ok)
		return request
	}
	assert.Equal(t, next().AckedEnd, uint64(0))
	report(scheduler.StatusReport{Ended: []scheduler.ReportedEnd{{Number: 7, Ending: workload.EndedStopped}}})
	unanswered := next()
	assert.Equal(t, unanswered.AckedEnd, uint64(7))
	f.scheduler.HandlePollFailure(f.now, unanswered, scheduler.Uncertain)
	assert.Equal(t, next().AckedEnd, uint64(7), "the answer was lost")
	report(scheduler.StatusReport{Probe: true})
	assert.Equal(t, next().AckedEnd, uint64(7), "a probe acknowledges nothing")
	report(scheduler.StatusReport{AckedEnd: 7})
	assert.Equal(t, next().AckedEnd, uint64(0), "the acknowledgement was answered")
	report(scheduler.StatusReport{Ended: []scheduler.ReportedEnd{{Number: 9, Ending: workload.EndedStopped}}})
	assert.Equal(t, next().AckedEnd, uint64(9))
}
