package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLaneBoundsWhatIsUnderWay checks that operations start in their order, at most as many at a time as the lane is wide, and that one which would wait for
// too long is refused and never starts: by the time that others took, or by how long none has ended.
func TestLaneBoundsWhatIsUnderWay(t *testing.T) {
	var started []int
	l := &lane{width: 2, maxWait: time.Second}
	enter := func(now time.Duration, n int) bool {
		_, admitted := l.enter(now, func() { started = append(started, n) })
		return admitted
	}
	for n := range 4 {
		assert.Assert(t, enter(time.Second, n))
	}
	assert.DeepEqual(t, started, []int{0, 1})
	l.leave(2*time.Second, time.Second)
	assert.DeepEqual(t, started, []int{0, 1, 2})
	underWay, waiting := l.size()
	assert.Equal(t, underWay, 2)
	assert.Equal(t, waiting, 1)
	assert.Assert(t, enter(2*time.Second, 4), "one second for each two")
	assert.Assert(t, !enter(2*time.Second, 5), "a second and a half for three")
	assert.Assert(t, !enter(5*time.Second, 6), "none has ended for three seconds")
	for now := 5 * time.Second; now < 9*time.Second; now += time.Second {
		l.leave(now, 3*time.Second)
	}
	assert.DeepEqual(t, started, []int{0, 1, 2, 3, 4})
	underWay, waiting = l.size()
	assert.Equal(t, underWay+waiting, 0)
}
