package courier_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/bootclock"
	"github.com/sapphiresail/sapphiresail/internal/courier"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// busyInstances answer polls with eight runs.
type busyInstances struct{}

func (busyInstances) Order(context.Context, scheduler.Order) (scheduler.Outcome, error) {
	return scheduler.Accepted, nil
}

func (busyInstances) Poll(context.Context, scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error) {
	report := scheduler.StatusReport{Boot: 1, Clock: time.Minute}
	for i := range 8 {
		report.Running = append(report.Running, scheduler.ReportedRun{
			Task: workload.TaskID{Job: "0123456789abcdef", Position: workload.NewPosition(0, 0, i)}, Run: 2_000_000_000, Percent: 10 * i,
		})
	}
	return report, scheduler.Accepted, nil
}

// BenchmarkCarriedPoll measures a poll through one carrier over loopback, 200 at a time; the processor time is that of both sides.
func BenchmarkCarriedPoll(b *testing.B) {
	key := identity.RandomHex(identity.MinKeyBytes)
	start := func(name string) *messenger.Messenger {
		id, err := identity.New(name, key)
		assert.NilError(b, err)
		m, err := messenger.New(id, "127.0.0.1:0", metrics.NewRegistry())
		assert.NilError(b, err)
		b.Cleanup(func() { assert.NilError(b, m.Close()) })
		return m
	}
	leader, follower := start("leader"), start("follower")
	leader.SetPeer("follower", follower.Address())
	follower.SetPeer("leader", leader.Address())
	carrier := courier.StartCarrier(courier.CarrierOptions{
		Transport: follower, Instances: busyInstances{}, Term: func() uint64 { return 1 }, Clock: bootclock.Now, Metrics: metrics.NewRegistry(),
	})
	b.Cleanup(func() { assert.NilError(b, carrier.Close()) })
	d := courier.StartDispatcher(courier.DispatcherOptions{
		Transport: leader, Direct: busyInstances{}, Leads: func() (uint64, bool) { return 1, true }, LeaseLeft: func() time.Duration { return time.Second },
		Carriers: func() []fleet.EntryID { return []fleet.EntryID{"follower"} }, Clock: bootclock.Now, Logger: zap.NewNop(),
	})
	b.Cleanup(func() { assert.NilError(b, d.Close()) })
	poll := func(i int) {
		id := fleet.InstanceID(fmt.Sprint("i-", i%200))
		_, outcome, err := d.Poll(context.Background(), scheduler.PollRequest{Instance: id, Address: "10.0.0.1:80", Fence: 1, Deadline: time.Minute, Timeout: time.Second})
		assert.Check(b, err)
		assert.Check(b, outcome == scheduler.Accepted)
	}
	for i := range 200 {
		poll(i)
	}
	time.Sleep(time.Second)
	b.ResetTimer()
	var workers sync.WaitGroup
	for w := range 200 {
		workers.Go(func() {
			for i := w; i < b.N; i += 200 {
				poll(w)
			}
		})
	}
	workers.Wait()
}
