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

func instanceView(n, slots int, lastSeen time.Duration, tasks ...fleet.Task) dispatcher.InstanceView {
	return dispatcher.InstanceView{Schedulable: true, LastSeen: lastSeen, Instance: fleet.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("i%05d", n)), Rack: fleet.RackID(fmt.Sprint(n / 4)), Capacity: fleet.Resources{Slots: slots},
		Condition: fleet.Ready, Sequence: uint64(lastSeen), Tasks: tasks,
	}}
}

func pool(instances, slots int, options ...dispatcher.Option) *dispatcher.Dispatcher {
	d := dispatcher.New("p", start, options...)
	d.Configure(config())
	for n := range instances {
		d.UpdateInstance(start, instanceView(n, slots, start))
	}
	d.SetPermit("a", 1000)
	d.SetPermit("b", 1000)
	d.Tick(start)
	return d
}

func submit(d *dispatcher.Dispatcher, now time.Duration, id int, queue fleet.QueueID, customer fleet.CustomerID) {
	d.Submit(now, dispatcher.Request{
		ID: fleet.RequestID(fmt.Sprint("r", id)), Attempt: fleet.AttemptID(fmt.Sprintf("t%06d", id)), Queue: queue, Customer: customer,
		Entry: "e", Deadline: now + time.Minute,
	})
}

func ofKind(list []dispatcher.Decision, kind dispatcher.DecisionKind) []dispatcher.Decision {
	var found []dispatcher.Decision
	for _, x := range list {
		if x.Kind == kind {
			found = append(found, x)
		}
	}
	return found
}

// TestRequestTooLargeForPoolIsRefused guards against queueing a request that no instance can ever hold.
func TestRequestTooLargeForPoolIsRefused(t *testing.T) {
	d := pool(2, 4)
	submit(d, start, 1, "huge", "a")
	refused := ofKind(d.TakeDecisions(), dispatcher.Refused)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Cause, dispatcher.CauseNeverFits)
}

// TestRecoveryCountsUnobservedSlots guards against exceeding a permit after a change of owner, while tasks placed by the earlier
// owner run on an instance that has not announced since.
func TestRecoveryCountsUnobservedSlots(t *testing.T) {
	d := dispatcher.New("p", start, dispatcher.WithRecovery())
	d.Configure(config())
	d.SetPermit("a", 5)
	d.UpdateInstance(start, instanceView(0, 4, start-time.Second))
	d.UpdateInstance(start+1, instanceView(1, 4, start+1))
	for i := range 5 {
		submit(d, start+1, i, "batch", "a")
	}
	d.Tick(start + 1)
	assert.Equal(t, len(ofKind(d.TakeDecisions(), dispatcher.Placed)), 1, "tasks of the customer may run on the four unobserved slots")
	d.UpdateInstance(start+2, instanceView(0, 4, start+2, fleet.Task{Attempt: "old", Customer: "a", Queue: "batch"}))
	d.Tick(start + 2)
	assert.Equal(t, len(ofKind(d.TakeDecisions(), dispatcher.Placed)), 3)
}

// TestFailingInstanceIsIsolatedAndProbed guards against an instance that fails every task at once and, being idle, attracts the
// next ones.
func TestFailingInstanceIsIsolatedAndProbed(t *testing.T) {
	d := pool(4, 4)
	now, id, onFailing := start, 0, 0
	for range 400 {
		now += 50 * time.Millisecond
		for n := range 4 {
			d.UpdateInstance(now, instanceView(n, 4, now))
		}
		id++
		submit(d, now, id, "batch", "a")
		d.Tick(now)
		for _, x := range ofKind(d.TakeDecisions(), dispatcher.Placed) {
			outcome := dispatcher.Completed
			if x.Instance == "i00000" {
				outcome = dispatcher.Failed
				onFailing++
			}
			d.End(now, x.Request.Attempt, outcome, 0)
		}
	}
	assert.Assert(t, onFailing >= 1 && onFailing < maxPlacementsOnFailing, "%d of 400 tasks were placed on the failing instance", onFailing)
}

// maxPlacementsOnFailing bounds the failures before isolation plus the probes within 20 s.
const maxPlacementsOnFailing = 12

// TestUrgentRequestPreemptsBatchOverShare guards against urgent work that waits while another customer's batch work exceeds its
// share.
func TestUrgentRequestPreemptsBatchOverShare(t *testing.T) {
	d := pool(1, 4)
	for i := range 4 {
		submit(d, start, i, "batch", "a")
	}
	d.Tick(start)
	submit(d, start, 10, "rush", "b")
	d.HandleEntryReport(start, "e", []fleet.AttemptID{"t000000", "t000001", "t000002", "t000003"})
	d.TakeDecisions()
	now := start + 1200*time.Millisecond
	d.UpdateInstance(now, instanceView(0, 4, now))
	d.Tick(now)
	preempted := ofKind(d.TakeDecisions(), dispatcher.Preempted)
	assert.Equal(t, len(preempted), 1)
	assert.Equal(t, preempted[0].Action, dispatcher.Stop)
}

// TestCancelledRequestsDoNotBlockQueue guards against cancelled requests that delay the placement of later ones.
func TestCancelledRequestsDoNotBlockQueue(t *testing.T) {
	d := pool(1, 1)
	for i := range 5000 {
		submit(d, start, i, "batch", "a")
	}
	d.Tick(start)
	for i := range 5000 {
		d.Cancel(fleet.RequestID(fmt.Sprint("r", i)))
	}
	submit(d, start, 9000, "batch", "b")
	d.TakeDecisions()
	d.End(start, "t000000", dispatcher.Completed, 0)
	d.Place(start)
	placed := ofKind(d.TakeDecisions(), dispatcher.Placed)
	assert.Equal(t, len(placed), 1)
	assert.Equal(t, placed[0].Request.Customer, fleet.CustomerID("b"))
}

// BenchmarkPlacement submits, places and ends one task in pools of several sizes.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{50, 81, 500, 5000, 16000} {
		b.Run(fmt.Sprintf("instances-%d", n), func(b *testing.B) {
			d := pool(n, 8)
			for i := 0; b.Loop(); i++ {
				submit(d, start, i, "batch", "a")
				d.Place(start)
				d.TakeDecisions()
				d.End(start, fleet.AttemptID(fmt.Sprintf("t%06d", i)), dispatcher.Completed, 0)
			}
		})
	}
}
