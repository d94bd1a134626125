package scheduler_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdleFleet measures one tick of a leader whose instances have nothing to do, and the calls that follow each tick.
func BenchmarkIdleFleet(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			sched, _, now := newLoadedScheduler(b, n)
			sched.Tick(now, now.Milliseconds())
			b.ResetTimer()
			for range b.N {
				now += time.Microsecond
				sched.Tick(now, now.Milliseconds())
				sched.TakeEnrolled()
			}
		})
	}
}
