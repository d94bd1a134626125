package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/table"
)

const twoPools = "version: 1\nsite: s\ndata-centres: [{name: dc-0, region: r}, {name: dc-1, region: r}]\n" +
	"customers:\n- {name: c, share: 1, limit: 96}\npools:\n- {name: p, minimum-available: 1}\n- {name: spare, minimum-available: 0, spare: true}\nqueues:\n- {name: q, pool: p, customer: c}\n" +
	"maintenance: {period: 504h, batch: 4, halt-after: 2}\n"

// poolsView returns a view of pool p with one instance in each data centre, with demand for more, and of the spare pool with three in each.
func poolsView(t *testing.T, running int) *planner.View {
	s := state.New()
	index := uint64(0)
	run := func(c state.Command) {
		index++
		assert.NilError(t, s.ApplyCommand(index, c).Err())
	}
	run(state.Configure{Text: []byte(twoPools)})
	run(state.RegisterMember{Member: state.Member{Entry: "e"}})
	v := &planner.View{
		Now: time.Unix(1_800_000_000, 0), State: s, Observations: table.New[fleet.InstanceID, planner.Observation](), Reports: table.New[fleet.PoolID, planner.PoolReport](),
		Entries: []fleet.EntryID{"e"}, LeaseExpired: func(fleet.EntryID) bool { return false },
	}
	for i := range 8 {
		home := fleet.PoolID("spare")
		if i < 2 {
			home = "p"
		}
		instance := fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("i%02d", i)), DataCentre: fleet.DataCentreID(fmt.Sprint("dc-", i%2)), Rack: fleet.RackID(fmt.Sprint(i)),
			HomePool: home, Capacity: fleet.Resources{Slots: 8}, BootID: "b", Condition: fleet.Ready,
		}
		run(state.AssignInstance{Instance: instance.ID, Pool: home, DataCentre: instance.DataCentre, Rack: instance.Rack, Boot: "b", At: state.TimestampOf(v.Now.Add(-time.Hour))})
		v.Observations.Put(instance.ID, planner.Observation{Instance: instance, Age: time.Second})
	}
	run(state.AssignOwner{Pool: "p", Entry: "e", Epoch: 1})
	v.Reports.Put("p", planner.PoolReport{Pool: "p", Entry: "e", Epoch: 1, Customers: map[fleet.CustomerID]planner.CustomerReport{"c": {Load: dispatcher.Load{Running: running}}}})
	return v
}

// movedInstances returns the instances that the planner moves within a second.
func movedInstances(v *planner.View) map[fleet.InstanceID]bool {
	p := planner.New(v.Now.Add(-time.Minute))
	moved := map[fleet.InstanceID]bool{}
	for range 20 {
		for _, s := range p.Tick(v) {
			if d, ok := s.Command.(state.Disrupt); ok && d.Reason == state.ReasonMove {
				moved[d.Instance] = true
			}
		}
		v.Now = v.Now.Add(50 * time.Millisecond)
	}
	return moved
}

// TestMovesLeaveDrainedDataCentre guards against a pool that counts its instances in a drained data centre as available, so that it gets no
// others, and against moves of instances there.
func TestMovesLeaveDrainedDataCentre(t *testing.T) {
	v := poolsView(t, 10)
	assert.Equal(t, len(movedInstances(v)), 0, "two instances are enough")
	v = poolsView(t, 10)
	v.State.DrainedDataCentres["dc-0"] = state.DataCentreDrain{}
	moved := movedInstances(v)
	assert.Assert(t, len(moved) > 0)
	for id := range moved {
		assert.Equal(t, v.State.Instances[id].DataCentre, fleet.DataCentreID("dc-1"), "%s", id)
	}
}

// TestMaintenanceBeginsInDrainedDataCentre guards against planned stops of instances in use while those of a drained data centre wait, and
// against stops elsewhere that count on instances of the drained data centre.
func TestMaintenanceBeginsInDrainedDataCentre(t *testing.T) {
	stopsIn := func(v *planner.View) map[fleet.DataCentreID]int {
		stops := map[fleet.DataCentreID]int{}
		for _, s := range planner.New(v.Now.Add(-time.Minute), planner.WithoutStage("moves")).Tick(v) {
			if d, ok := s.Command.(state.Disrupt); ok && d.Reason == state.ReasonMaintenance {
				stops[v.State.Instances[d.Instance].DataCentre]++
			}
		}
		return stops
	}
	v := rolloutView(t, 4)
	v.State.DrainedDataCentres["dc-2"] = state.DataCentreDrain{}
	assert.DeepEqual(t, stopsIn(v), map[fleet.DataCentreID]int{"dc-2": 3})
	v = rolloutView(t, 4)
	for _, name := range []fleet.DataCentreID{"dc-1", "dc-2"} {
		v.State.DrainedDataCentres[name] = state.DataCentreDrain{}
	}
	for id, a := range v.State.Instances {
		if a.DataCentre != "dc-0" {
			a.MaintainedAt = state.TimestampOf(v.Now)
			v.State.Instances[id] = a
		}
	}
	assert.Equal(t, len(stopsIn(v)), 0, "three instances are left, the minimum is six")
}
