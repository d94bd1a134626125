package carrier

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"hash"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/dispatcher"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/owner"
)

// send posts an attempt to its target and reads the prefix of the response.
func (c *Carrier) send(ctx context.Context, e *execution, attempt fleet.AttemptID, t owner.Ticket) (*Response, error) {
	request, err := c.newTaskRequest(ctx, e, attempt, t)
	if err != nil {
		return nil, &Error{Op: "send", Kind: KindUnavailable, Err: err}
	}
	stop := c.startLeaseRenewal(t.Address, attempt)
	response, err := c.client.Do(request)
	if err != nil {
		stop()
		return c.handleSendFailure(ctx, e, attempt, t, err)
	}
	if err := checkResponse(response, attempt); err != nil {
		stop()
		_ = response.Body.Close()
		event.ResponseDiscarded.Warn(c.options.Logger, zap.String("attempt", string(attempt)), zap.String("reason", err.Error()))
		e.mayHaveRun = e.mayHaveRun || ResultOf(err) != fleet.NotRun
		return nil, err
	}
	result, err := c.readResponse(e, attempt, t, response, stop)
	if err != nil {
		stop()
		_ = response.Body.Close()
		return c.handleSendFailure(ctx, e, attempt, t, err)
	}
	return result, nil
}

// checkResponse returns an error for a response to another attempt, and for one that reports a task that did not run or a failed
// target.
func checkResponse(response *http.Response, attempt fleet.AttemptID) error {
	if attemptHeader := response.Header.Get(HeaderAttempt); attemptHeader != string(attempt) {
		return fault.New("answer", KindUnknown, "it belongs to attempt %q", attemptHeader)
	}
	if response.Header.Get(HeaderOutcome) == string(fleet.NotRun) {
		return fault.New("answer", KindUnavailable, "the target did not take the work: %s", response.Status)
	}
	if status := response.StatusCode; status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		return fault.New("answer", KindUnknown, "the target failed: %s", response.Status)
	}
	return nil
}

// readResponse buffers the prefix of a response. A response that fits in the buffer is verified completely before it returns.
func (c *Carrier) readResponse(e *execution, attempt fleet.AttemptID, t owner.Ticket, response *http.Response, stop func()) (*Response, error) {
	result := &Response{
		Attempt: attempt, Instance: t.Instance, Address: t.Address, Status: response.StatusCode,
		ContentType: response.Header.Get("Content-Type"), ContentLength: response.ContentLength, Digest: response.Header.Get(HeaderDigest),
	}
	body := newVerifyingReader(response.Body, result.Digest, result.ContentLength)
	prefix, err := io.ReadAll(io.LimitReader(body, MaxBufferedBytes+1))
	if err != nil {
		return nil, err
	}
	var once sync.Once
	result.onClose = func(complete bool) {
		once.Do(func() {
			stop()
			_ = response.Body.Close()
			outcome := dispatcher.Completed
			if !complete {
				outcome = dispatcher.Failed
			}
			c.options.Placer.Finish(owner.AttemptEnd{Pool: e.request.Queue.Pool, Attempt: attempt, Outcome: outcome})
		})
	}
	result.Prefix = prefix
	if len(prefix) > MaxBufferedBytes {
		result.Remainder = body
		return result, nil
	}
	result.ContentLength = int64(len(prefix))
	result.onClose(true)
	return result, nil
}

// handleSendFailure determines the outcome of an attempt whose response was lost. An attempt that must not be repeated is
// recovered from the response recorded by its target, if possible.
func (c *Carrier) handleSendFailure(ctx context.Context, e *execution, attempt fleet.AttemptID, t owner.Ticket, cause error) (*Response, error) {
	if failedBeforeSend(cause) {
		return nil, fault.New("send", KindUnavailable, "%w", cause)
	}
	e.mayHaveRun = true
	if errors.Is(ctx.Err(), context.Canceled) {
		go c.sendControl(t.Address, attempt, "stop")
		return nil, fault.New("send", KindUnknown, "cancelled after it was sent")
	}
	if e.request.Queue.Repeatable {
		return nil, fault.New("send", KindUnknown, "%w", cause)
	}
	if result, ok := c.recover(ctx, attempt, t); ok {
		c.options.Placer.Finish(owner.AttemptEnd{Pool: e.request.Queue.Pool, Attempt: attempt, Outcome: dispatcher.Completed})
		return result, nil
	}
	return nil, fault.New("send", KindUnknown, "%w", cause)
}

