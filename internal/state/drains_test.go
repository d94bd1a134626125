package state

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// TestDelayedDrainRequestIsRefused guards against a copy of a request that is delayed inside the system and takes effect after the opposite
// request, and against a repeated request that is refused.
func TestDelayedDrainRequestIsRefused(t *testing.T) {
	s := New()
	for i, step := range []struct {
		name    string
		command Command
		refused Kind
		drained bool
	}{
		{"no name", DrainDataCentre{}, KindInvalid, false},
		{"resumption of a data centre that is not drained", ResumeDataCentre{DataCentre: "a"}, 0, false},
		{"drain", DrainDataCentre{DataCentre: "a", By: "x", At: 3}, 0, true},
		{"repeated drain", DrainDataCentre{DataCentre: "a", By: "y", At: 4}, 0, true},
		{"delayed resumption", ResumeDataCentre{DataCentre: "a"}, KindStale, true},
		{"resumption", ResumeDataCentre{DataCentre: "a", Revision: 3}, 0, false},
		{"repeated resumption", ResumeDataCentre{DataCentre: "a", Revision: 3}, 0, false},
		{"delayed copy of the first drain", DrainDataCentre{DataCentre: "a", By: "x", At: 3}, KindStale, false},
		{"drain of another data centre", DrainDataCentre{DataCentre: "b"}, 0, false},
		{"next drain", DrainDataCentre{DataCentre: "a", By: "z", At: 10, Revision: 6}, 0, true},
		{"delayed copy of the resumption", ResumeDataCentre{DataCentre: "a", Revision: 3}, KindStale, true},
	} {
		reply := s.ApplyCommand(uint64(i+1), step.command)
		assert.Equal(t, reply.Refused, step.refused, step.name)
		record, drained := s.DrainedDataCentres["a"]
		assert.Equal(t, drained, step.drained, step.name)
		if step.name == "repeated drain" {
			assert.DeepEqual(t, record, DataCentreDrain{By: "x", At: 3, Index: 3})
		}
	}
	assert.DeepEqual(t, s.DrainedDataCentres["a"], DataCentreDrain{By: "z", At: 10, Index: 10})
}

// TestDrainsSurviveSnapshot guards against a keeper that restarts from a snapshot without the drains or their revisions.
func TestDrainsSurviveSnapshot(t *testing.T) {
	s := New()
	s.ApplyCommand(1, DrainDataCentre{DataCentre: "a", By: "x", At: 3})
	s.ApplyCommand(2, DrainDataCentre{DataCentre: "b"})
	s.ApplyCommand(3, ResumeDataCentre{DataCentre: "b", Revision: 2})
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored, err := FromSnapshot(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.DrainedDataCentres, s.DrainedDataCentres)
	assert.DeepEqual(t, restored.DrainRevisions, s.DrainRevisions)
	assert.Equal(t, restored.ApplyCommand(4, DrainDataCentre{DataCentre: "b"}).Refused, KindStale, "delayed copy")
}

// earlierCodec is the codec of the version before the drains.
var earlierCodec = newCommandCodec(
	Configure{}, GrantKey{}, WithdrawKey{}, AssignInstance{}, Disrupt{}, AdvancePhase{}, CompleteMove{}, Restore{}, SetLost{}, RemoveInstance{},
	AssignOwner{}, SetPermit{}, RegisterMember{}, RemoveMember{}, OpenClaim{}, DispatchClaim{}, SettleClaim{}, ExpireClaims{}, Halt{}, Resume{}, SetIsolated{}, Roll{}, SetDeprioritized{},
	PublishCatalogue{}, SubmitJob{}, CancelJob{}, RecordRunEnds{}, DeleteJobs{}, EnrolInstance{}, DeregisterInstances{}, AddWave{}, RecordMaintenanceStart{},
	CordonInstances{}, UncordonInstances{}, Barrier{},
)

// TestEarlierVersionSkipsDrainCommands guards against a keeper of the earlier version that stops at a new command, reads another command in
// its place, or cannot read a snapshot of this version; and against command tags that have changed.
func TestEarlierVersionSkipsDrainCommands(t *testing.T) {
	for _, c := range []Command{DrainDataCentre{DataCentre: "a"}, ResumeDataCentre{DataCentre: "a"}} {
		record, err := Encode(c)
		assert.NilError(t, err)
		var e envelope
		assert.Assert(t, earlierCodec.Decode(record, &e) != nil, "%T is read as %T", c, e.Command)
	}
	var earlier envelope
	record, err := Encode(CancelJob{Job: "j"})
	assert.NilError(t, err)
	assert.NilError(t, earlierCodec.Decode(record, &earlier))
	assert.DeepEqual(t, earlier.Command, &CancelJob{Job: "j"})

	s := New()
	s.ApplyCommand(1, DrainDataCentre{DataCentre: "a"})
	s.ApplyCommand(2, EnrolInstance{Instance: workload.Instance{ID: "i", Machine: "m", DataCentre: "a"}})
	data, err := s.Snapshot()
	assert.NilError(t, err)
	var tables struct {
		Work struct {
			Enrolled map[fleet.InstanceID]workload.Instance `cbor:"4,keyasint"`
		} `json:"work"`
	}
	assert.NilError(t, earlierCodec.Decode(data, &tables))
	assert.Equal(t, tables.Work.Enrolled["i"].Machine, "m")
}

