package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// TestPauseBetweenPolls guards against polls that take the processor time that control messages need, and against a pace that delays what
// must not wait. Each case names its load pattern.
func TestPauseBetweenPolls(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		load                   string
		loopDelay, commitDelay time.Duration
		need                   scheduler.PollNeed
		elapsed, want          time.Duration
	}{
		{"idle leader, short tasks", 200 * time.Microsecond, 15 * ms, scheduler.PollForEnds, 5 * ms, 75 * ms},
		{"idle leader, long poll without an end", 200 * time.Microsecond, 15 * ms, scheduler.PollForEnds, 700 * ms, 0},
		{"idle leader, ends being committed", 200 * time.Microsecond, 15 * ms, scheduler.PollAfterCommit, 5 * ms, 75 * ms},
		{"idle leader, service tasks at work", 0, 15 * ms, scheduler.PollForEnds, 2 * time.Second, 0},
		{"idle leader, empty instance", 0, 15 * ms, scheduler.PollWhenIdle, 2 * time.Second, 0},
		{"beginning turn, empty instances give way first", ms, 20 * ms, scheduler.PollWhenIdle, 2 * time.Second, 200 * ms},
		{"beginning turn, ends as before", ms, 20 * ms, scheduler.PollForEnds, 5 * ms, 75 * ms},
		{"turn, short tasks", 3 * ms, 100 * ms, scheduler.PollForEnds, 5 * ms, 235 * ms},
		{"turn, short tasks, the poll took longer than the pace", 3 * ms, 100 * ms, scheduler.PollForEnds, 300 * ms, 0},
		{"overloaded leader, short tasks", 30 * ms, 400 * ms, scheduler.PollForEnds, 5 * ms, 395 * ms},
		{"slow commits on a leader that is not loaded", 0, 250 * ms, scheduler.PollAfterCommit, 5 * ms, 245 * ms},
		{"no majority", 0, time.Minute, scheduler.PollAfterCommit, 5 * ms, 395 * ms},
		{"overloaded leader, service tasks at work", time.Second, time.Second, scheduler.PollForEnds, 2 * time.Second, 0},
		{"overloaded leader, empty instance", time.Second, time.Second, scheduler.PollWhenIdle, 2 * time.Second, time.Second},
		{"overloaded leader, uncertain start", time.Second, time.Second, scheduler.PollToReconcile, 5 * ms, 75 * ms},
		{"overloaded leader after a change of leader", time.Second, time.Second, scheduler.PollToReconcile, 700 * ms, 0},
	} {
		p := pollPacer{limits: defaultPollLimits, loopDelay: average{value: c.loopDelay}, commitDelay: average{value: c.commitDelay}}
		assert.Equal(t, p.pause(c.need, c.elapsed), c.want, c.load)
	}
}

// TestRenewalsFitIntoTheLease guards against a pace at which leases end: two polls in a row may time out at any load.
func TestRenewalsFitIntoTheLease(t *testing.T) {
	const lease, longPoll = 5400 * time.Millisecond, 2 * time.Second
	p := pollPacer{limits: defaultPollLimits, loopDelay: average{value: time.Minute}, commitDelay: average{value: time.Minute}}
	for need := scheduler.PollToReconcile; need <= scheduler.PollAfterCommit; need++ {
		for _, wait := range []time.Duration{0, 700 * time.Millisecond, longPoll} {
			// A deadline is renewed when a poll is sent. The next one is sent after the response and the pause; its loss is noticed
			// after its wait, and the one after it is sent at once, without a wait.
			gap := wait + p.pause(need, wait) + longPoll + 2*pollTimeoutMargin
			assert.Assert(t, gap < lease-500*time.Millisecond, "need %d: %v", need, gap)
		}
	}
}

// TestLoadFollowsRecentDelays guards against a pace that stays slow after a burst, or that one late turn of the loop slows down.
func TestLoadFollowsRecentDelays(t *testing.T) {
	var a average
	now := time.Hour
	observe := func(d, value time.Duration) {
		for end := now + d; now < end; now += 5 * time.Millisecond {
			a.observe(now, value)
		}
	}
	observe(time.Second, 0)
	a.observe(now, 50*time.Millisecond)
	assert.Assert(t, a.value < 2*time.Millisecond, "one late turn: %v", a.value)
	observe(time.Second, 10*time.Millisecond)
	assert.Assert(t, a.value > 9*time.Millisecond, "a burst of a second: %v", a.value)
	observe(time.Second, 0)
	assert.Assert(t, a.value < time.Millisecond, "a second later: %v", a.value)
}