// failedBeforeSend reports whether a request failed before any byte could reach the target.
func failedBeforeSend(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// recover fetches the recorded response of an attempt, with up to maxRecoverAttempts attempts.
func (c *Carrier) recover(ctx context.Context, attempt fleet.AttemptID, t owner.Ticket) (*Response, bool) {
	for range maxRecoverAttempts {
		if !sleep(ctx, recoverInterval) {
			return nil, false
		}
		result, err := c.Fetch(ctx, t.Address, attempt)
		if err == nil {
			result.Instance = t.Instance
			return result, true
		}
	}
	return nil, false
}

// Fetch fetches the recorded response of an attempt from its target. The caller closes the response.
func (c *Carrier) Fetch(ctx context.Context, address string, attempt fleet.AttemptID) (*Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, taskURL(address, attempt), nil)
	if err != nil {
		return nil, &Error{Op: "fetch", Kind: KindUnavailable, Err: err}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, &Error{Op: "fetch", Kind: KindUnavailable, Err: err}
	}
	if response.Header.Get(HeaderAttempt) != string(attempt) || response.Header.Get(HeaderOutcome) != string(fleet.Done) {
		_ = response.Body.Close()
		return nil, fault.New("fetch", KindUnavailable, "the target has no answer: %s", response.Status)
	}
	result := &Response{
		Attempt: attempt, Address: address, Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"),
		ContentLength: response.ContentLength, Digest: response.Header.Get(HeaderDigest),
		onClose: func(bool) { _ = response.Body.Close() },
	}
	body := newVerifyingReader(response.Body, result.Digest, result.ContentLength)
	result.Prefix, err = io.ReadAll(io.LimitReader(body, MaxBufferedBytes+1))
	if err != nil {
		result.Close(false)
		return nil, &Error{Op: "fetch", Kind: KindUnavailable, Err: err}
	}
	if len(result.Prefix) > MaxBufferedBytes {
		result.Remainder = body
		return result, nil
	}
	result.ContentLength = int64(len(result.Prefix))
	result.Close(true)
	return result, nil
}

// startLeaseRenewal renews the lease of a task every leaseRenewInterval until the returned function is called.
func (c *Carrier) startLeaseRenewal(address string, attempt fleet.AttemptID) (stop func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(leaseRenewInterval, func() { c.leaseRenewalLoop(done, address, attempt) })
	var once sync.Once
	return func() {
		once.Do(func() {
			timer.Stop()
			close(done)
		})
	}
}

func (c *Carrier) leaseRenewalLoop(done chan struct{}, address string, attempt fleet.AttemptID) {
	ticker := time.NewTicker(leaseRenewInterval)
	defer ticker.Stop()
	for {
		c.sendControl(address, attempt, "lease")
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// SendAction tells a target to throttle, checkpoint or stop a task, without waiting for the response.
func (c *Carrier) SendAction(address string, attempt fleet.AttemptID, action dispatcher.Action) {
	go c.sendControl(address, attempt, string(action))
}

// sendControl sends a lease renewal or an action for a task to its target. Errors are ignored, because the next message makes up
// for a lost one.
func (c *Carrier) sendControl(address string, attempt fleet.AttemptID, action string) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	method := http.MethodPost
	if action == "lease" {
		method = http.MethodPut
	}
	request, err := http.NewRequestWithContext(ctx, method, taskURL(address, attempt)+"/"+action, nil)
	if err != nil {
		return
	}
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}

// verifyingReader verifies the length and the digest of a response body at its end.
type verifyingReader struct {
	reader     io.Reader
	wantDigest string
	wantLength int64
	bytesRead  int64
	hasher     hash.Hash
}

const digestPrefix = "sha-256=:"

func newVerifyingReader(r io.Reader, digest string, length int64) *verifyingReader {
	v := &verifyingReader{reader: r, wantLength: length}
	if strings.HasPrefix(digest, digestPrefix) {
		v.wantDigest = strings.TrimSuffix(strings.TrimPrefix(digest, digestPrefix), ":")
		v.hasher = sha256.New()
	}
	return v
}

// Read returns an error instead of io.EOF if the body is truncated or corrupted.
func (v *verifyingReader) Read(p []byte) (int, error) {
	n, err := v.reader.Read(p)
	v.bytesRead += int64(n)
	if v.hasher != nil {
		v.hasher.Write(p[:n])
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if v.wantLength >= 0 && v.bytesRead != v.wantLength {
		return n, fmt.Errorf("answer has %d of %d bytes: %w", v.bytesRead, v.wantLength, io.ErrUnexpectedEOF)
	}
	if v.hasher != nil && base64.StdEncoding.EncodeToString(v.hasher.Sum(nil)) != v.wantDigest {
		return n, fmt.Errorf("answer does not match its digest")
	}
	return n, err
}

// DigestOf returns the value of the Content-Digest header for a body.
func DigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return digestPrefix + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// RecordedResponse returns a response whose body was recorded completely.
func RecordedResponse(attempt fleet.AttemptID, status int, contentType string, body []byte) *Response {
	return &Response{Attempt: attempt, Status: status, ContentType: contentType, ContentLength: int64(len(body)), Prefix: body, onClose: func(bool) {}}
}
