package supervisor

import (
	"sync"
	"time"
)

// lane bounds how many operations of one kind are under way. The goroutines of a leader share its processor, and the runtime runs them in about the
// order in which they became ready, so heartbeats and commits wait behind all that was let in before them.
type lane struct {
	width int
	// maxWait bounds the expected wait of an operation that is let in later.
	maxWait time.Duration

	mutex    sync.Mutex
	underWay int
	waiting  []func()
	// duration is the average time that operations have taken, without their wait.
	duration average
	// progressAt is when an operation last left, or entered while there was no other.
	progressAt time.Duration
}

// enter runs start now, or later in the order of the calls. If that is expected to take longer than maxWait, it never runs start and returns
// false. wait is the expected wait.
func (l *lane) enter(now time.Duration, start func()) (wait time.Duration, admitted bool) {
	l.mutex.Lock()
	if l.underWay < l.width {
		if l.underWay == 0 {
			l.progressAt = now
		}
		l.underWay++
		l.mutex.Unlock()
		start()
		return 0, true
	}
	defer l.mutex.Unlock()
	wait = max(l.duration.value, now-l.progressAt) * time.Duration(len(l.waiting)+1) / time.Duration(l.width)
	if wait > l.maxWait {
		return wait, false
	}
	l.waiting = append(l.waiting, start)
	return wait, true
}

// leave ends an operation that has taken the given time, and starts the next one.
func (l *lane) leave(now, took time.Duration) {
	l.mutex.Lock()
	l.duration.observe(now, took)
	l.progressAt = now
	if len(l.waiting) == 0 {
		l.underWay--
		l.mutex.Unlock()
		return
	}
	next := l.waiting[0]
	l.waiting = l.waiting[1:]
	l.mutex.Unlock()
	next()
}

// size returns the number of operations under way and of those that wait.
func (l *lane) size() (underWay, waiting int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.underWay, len(l.waiting)
}