// TestReplicaThatSkippedDrainsCatchesUp guards against replicas that stay apart for good after one of them was of the earlier version while
// drains were committed: a repeated drain and a resumption must leave both with the same tables.
func TestReplicaThatSkippedDrainsCatchesUp(t *testing.T) {
	for name, commands := range map[string][]Command{
		"repeated drain":            {DrainDataCentre{DataCentre: "a", By: "x", At: 3, Revision: 3, Index: 3}},
		"resumption":                {ResumeDataCentre{DataCentre: "a", Revision: 3}},
		"drain, resumption, copies": {DrainDataCentre{DataCentre: "a", By: "x", At: 3, Revision: 3, Index: 3}, ResumeDataCentre{DataCentre: "a", Revision: 3}, DrainDataCentre{DataCentre: "a", By: "x", At: 3, Revision: 3, Index: 3}},
		"resumption, copy":          {ResumeDataCentre{DataCentre: "a", Revision: 3}, DrainDataCentre{DataCentre: "a", By: "x", At: 3, Revision: 3, Index: 3}, DrainDataCentre{DataCentre: "a", Revision: 4}},
	} {
		full, behind := New(), New()
		full.ApplyCommand(1, DrainDataCentre{DataCentre: "a"})
		full.ApplyCommand(2, ResumeDataCentre{DataCentre: "a", Revision: 1})
		full.ApplyCommand(3, DrainDataCentre{DataCentre: "a", By: "x", At: 3, Revision: 2})
		for i, c := range commands {
			index := uint64(4 + i)
			assert.Equal(t, full.ApplyCommand(index, c).Refused, behind.ApplyCommand(index, c).Refused, name)
			assert.DeepEqual(t, full.DrainedDataCentres, behind.DrainedDataCentres)
			assert.DeepEqual(t, full.DrainRevisions, behind.DrainRevisions)
		}
	}
}

// TestDrainsAgainstOracle compares random requests, repeated and delayed at random, with a register that only takes writes of its latest
// revision.
func TestDrainsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		drained, revision := false, uint64(0)
		var sent []Command
		for index := uint64(1); index < 40; index++ {
			var c Command
			switch choice := rapid.IntRange(0, 2).Draw(t, "choice"); {
			case choice == 0 && len(sent) > 0:
				c = rapid.SampledFrom(sent).Draw(t, "copy")
			case choice == 1:
				c = DrainDataCentre{DataCentre: "a", Revision: revision}
			default:
				c = ResumeDataCentre{DataCentre: "a", Revision: revision}
			}
			sent = append(sent, c)
			target, known := true, uint64(0)
			if d, ok := c.(DrainDataCentre); ok {
				known = d.Revision
			} else {
				target, known = false, c.(ResumeDataCentre).Revision
			}
			refused := target != drained && known != revision
			if target != drained && !refused {
				drained, revision = target, index
			}
			assert.Equal(t, s.ApplyCommand(index, c).Refused == KindStale, refused)
			_, got := s.DrainedDataCentres["a"]
			assert.Equal(t, got, drained)
		}
	})
}

// TestKnownDataCentres guards against a request that was accepted and is refused when it is repeated, because the last instance of the data
// centre has left.
func TestKnownDataCentres(t *testing.T) {
	s := New()
	s.ApplyCommand(1, EnrolInstance{Instance: workload.Instance{ID: "i", DataCentre: "a"}})
	s.Instances["j"] = Assignment{Instance: "j", DataCentre: "b"}
	assert.Assert(t, s.HasDataCentre("a") && s.HasDataCentre("b"))
	assert.Assert(t, !s.HasDataCentre("c") && !s.HasDataCentre(""))
	s.ApplyCommand(2, ResumeDataCentre{DataCentre: "a"})
	s.ApplyCommand(3, DeregisterInstances{Instances: []fleet.InstanceID{"i"}})
	assert.Assert(t, s.HasDataCentre("a"), "a resumption was accepted")
}

// TestLocationsOfMachinesAreBounded guards against a committed state, and snapshots, that grow with each machine that there ever was, as where
// machines get a new name at each start. Those with an instance are kept.
func TestLocationsOfMachinesAreBounded(t *testing.T) {
	s := New()
	s.ApplyCommand(1, EnrolInstance{Instance: workload.Instance{ID: "kept", Machine: "kept", DataCentre: "a"}})
	for i := range uint64(2*maxMachineDataCentres + 10) {
		machine := fmt.Sprint("m-", i)
		s.ApplyCommand(2*i+2, EnrolInstance{Instance: workload.Instance{ID: "i", Machine: machine, DataCentre: "b"}})
		s.ApplyCommand(2*i+3, DeregisterInstances{Instances: []fleet.InstanceID{"i"}})
		assert.Equal(t, s.Workload.MachineDataCentres[machine], fleet.DataCentreID("b"))
	}
	assert.Assert(t, len(s.Workload.MachineDataCentres) <= maxMachineDataCentres, "%d", len(s.Workload.MachineDataCentres))
	assert.Equal(t, s.Workload.MachineDataCentres["kept"], fleet.DataCentreID("a"))
}
