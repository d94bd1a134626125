// Package carrier takes a request to a target and brings the whole answer back.
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
	"github.com/sapphiresail/sapphiresail/internal/owner"
	"github.com/sapphiresail/sapphiresail/internal/retrier"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors. All but KindUnknown and KindFailing mean that the request did not run.
const (
	KindRefused Kind = iota + 1
	KindNeverFits
	KindLimit
	KindTimeout
	KindUnavailable
	KindUnknown
	KindFailing
	KindConflict
	KindCancelled
)

// Error names the kind.
func (k Kind) Error() string {
	return [...]string{"none", "the queue is full", "the request can never run", "the customer is at its upper limit",
		"the time ran out", "not available now", "the outcome is not known", "the request fails on healthy targets",
		"the idempotency key was used with other content", "cancelled"}[k]
}

// Error is a request that has no answer.
type Error = fault.Error[Kind]

// ran lists the kinds after which the request may have run.
var ran = map[Kind]fleet.Result{KindUnknown: fleet.Unknown, KindFailing: fleet.Unknown}

// ResultOf returns what is known of a request that ended with err.
func ResultOf(err error) fleet.Result {
	var e *Error
	if !errors.As(err, &e) {
		return fleet.Unknown
	}
	if r, ok := ran[e.Kind]; ok {
		return r
	}
	return fleet.NotRun
}

// Header names between entries and targets.
const (
	HeaderAttempt  = "Task-Attempt"
	HeaderLease    = "Task-Lease"
	HeaderCustomer = "Task-Customer"
	HeaderQueue    = "Task-Queue"
	HeaderOutcome  = "Request-Outcome"
	HeaderTimeout  = "Request-Timeout"
	HeaderDigest   = "Content-Digest"
)

// placer gives places; it is the owner package in the product.
type placer interface {
	Place(ctx context.Context, a owner.Ask) (owner.Ticket, error)
	Usable(t owner.Ticket) bool
	Carry(c owner.Carried)
	Finish(e owner.End)
}

// committer commits commands.
type committer interface {
	Commit(ctx context.Context, c state.Command) (state.Reply, error)
}

// Job is one request of a caller.
type Job struct {
	ID       fleet.RequestID
	Customer fleet.CustomerID
	Queue    configuration.Queue
	Type     string
	// Body is the content; Replay gives it again, or is nil when it can be read only once.
	Body   io.Reader
	Length int64
	Replay func() io.Reader
	// Claim is the key of the committed claim, or empty.
	Claim state.ClaimKey
}

// Answer is the whole answer of a target, or its beginning with the rest to be streamed.
type Answer struct {
	Attempt  fleet.AttemptID
	Instance fleet.InstanceID
	Address  string
	Status   int
	Type     string
	Length   int64
	Digest   string
	// Head is the beginning of the body; it is all of it when Rest is nil.
	Head []byte
	Rest io.Reader
	// finish ends the attempt once the body has been read.
	finish func(whole bool)
}

// Close ends the attempt; whole tells whether the caller got the whole answer.
func (a *Answer) Close(whole bool) { a.finish(whole) }

// Sizes and pauses of carrying.
const (
	// HeadBytes is how much of an answer is held back so that a failure can still be retried.
	HeadBytes      = 64 << 10
	leaseEvery     = 3 * time.Second
	askAgainPause  = 50 * time.Millisecond
	recoverPause   = 200 * time.Millisecond
	recoverTries   = 10
	controlTimeout = 2 * time.Second
)

// Options are what a carrier needs.
type Options struct {
	Entry     fleet.EntryID
	Boot      string
	Placer    placer
	Committer committer
	Logger    *zap.Logger
	Metrics   metrics.Registry
	// Observe gets each job that was answered, with the time until its answer began; it may be nil.
	Observe func(j Job, arrived time.Time, ran time.Duration)
}

// Carrier carries the requests of one entry.
type Carrier struct {
	options Options
	retries *retrier.Retrier
	client  *http.Client
	took    metrics.Timer
	retried metrics.Counter
	unknown metrics.Counter
}

