package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestSaysSame guards against an announcement that is acknowledged without the leader although it says something new.
func TestSaysSame(t *testing.T) {
	known := workload.Instance{ID: "i", Boot: 5, Pool: "p", Address: "a", DataCentre: "d", Machine: "m", Rack: "r", Labels: []string{"x", "r"}, Sequence: 1}
	for _, c := range []struct {
		name   string
		change func(in *workload.Instance)
		same   bool
	}{
		{"sequence and clock", func(in *workload.Instance) { in.Sequence, in.Clock = 9, time.Second }, true},
		{"boot", func(in *workload.Instance) { in.Boot++ }, false},
		{"pool", func(in *workload.Instance) { in.Pool = "q" }, false},
		{"address", func(in *workload.Instance) { in.Address = "b" }, false},
		{"data centre", func(in *workload.Instance) { in.DataCentre = "e" }, false},
		{"machine", func(in *workload.Instance) { in.Machine = "n" }, false},
		{"capacity", func(in *workload.Instance) { in.Capacity.Processors = 1 }, false},
		{"labels", func(in *workload.Instance) { in.Labels = []string{"x"} }, false},
		{"rack", func(in *workload.Instance) { in.Rack = "s" }, false},
		{"warm-up", func(in *workload.Instance) { in.Clock, in.WarmupLeft = time.Minute, 5*time.Second }, false},
		{"draining", func(in *workload.Instance) { in.Draining = true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			announced := known
			c.change(&announced)
			assert.Equal(t, known.SaysSame(&announced), c.same)
		})
	}
}

// TestSaysSameDuringWarmup guards against a leader that hears each announcement of an instance that is warming up as it knows, or that does
// not hear of a warm-up that takes longer.
func TestSaysSameDuringWarmup(t *testing.T) {
	known := workload.Instance{ID: "i", Clock: time.Minute, WarmupLeft: 5 * time.Second}
	for _, c := range []struct {
		elapsed, left time.Duration
		same          bool
	}{
		{2 * time.Second, 3 * time.Second, true}, {2 * time.Second, 3*time.Second + 400*time.Millisecond, true}, {2 * time.Second, 4 * time.Second, false},
		{2 * time.Second, time.Second, true}, {9 * time.Second, 0, true}, {9 * time.Second, time.Second, false},
	} {
		announced := workload.Instance{ID: "i", Clock: known.Clock + c.elapsed, WarmupLeft: c.left}
		assert.Equal(t, known.SaysSame(&announced), c.same, "%+v", c)
	}
}
