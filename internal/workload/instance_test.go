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
		{"draining", func(in *workload.Instance) { in.Draining = true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			announced := known
			c.change(&announced)
			assert.Equal(t, known.SaysSame(&announced), c.same)
		})
	}
}
