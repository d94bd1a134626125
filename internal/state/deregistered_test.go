package state

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/codec"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// deregister applies the removal of one instance.
func deregister(s *State, id fleet.InstanceID, b DeregisteredBoot, at Timestamp) {
	s.ApplyCommand(s.AppliedIndex+1, DeregisterInstances{Instances: []fleet.InstanceID{id}, Boots: DeregisteredBoots{id: b}, At: at})
}

// TestDeregisteredBootIsKeptWhileItsAnnouncementsArrive guards against a record that is lost in a snapshot, is replaced by one that says less,
// stays for good, or stays beside the enrolment of its instance.
func TestDeregisteredBootIsKeptWhileItsAnnouncementsArrive(t *testing.T) {
	s := New()
	s.ApplyCommand(1, EnrolInstance{Instance: workload.Instance{ID: "i", Boot: 5, Sequence: 7}})
	deregister(s, "i", DeregisteredBoot{Boot: 5, Sequence: 9}, 1000)
	deregister(s, "i", DeregisteredBoot{Boot: 5, Sequence: 3}, 2000)
	data, err := s.Snapshot()
	assert.NilError(t, err)
	s, err = FromSnapshot(data)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Workload.Enrolled), 0)
	assert.DeepEqual(t, s.Workload.Deregistered, DeregisteredBoots{"i": {Boot: 5, Sequence: 9, At: 2000}})
	deregister(s, "j", DeregisteredBoot{Boot: 6, Sequence: 1}, 32_000)
	assert.Equal(t, len(s.Workload.Deregistered), 2, "removed too early")
	deregister(s, "j", DeregisteredBoot{Boot: 6, Sequence: 1}, 32_001)
	assert.DeepEqual(t, s.Workload.Deregistered, DeregisteredBoots{"j": {Boot: 6, Sequence: 1, At: 32_001}})
	s.ApplyCommand(9, EnrolInstance{Instance: workload.Instance{ID: "j", Boot: 6, Sequence: 2}})
	assert.Equal(t, len(s.Workload.Deregistered), 0)
}

// TestOvertakenBoots guards against an announcement that enrols an earlier state of a deregistered instance, and against an instance that is
// kept out although it returns.
func TestOvertakenBoots(t *testing.T) {
	records := DeregisteredBoots{"i": {Boot: 5, Sequence: 9, At: 1000}, "unnumbered": {Boot: 5, At: 1000}}
	for _, c := range []struct {
		id        fleet.InstanceID
		boot      int64
		sequence  uint64
		now       Timestamp
		overtaken bool
	}{
		{"i", 5, 8, 1000, true}, {"i", 5, 9, 1000, true}, {"i", 5, 10, 1000, false},
		{"i", 4, 99, 1000, true}, {"i", 6, 1, 1000, false}, {"i", 6, 0, 1000, false},
		{"i", 5, 9, 31_000, true}, {"i", 5, 9, 31_001, false}, {"i", 5, 9, 0, true},
		{"unnumbered", 5, 0, 1000, false}, {"unnumbered", 5, 1, 1000, false}, {"unnumbered", 4, 1, 1000, true},
		{"j", 1, 1, 1000, false},
	} {
		assert.Equal(t, records.Overtakes(c.id, c.boot, c.sequence, c.now), c.overtaken, "%+v", c)
	}
}

// TestDeregisteredBootsAreBounded guards against snapshots that grow with each instance that there ever was if the clock of a leader stands
// still, and against ones that are larger for a fleet that leaves at once than for the same fleet enrolled.
func TestDeregisteredBootsAreBounded(t *testing.T) {
	const instances = 3000
	s := New()
	c := DeregisterInstances{Boots: DeregisteredBoots{}, At: 1_800_000_000_000}
	for i := range instances {
		in := workload.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("i-%010x", i)), Boot: 1_799_999_999_000, Pool: "pool", Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), DataCentre: "dc-1",
			Machine: fmt.Sprint("m-", i), Rack: "r1-1", Capacity: workload.Resources{Processors: 64000, Memory: 131072}, Sequence: 100_000,
		}
		s.ApplyCommand(uint64(i+1), EnrolInstance{Instance: in})
		c.Instances = append(c.Instances, in.ID)
		c.Boots[in.ID] = DeregisteredBoot{Boot: in.Boot, Sequence: in.Sequence}
	}
	full, err := s.Snapshot()
	assert.NilError(t, err)
	s.ApplyCommand(instances+1, c)
	assert.Equal(t, len(s.Workload.Deregistered), instances)
	empty, err := s.Snapshot()
	assert.NilError(t, err)
	t.Logf("%d bytes with %d instances, %d with their records", len(full), instances, len(empty))
	assert.Assert(t, len(empty) < len(full)/2, "%d bytes after, %d before", len(empty), len(full))
	for i := 0; i < maxDeregisteredBoots; i += 64 {
		later := DeregisterInstances{Boots: DeregisteredBoots{}, At: c.At + 1}
		for j := range 64 {
			later.Boots[fleet.InstanceID(fmt.Sprint("later-", i+j))] = DeregisteredBoot{Boot: 1}
		}
		s.ApplyCommand(s.AppliedIndex+1, later)
		assert.Assert(t, len(s.Workload.Deregistered) <= maxDeregisteredBoots)
	}
	_, kept := s.Workload.Deregistered["later-0"]
	assert.Assert(t, kept, "not the oldest are dropped")
}

// earlierDeregisterInstances is the command of the version before the records.
type earlierDeregisterInstances struct {
	Instances []fleet.InstanceID `cbor:"1,keyasint"`
}

// TestEarlierVersionIgnoresDeregisteredBoots guards against a keeper of the earlier version that cannot read a log or a snapshot of this one, and
// against a keeper of this version that cannot read those of the earlier.
func TestEarlierVersionIgnoresDeregisteredBoots(t *testing.T) {
	earlier := codec.MustNew(codec.Registration{Tag: 70_029, Sample: earlierDeregisterInstances{}})
	record, err := Encode(DeregisterInstances{Instances: []fleet.InstanceID{"i"}, Boots: DeregisteredBoots{"i": {Boot: 5, Sequence: 9}}, At: 1000})
	assert.NilError(t, err)
	var e struct {
		Command any `cbor:"1,keyasint"`
	}
	assert.NilError(t, earlier.Decode(record, &e))
	assert.DeepEqual(t, e.Command, earlierDeregisterInstances{Instances: []fleet.InstanceID{"i"}})

	s := New()
	s.ApplyCommand(1, EnrolInstance{Instance: workload.Instance{ID: "i", Boot: 5}})
	withoutRecord, err := s.Snapshot()
	assert.NilError(t, err)
	deregister(s, "j", DeregisteredBoot{Boot: 5, Sequence: 9}, 1000)
	withRecord, err := s.Snapshot()
	assert.NilError(t, err)
	for _, data := range [][]byte{withoutRecord, withRecord} {
		var tables struct {
			Work struct {
				Enrolled map[fleet.InstanceID]workload.Instance `cbor:"4,keyasint"`
				Forecast []byte                                 `cbor:"8,keyasint,omitempty"`
			} `json:"work"`
		}
		assert.NilError(t, earlier.Decode(data, &tables))
		assert.Equal(t, tables.Work.Enrolled["i"].Boot, int64(5))
	}
	restored, err := FromSnapshot(withoutRecord)
	assert.NilError(t, err)
	record, err = earlier.Encode(e)
	assert.NilError(t, err)
	assert.NilError(t, restored.Apply(2, record).Err())
	assert.Equal(t, len(restored.Workload.Enrolled)+len(restored.Workload.Deregistered), 0)
}
