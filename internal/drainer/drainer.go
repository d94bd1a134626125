// Package drainer requests the drain and the resumption of data centres for operators.
//
// A request is sent in two steps: the revision of the data centre is read first, and the change is committed only if the data centre still
// has that revision. A copy of the change that is delayed on its way is thus refused once a later request has changed the data centre, without
// clocks that agree. A later request that repeats what is in force changes nothing, so the leader also bounds the time between the steps.
// Lifetime bounds the delay before the first step.
package drainer

import (
	"context"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/bootclock"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
)

// Lifetime is how long after its receipt a request may still be sent to the leader. Operators repeat a request without an answer after a
// second; a process that was suspended in between must not send the first copy then.
const Lifetime = 900 * time.Millisecond

// Caller calls the leader.
type Caller func(ctx context.Context, request forwarder.Request) (forwarder.Response, error)

// Drainer drains and resumes data centres.
type Drainer struct {
	call  Caller
	clock func() time.Duration
}

// Option sets a property of a Drainer.
type Option func(*Drainer)

// WithClock replaces the clock, which must go on while the host is suspended.
func WithClock(clock func() time.Duration) Option { return func(d *Drainer) { d.clock = clock } }

// New returns a Drainer that calls the leader with call.
func New(call Caller, options ...Option) *Drainer {
	d := &Drainer{call: call, clock: bootclock.Now}
	for _, o := range options {
		o(d)
	}
	return d
}

// Change drains or resumes the data centre of a request that was received now. Of a drain and a resumption that cross, the drain takes
// effect: it is sent again with the new revision, while the resumption counts as done before it.
func (d *Drainer) Change(ctx context.Context, request forwarder.Request) (forwarder.Response, error) {
	receivedAt := d.clock()
	inspection := forwarder.Request{Operation: forwarder.InspectDataCentre, DataCentre: request.DataCentre}
	for {
		inspected, err := d.call(ctx, inspection)
		if err != nil || inspected.Outcome != forwarder.Done {
			return inspected, err
		}
		if age := d.clock() - receivedAt; age > Lifetime {
			return forwarder.Response{}, fault.New("change drain", forwarder.KindNotSent, "the request is %s old", age)
		}
		if err := ctx.Err(); err != nil {
			return forwarder.Response{}, &forwarder.Error{Op: "change drain", Kind: forwarder.KindNotSent, Err: err}
		}
		request.Revision, request.Inspection = inspected.Revision, inspected.Inspection
		response, err := d.call(ctx, request)
		switch {
		case err == nil && response.Outcome == forwarder.Outdated:
			continue
		case err != nil || response.Outcome != forwarder.Superseded:
			return response, err
		case request.Operation == forwarder.ResumeDataCentre:
			return forwarder.Response{Outcome: forwarder.Done}, nil
		}
	}
}
