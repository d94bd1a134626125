// Package carrier forwards requests to targets, retries failed attempts and returns verified responses.
package carrier

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/namer"
	"github.com/sapphiresail/sapphiresail/internal/owner"
	"github.com/sapphiresail/sapphiresail/internal/retrier"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors. All kinds except KindUnknown and KindFailing mean that the request did not run.
const (
	KindRefused Kind = iota + 1
	KindNeverFits
	KindCustomerLimit
	KindTimeout
	KindUnavailable
	KindUnknown
	KindFailing
	KindConflict
	KindCancelled
)

// Error returns the description of the kind.
func (k Kind) Error() string {
	return namer.Name(k, "none", "the queue is full", "the request can never run", "the customer is at its upper limit",
		"the time ran out", "not available now", "the outcome is not known", "the request fails on healthy targets",
		"the idempotency key was used with other content", "cancelled")
}

// Error is the failure of a request.
type Error = fault.Error[Kind]

// resultsByKind lists the kinds after which the request may have run.
var resultsByKind = map[Kind]fleet.Result{KindUnknown: fleet.Unknown, KindFailing: fleet.Unknown}

// ResultOf returns the known result of a request that failed with err; any foreign error gives Unknown.
func ResultOf(err error) fleet.Result {
	var e *Error
	if !errors.As(err, &e) {
		return fleet.Unknown
	}
	if r, ok := resultsByKind[e.Kind]; ok {
		return r
	}
	return fleet.NotRun
}

// HTTP headers between entries and targets.
const (
	HeaderAttempt  = "Task-Attempt"
	HeaderLease    = "Task-Lease"
	HeaderCustomer = "Task-Customer"
	HeaderQueue    = "Task-Queue"
	HeaderOutcome  = "Request-Outcome"
	HeaderTimeout  = "Request-Timeout"
	HeaderDigest   = "Content-Digest"
)

// placer grants tickets and is told of attempts in flight; owner.Owner implements it.
type placer interface {
	Place(ctx context.Context, a owner.PlacementRequest) (owner.Ticket, error)
	Usable(t owner.Ticket) bool
	Track(a owner.InFlightAttempt)
	Finish(e owner.AttemptEnd)
}

// committer commits commands.
type committer interface {
	Commit(ctx context.Context, c state.Command) (state.Reply, error)
}

// Request is one request of a caller.
type Request struct {
	ID          fleet.RequestID
	Customer    fleet.CustomerID
	Queue       configuration.Queue
	ContentType string
	// Body is the content. GetBody returns it from its beginning for another attempt; it is nil if Body can be read only once.
	Body          io.Reader
	ContentLength int64
	GetBody       func() io.Reader
	// ClaimKey is the key of the committed claim of the request, or empty.
	ClaimKey state.ClaimKey
}

// Response is the response of a target: complete, or a prefix with the remainder to be streamed.
type Response struct {
	Attempt       fleet.AttemptID
	Instance      fleet.InstanceID
	Address       string
	Status        int
	ContentType   string
	ContentLength int64
	Digest        string
	// Prefix is the beginning of the body, and the whole body if Remainder is nil.
	Prefix    []byte
	Remainder io.Reader
	// onClose ends the attempt once the body has been read.
	onClose func(complete bool)
}

// Close ends the attempt. complete reports whether the caller got the whole response.
func (r *Response) Close(complete bool) { r.onClose(complete) }

// Buffer size and timing of attempts.
const (
	// MaxBufferedBytes is how much of a response is buffered before any of it is passed on; until then a failure can be retried.
	MaxBufferedBytes   = 64 << 10
	leaseRenewInterval = 3 * time.Second
	placeRetryInterval = 50 * time.Millisecond
	recoverInterval    = 200 * time.Millisecond
	maxRecoverAttempts = 10
	controlTimeout     = 2 * time.Second
)

// Options are the dependencies of a Carrier.
type Options struct {
	Entry     fleet.EntryID
	Boot      string
	Placer    placer
	Committer committer
	Logger    *zap.Logger
	Metrics   metrics.Registry
	// OnResponse is called for each request that got a response, with its arrival time and the latency of the successful attempt
	// up to the buffered prefix; it may be nil.
	OnResponse func(request Request, arrived time.Time, latency time.Duration)
}

// Carrier forwards the requests of one entry.
type Carrier struct {
	options         Options
	retrier         *retrier.Retrier
	client          *http.Client
	requestDuration metrics.Timer
	requestsRetried metrics.Counter
	requestsUnknown metrics.Counter
}

