package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// world is the oracle: instances that run what they are told, a network that loses, delays and reorders, and the
// committed state that outlives each scheduler. Every start is checked against the rules at the instance.
type world struct {
	t         *rapid.T
	now       time.Duration
	work      state.State
	index     uint64
	scheduler *scheduler.Scheduler
	fence     uint64
	instances map[fleet.InstanceID]*target
	flying    []flight
	nextJob   int
	nextID    int
	// over holds tasks whose end as done was acknowledged, failures the acknowledged failed runs.
	over     map[workload.TaskID]bool
	failures map[workload.TaskID]int
	batches  []batch
}

type batch struct {
	number  uint64
	command state.RecordRunEnds
}

// flight is an order on its way; answered tells whether its outcome reaches the scheduler.
type flight struct {
	order    scheduler.Order
	at       time.Duration
	answered bool
	fence    uint64
}

// target is an instance of the oracle.
type target struct {
	workload.Instance
	rate     float64
	born     time.Duration
	fence    uint64
	deadline time.Duration
	runs     map[workload.TaskID]workload.Run
	barred   map[workload.TaskID]workload.Run
	ends     []scheduler.ReportedEnd
	number   uint64
	dark     bool
	crashed  bool
}

const (
	maxLease   = 6 * time.Second
	stepLength = 100 * time.Millisecond
)

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Hour, instances: map[fleet.InstanceID]*target{}, over: map[workload.TaskID]bool{},
		failures: map[workload.TaskID]int{}, work: *state.New(),
	}
	w.commit(state.PublishCatalogue{Source: []byte("x"), Catalogue: workload.Catalogue{
		Version: 1,
		Queues:  []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Objective: time.Second, Stretch: 2}},
		Pools:   []workload.Pool{{Name: "p"}},
		Customers: []workload.Customer{
			{Name: "a", Keys: []string{"k"}, Limit: workload.Resources{Processors: 9000}},
		},
	}})
	w.lead()
	return w
}

func (w *world) commit(c state.Command) {
	w.index++
	if r := w.work.ApplyCommand(w.index, c); r.Refused != 0 {
		w.t.Fatalf("%T refused: %s", c, r.Detail)
	}
}

// lead replaces the scheduler, as after a change of leader; everything that was not committed is lost.
func (w *world) lead() {
	w.fence++
	w.batches = nil
	w.scheduler = scheduler.New(w.now, w.wall(), scheduler.Options{
		Fence: w.fence, LeaseDuration: maxLease * 9 / 10, LeadingSince: w.now,
	}, &w.work.Workload)
}

func (w *world) wall() int64 { return w.now.Milliseconds() }

func (i *target) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-i.born) * i.rate)
}

func (w *world) join() {
	w.nextID++
	i := &target{
		Instance: workload.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("i%d", w.nextID)), Boot: w.wall(), Pool: "p", Address: fmt.Sprintf("addr%d", w.nextID),
			Capacity: workload.Resources{Processors: 4000, Memory: 4000}, Sequence: 1,
		},
		rate: 0.98 + 0.02*rapid.Float64Range(0, 1).Draw(w.t, "rate"), born: w.now,
		runs: map[workload.TaskID]workload.Run{}, barred: map[workload.TaskID]workload.Run{},
	}
	w.instances[i.ID] = i
	w.announce(i)
}

func (w *world) announce(i *target) {
	i.Sequence++
	i.Clock = i.clock(w.now)
	if w.scheduler.HandleAnnouncement(w.now, i.Instance) {
		w.commit(state.EnrolInstance{Instance: i.Instance})
		w.scheduler.ConfirmEnrolled(i.ID)
	}
}

func (w *world) submit() {
	w.nextJob++
	count := rapid.IntRange(1, 3).Draw(w.t, "count")
	j := workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", w.nextJob)), Steps: []workload.Step{
		{Count: count, Resources: workload.Resources{Processors: 1500, Memory: 500}, Gang: rapid.Bool().Draw(w.t, "gang")},
		{Count: 1, Resources: workload.Resources{Processors: 500}, After: []int{0}, Service: rapid.Bool().Draw(w.t, "standing")},
	}}
	w.commit(state.SubmitJob{Job: j, Queue: "q", Customer: "a", At: state.Timestamp(w.wall())})
	w.scheduler.AddJob(w.now, w.wall(), w.work.Workload.Jobs[j.ID], false)
}

