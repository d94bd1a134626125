// Package proxy passes traffic on between addresses on loopback, and disturbs it.
package proxy

import (
	"sync"
	"time"
)

// Mode says how a link is disturbed. The zero value passes everything on.
type Mode struct {
	// Delay is added to everything that is passed on, in each direction.
	Delay time.Duration
	// CutForward and CutBackward stop the direction to the server and from it. A stream is held until the direction is open again, as by
	// retransmission; packets are lost.
	CutForward, CutBackward bool
	// Reset breaks connections and accepts none.
	Reset bool
}

// link holds the mode of a proxy.
type link struct {
	mutex   sync.Mutex
	mode    Mode
	closed  bool
	changed chan struct{}
}

func newLink() link { return link{changed: make(chan struct{})} }

// set changes the mode and wakes those that wait for a change.
func (l *link) set(m Mode) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
}

// get returns the mode, whether the proxy is closed, and a channel that is closed at the next change.
func (l *link) get() (Mode, bool, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.mode, l.closed, l.changed
}
