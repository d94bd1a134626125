package supervisor

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// singleReplica is a consensus group of one member that commits immediately.
type singleReplica struct {
	mutex sync.RWMutex
	state *state.State
	index uint64
}

func (r *singleReplica) Leads() (uint64, bool) { return 1, true }

func (r *singleReplica) LeaderLeaseLeft() time.Duration { return time.Second }

func (r *singleReplica) LeaderTerm() (uint64, bool) { return 1, true }

func (r *singleReplica) Resign(uint64) {}

func (r *singleReplica) View(read func(s *state.State)) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	read(r.state)
}

func (r *singleReplica) CommitAll(_ context.Context, commands []state.Command) ([]state.Reply, []error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	replies := make([]state.Reply, len(commands))
	errs := make([]error, len(commands))
	for i, c := range commands {
		r.index++
		replies[i] = r.state.ApplyCommand(r.index, c)
		errs[i] = replies[i].Err()
	}
	return replies, errs
}

// unresponsiveFleet times out on every request to instances and to the platform.
type unresponsiveFleet struct{}

func (unresponsiveFleet) Order(context.Context, scheduler.Order) (scheduler.Outcome, error) {
	return scheduler.Uncertain, context.DeadlineExceeded
}

func (unresponsiveFleet) Poll(context.Context, scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	return scheduler.StatusReport{}, scheduler.Uncertain, context.DeadlineExceeded
}

func (unresponsiveFleet) OrderMachine(context.Context, fleet.EntryID, uint64, scheduler.MachineOrder) (scheduler.MachineOutcome, error) {
	return scheduler.MachineUncertain, context.DeadlineExceeded
}

func (unresponsiveFleet) ListMachines(context.Context) ([]scheduler.Machine, error) {
	return nil, context.DeadlineExceeded
}

// TestRestartedInstanceStaysEnrolled guards against a restarted instance that is missing from the committed state. That happens
// if its earlier boot is deregistered after its later boot is enrolled under the same id; the next leader would not poll it.
func TestRestartedInstanceStaysEnrolled(t *testing.T) {
	r := &singleReplica{state: state.New()}
	s := Start(Options{
		Entry: "k", Replica: r, Instances: unresponsiveFleet{}, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	defer func() { assert.NilError(t, s.Close()) }()
	for boot := int64(1); boot <= 20; boot++ {
		in := &workload.Instance{ID: "i", Boot: boot, Pool: "p", Address: "a", Sequence: 1, Clock: time.Second}
		announceInstance(t, s, in)
	}
	enrolled := func() (boot int64) {
		r.View(func(s *state.State) { boot = s.Workload.Enrolled["i"].Boot })
		return boot
	}
	for end := time.Now().Add(30 * time.Second); enrolled() != 20 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond) // a late deregistration would come with the next run of the scheduler, 50 ms later
	assert.Equal(t, enrolled(), int64(20))
}

// gapReplica counts the commands after which instance "i" was missing although it had been enrolled before.
type gapReplica struct {
	singleReplica
	seen bool
	gaps int
}

func (r *gapReplica) CommitAll(ctx context.Context, commands []state.Command) (replies []state.Reply, errs []error) {
	for _, c := range commands {
		reply, err := r.singleReplica.CommitAll(ctx, []state.Command{c})
		replies, errs = append(replies, reply...), append(errs, err...)
		r.mutex.Lock()
		_, enrolled := r.state.Workload.Enrolled["i"]
		r.seen = r.seen || enrolled
		if r.seen && !enrolled {
			r.gaps++
		}
		r.mutex.Unlock()
	}
	return replies, errs
}

// TestRestartedInstanceIsEnrolledThroughout guards against a second run of one task: the leader is lost between the commands that replace the
// record of a restarted instance, and the next leader does not wait for the instance, which has executed a start of the leader before.
func TestRestartedInstanceIsEnrolledThroughout(t *testing.T) {
	r := &gapReplica{singleReplica: singleReplica{state: state.New()}}
	f := &emptyFleet{}
	s := Start(Options{
		Entry: "k", Replica: r, Instances: f, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	defer func() { assert.NilError(t, s.Close()) }()
	for boot := int64(1); boot <= 5; boot++ {
		announceInstance(t, s, &workload.Instance{ID: "i", Boot: boot, Pool: "p", Address: "a", Sequence: 1, Clock: time.Second})
		polled := f.polled.Load()
		for end := time.Now().Add(30 * time.Second); f.polled.Load() == polled && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, f.polled.Load() > polled, "boot %d is not polled", boot)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	assert.Equal(t, r.gaps, 0, "commands after which no instance was enrolled")
}

// announceInstance repeats an announcement until the supervisor leads and accepts it.
func announceInstance(t *testing.T, s *Supervisor, in *workload.Instance) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		response := s.HandleRequest(context.Background(), forwarder.Request{Operation: forwarder.Announce, Instance: in})
		if response.Outcome == forwarder.Done {
			return
		}
	}
	t.Fatal("no announcement was accepted within 30 s")
}

// pollTimeoutRecorder is an unresponsive fleet that records the timeout of a poll beyond its wait.
type pollTimeoutRecorder struct {
	unresponsiveFleet
	timeouts chan time.Duration
}

func (p pollTimeoutRecorder) Poll(ctx context.Context, request scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	deadline, _ := ctx.Deadline()
	select {
	case p.timeouts <- time.Until(deadline) - request.Wait:
	default:
	}
	return scheduler.StatusReport{}, scheduler.Uncertain, context.DeadlineExceeded
}

// TestUnansweredPollTimesOutWithinMargin guards against polls that wait long for a lost response: on instances that leave some
// requests unanswered, an ended run must be noticed at most 250 ms late.
func TestUnansweredPollTimesOutWithinMargin(t *testing.T) {
	recorder := pollTimeoutRecorder{timeouts: make(chan time.Duration, 1)}
	s := Start(Options{
		Entry: "k", Replica: &singleReplica{state: state.New()}, Instances: recorder, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	defer func() { assert.NilError(t, s.Close()) }()
	announceInstance(t, s, &workload.Instance{ID: "i", Boot: 1, Pool: "p", Address: "a", Sequence: 1, Clock: time.Second})
	select {
	case timeout := <-recorder.timeouts:
		assert.Assert(t, timeout <= 250*time.Millisecond, "%s", timeout)
	case <-time.After(30 * time.Second):
		t.Fatal("no poll was sent within 30 s")
	}
}
