package scheduler_test

import (
	"cmp"
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

// simulation drives successive schedulers against simulated instances, a network that loses, delays and reorders
// orders, and a committed state that outlives each scheduler. It checks the invariants at every start that an instance
// executes.
type simulation struct {
	t             *rapid.T
	now           time.Duration
	committed     state.State
	index         uint64
	scheduler     *scheduler.Scheduler
	fence         uint64
	instances     map[fleet.InstanceID]*target
	inFlight      []delivery
	jobCount      int
	instanceCount int
	// ackedDone holds the tasks whose end as done was acknowledged, ackedFailures the number of acknowledged failed runs
	// of each task.
	ackedDone          map[workload.TaskID]bool
	ackedFailures      map[workload.TaskID]int
	uncommittedBatches []endBatch
	// deadlyTasks are the tasks that crash their instances.
	deadlyTasks map[workload.TaskID]*deadlyTask
	reboots     []reboot
	// polls, responses and announcements are in flight.
	polls         []*pollInFlight
	responses     []responseInFlight
	announcements []announcementInFlight
	// reportCount is the number of reports that were made for polls in flight.
	reportCount   int
	latestReports map[fleet.InstanceID]latestReport
	// latestEnrolled are the latest announcements of each instance that were committed.
	latestEnrolled map[fleet.InstanceID]workload.Instance
	reorderings    *reorderings
}

const (
	maxLeaseDuration = 6 * time.Second
	tickInterval     = 100 * time.Millisecond
)

func newSimulation(t *rapid.T, counts *reorderings) *simulation {
	s := &simulation{
		t: t, now: time.Hour, instances: map[fleet.InstanceID]*target{}, ackedDone: map[workload.TaskID]bool{},
		ackedFailures: map[workload.TaskID]int{}, committed: *state.New(), deadlyTasks: map[workload.TaskID]*deadlyTask{},
		latestReports: map[fleet.InstanceID]latestReport{}, latestEnrolled: map[fleet.InstanceID]workload.Instance{}, reorderings: counts,
	}
	s.commit(state.PublishCatalogue{Source: []byte("x"), Catalogue: workload.Catalogue{
		Version: 1,
		Queues:  []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Objective: time.Second, Stretch: 2}},
		Pools:   []workload.Pool{{Name: "p"}},
		Customers: []workload.Customer{
			{Name: "a", Keys: []string{"k"}, Limit: workload.Resources{Processors: 9000}},
		},
	}})
	s.startLeader()
	return s
}

func (s *simulation) commit(command state.Command) {
	s.index++
	if r := s.committed.ApplyCommand(s.index, command); r.Refused != 0 {
		s.t.Fatalf("%T refused: %s", command, r.Detail)
	}
	if e, ok := command.(state.EnrolInstance); ok && isLater(e.Instance, s.latestEnrolled[e.Instance.ID]) {
		s.latestEnrolled[e.Instance.ID] = e.Instance
	}
}

// startLeader replaces the scheduler as a new leader does; everything that is not committed is lost.
func (s *simulation) startLeader() {
	s.fence++
	for _, d := range s.deadlyTasks {
		d.lostLeaders++
	}
	s.uncommittedBatches = nil
	s.scheduler = scheduler.New(s.now, s.wallMillis(), scheduler.Options{
		Fence: s.fence, LeaseDuration: maxLeaseDuration * 9 / 10, LeadingSince: s.now,
	}, &s.committed.Workload)
}

func (s *simulation) wallMillis() int64 { return s.now.Milliseconds() }

func (in *target) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-in.startedAt) * in.clockRate)
}

func (s *simulation) addInstance() { s.addInstanceAt(fmt.Sprintf("addr%d", s.instanceCount+1)) }

func (s *simulation) addInstanceAt(address string) {
	s.instanceCount++
	s.announce(s.boot(fleet.InstanceID(fmt.Sprintf("i%d", s.instanceCount)), address))
}

// boot starts an instance that has not announced itself.
func (s *simulation) boot(id fleet.InstanceID, address string) *target {
	in := &target{
		Instance: workload.Instance{
			ID: id, Boot: s.wallMillis(), Pool: "p", Address: address,
			Capacity: workload.Resources{Processors: 4000, Memory: 4000}, Sequence: 1,
		},
		clockRate: 0.98 + 0.02*rapid.Float64Range(0, 1).Draw(s.t, "rate"), startedAt: s.now,
		runs: map[workload.TaskID]workload.Run{}, rejectedUpTo: map[workload.TaskID]workload.Run{}, doneTasks: map[workload.TaskID]*doneTask{},
	}
	s.instances[in.ID] = in
	return in
}