// New returns a carrier with its own connection pool and retry budget.
func New(o Options) *Carrier {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true, ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10}
	return &Carrier{
		options:         o,
		retrier:         retrier.New(uint64(len(o.Boot)) + 1),
		client:          &http.Client{Transport: transport},
		requestDuration: metrics.GetOrRegisterTimer("request-duration", o.Metrics),
		requestsRetried: metrics.GetOrRegisterCounter("requests-retried", o.Metrics),
		requestsUnknown: metrics.GetOrRegisterCounter("requests-unknown", o.Metrics),
	}
}

// Close closes idle connections to targets.
func (c *Carrier) Close() error {
	c.client.CloseIdleConnections()
	return nil
}

// execution is the state of a request across its attempts.
type execution struct {
	request         Request
	attempts        int
	failedInstances []fleet.InstanceID
	mayHaveRun      bool
	bodyRead        atomic.Bool
}

// Run places and sends a request until it has a response or fails. If the request may have run, the kind of the error never means
// that it did not run.
func (c *Carrier) Run(ctx context.Context, request Request) (*Response, error) {
	c.retrier.RecordRequest()
	start := time.Now()
	defer c.requestDuration.UpdateSince(start)
	e := &execution{request: request}
	for {
		attempt := fleet.AttemptID(identity.RandomHex(12))
		ticket, err := c.place(ctx, e, attempt)
		if err != nil {
			return nil, e.withUncertainty(err)
		}
		attemptStart := time.Now()
		response, err := c.runAttempt(ctx, e, attempt, ticket)
		if err == nil {
			if c.options.OnResponse != nil {
				c.options.OnResponse(request, start, time.Since(attemptStart))
			}
			return response, nil
		}
		delay, retry := c.nextRetry(ctx, e, err)
		if !retry {
			return nil, c.finalError(e, err)
		}
		c.requestsRetried.Inc(1)
		event.TaskRetried.Info(c.options.Logger, zap.String("request", string(request.ID)), zap.String("attempt", string(attempt)),
			zap.String("instance", string(ticket.Instance)), zap.String("reason", err.Error()))
		if !sleep(ctx, delay) {
			return nil, e.withUncertainty(fault.New("retry", KindTimeout, "%w", ctx.Err()))
		}
	}
}

// withUncertainty turns an error that means "not run" into KindUnknown if an earlier attempt may have run.
func (e *execution) withUncertainty(err error) error {
	if e.mayHaveRun && ResultOf(err) == fleet.NotRun {
		return &Error{Op: "carry", Kind: KindUnknown, Err: err}
	}
	return err
}

// finalError returns the error of a request that is not retried, and counts unknown results.
func (c *Carrier) finalError(e *execution, err error) error {
	err = e.withUncertainty(err)
	if ResultOf(err) == fleet.Unknown {
		c.requestsUnknown.Inc(1)
	}
	return err
}

