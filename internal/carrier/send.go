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

// send posts an attempt to its target and reads the beginning of the answer.
func (c *Carrier) send(ctx context.Context, e *effort, attempt fleet.AttemptID, t owner.Ticket) (*Answer, error) {
	request, err := c.request(ctx, e, attempt, t)
	if err != nil {
		return nil, &Error{Op: "send", Kind: KindUnavailable, Err: err}
	}
	stop := c.renew(t.Address, attempt)
	response, err := c.client.Do(request)
	if err != nil {
		stop()
		return c.failed(ctx, e, attempt, t, err)
	}
	if err := check(response, attempt); err != nil {
		stop()
		_ = response.Body.Close()
		event.AnswerDropped.Warn(c.options.Logger, zap.String("attempt", string(attempt)), zap.String("reason", err.Error()))
		e.sent = e.sent || ResultOf(err) != fleet.NotRun
		return nil, err
	}
	answer, err := c.read(e, attempt, t, response, stop)
	if err != nil {
		stop()
		_ = response.Body.Close()
		return c.failed(ctx, e, attempt, t, err)
	}
	return answer, nil
}

// check refuses an answer that belongs to another attempt or says that the target did not take the work.
func check(response *http.Response, attempt fleet.AttemptID) error {
	if got := response.Header.Get(HeaderAttempt); got != string(attempt) {
		return fault.New("answer", KindUnknown, "it belongs to attempt %q", got)
	}
	if response.Header.Get(HeaderOutcome) == string(fleet.NotRun) {
		return fault.New("answer", KindUnavailable, "the target did not take the work: %s", response.Status)
	}
	if s := response.StatusCode; s == http.StatusBadGateway || s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout {
		return fault.New("answer", KindUnknown, "the target failed: %s", response.Status)
	}
	return nil
}

// read holds back the beginning of an answer; a short answer is checked whole.
func (c *Carrier) read(e *effort, attempt fleet.AttemptID, t owner.Ticket, response *http.Response, stop func()) (*Answer, error) {
	a := &Answer{
		Attempt: attempt, Instance: t.Instance, Address: t.Address, Status: response.StatusCode,
		Type: response.Header.Get("Content-Type"), Length: response.ContentLength, Digest: response.Header.Get(HeaderDigest),
	}
	checked := newCheckedReader(response.Body, a.Digest, a.Length)
	head, err := io.ReadAll(io.LimitReader(checked, HeadBytes+1))
	if err != nil {
		return nil, err
	}
	var once sync.Once
	a.finish = func(whole bool) {
		once.Do(func() {
			stop()
			_ = response.Body.Close()
			verdict := dispatcher.Completed
			if !whole {
				verdict = dispatcher.Failed
			}
			c.options.Placer.Finish(owner.End{Pool: e.job.Queue.Pool, Attempt: attempt, Verdict: verdict})
		})
	}
	a.Head = head
	if len(head) > HeadBytes {
		a.Rest = checked
		return a, nil
	}
	a.Length = int64(len(head))
	a.finish(true)
	return a, nil
}

// failed finds out what became of an attempt whose answer was lost.
func (c *Carrier) failed(ctx context.Context, e *effort, attempt fleet.AttemptID, t owner.Ticket, cause error) (*Answer, error) {
	if neverSent(cause) {
		return nil, fault.New("send", KindUnavailable, "%w", cause)
	}
	e.sent = true
	if errors.Is(ctx.Err(), context.Canceled) {
		go c.control(t.Address, attempt, "stop")
		return nil, fault.New("send", KindUnknown, "cancelled after it was sent")
	}
	if e.job.Queue.Repeatable {
		return nil, fault.New("send", KindUnknown, "%w", cause)
	}
	if a, ok := c.recover(ctx, attempt, t); ok {
		c.options.Placer.Finish(owner.End{Pool: e.job.Queue.Pool, Attempt: attempt, Verdict: dispatcher.Completed})
		return a, nil
	}
	return nil, fault.New("send", KindUnknown, "%w", cause)
}

