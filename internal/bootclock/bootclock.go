// Package bootclock provides a clock that keeps counting while the instance is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance booted, including suspended time.
//
// Leases use it because the monotonic clock of Go stops while the instance is suspended. If CLOCK_BOOTTIME is not available,
// Now returns the time since the process started on the monotonic clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err == nil {
		return time.Duration(t.Nano())
	}
	return time.Since(processStart)
}

var processStart = time.Now()
