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
		{"a cheap run does not delay the next one", 100 * ms, 101 * ms, 101 * ms, 4 * ms, 4 * ms},
		{"four times the duration of a run pass before the next one", 100 * ms, 105 * ms, 105 * ms, 4 * ms, 20 * ms},
		{"the time that passed counts", 100 * ms, 105 * ms, 118 * ms, 4 * ms, 7 * ms},
		{"a run that is wanted after the pause starts then", 100 * ms, 105 * ms, 123 * ms, 4 * ms, 4 * ms},
		{"an idle run starts at once after the pause", 100 * ms, 105 * ms, 130 * ms, 0, 0},
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

// TestPlanningTakesAtMostAFifthOfTheTime guards against a leader that spends all its processor time on planning runs, as
// events arrive without end.
func TestPlanningTakesAtMostAFifthOfTheTime(t *testing.T) {
	for _, duration := range []time.Duration{time.Millisecond, 4 * time.Millisecond, 12 * time.Millisecond} {
		p := planPacer{}
		now, planning := time.Duration(0), time.Duration(0)
		for now < time.Minute {
			now += p.delay(now, planDelay)
			p.record(now, now+duration)
			now += duration
			planning += duration
		}
		assert.Assert(t, planning <= now/5+duration, "runs of %s take %s of %s", duration, planning, now)
	}
}
