package messenger

import "sync/atomic"

// delivery tells whether the frame of a call was written to a connection. A caller that knows that it was not may repeat the call.
type delivery struct {
	state atomic.Uint32
}

// States of a delivery.
const (
	deliveryQueued uint32 = iota
	deliveryWritten
	deliveryWithdrawn
)

// beginWrite reports whether the frame is to be written. Frames that are no calls have no delivery and are always written.
func (d *delivery) beginWrite() bool {
	return d == nil || d.state.CompareAndSwap(deliveryQueued, deliveryWritten)
}

// withdraw keeps the frame from being written. It returns false if the frame was written before.
func (d *delivery) withdraw() bool {
	return d.state.CompareAndSwap(deliveryQueued, deliveryWithdrawn)
}
