package supervisor

import (
	"math"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// pollLimits bound the spacing of the polls of one instance.
type pollLimits struct {
	// minInterval and maxInterval bound the time between the starts of two polls.
	minInterval time.Duration
	maxInterval time.Duration
	// maxIdlePause bounds the pause after a long poll of an instance without runs.
	maxIdlePause time.Duration
}

// defaultPollLimits never delay the poll after a long one of an instance with runs, so that two polls may fail within a lease.
var defaultPollLimits = pollLimits{
	minInterval:  80 * time.Millisecond, // run ends close in time are fetched with one poll
	maxInterval:  400 * time.Millisecond,
	maxIdlePause: time.Second, // a start ends the pause
}

const (
	loadTimeConstant = 250 * time.Millisecond // of the averages of the delays that the pace follows
	intervalPerDelay = 80                     // polls that may bring ends spread from 1 ms of delay on, and most at 5 ms
	pausePerDelay    = 200                    // polls that bring none spread earlier
)

// pollPacer spaces polls by the load of the leader. With short tasks every poll returns at once, so polls without a pace take all
// processor time that is left, and heartbeats, commits and starts wait behind hundreds of responses. It is accessed only by the
// loop.
type pollPacer struct {
	limits pollLimits
	// loopDelay is how long posted functions wait for the loop, commitDelay how long ends wait for their commit.
	loopDelay   average
	commitDelay average
}

// average is an exponentially weighted average of observations at irregular times.
type average struct {
	value      time.Duration
	observedAt time.Duration
}

func (a *average) observe(now, value time.Duration) {
	weight := 1 - math.Exp(-float64(now-a.observedAt)/float64(loadTimeConstant))
	a.value += time.Duration(weight * float64(value-a.value))
	a.observedAt = now
}

// pause returns how long to wait before the next poll of an instance whose last poll took elapsed.
func (p *pollPacer) pause(need scheduler.PollNeed, elapsed time.Duration) time.Duration {
	interval := min(max(p.loopDelay.value*intervalPerDelay, p.limits.minInterval), p.limits.maxInterval)
	switch need {
	case scheduler.PollForEnds:
	case scheduler.PollAfterCommit:
		interval = min(max(p.commitDelay.value, interval), p.limits.maxInterval)
	case scheduler.PollWhenIdle:
		return max(p.limits.minInterval-elapsed, min(p.loopDelay.value*pausePerDelay, p.limits.maxIdlePause))
	default:
		interval = p.limits.minInterval
	}
	return max(0, interval-elapsed)
}
