package scheduler

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/workload"
)

// StatusReport is the response of an instance to a poll.
type StatusReport struct {
	Boot  int64         `cbor:"1,keyasint"`
	Clock time.Duration `cbor:"2,keyasint"`
	// ReceivedAt is when the response arrived; zero stands for the time at which the report is processed.
	ReceivedAt time.Duration `cbor:"-"`
	Running    []ReportedRun `cbor:"3,keyasint,omitempty"`
	// Ended holds the first ends that are not acknowledged.
	Ended []ReportedEnd `cbor:"4,keyasint,omitempty"`
	// MoreEnds is set if Ended has as many ends as a response may have, so that there may be more.
	MoreEnds bool `cbor:"5,keyasint,omitempty"`
	// Probe is set if the poll was sent without AckedEnd, Deadline and Wait, because it might have reached another boot.
	Probe bool `cbor:"6,keyasint,omitempty"`
	// AckedEnd is that of the poll as it was sent.
	AckedEnd uint64 `cbor:"7,keyasint,omitempty"`
}

// ReportedRun is a run in a status report.
type ReportedRun struct {
	_          struct{} `cbor:",toarray"`
	Task       workload.TaskID
	Run        workload.Run
	Checkpoint string
	Percent    int
	// TailMillis is the tail latency of a service task in milliseconds.
	TailMillis int
}

// ReportedEnd is an ended run in a status report.
type ReportedEnd struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Task       workload.TaskID
	Run        workload.Run
	Ending     workload.Ending
	Checkpoint string
}
