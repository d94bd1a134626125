// Package receiver reads the bodies of requests into memory that is charged before it is taken.
package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"golang.org/x/time/rate"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/listener"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindTooLarge means that the body is longer than its limit.
	KindTooLarge Kind = iota + 1
	// KindLate means that the body did not come in time.
	KindLate
	// KindCut means that the client stopped sending, or sent what is no body.
	KindCut
	// KindFull means that the process has no room for the body now.
	KindFull
	// KindBusy means that the process reads as much as it can.
	KindBusy
)

// Error returns the description of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "body is too large", "body came too late", "body was cut", "no room for the body", "too many bodies are being read"}[k]
}

// Status returns the HTTP status of the refusal. Nothing of a refused request has run.
func (k Kind) Status() int {
	return [...]int{
		http.StatusInternalServerError, http.StatusRequestEntityTooLarge, http.StatusRequestTimeout, http.StatusBadRequest,
		http.StatusServiceUnavailable, http.StatusServiceUnavailable,
	}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

const (
	initialBytes = 4 << 10
	// freeReads are the reads of a body that do not count towards the rate: those of an ordinary one.
	freeReads = 16
	// maxReadDelay is how long a read may be delayed by the rate. A longer delay of each read leaves a body no chance to come in time.
	maxReadDelay = 250 * time.Millisecond
)

// Receiver reads the bodies of one listener's requests.
type Receiver struct {
	reads *rate.Limiter
}

// New returns a receiver. All large bodies together take readsPerSecond reads, each of what one buffer of the server holds, so that bodies in
// tiny chunks leave processor time to others.
func New(readsPerSecond int) *Receiver {
	return &Receiver{reads: rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond)}
}

// Receive returns the body of a request, which may have maxBytes. After an error the rest of the request is not read, and the connection ends with the answer. The body is
// charged to the lease of the connection until its next request.
func (c *Receiver) Receive(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *Error) {
	body, err := c.read(r, maxBytes)
	if err != nil {
		listener.StopReading(w, r)
		if err.Kind != KindTooLarge && err.Kind != KindCut {
			w.Header().Set("Retry-After", "1")
		}
		if !errors.Is(err.Err, budgeter.KindFull) && !errors.Is(err.Err, budgeter.KindTooLarge) { // the share has counted those
			listener.LeaseOf(r.Context()).Refuse(err)
		}
		return nil, err
	}
	return body, nil
}

func (c *Receiver) read(r *http.Request, maxBytes int64) ([]byte, *Error) {
	if r.ContentLength > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	lease, limit := listener.LeaseOf(r.Context()), maxBytes+1 // one more byte shows that the body is too large
	if r.ContentLength >= 0 {
		limit = r.ContentLength + 1 // the last read finds the end
	}
	end := listener.AwaitBody(r.Context())
	defer end()
	var body []byte
	for reads := 0; ; reads++ {
		if len(body) == cap(body) {
			larger := largerCapacity(int64(cap(body)), limit)
			if err := lease.Grow(budgeter.Bytes(larger)); err != nil {
				return nil, refusalOf(err)
			}
			lease.Shrink(budgeter.Bytes(cap(body)))
			body = append(make([]byte, 0, larger), body...)
		}
		if reads >= freeReads {
			if err := c.pause(r.Context()); err != nil {
				return nil, err
			}
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		lease.Advance(n)
		body = body[:len(body)+n]
		switch {
		case err == nil && int64(len(body)) <= maxBytes:
		case int64(len(body)) > maxBytes:
			return nil, tooLarge(maxBytes)
		case !end(): // also with the last byte: the connection cannot be read any more
			return nil, fault.New("receive", KindFull, "%d bytes came, too slowly for a time without room", len(body))
		case errors.Is(err, io.EOF):
			return body, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, fault.New("receive", KindLate, "%d bytes came in time", len(body))
		default:
			return nil, &Error{Op: "receive", Kind: KindCut, Err: err}
		}
	}
}

// largerCapacity doubles a capacity, and takes the whole limit if that is not far away.
func largerCapacity(capacity, limit int64) int64 {
	larger := max(initialBytes, 2*capacity)
	if limit-larger < larger/2 {
		return limit
	}
	return larger
}

// pause delays the next read to keep the rate.
func (c *Receiver) pause(ctx context.Context) *Error {
	reservation := c.reads.Reserve()
	delay := reservation.Delay()
	if delay > maxReadDelay {
		reservation.Cancel()
		return fault.New("receive", KindBusy, "the next read is due in %s", delay)
	}
	if delay <= 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return &Error{Op: "receive", Kind: KindCut, Err: ctx.Err()}
	}
}

// Charge charges n more bytes to the connection of a request, for what its body becomes.
func Charge(w http.ResponseWriter, r *http.Request, n int64) *Error {
	err := listener.LeaseOf(r.Context()).Grow(budgeter.Bytes(n))
	if err == nil {
		return nil
	}
	refusal := refusalOf(err)
	if refusal.Kind == KindFull {
		w.Header().Set("Retry-After", "1")
	}
	return refusal
}

func refusalOf(err error) *Error {
	kind := KindFull
	if errors.Is(err, budgeter.KindTooLarge) {
		kind = KindTooLarge
	}
	return &Error{Op: "receive", Kind: kind, Err: err}
}

func tooLarge(limit int64) *Error {
	return &Error{Op: "receive", Kind: KindTooLarge, Err: fmt.Errorf("want at most %d bytes", limit)}
}
