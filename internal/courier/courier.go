// Package courier lets other processes carry the orders and polls of a leader to instances, so that the leader sends and receives a few
// batches in place of thousands of HTTP exchanges a second. The leader decides everything; a carrier sends what it was given, and only
// while the permission that came with it lasts on its own clock.
package courier

import (
	"context"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/scheduler"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindNotPermitted means that the exchange was not sent, because the permission of the leader had run out or was not for this carrier.
	KindNotPermitted Kind = iota + 1
	// KindSilent means that the carrier did not answer, and that the exchange may have been sent.
	KindSilent
)

// Error returns the description of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "not permitted to send", "carrier does not answer"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Message topics of this package.
const (
	topicBatch messenger.Topic = iota + 300
	topicResults
	topicClock
)

// Timing of batches.
const (
	// batchDelay is how long exchanges and results wait for others to share a message with. Jobs have hundreds of milliseconds to spare.
	batchDelay = 6 * time.Millisecond
	// silenceTimeout is how long a carrier may leave a batch unacknowledged; a healthy one takes two batch delays and a round trip.
	silenceTimeout = 400 * time.Millisecond
	// resultAllowance is how long after the timeout of an exchange its result may arrive.
	resultAllowance = 400 * time.Millisecond
)

// Exchanger sends orders and polls to instances.
type Exchanger interface {
	Order(ctx context.Context, o scheduler.Order) (scheduler.Outcome, error)
	Poll(ctx context.Context, request scheduler.PollRequest) (scheduler.StatusReport, scheduler.Outcome, error)
}

// Transport sends messages to other processes; the messenger implements it.
type Transport interface {
	Send(to fleet.EntryID, topic messenger.Topic, message any)
	Call(ctx context.Context, to fleet.EntryID, topic messenger.Topic, request, reply any) error
	Handle(topic messenger.Topic, h messenger.Handler)
}

// permission allows a carrier to send the exchanges of a batch.
type permission struct {
	// Term is the term of the leader, which is also the fence of the orders.
	Term uint64 `cbor:"1,keyasint"`
	// Incarnation names the start of the carrier whose clock Until is on.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Until is when the lease of the leader is over, on the carrier's clock that counts suspended time.
	Until time.Duration `cbor:"3,keyasint"`
}

// batch is a message from the leader to a carrier.
type batch struct {
	Permission permission `cbor:"1,keyasint"`
	Number     uint64     `cbor:"2,keyasint"`
	Exchanges  []exchange `cbor:"3,keyasint"`
}

// exchange is an order or, if that is nil, a poll.
type exchange struct {
	ID    uint64                 `cbor:"1,keyasint"`
	Order *scheduler.Order       `cbor:"2,keyasint,omitempty"`
	Poll  *scheduler.PollRequest `cbor:"3,keyasint,omitempty"`
}

func (e exchange) instance() fleet.InstanceID {
	if e.Order != nil {
		return e.Order.Instance
	}
	return e.Poll.Instance
}

// results is a message from a carrier to the leader. It acknowledges the batches up to Acknowledged.
type results struct {
	Clock        clockReading `cbor:"1,keyasint"`
	Acknowledged uint64       `cbor:"2,keyasint"`
	Results      []result     `cbor:"3,keyasint,omitempty"`
}

// clockReading is the time on the clock of a start of a carrier.
type clockReading struct {
	Incarnation uint64        `cbor:"1,keyasint"`
	Now         time.Duration `cbor:"2,keyasint"`
}

// introduction is the answer of a carrier that is asked for its clock.
type introduction struct {
	Clock      clockReading       `cbor:"1,keyasint"`
	DataCentre fleet.DataCentreID `cbor:"2,keyasint,omitempty"`
}

// result is the result of an exchange; Report is set for an accepted poll.
type result struct {
	ID      uint64                  `cbor:"1,keyasint"`
	Outcome scheduler.Outcome       `cbor:"2,keyasint"`
	Failure string                  `cbor:"3,keyasint,omitempty"`
	Report  *scheduler.StatusReport `cbor:"4,keyasint,omitempty"`
}
