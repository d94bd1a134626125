package owner

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
)

// Message topics of this package.
const (
	topicPlace messenger.Topic = iota + 20
	topicEnd
	topicEntryReport
)

// PlacementRequest asks the owner of a pool to place one attempt of a request.
type PlacementRequest struct {
	Pool     fleet.PoolID       `cbor:"1,keyasint"`
	Request  fleet.RequestID    `cbor:"2,keyasint"`
	Attempt  fleet.AttemptID    `cbor:"3,keyasint"`
	Queue    fleet.QueueID      `cbor:"4,keyasint"`
	Customer fleet.CustomerID   `cbor:"5,keyasint"`
	TimeLeft time.Duration      `cbor:"6,keyasint"`
	Avoid    []fleet.InstanceID `cbor:"7,keyasint,omitempty"`
	// SentAt is the reading of the entry's clock when it sent the request.
	SentAt time.Duration `cbor:"8,keyasint"`
}

// Ticket is the response to a PlacementRequest: the instance to use, or the cause of a refusal.
type Ticket struct {
	Instance fleet.InstanceID `cbor:"1,keyasint,omitempty"`
	Address  string           `cbor:"2,keyasint,omitempty"`
	// ValidFrom is the latest SentAt that the owner has received from the entry. The ticket expires ValidFor after it, by the
	// entry's clock, so that the clocks of the two processes are never compared.
	ValidFrom    time.Duration    `cbor:"3,keyasint,omitempty"`
	ValidFor     time.Duration    `cbor:"4,keyasint,omitempty"`
	Cause        dispatcher.Cause `cbor:"5,keyasint,omitempty"`
	OwnerChanged bool             `cbor:"6,keyasint,omitempty"`
	Reason       string           `cbor:"7,keyasint,omitempty"`
}

// AttemptEnd reports the end of an attempt to the owner of its pool.
type AttemptEnd struct {
	Pool            fleet.PoolID       `cbor:"1,keyasint"`
	Attempt         fleet.AttemptID    `cbor:"2,keyasint"`
	Outcome         dispatcher.Outcome `cbor:"3,keyasint"`
	HealthyFailures int                `cbor:"4,keyasint,omitempty"`
}

// InFlightAttempt is an attempt for which an entry holds a ticket.
type InFlightAttempt struct {
	Request  fleet.RequestID  `cbor:"1,keyasint"`
	Attempt  fleet.AttemptID  `cbor:"2,keyasint"`
	Queue    fleet.QueueID    `cbor:"3,keyasint"`
	Customer fleet.CustomerID `cbor:"4,keyasint"`
	Instance fleet.InstanceID `cbor:"5,keyasint"`
	Pool     fleet.PoolID     `cbor:"6,keyasint"`
}

// EntryReport is the periodic report of an entry to an owner. InFlight has a key for every pool of that owner.
type EntryReport struct {
	SentAt   time.Duration                      `cbor:"1,keyasint"`
	InFlight map[fleet.PoolID][]InFlightAttempt `cbor:"2,keyasint,omitempty"`
}
