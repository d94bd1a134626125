package messenger

import (
	"sync"
	"time"
)

// maxSilence is how long a peer may leave packets without an acknowledgement: several round trips and retransmissions, and half of the
// time that callers wait for an attempt.
const maxSilence = 300 * time.Millisecond

// silenceDetector detects a peer that has lost power, is frozen or is cut off before its connection times out, which takes seconds.
type silenceDetector struct {
	mutex sync.Mutex
	// since is when the first call after the latest received packet was written, and received the number of packets until then.
	since    time.Time
	received uint64
}

// recordWrite records that a call is written at now, after a number of received packets.
func (d *silenceDetector) recordWrite(now time.Time, received uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.since.IsZero() || received != d.received {
		d.since, d.received = now, received
	}
}

// silent reports whether nothing was received for maxSilence after a call was written.
func (d *silenceDetector) silent(now time.Time, received uint64) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.since.IsZero() && received == d.received && now.Sub(d.since) > maxSilence
}
