package courier

import (
	"context"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// linkRetryInterval is how long a carrier that was silent gets no exchanges.
const linkRetryInterval = 2 * time.Second

// maxClockAge is the age from which a reading of a carrier's clock is renewed. The permission shrinks by the allowed drift over it.
const maxClockAge = 2 * time.Second

// link is what the leader knows of a carrier. The dispatcher's mutex guards it.
type link struct {
	carrier    fleet.EntryID
	dataCentre fleet.DataCentreID
	clock      clockReading
	// clockReadAt is when the reading arrived, on the leader's clock.
	clockReadAt time.Duration
	// heardAt is when the last message of the carrier arrived, on the leader's clock.
	heardAt time.Duration
	// usable is set while the carrier answers. retryAt is when one that does not is asked for its clock again.
	usable  bool
	retryAt time.Duration
	asking  bool
	// doubted is set while it is not known whether the carrier was lost together with another one. It gets no more instances before it has answered.
	doubted bool
	// permittedUntil is until when the carrier may still send what it was given, on the leader's clock.
	permittedUntil time.Duration
	queue          []exchange
	scheduled      bool
	// lastNumber is the number of the last batch that was sent, acknowledged the highest that the carrier has; unacknowledgedSince
	// is when the first batch after that was sent, zero if there is none.
	lastNumber          uint64
	acknowledged        uint64
	unacknowledgedSince time.Duration
	pending             map[uint64]chan result
}

// silent reports whether the carrier has left a batch unacknowledged for too long.
func (l *link) silent(now time.Duration) bool {
	return l.usable && l.unacknowledgedSince > 0 && now-l.unacknowledgedSince > silenceTimeout
}

// fail fails all pending exchanges and gives the carrier none until it has told its clock again.
func (l *link) fail(now time.Duration) {
	l.usable, l.doubted = false, false
	l.retryAt = now + linkRetryInterval
	l.unacknowledgedSince = 0
	l.queue = nil
	for id, pending := range l.pending {
		delete(l.pending, id)
		pending <- result{Outcome: scheduler.Uncarried, Failure: KindSilent.Error()}
	}
}

// permission returns the permission for a batch that is sent now, if the lease of the leader lasts for leaseLeft. The reading of the
// carrier's clock was taken before it arrived, so the carrier's clock reaches Until before the lease is over, whatever its drift.
func (l *link) permission(now time.Duration, term uint64, leaseLeft time.Duration) permission {
	sinceReading := now + leaseLeft - l.clockReadAt
	until := l.clock.Now + time.Duration(float64(sinceReading)*(1-fleet.MaxClockDrift))
	return permission{Term: term, Incarnation: l.clock.Incarnation, Until: until}
}

// askClock asks the carrier for its clock, after which it may be used.
func (d *Dispatcher) askClock(l *link) {
	ctx, cancel := context.WithTimeout(d.ctx, silenceTimeout)
	defer cancel()
	var answer introduction
	err := d.options.Transport.Call(ctx, l.carrier, topicClock, true, &answer)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	l.asking = false
	now := d.options.Clock()
	if err != nil {
		if !l.usable {
			l.retryAt = now + linkRetryInterval
		} else if l.doubted {
			d.lose(l, now)
		}
		return
	}
	if !l.usable {
		l.pending = map[uint64]chan result{}
		l.acknowledged, l.unacknowledgedSince = l.lastNumber, 0
	}
	l.usable = true
	l.clock, l.clockReadAt, l.heardAt, l.dataCentre = answer.Clock, now, now, answer.DataCentre
	if l.doubted {
		l.doubted = false
		d.choose(now, d.carriers)
	}
}