// announce announces an instance; a copy of the announcement may arrive late.
func (s *simulation) announce(in *target) {
	in.Sequence++
	in.Clock = in.clock(s.now)
	s.handleAnnouncement(in.Instance)
	if boot := s.committed.Workload.Enrolled[in.ID].Boot; boot != in.Boot {
		s.t.Fatalf("%s has announced boot %d, but boot %d is enrolled", in.ID, in.Boot, boot)
	}
	if delay := s.drawDelay("copy", maxAnnouncementDelay); delay > 0 {
		s.announcements = append(s.announcements, announcementInFlight{in.Instance, s.fence, s.now + delay})
	}
}

// handleAnnouncement commits what follows from an announcement in the order of the supervisor.
func (s *simulation) handleAnnouncement(in workload.Instance) {
	enrol := s.scheduler.HandleAnnouncement(s.now, in)
	s.commitDeregistrations()
	if enrol {
		s.commit(state.EnrolInstance{Instance: in})
		s.scheduler.ConfirmEnrolled(in.ID)
	}
	if record, uncommitted := s.scheduler.UncommittedChange(in.ID); uncommitted {
		s.commit(state.EnrolInstance{Instance: record, KeepsCordon: true})
		s.scheduler.ConfirmChange(record)
	}
}

// resize changes the capacity of an instance, which announces it at once.
func (s *simulation) resize(in *target) {
	processors := rapid.Int64Range(0, 4000).Draw(s.t, "processors")
	if processors < in.Capacity.Processors {
		in.shrunkAt = s.now
	}
	in.Capacity.Processors = processors
	s.announce(in)
}

// crash ends all runs of an instance, which is back with a new boot later.
func (s *simulation) crash(in *target) {
	in.crashed = true
	clear(in.runs)
	s.reboots = append(s.reboots, reboot{at: s.now + 3*time.Second, address: in.Address})
}

func (s *simulation) rebootDue() {
	s.reboots = slices.DeleteFunc(s.reboots, func(r reboot) bool {
		switch {
		case s.now < r.at:
			return false
		case r.id == "":
			s.addInstanceAt(r.address)
		default:
			s.bootAgain(r)
		}
		return true
	})
}

func (s *simulation) submitJob() {
	s.jobCount++
	count := rapid.IntRange(1, 3).Draw(s.t, "count")
	job := workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", s.jobCount)), Steps: []workload.Step{
		{Count: count, Resources: workload.Resources{Processors: 1500, Memory: 500}, Gang: rapid.Bool().Draw(s.t, "gang")},
		{Count: 1, Resources: workload.Resources{Processors: 500}, After: []int{0}, Service: rapid.Bool().Draw(s.t, "standing")},
	}}
	s.commit(state.SubmitJob{Job: job, Queue: "q", Customer: "a", At: state.Timestamp(s.wallMillis())})
	s.scheduler.AddJob(s.now, s.wallMillis(), s.committed.Workload.Jobs[job.ID], false)
}

// submitDeadlyJob submits a job of which the first task crashes each instance that starts it.
func (s *simulation) submitDeadlyJob() {
	s.jobCount++
	job := workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", s.jobCount)), Steps: []workload.Step{{Count: 2, Resources: workload.Resources{Processors: 500}}}}
	s.commit(state.SubmitJob{Job: job, Queue: "q", Customer: "a", At: state.Timestamp(s.wallMillis())})
	s.deadlyTasks[workload.TaskID{Job: job.ID}] = &deadlyTask{}
	s.scheduler.AddJob(s.now, s.wallMillis(), s.committed.Workload.Jobs[job.ID], false)
}

func (s *simulation) cancelJob() {
	id := s.drawJob()
	if id == "" {
		return
	}
	s.commit(state.CancelJob{Job: id, At: state.Timestamp(s.wallMillis())})
	s.scheduler.CancelJob(s.now, id)
}

func (s *simulation) drawJob() workload.JobID {
	ids := slices.Sorted(maps.Keys(s.committed.Workload.Jobs))
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(s.t, "job")
}

func (s *simulation) drawInstance() *target {
	ids := slices.Sorted(maps.Keys(s.instances))
	if len(ids) == 0 {
		return nil
	}
	return s.instances[rapid.SampledFrom(ids).Draw(s.t, "instance")]
}

// advance advances the time by ticks of tickInterval. Each tick expires leases, delivers orders and runs the scheduler.
func (s *simulation) advance(ticks int) {
	for range ticks {
		s.now += tickInterval
		for _, in := range s.sortedInstances() {
			if len(in.runs) > 0 && in.clock(s.now) > in.leaseDeadline {
				for _, task := range sortedTasks(in.runs) {
					in.endRun(task, workload.EndedLeaseExpired)
				}
			}
		}
		s.deliverDue()
		s.deliverResponses()
		s.deliverPolls()
		s.rebootDue()
		s.deliverAnnouncements()
		s.tick()
	}
}

