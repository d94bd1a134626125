package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Thresholds of a stall of the machine: a timer that is late by more holds up elections and leases too.
const (
	stallTick      = 10 * time.Millisecond
	stallThreshold = 200 * time.Millisecond
)

// stallMeter measures how late a timer of this process wakes, which shows when the machine is too busy for the bounds that are checked.
type stallMeter struct {
	mutex   sync.Mutex
	stalls  int
	total   time.Duration
	longest time.Duration
}

func (m *stallMeter) run(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		pause(ctx, stallTick)
		late := time.Since(before) - stallTick
		m.mutex.Lock()
		m.longest = max(m.longest, late)
		if late > stallThreshold {
			m.stalls++
			m.total += late
		}
		m.mutex.Unlock()
	}
}

// String reports the stalls.
func (m *stallMeter) String() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.stalls == 0 {
		return fmt.Sprintf("  machine: no timer was late by more than %s (at most %s)", stallThreshold, m.longest.Round(time.Millisecond))
	}
	return fmt.Sprintf("  MACHINE STALLED: %d timers were late by more than %s, by %s in all and %s at most; bounds of time may be broken by the machine",
		m.stalls, stallThreshold, m.total.Round(time.Millisecond), m.longest.Round(time.Millisecond))
}
