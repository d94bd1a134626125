package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

const start = time.Minute

func config() *configuration.Configuration {
	return &configuration.Configuration{
		Customers: []configuration.Customer{{Name: "a", Share: 1}, {Name: "b", Share: 1}},
		Queues: []configuration.Queue{
			{Name: "batch", Pool: "p", Open: true, Repeatable: true, Needs: fleet.Resources{Slots: 1}},
			{Name: "once", Pool: "p", Open: true, Needs: fleet.Resources{Slots: 1}},
			{Name: "rush", Pool: "p", Open: true, Urgent: true, Needs: fleet.Resources{Slots: 1}},
			{Name: "huge", Pool: "p", Open: true, Needs: fleet.Resources{Slots: 1, Accelerators: 9}},
		},
	}
}

func place(n, slots int, heard time.Duration, tasks ...fleet.Task) dispatcher.Place {
	return dispatcher.Place{Serving: true, Heard: heard, Instance: fleet.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("i%05d", n)), Rack: fleet.RackID(fmt.Sprint(n / 4)), Offers: fleet.Resources{Slots: slots},
		Condition: fleet.Ready, Sequence: uint64(heard), Tasks: tasks,
	}}
}

func pool(instances, slots int, options ...dispatcher.Option) *dispatcher.Dispatcher {
	d := dispatcher.New("p", start, options...)
	d.Configure(config())
	for n := range instances {
		d.SetPlace(start, place(n, slots, start))
	}
	d.SetPermit("a", 1000)
	d.SetPermit("b", 1000)
	d.Tick(start)
	return d
}

func ask(d *dispatcher.Dispatcher, now time.Duration, id int, queue fleet.QueueID, customer fleet.CustomerID) {
	d.Ask(now, dispatcher.Request{
		ID: fleet.RequestID(fmt.Sprint("r", id)), Attempt: fleet.AttemptID(fmt.Sprintf("t%06d", id)), Queue: queue, Customer: customer,
		Entry: "e", Deadline: now + time.Minute,
	})
}

func codes(list []dispatcher.Decision, code dispatcher.Code) []dispatcher.Decision {
	var found []dispatcher.Decision
	for _, x := range list {
		if x.Code == code {
			found = append(found, x)
		}
	}
	return found
}

func TestWhatNeverFitsIsRefusedAtOnce(t *testing.T) {
	d := pool(2, 4)
	ask(d, start, 1, "huge", "a")
	refused := codes(d.Take(), dispatcher.Refused)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Cause, dispatcher.CauseNeverFits)
}

func TestSuccessorCountsWhatItCannotSee(t *testing.T) {
	d := dispatcher.New("p", start, dispatcher.WithRebuild())
	d.Configure(config())
	d.SetPermit("a", 5)
	d.SetPlace(start, place(0, 4, start-time.Second))
	d.SetPlace(start+1, place(1, 4, start+1))
	for i := range 5 {
		ask(d, start+1, i, "batch", "a")
	}
	d.Tick(start + 1)
	assert.Equal(t, len(codes(d.Take(), dispatcher.Placed)), 1, "four slots of a silent instance may hold tasks of the customer")
	d.SetPlace(start+2, place(0, 4, start+2, fleet.Task{Attempt: "old", Customer: "a", Queue: "batch"}))
	d.Tick(start + 2)
	assert.Equal(t, len(codes(d.Take(), dispatcher.Placed)), 3)
}

func TestBlackHoleIsIsolatedAndProbed(t *testing.T) {
	d := pool(4, 4)
	now, id, onHole := start, 0, 0
	for range 400 {
		now += 50 * time.Millisecond
		for n := range 4 {
			d.SetPlace(now, place(n, 4, now))
		}
		id++
		ask(d, now, id, "batch", "a")
		d.Tick(now)
		for _, x := range codes(d.Take(), dispatcher.Placed) {
			verdict := dispatcher.Answered
			if x.Instance == "i00000" {
				verdict = dispatcher.Failed
				onHole++
			}
			d.End(now, x.Request.Attempt, verdict, 0)
		}
	}
	assert.Assert(t, onHole >= 1 && onHole < mostOnHole, "%d of 400 went to the black hole", onHole)
}

// mostOnHole bounds the failures before isolation plus the probes of twenty seconds.
const mostOnHole = 12

func TestUrgentWorkStopsBatchBeyondItsShare(t *testing.T) {
	d := pool(1, 4)
	for i := range 4 {
		ask(d, start, i, "batch", "a")
	}
	d.Tick(start)
	ask(d, start, 10, "rush", "b")
	d.Report(start, "e", []fleet.AttemptID{"t000000", "t000001", "t000002", "t000003"})
	d.Take()
	now := start + 1200*time.Millisecond
	d.SetPlace(now, place(0, 4, now))
	d.Tick(now)
	pressed := codes(d.Take(), dispatcher.Pressed)
	assert.Equal(t, len(pressed), 1)
	assert.Equal(t, pressed[0].Action, dispatcher.Stop)
}

func TestCancelledWaveCostsNothingLater(t *testing.T) {
	d := pool(1, 1)
	for i := range 5000 {
		ask(d, start, i, "batch", "a")
	}
	d.Tick(start)
	for i := range 5000 {
		d.Cancel(fleet.RequestID(fmt.Sprint("r", i)))
	}
	ask(d, start, 9000, "batch", "b")
	d.Take()
	d.End(start, "t000000", dispatcher.Answered, 0)
	d.Place(start)
	placed := codes(d.Take(), dispatcher.Placed)
	assert.Equal(t, len(placed), 1)
	assert.Equal(t, placed[0].Request.Customer, fleet.CustomerID("b"))
}

// BenchmarkPlacement asks for and ends one task in a pool of a size.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{50, 81, 500, 5000, 16000} {
		b.Run(fmt.Sprintf("instances-%d", n), func(b *testing.B) {
			d := pool(n, 8)
			for i := 0; b.Loop(); i++ {
				ask(d, start, i, "batch", "a")
				d.Place(start)
				d.Take()
				d.End(start, fleet.AttemptID(fmt.Sprintf("t%06d", i)), dispatcher.Answered, 0)
			}
		})
	}
}
