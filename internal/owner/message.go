package owner

import (
	"time"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
)

// Topics of this package.
const (
	topicAsk messenger.Topic = iota + 20
	topicEnd
	topicPoll
)

// Ask is an entry's request for a placement.
type Ask struct {
	Pool     fleet.PoolID       `cbor:"1,keyasint"`
	Request  fleet.RequestID    `cbor:"2,keyasint"`
	Attempt  fleet.AttemptID    `cbor:"3,keyasint"`
	Queue    fleet.QueueID      `cbor:"4,keyasint"`
	Customer fleet.CustomerID   `cbor:"5,keyasint"`
	Left     time.Duration      `cbor:"6,keyasint"`
	Avoid    []fleet.InstanceID `cbor:"7,keyasint,omitempty"`
	// Stamp is the entry's clock when it asked.
	Stamp time.Duration `cbor:"8,keyasint"`
}

// Ticket is the answer: a place, or the cause of a refusal.
type Ticket struct {
	Instance fleet.InstanceID `cbor:"1,keyasint,omitempty"`
	Address  string           `cbor:"2,keyasint,omitempty"`
	// Echo is the latest stamp that the owner had from the entry; the ticket is void Life after it.
	Echo   time.Duration    `cbor:"3,keyasint,omitempty"`
	Life   time.Duration    `cbor:"4,keyasint,omitempty"`
	Cause  dispatcher.Cause `cbor:"5,keyasint,omitempty"`
	Moved  bool             `cbor:"6,keyasint,omitempty"`
	Reason string           `cbor:"7,keyasint,omitempty"`
}

// End tells the owner that an attempt is over.
type End struct {
	Pool            fleet.PoolID       `cbor:"1,keyasint"`
	Attempt         fleet.AttemptID    `cbor:"2,keyasint"`
	Verdict         dispatcher.Outcome `cbor:"3,keyasint"`
	HealthyFailures int                `cbor:"4,keyasint,omitempty"`
}

// Carried is an attempt that an entry has a ticket for.
type Carried struct {
	Request  fleet.RequestID  `cbor:"1,keyasint"`
	Attempt  fleet.AttemptID  `cbor:"2,keyasint"`
	Queue    fleet.QueueID    `cbor:"3,keyasint"`
	Customer fleet.CustomerID `cbor:"4,keyasint"`
	Instance fleet.InstanceID `cbor:"5,keyasint"`
	Pool     fleet.PoolID     `cbor:"6,keyasint"`
}

// Poll is the regular report of an entry to an owner.
type Poll struct {
	Stamp   time.Duration              `cbor:"1,keyasint"`
	Carried map[fleet.PoolID][]Carried `cbor:"2,keyasint,omitempty"`
}
