package dispatcher_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
)

// drainedView is instance n, in a drained data centre or not.
func drainedView(n, slots int, lastSeen time.Duration, drained bool) dispatcher.InstanceView {
	view := instanceView(n, slots, lastSeen)
	view.Drained = drained
	return view
}

// TestNothingIsPlacedInDrainedDataCentre guards against tasks on instances of a drained data centre, whose other state lets them take work,
// and against instances that stay unused after the resumption.
func TestNothingIsPlacedInDrainedDataCentre(t *testing.T) {
	d := pool(2, 4)
	d.UpdateInstance(start, drainedView(0, 4, start, true))
	for id := range 12 {
		submit(d, start, id, "batch", "a")
	}
	d.Tick(start)
	placed := ofKind(d.TakeDecisions(), dispatcher.Placed)
	assert.Equal(t, len(placed), 4)
	for _, p := range placed {
		assert.Equal(t, string(p.Instance), "i00001")
	}
	d.UpdateInstance(start, drainedView(0, 4, start, false))
	d.Tick(start + 50*time.Millisecond)
	assert.Equal(t, len(ofKind(d.TakeDecisions(), dispatcher.Placed)), 4)
}

// TestSharesOfDispatcherWithoutDrainedDataCentre guards against shares that are computed from the capacity of a drained data centre: a
// customer with 5 of the 8 slots left is over its half, although these are less than half of all 16.
func TestSharesOfDispatcherWithoutDrainedDataCentre(t *testing.T) {
	for _, drained := range []bool{false, true} {
		d := pool(2, 8)
		d.UpdateInstance(start, drainedView(0, 8, start, true))
		for id := range 5 {
			submit(d, start, id, "batch", "a")
		}
		submit(d, start, 5, "batch", "b")
		d.Tick(start)
		assert.Equal(t, len(ofKind(d.TakeDecisions(), dispatcher.Placed)), 6)
		d.UpdateInstance(start, drainedView(0, 8, start, drained))
		now := start + 10*time.Millisecond
		submit(d, now, 6, "rush", "a")
		submit(d, now, 7, "batch", "b")
		d.Tick(now)
		placed := ofKind(d.TakeDecisions(), dispatcher.Placed)
		assert.Equal(t, len(placed), 2)
		first := "a"
		if drained {
			first = "b"
		}
		assert.Equal(t, string(placed[0].Request.Customer), first, "drained: %t", drained)
	}
}

// TestRefusalNamesDrain guards against a caller or an operator who is not told that capacity is missing because of a drain, and against a
// count that is wrong after instances have left or returned.
func TestRefusalNamesDrain(t *testing.T) {
	for _, c := range []struct {
		change func(d *dispatcher.Dispatcher)
		named  bool
	}{
		{func(*dispatcher.Dispatcher) {}, true},
		{func(d *dispatcher.Dispatcher) { d.UpdateInstance(start, drainedView(0, 4, start, false)) }, false},
		{func(d *dispatcher.Dispatcher) { d.RemoveInstance("i00000") }, false},
	} {
		d := pool(2, 4)
		d.UpdateInstance(start, drainedView(0, 4, start, true))
		c.change(d)
		submit(d, start, 1, "huge", "a")
		refused := ofKind(d.TakeDecisions(), dispatcher.Refused)
		assert.Equal(t, len(refused), 1)
		assert.Equal(t, strings.Contains(refused[0].Reason, "; 1 of 2 instances are in drained data centres"), c.named, refused[0].Reason)
	}
}