// neverSent reports whether a failure came before any byte could reach the target.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// recover asks the target for the answer of an attempt until it has one.
func (c *Carrier) recover(ctx context.Context, attempt fleet.AttemptID, t owner.Ticket) (*Answer, bool) {
	for range recoverTries {
		if !wait(ctx, recoverPause) {
			return nil, false
		}
		a, err := c.Fetch(ctx, t.Address, attempt)
		if err == nil {
			a.Instance = t.Instance
			return a, true
		}
	}
	return nil, false
}

// Fetch asks a target for the recorded answer of an attempt.
func (c *Carrier) Fetch(ctx context.Context, address string, attempt fleet.AttemptID) (*Answer, error) {
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
	a := &Answer{
		Attempt: attempt, Address: address, Status: response.StatusCode, Type: response.Header.Get("Content-Type"),
		Length: response.ContentLength, Digest: response.Header.Get(HeaderDigest),
		finish: func(bool) { _ = response.Body.Close() },
	}
	checked := newCheckedReader(response.Body, a.Digest, a.Length)
	a.Head, err = io.ReadAll(io.LimitReader(checked, HeadBytes+1))
	if err != nil {
		a.Close(false)
		return nil, &Error{Op: "fetch", Kind: KindUnavailable, Err: err}
	}
	if len(a.Head) > HeadBytes {
		a.Rest = checked
		return a, nil
	}
	a.Length = int64(len(a.Head))
	a.Close(true)
	return a, nil
}

// renew keeps the task's lease alive until the returned function is called.
func (c *Carrier) renew(address string, attempt fleet.AttemptID) (stop func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(leaseEvery, func() { c.renewLoop(done, address, attempt) })
	var once sync.Once
	return func() {
		once.Do(func() {
			timer.Stop()
			close(done)
		})
	}
}

func (c *Carrier) renewLoop(done chan struct{}, address string, attempt fleet.AttemptID) {
	ticker := time.NewTicker(leaseEvery)
	defer ticker.Stop()
	for {
		c.control(address, attempt, "lease")
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// Press tells a target to throttle, checkpoint or stop a task.
func (c *Carrier) Press(address string, attempt fleet.AttemptID, action dispatcher.Action) {
	go c.control(address, attempt, string(action))
}

// control sends a lease renewal or an action for a task; a lost one is repaired by the next.
func (c *Carrier) control(address string, attempt fleet.AttemptID, action string) {
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

// checkedReader verifies the length and the digest of an answer at its end.
type checkedReader struct {
	reader io.Reader
	want   string
	length int64
	got    int64
	sum    hash.Hash
}

const digestPrefix = "sha-256=:"

func newCheckedReader(r io.Reader, digest string, length int64) *checkedReader {
	k := &checkedReader{reader: r, length: length}
	if strings.HasPrefix(digest, digestPrefix) {
		k.want = strings.TrimSuffix(strings.TrimPrefix(digest, digestPrefix), ":")
		k.sum = sha256.New()
	}
	return k
}

// Read returns an error in place of the end where the answer is not whole.
func (k *checkedReader) Read(p []byte) (int, error) {
	n, err := k.reader.Read(p)
	k.got += int64(n)
	if k.sum != nil {
		k.sum.Write(p[:n])
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if k.length >= 0 && k.got != k.length {
		return n, fmt.Errorf("answer has %d of %d bytes: %w", k.got, k.length, io.ErrUnexpectedEOF)
	}
	if k.sum != nil && base64.StdEncoding.EncodeToString(k.sum.Sum(nil)) != k.want {
		return n, fmt.Errorf("answer does not match its digest")
	}
	return n, err
}

// DigestOf returns the value of the digest header for a body.
func DigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return digestPrefix + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// Recorded returns an answer that was recorded whole.
func Recorded(attempt fleet.AttemptID, status int, contentType string, body []byte) *Answer {
	return &Answer{Attempt: attempt, Status: status, Type: contentType, Length: int64(len(body)), Head: body, finish: func(bool) {}}
}
