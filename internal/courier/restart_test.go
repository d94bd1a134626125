package courier_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/courier"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// heldInstances are instances whose answers can be held back. The boot in a report is the number of the instance.
type heldInstances struct {
	mutex   sync.Mutex
	held    chan struct{}
	waiting int
}

func (h *heldInstances) Order(context.Context, scheduler.Order) (scheduler.Outcome, error) {
	return scheduler.Accepted, nil
}

func (h *heldInstances) Poll(ctx context.Context, request scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	h.mutex.Lock()
	held := h.held
	h.waiting++
	h.mutex.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
		}
	}
	return scheduler.StatusReport{Boot: numberOf(request.Instance)}, scheduler.Accepted, nil
}

// hold holds back the answers to the polls from now on until the returned function is called.
func (h *heldInstances) hold() (release func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held := make(chan struct{})
	h.held, h.waiting = held, 0
	return func() { close(held) }
}

// awaitPolls waits until n polls have arrived since hold was called.
func (h *heldInstances) awaitPolls(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		h.mutex.Lock()
		arrived := h.waiting >= n
		h.mutex.Unlock()
		if arrived {
			return
		}
	}
	t.Fatalf("%d polls have not arrived", n)
}

func numberOf(id fleet.InstanceID) int64 {
	n, err := strconv.ParseInt(strings.TrimPrefix(string(id), "i-"), 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

// TestResultsOfEarlierProcessAreIgnored guards against a report that is taken for that of another instance: the process of the leader restarts
// under its name while carriers wait for answers, and leads again when they pass them on.
func TestResultsOfEarlierProcessAreIgnored(t *testing.T) {
	const rounds = 8 // the exchanges of the second process have the numbers of those of the first among theirs
	n := &network{handlers: map[fleet.EntryID]map[messenger.Topic]messenger.Handler{}, silenced: map[fleet.EntryID]bool{}}
	instances := &heldInstances{}
	carriers := []fleet.EntryID{"a", "b"}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) + time.Hour }
	for _, id := range carriers {
		c := courier.StartCarrier(courier.CarrierOptions{
			Transport: port{n, id}, Instances: instances, Term: func() uint64 { return 5 }, Clock: now, Metrics: metrics.NewRegistry(),
		})
		defer func() { assert.NilError(t, c.Close()) }()
	}
	startLeader := func() *group {
		return &group{t: t, record: &record{}, Dispatcher: courier.StartDispatcher(courier.DispatcherOptions{
			Transport: port{n, "leader"}, Direct: instances, Leads: func() (uint64, bool) { return 5, true }, LeaseLeft: func() time.Duration { return time.Minute },
			Carriers: func() []fleet.EntryID { return carriers }, Clock: now, Logger: zap.NewNop(),
		})}
	}
	pollRounds := func(g *group, rounds int) (done func() (wrong int)) {
		var polls sync.WaitGroup
		var mutex sync.Mutex
		wrong := 0
		for range rounds {
			for i := range manyInstances {
				polls.Go(func() {
					report, outcome, _ := g.Poll(t.Context(), scheduler.PollRequest{Instance: instanceID(i), Fence: 5, Timeout: waitLimit})
					mutex.Lock()
					defer mutex.Unlock()
					if outcome == scheduler.Accepted && report.Boot != int64(i) {
						wrong++
					}
				})
			}
		}
		return func() int { polls.Wait(); return wrong }
	}
	warmUp := func(g *group) {
		for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
			assert.Equal(t, pollRounds(g, 1)(), 0)
		}
	}

	first := startLeader()
	warmUp(first)
	releaseFirst := instances.hold()
	doneFirst := pollRounds(first, 1)
	instances.awaitPolls(t, manyInstances)
	assert.NilError(t, first.Close())
	doneFirst()

	instances.mutex.Lock()
	instances.held = nil
	instances.mutex.Unlock()
	second := startLeader()
	defer func() { assert.NilError(t, second.Close()) }()
	warmUp(second)
	releaseSecond := instances.hold()
	doneSecond := pollRounds(second, rounds)
	instances.awaitPolls(t, rounds*manyInstances)
	releaseFirst()
	time.Sleep(100 * time.Millisecond) // the carriers pass the answers on within milliseconds
	releaseSecond()
	assert.Equal(t, doneSecond(), 0, "polls that got the report of another instance")
}
