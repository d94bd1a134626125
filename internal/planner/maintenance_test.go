package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/planner"
	"github.com/sapphiresail/sapphiresail/internal/state"
	"github.com/sapphiresail/sapphiresail/internal/table"
)

const spreadPool = "version: 1\nsite: s\ndata-centres: [{name: dc-0, region: r}, {name: dc-1, region: r}, {name: dc-2, region: r}]\n" +
	"customers:\n- {name: c, share: 1, limit: 96}\npools:\n- {name: p, minimum-available: 6}\nqueues:\n- {name: q, pool: p, customer: c}\n" +
	"maintenance: {period: 504h, batch: 4, halt-after: 2}\n"

// rolloutView returns a view of twelve instances in three data centres during a roll-out: the first has been maintained, the second
// is rebooting.
func rolloutView(t *testing.T, perRack int) *planner.View {
	s := state.New()
	index := uint64(0)
	run := func(c state.Command) {
		index++
		assert.NilError(t, s.ApplyCommand(index, c).Err())
	}
	now := time.Unix(1_800_000_000, 0)
	run(state.Configure{Text: []byte(spreadPool)})
	run(state.RegisterMember{Member: state.Member{Entry: "e"}})
	v := &planner.View{
		Now: now, State: s, Observations: table.New[fleet.InstanceID, planner.Observation](), Reports: table.New[fleet.PoolID, planner.PoolReport](),
		Entries: []fleet.EntryID{"e"}, LeaseExpired: func(fleet.EntryID) bool { return false },
	}
	for i := range 12 {
		instance := fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("i%02d", i)), DataCentre: fleet.DataCentreID(fmt.Sprint("dc-", i/4)), Rack: fleet.RackID(fmt.Sprint(i / perRack)),
			HomePool: "p", Capacity: fleet.Resources{Slots: 8}, BootID: "b", Condition: fleet.Ready,
		}
		run(state.AssignInstance{Instance: instance.ID, Pool: "p", DataCentre: instance.DataCentre, Rack: instance.Rack, Boot: "b", At: state.TimestampOf(now.Add(-time.Hour))})
		v.Observations.Put(instance.ID, planner.Observation{Instance: instance, Age: time.Second})
	}
	run(state.AssignOwner{Pool: "p", Entry: "e", Epoch: 1})
	v.Reports.Put("p", planner.PoolReport{Pool: "p", Entry: "e", Epoch: 1})
	run(state.Roll{At: state.TimestampOf(now.Add(-time.Minute))})
	runMaintenance(run, "i00", now)
	run(state.Disrupt{Instance: "i01", Reason: state.ReasonMaintenance, Boot: "b", At: state.TimestampOf(now)})
	run(state.AdvancePhase{Instance: "i01", From: state.Draining, To: state.Rebooting, At: state.TimestampOf(now)})
	return v
}

func runMaintenance(run func(state.Command), id fleet.InstanceID, now time.Time) {
	at := state.TimestampOf(now)
	run(state.Disrupt{Instance: id, Reason: state.ReasonMaintenance, Boot: "a", At: at})
	run(state.AdvancePhase{Instance: id, From: state.Draining, To: state.Rebooting, At: at})
	run(state.AdvancePhase{Instance: id, From: state.Rebooting, To: state.Verifying, At: at})
	run(state.Restore{Instance: id, Maintained: true, Boot: "b", At: at})
}

// plannedStops returns the number of instances that the next tick stops, by data centre.
func plannedStops(v *planner.View) map[fleet.DataCentreID]int {
	dataCentres := map[fleet.DataCentreID]int{}
	p := planner.New(v.Now.Add(-time.Minute))
	for _, step := range p.Tick(v) {
		if d, ok := step.Command.(state.Disrupt); ok && d.Reason == state.ReasonMaintenance {
			dataCentres[v.State.Instances[d.Instance].DataCentre]++
		}
	}
	return dataCentres
}

// TestStopsInSecondDataCentreToleratesRackLoss guards against stops in a second data centre when the pool could not lose its largest
// rack in addition. The current data centre of the roll-out has two instances left.
func TestStopsInSecondDataCentreToleratesRackLoss(t *testing.T) {
	for _, c := range []struct {
		perRack int
		want    map[fleet.DataCentreID]int
	}{
		{perRack: 1, want: map[fleet.DataCentreID]int{"dc-0": 2, "dc-1": 1}},
		{perRack: 4, want: map[fleet.DataCentreID]int{"dc-0": 2}},
	} {
		t.Run(fmt.Sprintf("racks of %d", c.perRack), func(t *testing.T) {
			assert.DeepEqual(t, plannedStops(rolloutView(t, c.perRack)), c.want)
		})
	}
}

// TestVerifyingInstancesDoNotCountAgainstBatch guards against a roll-out that waits for the verification of instances that have
// rebooted. Most of the batch has rebooted.
func TestVerifyingInstancesDoNotCountAgainstBatch(t *testing.T) {
	v := rolloutView(t, 1)
	at := state.TimestampOf(v.Now)
	for i, id := range []fleet.InstanceID{"i02", "i03"} {
		index := uint64(100 + 3*i)
		assert.NilError(t, v.State.ApplyCommand(index, state.Disrupt{Instance: id, Reason: state.ReasonMaintenance, Boot: "a", At: at}).Err())
		assert.NilError(t, v.State.ApplyCommand(index+1, state.AdvancePhase{Instance: id, From: state.Draining, To: state.Rebooting, At: at}).Err())
		assert.NilError(t, v.State.ApplyCommand(index+2, state.AdvancePhase{Instance: id, From: state.Rebooting, To: state.Verifying, At: at}).Err())
	}
	assert.DeepEqual(t, plannedStops(v), map[fleet.DataCentreID]int{"dc-1": 2})
}
