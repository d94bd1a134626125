package supervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPlanningPause(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name                  string
		start, end            time.Duration
		now, wanted, expected time.Duration
	}{
		{"a cheap run does not delay the next one", 100 * ms, 100*ms + 400*time.Microsecond, 101 * ms, 4 * ms, 4 * ms},
		{"nine times the duration of a run pass before the next one", 100 * ms, 105 * ms, 105 * ms, 4 * ms, 45 * ms},
		{"the time that passed counts", 100 * ms, 105 * ms, 143 * ms, 4 * ms, 7 * ms},
		{"a run that is wanted after the pause starts then", 100 * ms, 105 * ms, 148 * ms, 4 * ms, 4 * ms},
		{"an idle run starts at once after the pause", 100 * ms, 105 * ms, 155 * ms, 0, 0},
		{"the pause is at most the idle interval", 100 * ms, 3100 * ms, 3100 * ms, 4 * ms, idlePlanInterval},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := planPacer{}
			p.record(c.start, c.end)
			assert.Equal(t, p.delay(c.now, c.wanted), c.expected)
		})
	}
}

// TestPlanningTakesAtMostATenthOfTheTime guards against a leader that spends the processor time that starts and polls need on planning
// runs, as events arrive without end. A run of more than a ninth of idlePlanInterval is followed by that pause.
func TestPlanningTakesAtMostATenthOfTheTime(t *testing.T) {
	for duration, share := range map[time.Duration]time.Duration{time.Millisecond: 10, 4 * time.Millisecond: 10, 12 * time.Millisecond: 5} {
		p := planPacer{}
		now, planning := time.Duration(0), time.Duration(0)
		for now < time.Minute {
			now += p.delay(now, planDelay)
			p.record(now, now+duration)
			now += duration
			planning += duration
		}
		assert.Assert(t, planning <= now/share+duration, "runs of %s take %s of %s", duration, planning, now)
	}
}
