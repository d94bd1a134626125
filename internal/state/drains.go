package state

import (
	"cmp"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
)

// DataCentreDrain is the committed record of a drained data centre, on whose instances nothing is started.
type DataCentreDrain struct {
	// By is who requested the drain, and At when.
	By string    `json:"by"`
	At Timestamp `json:"at"`
	// Index is the log index of the command.
	Index uint64 `json:"index"`
}

// DrainDataCentre drains a data centre; a drained one stays unchanged. The version of the reply is the revision of the data centre, which is
// the index of the command if it has changed anything.
type DrainDataCentre struct {
	DataCentre fleet.DataCentreID
	By         string
	At         Timestamp
	// Revision is the revision of the data centre that the sender has read. A delayed copy of a request has an earlier one than a later
	// request left, and is refused.
	Revision uint64
	// Index is that of the record which the leader has already, or zero. A replica lacks the record if it was of an earlier version.
	Index uint64
}

// WithRecord returns the command with the record of the drain if it is committed already, so that a replica without it gets the same.
func (c DrainDataCentre) WithRecord(s *State) DrainDataCentre {
	if record, drained := s.DrainedDataCentres[c.DataCentre]; drained {
		c.By, c.At, c.Index = record.By, record.At, record.Index
	}
	return c
}

func (c DrainDataCentre) apply(s *State) (Reply, error) {
	if _, drained := s.DrainedDataCentres[c.DataCentre]; drained {
		return Reply{Version: s.DrainRevisions[c.DataCentre]}, nil
	}
	if err := s.checkDrainChange("drain data centre", c.DataCentre, c.Revision); err != nil {
		return Reply{}, err
	}
	record := DataCentreDrain{By: c.By, At: c.At, Index: cmp.Or(c.Index, s.AppliedIndex)}
	s.DrainedDataCentres[c.DataCentre] = record
	s.DrainRevisions[c.DataCentre] = record.Index
	return Reply{Version: record.Index}, nil
}

// ResumeDataCentre ends the drain of a data centre; one that is not drained stays unchanged. The reply is as for DrainDataCentre.
type ResumeDataCentre struct {
	DataCentre fleet.DataCentreID
	By         string
	At         Timestamp
	// Revision is the revision of the data centre that the sender has read, as in DrainDataCentre.
	Revision uint64
}

func (c ResumeDataCentre) apply(s *State) (Reply, error) {
	revision, accepted := s.DrainRevisions[c.DataCentre]
	_, drained := s.DrainedDataCentres[c.DataCentre]
	if !drained && accepted && c.Revision <= revision {
		return Reply{Version: revision}, nil
	}
	if err := s.checkDrainChange("resume data centre", c.DataCentre, c.Revision); err != nil {
		return Reply{}, err
	}
	delete(s.DrainedDataCentres, c.DataCentre)
	if drained || c.Revision > revision {
		revision = s.AppliedIndex // a replica with an earlier revision lacks the drain
	}
	s.DrainRevisions[c.DataCentre] = revision
	return Reply{Version: revision}, nil
}

// checkDrainChange refuses a change of a data centre without a name, and one that was requested before the latest change.
func (s *State) checkDrainChange(op string, dataCentre fleet.DataCentreID, revision uint64) error {
	if dataCentre == "" {
		return refuse(op, KindInvalid, "the name of the data centre is missing")
	}
	if latest := s.DrainRevisions[dataCentre]; revision < latest {
		return refuse(op, KindStale, "data centre %q was changed at index %d, after the request was sent", dataCentre, latest)
	}
	return nil
}

// HasDataCentre reports whether an instance of either interface is in a data centre, or a request to drain or resume it was accepted.
func (s *State) HasDataCentre(dataCentre fleet.DataCentreID) bool {
	if _, accepted := s.DrainRevisions[dataCentre]; accepted || dataCentre == "" {
		return accepted && dataCentre != ""
	}
	for _, in := range s.Workload.Enrolled {
		if in.DataCentre == dataCentre {
			return true
		}
	}
	for _, a := range s.Instances {
		if a.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// maxMachineDataCentres bounds the machines whose data centre is known: five times a fleet of three thousand, for machines on standby. In a larger
// fleet the bound is twice the number of instances.
const maxMachineDataCentres = 16384

// locateMachine records in which data centre a machine is. Of too many machines those without an instance are forgotten.
func (w *Workload) locateMachine(machine string, dataCentre fleet.DataCentreID) {
	w.MachineDataCentres[machine] = dataCentre
	if len(w.MachineDataCentres) <= max(maxMachineDataCentres, 2*len(w.Enrolled)) {
		return
	}
	clear(w.MachineDataCentres)
	for _, in := range w.Enrolled {
		if in.Machine != "" && in.DataCentre != "" {
			w.MachineDataCentres[in.Machine] = in.DataCentre
		}
	}
}
