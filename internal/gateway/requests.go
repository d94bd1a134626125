package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Bounds of what callers send.
const (
	maxKeyLength   = 128
	replayBytes    = 256 << 10
	maxTimeout     = 24 * time.Hour
	asyncKeyPrefix = "request:"
)

// order is one checked request of a caller.
type order struct {
	job     carrier.Request
	timeout time.Duration
	key     string
	async   bool
	digest  []byte
}

// admit checks key, queue, customer and headers of a request.
func (g *Gateway) admit(r *http.Request) (*order, *problem) {
	if g.draining.Load() {
		return nil, new(notRun(http.StatusServiceUnavailable, "this entry is shutting down"))
	}
	if g.options.Replica.LeaseLeft() <= 0 {
		return nil, new(notRun(http.StatusServiceUnavailable, "this entry has lost touch with the committed state"))
	}
	key, queue, found := g.lookUp(r)
	if key.ID == "" {
		return nil, new(notRun(http.StatusUnauthorized, "the key is missing, wrong or withdrawn"))
	}
	if !found {
		return nil, new(notRun(http.StatusNotFound, fmt.Sprintf("queue %q does not exist", r.PathValue("queue"))))
	}
	if !queue.Open && queue.Customer != key.Customer {
		return nil, new(notRun(http.StatusForbidden, fmt.Sprintf("queue %q belongs to another customer", queue.Name)))
	}
	if r.ContentLength > int64(queue.BodyLimit) {
		return nil, new(notRun(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", queue.BodyLimit)))
	}
	timeout, err := timeoutOf(r, queue)
	if err != nil {
		return nil, new(notRun(http.StatusBadRequest, err.Error()))
	}
	idempotency := r.Header.Get("Idempotency-Key")
	if len(idempotency) > maxKeyLength || strings.HasPrefix(idempotency, asyncKeyPrefix) {
		return nil, new(notRun(http.StatusBadRequest, fmt.Sprintf("Idempotency-Key: want at most %d characters and no prefix %q", maxKeyLength, asyncKeyPrefix)))
	}
	return &order{
		job: carrier.Request{
			ID: fleet.RequestID(string(g.options.Entry) + "." + identity.Random(12)), Customer: key.Customer, Queue: queue,
			ContentType: r.Header.Get("Content-Type"), ContentLength: r.ContentLength,
		},
		timeout: timeout,
		key:     idempotency,
		async:   strings.Contains(r.Header.Get("Prefer"), "respond-async"),
	}, nil
}

func (g *Gateway) lookUp(r *http.Request) (key state.Key, queue configuration.Queue, found bool) {
	secret := bearer(r)
	g.options.Replica.View(func(s *state.State) {
		key, _ = s.Authenticate(secret)
		queue, found = s.Configuration().Queue(fleet.QueueID(r.PathValue("queue")))
	})
	return key, queue, found
}

func bearer(r *http.Request) string {
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return secret
}

func timeoutOf(r *http.Request, q configuration.Queue) (time.Duration, error) {
	text := r.Header.Get(carrier.HeaderTimeout)
	if text == "" {
		return q.Timeout, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
		return 0, fmt.Errorf("%s: want seconds, more than 0 and at most %d", carrier.HeaderTimeout, int(maxTimeout.Seconds()))
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// postRequest takes a request from a caller and answers it.
func (g *Gateway) postRequest(w http.ResponseWriter, r *http.Request) {
	g.work.Add(1)
	defer g.work.Done()
	o, refusal := g.admit(r)
	if refusal != nil {
		g.refuse(w, r, *refusal)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, int64(o.job.Queue.BodyLimit))
	if err := o.readBody(r); err != nil {
		g.refuse(w, r, bodyProblem(err))
		return
	}
	g.accepted.Inc(1)
	event.RequestAccepted.Info(g.options.Logger, zap.String("request", string(o.job.ID)),
		zap.String("queue", string(o.job.Queue.Name)), zap.String("customer", string(o.job.Customer)))
	if o.key != "" || o.async {
		g.serveClaimed(w, r, o)
		return
	}
	g.serveOnce(w, r, o)
}

func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, p problem) {
	g.refused.Inc(1)
	event.RequestRefused.Info(g.options.Logger, zap.String("request", string(p.Request)), zap.String("queue", r.PathValue("queue")),
		zap.String("customer", ""), zap.Int("status", p.Status), zap.String("reason", p.Detail))
	p.write(w)
}

func bodyProblem(err error) problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRun(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
	}
	return notRun(http.StatusBadRequest, "the body was cut: "+err.Error())
}

// readBody holds short bodies, and those of claimed requests, so that they can be sent again.
func (o *order) readBody(r *http.Request) error {
	whole := o.key != "" || o.async
	if !whole && (o.job.ContentLength < 0 || o.job.ContentLength > replayBytes) {
		o.job.Body = r.Body
		return nil
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	o.job.ContentLength = int64(len(content))
	o.job.Body, o.job.GetBody = carrier.BufferedBody(content)
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s\n%s\n", o.job.Queue.Name, o.job.ContentType)
	_, _ = sum.Write(content)
	o.digest = sum.Sum(nil)
	return nil
}

// serveOnce carries a request that no other request can refer to.
func (g *Gateway) serveOnce(w http.ResponseWriter, r *http.Request, o *order) {
	ctx, cancel := context.WithTimeout(r.Context(), o.timeout)
	defer cancel()
	answer, err := g.options.Carrier.Run(ctx, o.job)
	if err != nil {
		p := problemOf(err)
		p.Request = o.job.ID
		g.refuse(w, r, p)
		return
	}
	g.writeAnswer(w, o.job.ID, answer)
}

// writeAnswer sends an answer; one that is cut on the way aborts the connection, so that no caller takes it for whole.
func (g *Gateway) writeAnswer(w http.ResponseWriter, id fleet.RequestID, a *carrier.Response) {
	h := w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	if a.Digest != "" {
		h.Set(carrier.HeaderDigest, a.Digest)
	}
	if a.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	h.Set(carrier.HeaderOutcome, string(fleet.Done))
	h.Set("Request-Id", string(id))
	h.Set(carrier.HeaderAttempt, string(a.Attempt))
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Prefix)
	if err == nil && a.Remainder != nil {
		_, err = io.Copy(w, a.Remainder)
	}
	a.Close(err == nil)
	if err != nil {
		event.ResponseDiscarded.Warn(g.options.Logger, zap.String("attempt", string(a.Attempt)), zap.String("reason", err.Error()))
		panic(http.ErrAbortHandler)
	}
	g.answered.Inc(1)
}
