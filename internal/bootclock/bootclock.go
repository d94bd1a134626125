// Package bootclock reads a clock that keeps counting while the instance is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance booted, suspended time included.
//
// Leases are measured on it: the monotonic clock of Go stands still while an instance is suspended. It falls back to
// the monotonic clock where the system lacks the boot clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err == nil {
		return time.Duration(t.Nano())
	}
	return time.Since(processStart)
}

var processStart = time.Now()
