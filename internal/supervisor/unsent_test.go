package supervisor

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// lapsedSession is a session whose lease lapses while an order is on its way out, and is held again when the loop looks at it
// next. The test takes the place of the loop.
type lapsedSession struct {
	*term
	t       *testing.T
	replica *lapsingReplica
	fleet   *responsiveFleet
	now     time.Duration
}

// startLapsedSession starts a session with instance i on machine m and the given commands committed.
func startLapsedSession(t *testing.T, commands ...state.Command) *lapsedSession {
	t.Helper()
	s := &lapsedSession{
		t: t, replica: &lapsingReplica{singleReplica: singleReplica{state: state.New()}}, fleet: &responsiveFleet{boot: 1, bootedAt: time.Now()},
		now: monotonicNow(),
	}
	instance := workload.Instance{ID: "i", Boot: 1, Pool: "p", Address: "a", Machine: "m", Capacity: workload.Resources{Processors: 4000, Memory: 4000}}
	committed := append([]state.Command{
		state.PublishCatalogue{Source: []byte("x"), Catalogue: routedCatalogue(1, "other")},
		state.EnrolInstance{Instance: instance},
	}, commands...)
	_, errs := s.replica.CommitAll(t.Context(), committed)
	for _, err := range errs {
		assert.NilError(t, err)
	}
	options := &Options{
		Entry: "k", Replica: s.replica, Instances: s.fleet, Machines: s.fleet, Lease: 5 * time.Second, JobRetention: time.Minute,
		Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	}
	s.term = newTerm(t.Context(), options, newInstruments(options.Metrics), 1)
	t.Cleanup(s.close)
	s.scheduler = scheduler.New(s.now, wallMillis(), scheduler.Options{Fence: 1, LeaseDuration: options.Lease, LeadingSince: s.now}, &s.replica.state.Workload)
	return s
}

// withoutLease calls send while the lease has lapsed.
func (s *lapsedSession) withoutLease(send func()) {
	s.replica.setLapsed(true)
	send()
	s.replica.setLapsed(false)
	s.drainInbox()
}

// step advances the time by 100 ms, polls the instance, which runs nothing, and makes all decisions that are due.
func (s *lapsedSession) step() (orders []scheduler.Order, machineOrders []scheduler.MachineOrder) {
	s.now += 100 * time.Millisecond
	s.scheduler.HandleReport(s.now, "i", s.now-time.Millisecond, scheduler.StatusReport{Boot: 1, Clock: time.Second + s.now})
	s.scheduler.Tick(s.now, wallMillis())
	return s.scheduler.TakeOrders(), s.scheduler.TakeMachineOrders()
}

// TestUnsentOrderIsRepeated guards against orders that are dropped because the lease lapses just before they are sent, while
// the session goes on: a task that counts as started and never runs, a machine whose maintenance never begins.
func TestUnsentOrderIsRepeated(t *testing.T) {
	t.Run("start", func(t *testing.T) {
		job := workload.Job{ID: jobID, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{Processors: 1000, Memory: 100}}}}
		s := startLapsedSession(t, state.SubmitJob{Job: job, Queue: "q", At: state.Timestamp(wallMillis())})
		orders, _ := s.step()
		assert.Equal(t, len(orders), 1)
		assert.Equal(t, orders[0].Kind, scheduler.Start)
		s.withoutLease(func() { s.sendOrder(orders[0]) })
		assert.Equal(t, len(s.fleet.started), 0, "sent without the lease")
		for range 50 {
			orders, _ = s.step()
			for _, o := range orders {
				if o.Kind == scheduler.Start {
					return
				}
				s.scheduler.HandleOrderOutcome(s.now, o, scheduler.Accepted)
			}
			if s.ctx.Err() != nil {
				return // the next session starts the task
			}
		}
		t.Fatal("the task is not started within 5 s")
	})
	t.Run("maintenance", func(t *testing.T) {
		wave := workload.Wave{Number: 7, Machines: []string{"m"}, TimeLimit: time.Minute, MaxConcurrent: 1}
		s := startLapsedSession(t, state.AddWave{Wave: wave, At: state.Timestamp(wallMillis())})
		var orders []scheduler.MachineOrder
		for range 60 {
			if _, orders = s.step(); len(orders) > 0 {
				break
			}
		}
		assert.Equal(t, len(orders), 1)
		s.withoutLease(func() { s.sendMachineOrder(orders[0]) })
		assert.Equal(t, len(s.fleet.machines), 0, "sent without the lease")
		for range 50 {
			if _, orders = s.step(); len(orders) > 0 || s.ctx.Err() != nil {
				return
			}
		}
		t.Fatal("the maintenance is not ordered again within 5 s")
	})
}