func (s *simulation) sortedInstances() []*target {
	list := make([]*target, 0, len(s.instances))
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		list = append(list, s.instances[id])
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

func (s *simulation) tick() {
	s.scheduler.Tick(s.now, s.wallMillis())
	orders := s.scheduler.TakeOrders()
	slices.SortFunc(orders, compareOrders) // the scheduler iterates over maps, and a seed must repeat its case
	for _, o := range orders {
		s.send(o)
	}
	ends, failed, number := s.scheduler.TakeEnds()
	if number != 0 {
		s.uncommittedBatches = append(s.uncommittedBatches, endBatch{number, state.RecordRunEnds{Ends: ends, Failed: failed, Crashes: s.scheduler.TakeCrashes(), At: state.Timestamp(s.wallMillis())}})
	}
	s.commitDeregistrations()
	if list := s.scheduler.TakeCordons(); len(list) > 0 {
		s.commit(state.CordonInstances{Instances: list})
	}
	if list := s.scheduler.TakeUncordons(); len(list) > 0 {
		s.commit(state.UncordonInstances{Instances: list})
		s.scheduler.ConfirmUncordoned(list)
	}
}

func compareOrders(a, b scheduler.Order) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Run, b.Run), cmp.Compare(a.Kind, b.Kind))
}

func (s *simulation) commitDeregistrations() {
	if c := s.scheduler.TakeDeregistrations(); len(c.Instances) > 0 {
		s.commit(c)
	}
}

// commitOldestBatch commits the oldest batch of ends.
func (s *simulation) commitOldestBatch() {
	if len(s.uncommittedBatches) == 0 {
		return
	}
	batch := s.uncommittedBatches[0]
	s.uncommittedBatches = s.uncommittedBatches[1:]
	s.commit(batch.command)
	s.scheduler.ConfirmEnds(batch.number)
}

// TestStartsKeepInvariants drives schedulers through lost, late and reordered orders, polls and announcements, instances that
// crash, restart under their ID, become unreachable and join, changes of leader, cancellations and ends of runs. It checks the
// invariants at every start on an instance, and that every instance is enrolled that has announced itself in order. It fails if too few messages are out of order.
//
// Actions are drawn from the sorted list of their names, so a changed name changes the cases that a seed generates.
func TestStartsKeepInvariants(t *testing.T) {
	var counts reorderings
	cases := 0
	rapid.Check(t, func(t *rapid.T) {
		cases++
		s := newSimulation(t, &counts)
		for range 4 {
			s.addInstance()
		}
		s.advance(25)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { s.submitJob() },
			"cancel": func(*rapid.T) { s.cancelJob() },
			"join": func(*rapid.T) {
				if len(s.instances) < 8 {
					s.addInstance()
				}
			},
			"crash": func(*rapid.T) {
				if in := s.drawInstance(); in != nil {
					in.crashed = true
				}
			},
			"resize": func(*rapid.T) {
				if in := s.drawInstance(); in != nil && !in.crashed {
					s.resize(in)
				}
			},
			"live": func(*rapid.T) {
				for range 35 {
					s.pollAll()
					s.commitOldestBatch()
				}
			},
			"deadly": func(*rapid.T) { s.submitDeadlyJob() },
			"dark": func(*rapid.T) {
				if in := s.drawInstance(); in != nil {
					in.unreachable = !in.unreachable
				}
			},
			"announce": func(*rapid.T) {
				if in := s.drawInstance(); in != nil && !in.crashed {
					s.announce(in)
				}
			},
			"lead": func(*rapid.T) { s.startLeader() },
			"done": func(*rapid.T) {
				if in := s.drawInstance(); in != nil && !in.crashed {
					s.endDrawnRun(in, workload.EndedDone)
				}
			},
			"fail": func(*rapid.T) {
				if in := s.drawInstance(); in != nil && !in.crashed {
					s.endDrawnRun(in, workload.EndedFailed)
				}
			},
			"look":   func(*rapid.T) { s.pollAll() },
			"settle": func(*rapid.T) { s.commitOldestBatch() },
			"pass":   func(t *rapid.T) { s.advance(rapid.IntRange(1, 30).Draw(t, "steps")) },
			"overlap": func(t *rapid.T) {
				if in := s.drawInstance(); in != nil {
					for range rapid.IntRange(2, 4).Draw(t, "polls") {
						s.sendPoll(in)
					}
				}
			},
			"relive": func(*rapid.T) {
				if in := s.drawInstance(); in != nil && !in.crashed {
					s.relive(in)
				}
			},
			"restart": func(*rapid.T) {
				if in := s.drawInstance(); in != nil && !in.crashed {
					s.restart(in)
				}
			},
		})
	})
	t.Logf("%d cases, out of order: %+v", cases, counts)
	counts.check(t, cases)
}