// New returns a carrier.
func New(o Options) *Carrier {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true, ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10}
	return &Carrier{
		options: o,
		retries: retrier.New(uint64(len(o.Boot)) + 1),
		client:  &http.Client{Transport: transport},
		took:    metrics.GetOrRegisterTimer("request-duration", o.Metrics),
		retried: metrics.GetOrRegisterCounter("requests-retried", o.Metrics),
		unknown: metrics.GetOrRegisterCounter("requests-unknown", o.Metrics),
	}
}

// Close drops idle connections to targets.
func (c *Carrier) Close() error {
	c.client.CloseIdleConnections()
	return nil
}

// effort is what a job has cost so far.
type effort struct {
	job      Job
	attempts int
	avoid    []fleet.InstanceID
	sent     bool
	consumed atomic.Bool
}

// Run places and sends a job until it has an answer or an error that tells the truth about it.
func (c *Carrier) Run(ctx context.Context, j Job) (*Answer, error) {
	c.retries.Count()
	started := time.Now()
	defer c.took.UpdateSince(started)
	e := &effort{job: j}
	for {
		attempt := fleet.AttemptID(identity.Random(12))
		ticket, err := c.place(ctx, e, attempt)
		if err != nil {
			return nil, e.truth(err)
		}
		tried := time.Now()
		answer, err := c.try(ctx, e, attempt, ticket)
		if err == nil {
			if c.options.Observe != nil {
				c.options.Observe(j, started, time.Since(tried))
			}
			return answer, nil
		}
		pause, again := c.again(ctx, e, err)
		if !again {
			return nil, c.settleTruth(e, err)
		}
		c.retried.Inc(1)
		event.TaskRetried.Info(c.options.Logger, zap.String("request", string(j.ID)), zap.String("attempt", string(attempt)),
			zap.String("instance", string(ticket.Instance)), zap.String("reason", err.Error()))
		if !wait(ctx, pause) {
			return nil, e.truth(fault.New("retry", KindTimeout, "%w", ctx.Err()))
		}
	}
}

// truth makes an error unknown where an earlier attempt may have run.
func (e *effort) truth(err error) error {
	if e.sent && ResultOf(err) == fleet.NotRun {
		return &Error{Op: "carry", Kind: KindUnknown, Err: err}
	}
	return err
}

func (c *Carrier) settleTruth(e *effort, err error) error {
	err = e.truth(err)
	if ResultOf(err) == fleet.Unknown {
		c.unknown.Inc(1)
	}
	return err
}

// again decides whether a failed attempt is repeated, and after which pause.
func (c *Carrier) again(ctx context.Context, e *effort, err error) (time.Duration, bool) {
	if errors.Is(err, KindRefused) && !e.sent && !e.consumed.Load() {
		return askAgainPause, ctx.Err() == nil
	}
	mayRun := ResultOf(err) != fleet.NotRun
	if ctx.Err() != nil || mayRun && !e.job.Queue.Repeatable || errors.Is(err, KindConflict) {
		return 0, false
	}
	if e.consumed.Load() && e.job.Replay == nil {
		return 0, false
	}
	left := time.Hour
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	return c.retries.Next(e.attempts, left)
}

