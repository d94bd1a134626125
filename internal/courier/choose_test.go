package courier

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

func testLinks(places ...fleet.DataCentreID) []*link {
	var list []*link
	for i, place := range places {
		list = append(list, &link{carrier: fleet.EntryID(fmt.Sprint("k", i)), dataCentre: place, usable: true})
	}
	return list
}

func carriersOf(list []*link) (names []fleet.EntryID) {
	for _, l := range list {
		names = append(names, l.carrier)
	}
	return names
}

// TestCarriersOfEachDataCentreComeFirst guards against exchanges that cross data centres although a keeper stands beside the instance.
func TestCarriersOfEachDataCentreComeFirst(t *testing.T) {
	candidates := testLinks("x", "x", "y", "y", "z")
	assert.DeepEqual(t, carriersOf(chooseActive(candidates, 1)), []fleet.EntryID{"k0", "k2", "k4"})
	assert.DeepEqual(t, carriersOf(chooseActive(candidates, 4)), []fleet.EntryID{"k0", "k2", "k4", "k1"})
	assert.DeepEqual(t, carriersOf(chooseActive(candidates, 9)), []fleet.EntryID{"k0", "k2", "k4", "k1", "k3"})
	assert.Equal(t, len(chooseActive(nil, 3)), 0)
}

// TestNearCarrierIsChosen checks that instances go to a carrier in their data centre, are spread where there are several or none, and that
// the loss of a carrier moves no instance of another one.
func TestNearCarrierIsChosen(t *testing.T) {
	d := &Dispatcher{active: testLinks("x", "x", "y")}
	counts := map[fleet.EntryID]int{}
	chosen := map[fleet.InstanceID]*link{}
	for i := range 300 {
		place := fleet.DataCentreID([]string{"x", "y", "elsewhere"}[i%3])
		id := fleet.InstanceID(fmt.Sprint("i-", i))
		l := d.chooseLink(id, place)
		chosen[id] = l
		counts[l.carrier]++
		if place != "elsewhere" {
			assert.Equal(t, l.dataCentre, place)
		}
	}
	assert.Assert(t, counts["k0"] > 50 && counts["k1"] > 50 && counts["k2"] > 100, "%v", counts)
	lost := d.active[0]
	lost.usable = false
	for i := range 300 {
		place := fleet.DataCentreID([]string{"x", "y", "elsewhere"}[i%3])
		id := fleet.InstanceID(fmt.Sprint("i-", i))
		l := d.chooseLink(id, place)
		assert.Assert(t, l != lost)
		assert.Assert(t, chosen[id] == lost || l == chosen[id], "%s moved although its carrier is there", id)
	}
}
