package gateway

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Kind is a kind of error of this package.
type Kind uint8

// Kinds of errors.
const (
	KindListen Kind = iota + 1
)

// Error returns the description of the kind.
func (k Kind) Error() string { return [...]string{"none", "cannot listen"}[k] }

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// problem is the body of an error response, of type application/problem+json.
type problem struct {
	Type              string          `json:"type"`
	Title             string          `json:"title"`
	Status            int             `json:"status"`
	Detail            string          `json:"detail,omitempty"`
	Outcome           fleet.Result    `json:"outcome"`
	Request           fleet.RequestID `json:"request,omitempty"`
	RetryAfterSeconds int             `json:"-"`
}

const problemContentType = "application/problem+json"

// retryAfterSeconds is the Retry-After value for refused requests.
const retryAfterSeconds = 1

func (p problem) write(w http.ResponseWriter) {
	p.Type = "about:blank"
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	h := w.Header()
	h.Set("Content-Type", problemContentType)
	h.Set(carrier.HeaderOutcome, string(p.Outcome))
	if p.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func notRunProblem(status int, detail string) problem {
	p := problem{Status: status, Detail: detail, Outcome: fleet.NotRun}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		p.RetryAfterSeconds = retryAfterSeconds
	}
	return p
}

var carrierStatus = map[carrier.Kind]int{
	carrier.KindRefused:       http.StatusTooManyRequests,
	carrier.KindCustomerLimit: http.StatusTooManyRequests,
	carrier.KindNeverFits:     http.StatusUnprocessableEntity,
	carrier.KindTimeout:       http.StatusServiceUnavailable,
	carrier.KindUnavailable:   http.StatusServiceUnavailable,
	carrier.KindCancelled:     http.StatusServiceUnavailable,
	carrier.KindConflict:      http.StatusConflict,
	carrier.KindUnknown:       http.StatusGatewayTimeout,
	carrier.KindFailing:       http.StatusBadGateway,
}

// carrierProblem returns the problem for an error of the carrier.
func carrierProblem(err error) problem {
	result := carrier.ResultOf(err)
	status := http.StatusBadGateway
	var e *carrier.Error
	if errors.As(err, &e) {
		status = cmp.Or(carrierStatus[e.Kind], status)
	}
	p := problem{Status: status, Detail: err.Error(), Outcome: result}
	if result == fleet.NotRun && status != http.StatusUnprocessableEntity {
		p.RetryAfterSeconds = retryAfterSeconds
	}
	return p
}

var commandStatus = map[state.Kind]int{
	state.KindInvalid:  http.StatusBadRequest,
	state.KindConflict: http.StatusConflict,
	state.KindVersion:  http.StatusConflict,
	state.KindUnknown:  http.StatusNotFound,
	state.KindBudget:   http.StatusConflict,
	state.KindLimit:    http.StatusConflict,
	state.KindPhase:    http.StatusConflict,
	state.KindFull:     http.StatusServiceUnavailable,
	state.KindHalted:   http.StatusConflict,
	state.KindStale:    http.StatusConflict,
}

// commitProblem returns the problem for a command that the state refused or whose outcome is not known.
func commitProblem(err error) problem {
	var refused *state.Error
	if errors.As(err, &refused) {
		return problem{Status: cmp.Or(commandStatus[refused.Kind], http.StatusInternalServerError), Title: refused.Kind.Error(), Detail: refused.Err.Error(), Outcome: fleet.NotRun}
	}
	return problem{Status: http.StatusServiceUnavailable, Detail: err.Error(), Outcome: fleet.Unknown, RetryAfterSeconds: retryAfterSeconds}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
