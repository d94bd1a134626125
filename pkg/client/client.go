// Package client talks to an entry as a caller or as an operator.
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

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	KindUnreachable Kind = iota + 1
	KindRefused
	KindUnknown
)

// Error names the kind.
func (k Kind) Error() string {
	return [...]string{"none", "the entry cannot be reached", "refused", "the outcome is not known"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// Client sends requests to one entry with one key.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// Option sets a property of a client.
type Option func(*Client)

// WithHTTPClient replaces the HTTP client.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// New returns a client of the entry at a URL such as http://10.0.0.1:8080.
func New(url, key string, options ...Option) *Client {
	c := &Client{http: &http.Client{}}
	for _, o := range options {
		o(c)
	}
	c.base = sling.New().Base(url).Client(c.http).Set("Authorization", "Bearer "+key)
	return c
}

// Answer is what an entry answered.
type Answer struct {
	Status  int
	Outcome string
	Type    string
	Header  http.Header
	Body    []byte
}

// RequestOption sets a header of a request.
type RequestOption func(*sling.Sling) *sling.Sling

// WithIdempotencyKey makes a resend of the request safe.
func WithIdempotencyKey(key string) RequestOption {
	return func(s *sling.Sling) *sling.Sling { return s.Set("Idempotency-Key", key) }
}

// WithTimeout bounds the time until the answer.
func WithTimeout(d time.Duration) RequestOption {
	return func(s *sling.Sling) *sling.Sling {
		return s.Set("Request-Timeout", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
}

// WithAsync asks for an answer that is fetched later.
func WithAsync() RequestOption {
	return func(s *sling.Sling) *sling.Sling { return s.Set("Prefer", "respond-async") }
}

// Request posts work to a queue and returns the whole answer, also when it is a refusal.
func (c *Client) Request(ctx context.Context, queue string, body []byte, options ...RequestOption) (*Answer, error) {
	s := c.base.New().Post("/v1/queues/" + queue + "/requests").Body(bytes.NewReader(body))
	for _, o := range options {
		s = o(s)
	}
	return c.send(ctx, s)
}

// Send performs an operation of the operators' interface and decodes its answer into out, which may be nil.
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
		return nil, &Error{Op: "read answer", Kind: KindUnknown, Err: err}
	}
	return &Answer{
		Status: response.StatusCode, Outcome: response.Header.Get("Request-Outcome"),
		Type: response.Header.Get("Content-Type"), Header: response.Header, Body: body,
	}, nil
}
