package planner_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/table"
)

// fleetView returns a view of a fleet with about 81 instances per pool and with customers that run tasks in each.
func fleetView(t testing.TB, instances int) *planner.View {
	pools := max(instances/81, 1)
	customers := min(170, max(6, instances/90))
	text := "version: 1\nsite: big\ndata-centres: [{name: dc-0, region: r}]\ncustomers:\n"
	for i := range customers {
		text += fmt.Sprintf("- {name: t%d, share: 1, limit: %d}\n", i, 8*instances/customers)
	}
	text += "pools:\n"
	for i := range pools {
		text += fmt.Sprintf("- {name: p%d, minimum-available: 2}\n", i)
	}
	text += "queues:\n"
	for i := range pools {
		text += fmt.Sprintf("- {name: q%d, pool: p%d, customer: t%d}\n", i, i, i%customers)
	}
	s := state.New()
	assert.NilError(t, s.ApplyCommand(1, state.Configure{Text: []byte(text)}).Err())
	s.ApplyCommand(2, state.RegisterMember{Member: state.Member{Entry: "e"}})
	now := time.Unix(1_800_000_000, 0)
	v := &planner.View{
		Now: now, State: s, Observations: table.New[fleet.InstanceID, planner.Observation](), Reports: table.New[fleet.PoolID, planner.PoolReport](),
		Entries: []fleet.EntryID{"e"}, LeaseExpired: func(fleet.EntryID) bool { return false },
	}
	for i := range instances {
		pool := fleet.PoolID(fmt.Sprintf("p%d", i%pools))
		x := fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("i%05d", i)), DataCentre: fleet.DataCentreID(fmt.Sprint("dc-", i%22)), Rack: fleet.RackID(fmt.Sprint(i / 88)),
			HomePool: pool, Capacity: fleet.Resources{Slots: 8}, BootID: "b", Condition: fleet.Ready,
		}
		s.ApplyCommand(uint64(i+3), state.AssignInstance{Instance: x.ID, Pool: pool, DataCentre: x.DataCentre, Rack: x.Rack, Boot: "b", At: state.TimestampOf(now)})
		v.Observations.Put(x.ID, planner.Observation{Instance: x, Age: time.Second})
	}
	for i := range pools {
		pool := fleet.PoolID(fmt.Sprintf("p%d", i))
		s.ApplyCommand(uint64(instances+i+3), state.AssignOwner{Pool: pool, Entry: "e", Epoch: 1})
		v.Reports.Put(pool, planner.PoolReport{Pool: pool, Entry: "e", Epoch: 1, Customers: map[fleet.CustomerID]planner.CustomerReport{
			fleet.CustomerID(fmt.Sprintf("t%d", i%customers)): {Load: dispatcher.Load{Running: 40, Waiting: 4}},
		}})
	}
	return v
}

// BenchmarkTick measures one tick of the planner over a fleet.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{50, 500, 5000, 16000} {
		b.Run(fmt.Sprintf("instances-%d", n), func(b *testing.B) {
			v := fleetView(b, n)
			p := planner.New(v.Now.Add(-time.Minute))
			p.Tick(v)
			for b.Loop() {
				p.Tick(v)
			}
		})
	}
}

// BenchmarkSnapshot measures the size of the committed state of a fleet.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{50, 500, 5000, 16000} {
		b.Run(fmt.Sprintf("instances-%d", n), func(b *testing.B) {
			v := fleetView(b, n)
			for b.Loop() {
				data, err := v.State.Snapshot()
				assert.NilError(b, err)
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}

// BenchmarkMemory measures the heap size of the committed state and the observations of a fleet, in bytes per instance.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{500, 5000, 16000} {
		b.Run(fmt.Sprintf("instances-%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				v := fleetView(b, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/instance")
				runtime.KeepAlive(v)
			}
		})
	}
}
