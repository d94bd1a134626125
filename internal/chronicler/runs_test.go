package chronicler

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func at(seconds float64) Instant { return Instant(seconds * float64(time.Second)) }

// TestSpend guards against time that is attributed to the wrong cause.
func TestSpend(t *testing.T) {
	placed := func(task string, from, to float64, lost bool) *run {
		return &run{task: task, from: at(from), to: at(to), ended: true, lost: lost}
	}
	for _, c := range []struct {
		name                 string
		runs                 []*run
		begin, accepted, end float64
		want                 Spent
	}{
		{"never placed", nil, 0, 1, 5, Spent{Acceptance: 1, Capacity: 4}},
		{"one run", []*run{placed("a", 2, 4, false)}, 0, 1, 4, Spent{Acceptance: 1, Capacity: 1, Running: 2}},
		{"lost once", []*run{placed("a", 1, 3, true), placed("a", 4, 6, false)}, 0, 0, 6, Spent{Capacity: 2, Running: 2, Lost: 2}},
		{"lost beside a task that ran well", []*run{placed("b", 0, 3, false), placed("a", 0, 3, true), placed("a", 3, 5, false)}, 0, 0, 5, Spent{Running: 2, Lost: 3}},
		{"two steps", []*run{placed("a", 0, 2, false), placed("b", 0, 1, false), placed("c", 2.5, 4, false)}, 0, 0, 4, Spent{Capacity: 0.5, Running: 3.5}},
		{"still runs", []*run{{task: "a", from: at(2)}}, 0, 1, 5, Spent{Acceptance: 1, Capacity: 1, Running: 3}},
		{"stopped after the job was cancelled", []*run{placed("a", 1, 9, true)}, 0, 0, 5, Spent{Capacity: 1, Running: 4}},
		{"placed after the job was over", []*run{placed("a", 6, 7, false)}, 0, 0, 5, Spent{Capacity: 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, spend(c.runs, at(c.begin), at(c.accepted), at(c.end)), c.want)
		})
	}
}

// TestRunLostTwice guards against a run that counts as lost while it may still start on a later boot of its instance.
func TestRunLostTwice(t *testing.T) {
	decision := func(seconds float64, what string) *line {
		return &line{at: at(seconds), number: 420, fields: map[string]any{"what": what, "task": "a.0.0.0", "run": "1000000001", "instance": "i-1"}}
	}
	runs := runsOf([]*line{decision(1, "run placed"), decision(3, "run lost"), decision(3, "run uncertain"), decision(4, "run lost")})
	assert.Assert(t, len(runs) == 1 && runs[0].lost && runs[0].to == at(4))
}

// TestSpentIsWhole guards against spans that overlap, are negative, or leave out a part of the time.
func TestSpentIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seconds := rapid.IntRange(0, 20)
		accepted := rapid.IntRange(0, 5).Draw(t, "accepted")
		end := accepted + seconds.Draw(t, "end")
		var runs []*run
		for range rapid.IntRange(0, 8).Draw(t, "runs") {
			from := seconds.Draw(t, "from")
			runs = append(runs, &run{
				task: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "task"), from: at(float64(from)), to: at(float64(from + seconds.Draw(t, "length"))),
				ended: rapid.Bool().Draw(t, "ended"), lost: rapid.Bool().Draw(t, "lost"),
			})
		}
		s := spend(runs, 0, at(float64(accepted)), at(float64(end)))
		for _, part := range []Seconds{s.Acceptance, s.Capacity, s.Running, s.Lost} {
			if part < 0 {
				t.Fatalf("negative span: %+v", s)
			}
		}
		if sum := s.Acceptance + s.Capacity + s.Running + s.Lost; math.Abs(float64(sum)-float64(end)) > 1e-6 {
			t.Fatalf("%+v is %v in all, want %d", s, sum, end)
		}
	})
}