func (w *world) cancel() {
	id := w.pickJob()
	if id == "" {
		return
	}
	w.commit(state.CancelJob{Job: id, At: state.Timestamp(w.wall())})
	w.scheduler.CancelJob(w.now, id)
}

func (w *world) pickJob() workload.JobID {
	ids := slices.Sorted(maps.Keys(w.work.Workload.Jobs))
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(w.t, "job")
}

func (w *world) pick() *target {
	ids := slices.Sorted(maps.Keys(w.instances))
	if len(ids) == 0 {
		return nil
	}
	return w.instances[rapid.SampledFrom(ids).Draw(w.t, "instance")]
}

// pass lets time go by: leases lapse, orders arrive, the scheduler plans.
func (w *world) pass(steps int) {
	for range steps {
		w.now += stepLength
		for _, i := range w.sorted() {
			if len(i.runs) > 0 && i.clock(w.now) > i.deadline {
				for _, task := range sortedTasks(i.runs) {
					i.finish(task, workload.EndedLeaseExpired)
				}
			}
		}
		w.deliver()
		w.plan()
	}
}

func (w *world) sorted() []*target {
	list := make([]*target, 0, len(w.instances))
	for _, id := range slices.Sorted(maps.Keys(w.instances)) {
		list = append(list, w.instances[id])
	}
	return list
}

func sortedTasks(runs map[workload.TaskID]workload.Run) []workload.TaskID {
	return slices.SortedFunc(maps.Keys(runs), func(a, b workload.TaskID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
}

func (w *world) plan() {
	w.scheduler.Tick(w.now, w.wall())
	for _, o := range w.scheduler.TakeOrders() {
		w.send(o)
	}
	ends, failed, number := w.scheduler.TakeEnds()
	if number != 0 {
		w.batches = append(w.batches, batch{number, state.RecordRunEnds{Ends: ends, Failed: failed, At: state.Timestamp(w.wall())}})
	}
	for _, id := range w.scheduler.TakeDeregistrations() {
		w.commit(state.DeregisterInstances{Instances: []fleet.InstanceID{id}})
	}
	if list := w.scheduler.TakeCordons(); len(list) > 0 {
		w.commit(state.CordonInstances{Instances: list})
	}
	if list := w.scheduler.TakeUncordons(); len(list) > 0 {
		w.commit(state.UncordonInstances{Instances: list})
		w.scheduler.ConfirmUncordoned(list)
	}
}

// settle commits the oldest batch of ends.
func (w *world) settle() {
	if len(w.batches) == 0 {
		return
	}
	b := w.batches[0]
	w.batches = w.batches[1:]
	w.commit(b.command)
	w.scheduler.ConfirmEnds(b.number)
}

// TestStartsKeepTheRules drives schedulers through lost, late and reordered orders, instances that crash, go dark and
// join, changes of leader, cancellations and ends, and checks every start at the instance.
func TestStartsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 4 {
			w.join()
		}
		w.pass(25)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { w.submit() },
			"cancel": func(*rapid.T) { w.cancel() },
			"join": func(*rapid.T) {
				if len(w.instances) < 8 {
					w.join()
				}
			},
			"crash": func(*rapid.T) {
				if i := w.pick(); i != nil {
					i.crashed = true
				}
			},
			"dark": func(*rapid.T) {
				if i := w.pick(); i != nil {
					i.dark = !i.dark
				}
			},
			"announce": func(*rapid.T) {
				if i := w.pick(); i != nil && !i.crashed {
					w.announce(i)
				}
			},
			"lead": func(*rapid.T) { w.lead() },
			"done": func(*rapid.T) {
				if i := w.pick(); i != nil && !i.crashed {
					w.endRun(i, workload.EndedDone)
				}
			},
			"fail": func(*rapid.T) {
				if i := w.pick(); i != nil && !i.crashed {
					w.endRun(i, workload.EndedFailed)
				}
			},
			"look":   func(*rapid.T) { w.lookAll() },
			"settle": func(*rapid.T) { w.settle() },
			"pass":   func(t *rapid.T) { w.pass(rapid.IntRange(1, 30).Draw(t, "steps")) },
		})
	})
}

func (w *world) lookAll() {
	for _, i := range w.sorted() {
		w.look(i)
	}
	w.pass(1)
}