func wait(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// place asks for a ticket until there is one or a refusal; an owner that changes is asked anew.
func (c *Carrier) place(ctx context.Context, e *effort, attempt fleet.AttemptID) (owner.Ticket, error) {
	for {
		t, err := c.options.Placer.Place(ctx, owner.Ask{
			Pool: e.job.Queue.Pool, Request: e.job.ID, Attempt: attempt, Queue: e.job.Queue.Name, Customer: e.job.Customer, Avoid: e.avoid,
		})
		if err == nil && t.Cause == dispatcher.CauseNone {
			return t, nil
		}
		if err == nil && t.Cause != dispatcher.CauseEntryGone {
			return t, refusal(t)
		}
		if !wait(ctx, askAgainPause) {
			return t, fault.New("place", KindTimeout, "no place in time")
		}
	}
}

func refusal(t owner.Ticket) error {
	kinds := map[dispatcher.Cause]Kind{
		dispatcher.CauseNeverFits: KindNeverFits, dispatcher.CauseQueueFull: KindRefused, dispatcher.CauseCustomerLimit: KindLimit,
		dispatcher.CauseDeadline: KindTimeout, dispatcher.CauseCancelled: KindCancelled,
	}
	kind, ok := kinds[t.Cause]
	if !ok {
		kind = KindUnavailable
	}
	return fault.New("place", kind, "%s", t.Reason)
}

// try sends one attempt under its ticket.
func (c *Carrier) try(ctx context.Context, e *effort, attempt fleet.AttemptID, t owner.Ticket) (*Answer, error) {
	e.attempts++
	carried := owner.Carried{
		Request: e.job.ID, Attempt: attempt, Queue: e.job.Queue.Name, Customer: e.job.Customer, Instance: t.Instance, Pool: e.job.Queue.Pool,
	}
	c.options.Placer.Carry(carried)
	end := owner.End{Pool: e.job.Queue.Pool, Attempt: attempt, Verdict: dispatcher.NotCounted}
	if err := c.claim(ctx, e, attempt, t); err != nil {
		c.options.Placer.Finish(end)
		return nil, err
	}
	if !c.options.Placer.Usable(t) {
		c.options.Placer.Finish(end)
		if e.job.Claim != "" && !e.job.Queue.Repeatable {
			return nil, fault.New("send", KindUnavailable, "the ticket ran out before it was used")
		}
		return nil, fault.New("send", KindRefused, "the ticket ran out before it was used")
	}
	answer, err := c.send(ctx, e, attempt, t)
	if err == nil {
		return answer, nil
	}
	end.Verdict, end.HealthyFailures = dispatcher.Failed, len(e.avoid)
	e.avoid = append(e.avoid, t.Instance)
	c.options.Placer.Finish(end)
	return nil, err
}

// claim commits the only attempt of a request that must not run twice, before it is sent.
func (c *Carrier) claim(ctx context.Context, e *effort, attempt fleet.AttemptID, t owner.Ticket) error {
	if e.job.Claim == "" || e.job.Queue.Repeatable {
		return nil
	}
	_, err := c.options.Committer.Commit(ctx, state.DispatchClaim{
		Key: e.job.Claim, Request: e.job.ID, Attempt: attempt, Instance: t.Instance, Address: t.Address,
	})
	if err == nil {
		return nil
	}
	return &Error{Op: "claim", Kind: KindUnavailable, Err: err}
}

// request builds the message to the target.
func (c *Carrier) request(ctx context.Context, e *effort, attempt fleet.AttemptID, t owner.Ticket) (*http.Request, error) {
	body := e.job.Body
	if e.job.Replay != nil {
		body = e.job.Replay()
	}
	watched := &watchedReader{reader: body, consumed: &e.consumed}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, taskURL(t.Address, attempt), watched)
	if err != nil {
		return nil, err
	}
	r.ContentLength = e.job.Length
	r.GetBody = nil
	if e.job.Length == 0 {
		r.Body = http.NoBody
	}
	r.Header.Set(HeaderAttempt, string(attempt))
	r.Header.Set(HeaderLease, strconv.Itoa(int(fleet.TaskLease.Seconds())))
	r.Header.Set(HeaderCustomer, string(e.job.Customer))
	r.Header.Set(HeaderQueue, string(e.job.Queue.Name))
	if e.job.Type != "" {
		r.Header.Set("Content-Type", e.job.Type)
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(HeaderTimeout, strconv.FormatFloat(time.Until(deadline).Seconds(), 'f', 3, 64))
	}
	return r, nil
}

func taskURL(address string, attempt fleet.AttemptID) string {
	return "http://" + address + "/v1/tasks/" + string(attempt)
}

// watchedReader notes that the body of a request was begun.
type watchedReader struct {
	reader   io.Reader
	consumed *atomic.Bool
}

func (w *watchedReader) Read(p []byte) (int, error) {
	w.consumed.Store(true)
	return w.reader.Read(p)
}

// Replayable returns the Body and Replay of a job whose content is held whole.
func Replayable(content []byte) (io.Reader, func() io.Reader) {
	return bytes.NewReader(content), func() io.Reader { return bytes.NewReader(content) }
}
