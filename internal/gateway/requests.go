package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/budgeter"
	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/listener"
	"github.com/sapphiresail/sapphiresail/internal/receiver"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Limits on the requests of callers.
const (
	maxIdempotencyKeyLength = 128
	maxReplayBytes          = 256 << 10
	maxTimeout              = 24 * time.Hour
	asyncKeyPrefix          = "request:"
)

// admittedRequest is a validated request of a caller.
type admittedRequest struct {
	job            carrier.Request
	timeout        time.Duration
	idempotencyKey string
	async          bool
	digest         []byte
	// lease is that of the body of a claimed request.
	lease *budgeter.Lease
}

// admit authenticates a request and validates its queue, customer and headers.
func (g *Gateway) admit(r *http.Request) (*admittedRequest, *problem) {
	if g.draining.Load() {
		return nil, new(notRunProblem(http.StatusServiceUnavailable, "this entry is shutting down"))
	}
	if g.options.Replica.LeaseLeft() <= 0 {
		return nil, new(notRunProblem(http.StatusServiceUnavailable, "this entry has lost touch with the committed state"))
	}
	key, queue, found := g.authenticate(r)
	if key.ID == "" {
		return nil, new(notRunProblem(http.StatusUnauthorized, "the key is missing, wrong or withdrawn"))
	}
	if !found {
		return nil, new(notRunProblem(http.StatusNotFound, fmt.Sprintf("queue %q does not exist", r.PathValue("queue"))))
	}
	if !queue.Open && queue.Customer != key.Customer {
		return nil, new(notRunProblem(http.StatusForbidden, fmt.Sprintf("queue %q belongs to another customer", queue.Name)))
	}
	if r.ContentLength > int64(queue.BodyLimit) {
		return nil, new(notRunProblem(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", queue.BodyLimit)))
	}
	timeout, err := requestTimeout(r, queue)
	if err != nil {
		return nil, new(notRunProblem(http.StatusBadRequest, err.Error()))
	}
	idempotencyKey := r.Header.Get("Idempotency-Key")
	if len(idempotencyKey) > maxIdempotencyKeyLength || strings.HasPrefix(idempotencyKey, asyncKeyPrefix) {
		return nil, new(notRunProblem(http.StatusBadRequest, fmt.Sprintf("Idempotency-Key: want at most %d characters and no prefix %q", maxIdempotencyKeyLength, asyncKeyPrefix)))
	}
	return &admittedRequest{
		job: carrier.Request{
			ID: fleet.RequestID(string(g.options.Entry) + "." + identity.RandomHex(12)), Customer: key.Customer, Queue: queue,
			ContentType: r.Header.Get("Content-Type"), ContentLength: r.ContentLength,
		},
		timeout:        timeout,
		idempotencyKey: idempotencyKey,
		async:          strings.Contains(r.Header.Get("Prefer"), "respond-async"),
	}, nil
}

func (g *Gateway) authenticate(r *http.Request) (key state.Key, queue configuration.Queue, found bool) {
	secret := bearerToken(r)
	g.options.Replica.View(func(s *state.State) {
		key, _ = s.Authenticate(secret)
		queue, found = s.Configuration().Queue(fleet.QueueID(r.PathValue("queue")))
	})
	return key, queue, found
}

func bearerToken(r *http.Request) string {
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return secret
}

func requestTimeout(r *http.Request, q configuration.Queue) (time.Duration, error) {
	value := r.Header.Get(carrier.HeaderTimeout)
	if value == "" {
		return q.Timeout, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
		return 0, fmt.Errorf("%s: want seconds, more than 0 and at most %d", carrier.HeaderTimeout, int(maxTimeout.Seconds()))
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// postRequest handles POST /v1/queues/{queue}/requests.
func (g *Gateway) postRequest(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Done()
	req, refusal := g.admit(r)
	if refusal != nil {
		g.refuse(w, r, *refusal)
		return
	}
	if refusal := g.readBody(w, r, req); refusal != nil {
		g.refuseBody(w, r, refusal)
		return
	}
	g.accepted.Inc(1)
	event.RequestAccepted.Info(g.options.Logger, zap.String("request", string(req.job.ID)),
		zap.String("queue", string(req.job.Queue.Name)), zap.String("customer", string(req.job.Customer)))
	if req.idempotencyKey != "" || req.async {
		g.serveClaimed(w, r, req)
		return
	}
	g.serveUnclaimed(w, r, req)
}

func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, p problem) {
	g.refused.Inc(1)
	event.RequestRefused.Info(g.options.Logger, zap.String("request", string(p.Request)), zap.String("queue", r.PathValue("queue")),
		zap.String("customer", ""), zap.Int("status", p.Status), zap.String("reason", p.Detail))
	p.write(w)
}

// refuseBody answers a request whose body was refused. The share logs refusals for want of room, at a bounded rate.
func (g *Gateway) refuseBody(w http.ResponseWriter, r *http.Request, refusal *receiver.Error) {
	if refusal.Kind != receiver.KindFull && refusal.Kind != receiver.KindBusy {
		g.refuse(w, r, bodyProblem(refusal))
		return
	}
	g.refused.Inc(1)
	bodyProblem(refusal).write(w)
}

// bodyProblem returns the problem of a request whose body was refused. It was not run.
func bodyProblem(refusal *receiver.Error) problem {
	return notRunProblem(refusal.Kind.Status(), refusal.Error())
}

// readBody buffers bodies of a known length up to maxReplayBytes and all bodies of claimed requests, so that an attempt can be repeated;
// others are streamed. Claimed requests outlive their connection, so their bodies are charged apart.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *admittedRequest) *receiver.Error {
	claimed := req.idempotencyKey != "" || req.async
	if !claimed && (req.job.ContentLength < 0 || req.job.ContentLength > maxReplayBytes) {
		req.job.Body = http.MaxBytesReader(w, r.Body, int64(req.job.Queue.BodyLimit))
		return nil
	}
	content, refusal := g.bodies.Receive(w, r, int64(req.job.Queue.BodyLimit))
	if refusal != nil {
		return refusal
	}
	if claimed {
		var err error
		if req.lease, err = g.options.Share.Open(budgeter.Bytes(len(content))); err != nil {
			return &receiver.Error{Op: "keep", Kind: receiver.KindFull, Err: err}
		}
	}
	req.job.ContentLength = int64(len(content))
	req.job.Body, req.job.GetBody = carrier.BufferedBody(content)
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s\n%s\n", req.job.Queue.Name, req.job.ContentType)
	_, _ = sum.Write(content)
	req.digest = sum.Sum(nil)
	return nil
}

// serveUnclaimed forwards a synchronous request without an idempotency key and streams the response to its caller.
func (g *Gateway) serveUnclaimed(w http.ResponseWriter, r *http.Request, req *admittedRequest) {
	ctx, cancel := context.WithTimeout(r.Context(), req.timeout)
	defer cancel()
	response, err := g.options.Carrier.Run(ctx, req.job)
	if err != nil {
		p := carrierProblem(err)
		p.Request = req.job.ID
		g.refuse(w, r, p)
		return
	}
	listener.LeaseOf(r.Context()).Take(budgeter.Bytes(len(response.Prefix)))
	g.writeResponse(w, req.job.ID, response)
}

// writeResponse sends a response; if it is truncated, the connection is aborted, so that the caller does not take it for complete.
func (g *Gateway) writeResponse(w http.ResponseWriter, id fleet.RequestID, response *carrier.Response) {
	h := w.Header()
	if response.ContentType != "" {
		h.Set("Content-Type", response.ContentType)
	}
	if response.Digest != "" {
		h.Set(carrier.HeaderDigest, response.Digest)
	}
	if response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	h.Set(carrier.HeaderOutcome, string(fleet.Done))
	h.Set("Request-Id", string(id))
	h.Set(carrier.HeaderAttempt, string(response.Attempt))
	w.WriteHeader(response.Status)
	_, err := w.Write(response.Prefix)
	if err == nil && response.Remainder != nil {
		_, err = io.Copy(w, response.Remainder)
	}
	response.Close(err == nil)
	if err != nil {
		event.ResponseDiscarded.Warn(g.options.Logger, zap.String("attempt", string(response.Attempt)), zap.String("reason", err.Error()))
		panic(http.ErrAbortHandler)
	}
	g.answered.Inc(1)
}
