package budgeter

import (
	"container/list"
	"time"
)

// Lease is what one client, or one piece of its work, holds of a share. A nil lease holds nothing and has no limit.
type Lease struct {
	share      *Share
	connection bool

	// The fields below are guarded by the mutex of the share.
	held                  Bytes
	open, closed, evicted bool
	// element is nil unless the lease waits for its client.
	element    *list.Element
	evict      func()
	idle       bool
	progressAt time.Time
	progress   Bytes
}

// Grow charges n more bytes, which may be taken once it returns nil.
func (l *Lease) Grow(n Bytes) error {
	if l == nil || n <= 0 {
		return nil
	}
	return l.share.admit(l, n)
}

// Take charges n more bytes, whether or not the share has room: for what the process holds already.
func (l *Lease) Take(n Bytes) {
	if l == nil {
		return
	}
	l.share.mutex.Lock()
	defer l.share.mutex.Unlock()
	if !l.closed {
		l.release(-n)
	}
}

// Shrink gives n bytes back.
func (l *Lease) Shrink(n Bytes) {
	if l == nil {
		return
	}
	l.share.mutex.Lock()
	defer l.share.mutex.Unlock()
	l.release(min(n, l.held))
}

// ShrinkTo gives back what the lease holds above n bytes.
func (l *Lease) ShrinkTo(n Bytes) {
	if l == nil {
		return
	}
	l.share.mutex.Lock()
	defer l.share.mutex.Unlock()
	l.release(max(0, l.held-n))
}

func (l *Lease) release(n Bytes) {
	l.held -= n
	l.share.used -= n
	if l.evicted {
		l.share.leaving -= n
	}
	l.share.updateGauges()
}

// Wait says that the process waits for the client from now on. If the share is full, evict may be called once to make the client give up
// its lease: after stallTime without progress, or at any time if the client is idle.
func (l *Lease) Wait(idle bool, evict func()) {
	if l == nil {
		return
	}
	l.share.mutex.Lock()
	defer l.share.mutex.Unlock()
	if l.closed || l.evicted {
		return
	}
	l.stopWaiting()
	l.idle, l.evict, l.progressAt, l.progress = idle, evict, l.share.now(), 0
	l.element = l.share.waiting.PushBack(l)
}

// Held returns what the lease holds.
func (l *Lease) Held() Bytes {
	if l == nil {
		return 0
	}
	l.share.mutex.Lock()
	defer l.share.mutex.Unlock()
	return l.held
}

// Waits reports whether the process waits for the client.
func (l *Lease) Waits() bool {
	if l == nil {
		return false
	}
	l.share.mutex.Lock()
	defer l.share.mutex.Unlock()
	return l.element != nil
}

// Advance records that n bytes have passed between the client and the process.
func (l *Lease) Advance(n int) {
	if l == nil {
		return
	}
	l.share.mutex.Lock()
	defer l.share.mutex.Unlock()
	l.progress += Bytes(n)
	if l.progress < minProgress {
		return
	}
	l.progress, l.progressAt = 0, l.share.now()
	if l.element != nil {
		l.share.waiting.MoveToBack(l.element)
	}
}

// Run says that the process does not wait for the client any more. It returns false if the lease was evicted.
func (l *Lease) Run() bool {
	if l == nil {
		return true
	}
	l.share.mutex.Lock()
	defer l.share.mutex.Unlock()
	l.stopWaiting()
	return !l.evicted
}

func (l *Lease) stopWaiting() {
	if l.element != nil {
		l.share.waiting.Remove(l.element)
		l.element, l.evict = nil, nil
	}
}

// Refuse counts a refusal for another reason than the share, such as the rate of reads.
func (l *Lease) Refuse(reason error) {
	if l != nil {
		l.share.Refuse(reason)
	}
}

// Close gives back all that the lease holds.
func (l *Lease) Close() {
	if l == nil {
		return
	}
	l.share.mutex.Lock()
	defer l.share.mutex.Unlock()
	if l.closed || !l.open {
		return
	}
	l.closed = true
	l.stopWaiting()
	l.release(l.held)
	if l.connection {
		l.share.leases--
	}
	l.share.updateGauges()
}