// nextRetry returns the delay before the next attempt, or false if the request must not be retried. A request of a queue that is
// not repeatable is not retried once it may have run, and a body that was read is sent again only through GetBody. An attempt whose
// ticket expired before it was sent uses no retry budget.
func (c *Carrier) nextRetry(ctx context.Context, e *execution, err error) (time.Duration, bool) {
	if errors.Is(err, KindRefused) && !e.mayHaveRun && !e.bodyRead.Load() {
		return placeRetryInterval, ctx.Err() == nil
	}
	mayHaveRun := ResultOf(err) != fleet.NotRun
	if ctx.Err() != nil || mayHaveRun && !e.request.Queue.Repeatable || errors.Is(err, KindConflict) {
		return 0, false
	}
	if e.bodyRead.Load() && e.request.GetBody == nil {
		return 0, false
	}
	remaining := time.Hour
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	return c.retrier.NextBackoff(e.attempts, remaining)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// place requests a ticket until one is granted or refused. It retries if the pool has no owner or changes its owner.
func (c *Carrier) place(ctx context.Context, e *execution, attempt fleet.AttemptID) (owner.Ticket, error) {
	for {
		t, err := c.options.Placer.Place(ctx, owner.PlacementRequest{
			Pool: e.request.Queue.Pool, Request: e.request.ID, Attempt: attempt, Queue: e.request.Queue.Name, Customer: e.request.Customer, Avoid: e.failedInstances,
		})
		if err == nil && t.Cause == dispatcher.CauseNone {
			return t, nil
		}
		if err == nil && t.Cause != dispatcher.CauseEntryGone {
			return t, refusalError(t)
		}
		if !sleep(ctx, placeRetryInterval) {
			return t, fault.New("place", KindTimeout, "no place in time")
		}
	}
}

func refusalError(t owner.Ticket) error {
	kinds := map[dispatcher.Cause]Kind{
		dispatcher.CauseNeverFits: KindNeverFits, dispatcher.CauseQueueFull: KindRefused, dispatcher.CauseCustomerLimit: KindCustomerLimit,
		dispatcher.CauseDeadline: KindTimeout, dispatcher.CauseCancelled: KindCancelled,
	}
	kind, ok := kinds[t.Cause]
	if !ok {
		kind = KindUnavailable
	}
	return fault.New("place", kind, "%s", t.Reason)
}

// runAttempt sends one attempt under its ticket and reports its end to the owner if it fails.
func (c *Carrier) runAttempt(ctx context.Context, e *execution, attempt fleet.AttemptID, t owner.Ticket) (*Response, error) {
	e.attempts++
	inFlight := owner.InFlightAttempt{
		Request: e.request.ID, Attempt: attempt, Queue: e.request.Queue.Name, Customer: e.request.Customer, Instance: t.Instance, Pool: e.request.Queue.Pool,
	}
	c.options.Placer.Track(inFlight)
	end := owner.AttemptEnd{Pool: e.request.Queue.Pool, Attempt: attempt, Outcome: dispatcher.NotCounted}
	if err := c.commitClaim(ctx, e, attempt, t); err != nil {
		c.options.Placer.Finish(end)
		return nil, err
	}
	if !c.options.Placer.Usable(t) {
		c.options.Placer.Finish(end)
		if e.request.ClaimKey != "" && !e.request.Queue.Repeatable {
			return nil, fault.New("send", KindUnavailable, "the ticket ran out before it was used")
		}
		return nil, fault.New("send", KindRefused, "the ticket ran out before it was used")
	}
	response, err := c.send(ctx, e, attempt, t)
	if err == nil {
		return response, nil
	}
	end.Outcome, end.HealthyFailures = dispatcher.Failed, len(e.failedInstances)
	e.failedInstances = append(e.failedInstances, t.Instance)
	c.options.Placer.Finish(end)
	return nil, err
}

// commitClaim commits the only attempt of a request that must not run twice, before the attempt is sent.
func (c *Carrier) commitClaim(ctx context.Context, e *execution, attempt fleet.AttemptID, t owner.Ticket) error {
	if e.request.ClaimKey == "" || e.request.Queue.Repeatable {
		return nil
	}
	_, err := c.options.Committer.Commit(ctx, state.DispatchClaim{
		Key: e.request.ClaimKey, Request: e.request.ID, Attempt: attempt, Instance: t.Instance, Address: t.Address,
	})
	if err == nil {
		return nil
	}
	return &Error{Op: "claim", Kind: KindUnavailable, Err: err}
}

// newTaskRequest builds the HTTP request to the target.
func (c *Carrier) newTaskRequest(ctx context.Context, e *execution, attempt fleet.AttemptID, t owner.Ticket) (*http.Request, error) {
	body := e.request.Body
	if e.request.GetBody != nil {
		body = e.request.GetBody()
	}
	tracked := &trackingReader{reader: body, bodyRead: &e.bodyRead}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, taskURL(t.Address, attempt), tracked)
	if err != nil {
		return nil, err
	}
	r.ContentLength = e.request.ContentLength
	r.GetBody = nil
	if e.request.ContentLength == 0 {
		r.Body = http.NoBody
	}
	r.Header.Set(HeaderAttempt, string(attempt))
	r.Header.Set(HeaderLease, strconv.Itoa(int(fleet.TaskLease.Seconds())))
	r.Header.Set(HeaderCustomer, string(e.request.Customer))
	r.Header.Set(HeaderQueue, string(e.request.Queue.Name))
	if e.request.ContentType != "" {
		r.Header.Set("Content-Type", e.request.ContentType)
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(HeaderTimeout, strconv.FormatFloat(time.Until(deadline).Seconds(), 'f', 3, 64))
	}
	return r, nil
}

func taskURL(address string, attempt fleet.AttemptID) string {
	return "http://" + address + "/v1/tasks/" + string(attempt)
}

// trackingReader records that reading the body of a request has begun.
type trackingReader struct {
	reader   io.Reader
	bodyRead *atomic.Bool
}

func (t *trackingReader) Read(p []byte) (int, error) {
	t.bodyRead.Store(true)
	return t.reader.Read(p)
}

// BufferedBody returns the Body and GetBody of a request whose content is in memory.
func BufferedBody(content []byte) (io.Reader, func() io.Reader) {
	return bytes.NewReader(content), func() io.Reader { return bytes.NewReader(content) }
}
