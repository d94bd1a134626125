package admitter

import "time"

const (
	// maxDelay bounds the time after which a caller is told to return: a forecast of the load is worth little beyond a minute.
	maxDelay = time.Minute
	// minJitter and jitterShare are the range over which callers with the same turn are spread. Delays are whole seconds.
	minJitter   = time.Second
	jitterShare = 0.125
)

// Returns spreads the returns of refused callers of one pool over the time in which room for their jobs comes free.
type Returns struct {
	// next is the earliest turn of the next caller.
	next time.Duration
}

// Delay returns when the caller of a refused job is to return, in whole seconds. Each caller gets a turn behind the callers refused before,
// as long as the pool needs for its job. random is in [0, 1).
func (r *Returns) Delay(now time.Duration, v Verdict, random float64) time.Duration {
	turn := min(max(now+v.Room, r.next), now+maxDelay)
	r.next = min(turn+v.Turn, now+maxDelay)
	delay := turn - now
	jitter := max(float64(minJitter), jitterShare*float64(delay))
	return max(time.Second, (delay + time.Duration(random*jitter)).Truncate(time.Second))
}
