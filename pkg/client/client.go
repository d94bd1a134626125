// Package client is the HTTP client of an entry, for callers and for operators.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"

	"github.com/sapphiresail/sapphiresail/internal/fault"
)

// Kind classifies the errors of this package.
type Kind uint8

// Kinds of errors.
const (
	// KindUnreachable means that no response came.
	KindUnreachable Kind = iota + 1
	// KindRefused means that the entry responded with an error status and its outcome is not unknown.
	KindRefused
	// KindUnknown means that the operation may or may not have taken effect.
	KindUnknown
)

// Error returns the text of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "the entry cannot be reached", "refused", "the outcome is not known"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Client sends requests to one entry, authenticated with one key.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// Option configures a client.
type Option func(*Client)

// WithHTTPClient sets the HTTP client that carries the requests.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// New returns a client of the entry at a base URL such as http://10.0.0.1:8080.
func New(url, key string, options ...Option) *Client {
	c := &Client{http: &http.Client{}}
	for _, o := range options {
		o(c)
	}
	c.base = sling.New().Base(url).Client(c.http).Set("Authorization", "Bearer "+key)
	return c
}

// Answer is the response of an entry.
type Answer struct {
	Status int
	// Outcome is the Request-Outcome header: done, not-run or unknown.
	Outcome string
	// Type is the Content-Type header.
	Type   string
	Header http.Header
	Body   []byte
}

// RequestOption sets a header of a request.
type RequestOption func(*sling.Sling) *sling.Sling

// WithIdempotencyKey sets the key by which the entry recognizes a resend of the request, which makes resending safe.
func WithIdempotencyKey(key string) RequestOption {
	return func(s *sling.Sling) *sling.Sling { return s.Set("Idempotency-Key", key) }
}

// WithTimeout bounds the time until the response.
func WithTimeout(d time.Duration) RequestOption {
	return func(s *sling.Sling) *sling.Sling {
		return s.Set("Request-Timeout", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
}

// WithAsync requests asynchronous processing; the result is fetched later from the URL in the Location header.
func WithAsync() RequestOption {
	return func(s *sling.Sling) *sling.Sling { return s.Set("Prefer", "respond-async") }
}

// Request posts a request to a queue and returns the whole response, whatever its status.
func (c *Client) Request(ctx context.Context, queue string, body []byte, options ...RequestOption) (*Answer, error) {
	s := c.base.New().Post("/v1/queues/" + queue + "/requests").Body(bytes.NewReader(body))
	for _, o := range options {
		s = o(s)
	}
	return c.send(ctx, s)
}

// Send performs an operation of the operators' interface and decodes its JSON response into out, which may be nil. If out is a
// *[]byte, it gets the body as it is.
func (c *Client) Send(ctx context.Context, method, path string, body []byte, out any) error {
	s := c.base.New()
	s = map[string]func(string) *sling.Sling{
		http.MethodGet: s.Get, http.MethodPut: s.Put, http.MethodPost: s.Post, http.MethodDelete: s.Delete,
	}[method](path)
	if body != nil {
		s = s.Body(bytes.NewReader(body))
	}
	answer, err := c.send(ctx, s)
	if err != nil {
		return err
	}
	if answer.Status >= http.StatusBadRequest {
		return refusalError(answer)
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = answer.Body
		return nil
	}
	if out == nil || len(answer.Body) == 0 {
		return nil
	}
	if err := json.Unmarshal(answer.Body, out); err != nil {
		return &Error{Op: path, Kind: KindUnknown, Err: err}
	}
	return nil
}

// refusalError builds an error from the problem details in a response body.
func refusalError(answer *Answer) error {
	var problem struct {
		Title  string `json:"title"`
		Detail string `json:"detail"`
	}
	_ = json.Unmarshal(answer.Body, &problem)
	kind := KindRefused
	if answer.Outcome == "unknown" {
		kind = KindUnknown
	}
	return &Error{Op: strconv.Itoa(answer.Status), Kind: kind, Err: fmt.Errorf("%s: %s", problem.Title, problem.Detail)}
}

func (c *Client) send(ctx context.Context, s *sling.Sling) (*Answer, error) {
	request, err := s.Request()
	if err != nil {
		return nil, &Error{Op: "request", Kind: KindUnreachable, Err: err}
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return nil, &Error{Op: "request", Kind: KindUnreachable, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, &Error{Op: "read response", Kind: KindUnknown, Err: err}
	}
	return &Answer{
		Status: response.StatusCode, Outcome: response.Header.Get("Request-Outcome"),
		Type: response.Header.Get("Content-Type"), Header: response.Header, Body: body,
	}, nil
}
