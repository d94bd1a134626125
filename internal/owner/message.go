package owner

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
)

// Topics of this package.
const (
	topicPlace messenger.Topic = iota + 20
	topicEnd
	topicEntryReport
)

// Ask is an entry's request for a placement.
type PlacementRequest struct {
	Pool     fleet.PoolID       `cbor:"1,keyasint"`
	Request  fleet.RequestID    `cbor:"2,keyasint"`
	Attempt  fleet.AttemptID    `cbor:"3,keyasint"`
	Queue    fleet.QueueID      `cbor:"4,keyasint"`
	Customer fleet.CustomerID   `cbor:"5,keyasint"`
	TimeLeft time.Duration      `cbor:"6,keyasint"`
	Avoid    []fleet.InstanceID `cbor:"7,keyasint,omitempty"`
	// Stamp is the entry's clock when it asked.
	SentAt time.Duration `cbor:"8,keyasint"`
}

// Ticket is the answer: a place, or the cause of a refusal.
type Ticket struct {
	Instance fleet.InstanceID `cbor:"1,keyasint,omitempty"`
	Address  string           `cbor:"2,keyasint,omitempty"`
	// Echo is the latest stamp that the owner had from the entry; the ticket is void Life after it.
	ValidFrom    time.Duration    `cbor:"3,keyasint,omitempty"`
	ValidFor     time.Duration    `cbor:"4,keyasint,omitempty"`
	Cause        dispatcher.Cause `cbor:"5,keyasint,omitempty"`
	OwnerChanged bool             `cbor:"6,keyasint,omitempty"`
	Reason       string           `cbor:"7,keyasint,omitempty"`
}

// End tells the owner that an attempt is over.
type AttemptEnd struct {
	Pool            fleet.PoolID       `cbor:"1,keyasint"`
	Attempt         fleet.AttemptID    `cbor:"2,keyasint"`
	Outcome         dispatcher.Outcome `cbor:"3,keyasint"`
	HealthyFailures int                `cbor:"4,keyasint,omitempty"`
}

// Carried is an attempt that an entry has a ticket for.
type InFlightAttempt struct {
	Request  fleet.RequestID  `cbor:"1,keyasint"`
	Attempt  fleet.AttemptID  `cbor:"2,keyasint"`
	Queue    fleet.QueueID    `cbor:"3,keyasint"`
	Customer fleet.CustomerID `cbor:"4,keyasint"`
	Instance fleet.InstanceID `cbor:"5,keyasint"`
	Pool     fleet.PoolID     `cbor:"6,keyasint"`
}

// Poll is the regular report of an entry to an owner.
type EntryReport struct {
	SentAt   time.Duration                      `cbor:"1,keyasint"`
	InFlight map[fleet.PoolID][]InFlightAttempt `cbor:"2,keyasint,omitempty"`
}
