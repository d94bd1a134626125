package supervisor

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// drainingInstance is an instance that repeats its announcements.
func drainingInstance(sequence uint64) *workload.Instance {
	return &workload.Instance{
		ID: "i", Boot: 1, Pool: "p", Address: "a", Sequence: sequence, Clock: time.Second, Capacity: workload.Resources{Processors: 4000, Memory: 4000},
		Draining: sequence > 1, TimeLeft: 4 * time.Second,
	}
}

// TestAcknowledgedDrainingIsCommitted guards against a start on an instance whose draining an earlier leader acknowledged: the
// next leader knows only what is committed until the instance announces itself again.
func TestAcknowledgedDrainingIsCommitted(t *testing.T) {
	r := &singleReplica{state: state.New()}
	s := Start(Options{
		Entry: "k", Replica: r, Instances: unresponsiveFleet{}, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	announceInstance(t, s, drainingInstance(1))
	for sequence := uint64(2); sequence < 5; sequence++ {
		announceInstance(t, s, drainingInstance(sequence))
		r.View(func(s *state.State) { assert.Assert(t, s.Workload.Enrolled["i"].Draining, "announcement %d", sequence) })
	}
}

// TestDrainingIsNotAcknowledgedBeforeItIsCommitted guards against the acknowledgement of a draining that the next leader does
// not know, because the commit fails or takes long.
func TestDrainingIsNotAcknowledgedBeforeItIsCommitted(t *testing.T) {
	s := startLapsedSession(t)
	announce := func(sequence uint64) forwarder.Response {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		done := make(chan forwarder.Response, 1)
		go func() {
			done <- s.announce(ctx, forwarder.Request{Operation: forwarder.Announce, Instance: drainingInstance(sequence)})
		}()
		for {
			select {
			case response := <-done:
				return response
			case f := <-s.inbox:
				f()
			}
		}
	}
	s.step()
	assert.Equal(t, announce(1).Outcome, forwarder.Done)
	s.registrationInFlight = true // a batch that is not committed yet
	assert.Equal(t, announce(2).Outcome, forwarder.NotLeading)
	assert.Equal(t, announce(3).Outcome, forwarder.NotLeading, "repeated")
	s.registrationInFlight = false
	assert.Equal(t, announce(4).Outcome, forwarder.Done)
	assert.Assert(t, s.replica.state.Workload.Enrolled["i"].Draining)
}

// TestAcknowledgedCapacityIsCommitted guards against starts of the next leader beyond a capacity that has shrunk, and against a capacity that
// has grown again unnoticed: keepers acknowledge without the leader what the committed state says.
func TestAcknowledgedCapacityIsCommitted(t *testing.T) {
	r := &singleReplica{state: state.New()}
	s := Start(Options{
		Entry: "k", Replica: r, Instances: unresponsiveFleet{}, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	for i, processors := range []int64{4000, 1000, 1000, 4000} {
		in := drainingInstance(1)
		in.Sequence, in.Capacity.Processors = uint64(i+1), processors
		announceInstance(t, s, in)
		if i == 0 {
			continue // an enrolment is not waited for
		}
		r.View(func(s *state.State) {
			record := s.Workload.Enrolled["i"]
			assert.Assert(t, record.SaysSame(in), "announcement %d: %s", i+1, record.Capacity)
		})
	}
}

// TestAcknowledgedDepartureIsCommitted guards against a start of the next leader on an instance that has left: the departure was acknowledged, and
// only the leader that was lost knew it.
func TestAcknowledgedDepartureIsCommitted(t *testing.T) {
	r := &singleReplica{state: state.New()}
	s := Start(Options{
		Entry: "k", Replica: r, Instances: unresponsiveFleet{}, Machines: unresponsiveFleet{}, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	announceInstance(t, s, drainingInstance(1))
	depart := forwarder.Request{Operation: forwarder.Depart, Instance: &workload.Instance{ID: "i", Boot: 1}}
	assert.Equal(t, handleWhenLeading(t, s, depart).Outcome, forwarder.Done)
	r.View(func(s *state.State) {
		record, enrolled := s.Workload.Enrolled["i"]
		assert.Assert(t, !enrolled || record.Draining)
	})
}
