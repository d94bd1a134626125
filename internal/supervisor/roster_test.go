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

// replica is a group of one that commits at once.
type singleReplica struct {
	mutex sync.RWMutex
	state *state.State
	index uint64
}

func (r *singleReplica) Leads() (uint64, bool) { return 1, true }

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

// silent is a fleet that answers nothing.
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

// TestInstanceBornAgainStaysEnrolled answers an instance that starts again under its id: its earlier boot leaves the committed
// state before the later one enters it, never the other way round, or the next leader would not ask it what it runs.
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
	time.Sleep(300 * time.Millisecond) // a strike that follows would come with the next plan, 50 ms later
	assert.Equal(t, enrolled(), int64(20))
}

// announce sends an announcement until the supervisor leads and takes it.
func announceInstance(t *testing.T, s *Supervisor, in *workload.Instance) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		response := s.HandleRequest(context.Background(), forwarder.Ask{Subject: forwarder.Announce, Instance: in})
		if response.Verdict == forwarder.Done {
			return
		}
	}
	t.Fatal("the announcement was not taken")
}

// patient is a fleet that tells how long a look may take.
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

// TestLookWithoutAnAnswerIsGivenUpSoon answers instances that leave a part of their calls unanswered: what ended there is
// seen a quarter of a second late at most.
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
		t.Fatal("no look was sent")
	}
}
