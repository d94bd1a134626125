package forwarder

import (
	"errors"
	"fmt"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// Request is a call to the leader. The operation determines which fields are set.
type Request struct {
	Operation Operation           `cbor:"1,keyasint"`
	Host      string              `cbor:"2,keyasint,omitempty"`
	Path      string              `cbor:"3,keyasint,omitempty"`
	Key       string              `cbor:"4,keyasint,omitempty"`
	Job       *workload.Job       `cbor:"5,keyasint,omitempty"`
	Instance  *workload.Instance  `cbor:"6,keyasint,omitempty"`
	Catalogue *workload.Catalogue `cbor:"7,keyasint,omitempty"`
	Source    []byte              `cbor:"8,keyasint,omitempty"`
	Wave      *workload.Wave      `cbor:"9,keyasint,omitempty"`
	// DataCentre is to be drained or resumed on behalf of By, unless it was changed after Revision.
	DataCentre fleet.DataCentreID `cbor:"10,keyasint,omitempty"`
	By         string             `cbor:"11,keyasint,omitempty"`
	Revision   uint64             `cbor:"12,keyasint,omitempty"`
	// Inspection came with the revision; a process of an earlier version sends none.
	Inspection *Inspection `cbor:"13,keyasint,omitempty"`
	// Instances are the announcements of a batch; none of them is draining.
	Instances []workload.Instance `cbor:"16,keyasint,omitempty"`
	// Queue and Customer are those of a job whose placement is to be explained without handing it in. Without a queue the job is an accepted one.
	Queue    fleet.QueueID    `cbor:"17,keyasint,omitempty"`
	Customer fleet.CustomerID `cbor:"18,keyasint,omitempty"`
}

// MaxBatch bounds the announcements of one call, which are handled by one function in the event loop of the leader: about 2 ms of
// its processor time.
const MaxBatch = 256

// mayStillRun reports whether a job may run although a later attempt to hand it in had an outcome, if an earlier one had none: the catalogue may
// have changed in between, and another customer or queue may be asked for.
func (r *Request) mayStillRun(o Outcome) bool { return r.Operation == SubmitJob && o != Done }

// Validate returns the first error in the fields that the operation needs. The sender may run another version of the program.
func (r *Request) Validate() error {
	switch r.Operation {
	case SubmitJob:
		if r.Job == nil || r.Job.ID == "" {
			return errors.New("the job is missing")
		}
		return r.Job.Validate()
	case Announce, Depart:
		if r.Instance == nil || r.Instance.ID == "" {
			return errors.New("the instance is missing")
		}
	case AnnounceBatch:
		return r.validateBatch()
	case Publish:
		if r.Catalogue == nil {
			return errors.New("the catalogue is missing")
		}
	case OpenWave, InspectWave:
		if r.Wave == nil {
			return errors.New("the wave is missing")
		}
	case DrainDataCentre, ResumeDataCentre, InspectDataCentre:
		if r.DataCentre == "" {
			return errors.New("the name of the data centre is missing")
		}
	case ExplainPlacement:
		return r.validateExplained()
	case CancelJob, InspectJob, CountJobs, FetchCatalogue:
	default:
		return fmt.Errorf("unknown operation %d", r.Operation)
	}
	return nil
}

func (r *Request) validateExplained() error {
	switch {
	case r.Job == nil, r.Queue == "" && r.Job.ID == "":
		return errors.New("the job is missing")
	case r.Queue == "":
		return nil
	default:
		return r.Job.Validate()
	}
}

func (r *Request) validateBatch() error {
	if len(r.Instances) == 0 || len(r.Instances) > MaxBatch {
		return fmt.Errorf("%d announcements in a batch", len(r.Instances))
	}
	for i := range r.Instances {
		if in := &r.Instances[i]; in.ID == "" || in.Draining {
			return fmt.Errorf("announcement of instance %q is not for a batch", in.ID)
		}
	}
	return nil
}
