// Package twproblem writes a problem as an HTTP answer in the format of RFC 9457 (problem details). The edge uses it
// for every call that is refused or fails, also inside a stream of events.
package twproblem

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericwall/turmericwall"
)

// MediaType is the Content-Type of a problem.
const MediaType = "application/problem+json"

// Body is the JSON body of a problem. The error field repeats the problem where clients of completions look for it.
type Body struct {
	Type             string               `json:"type"`
	Title            string               `json:"title"`
	Status           int                  `json:"status"`
	Detail           string               `json:"detail"`
	Kind             turmericwall.Kind    `json:"kind"`
	Remedy           string               `json:"remedy"`
	Outcome          turmericwall.Outcome `json:"outcome"`
	RetryAfterMillis int64                `json:"retryAfterMillis,omitempty"`
	Request          string               `json:"request"`
	Error            Error                `json:"error"`
}

// Error is the error object that clients of completions read.
type Error struct {
	Message string            `json:"message"`
	Type    string            `json:"type"`
	Code    turmericwall.Kind `json:"code"`
}

var statusByKind = map[turmericwall.Kind]int{
	turmericwall.KindBadRequest:       http.StatusBadRequest,
	turmericwall.KindUnauthorized:     http.StatusUnauthorized,
	turmericwall.KindForbidden:        http.StatusForbidden,
	turmericwall.KindNotFound:         http.StatusNotFound,
	turmericwall.KindTooLarge:         http.StatusRequestEntityTooLarge,
	turmericwall.KindKeyReused:        http.StatusUnprocessableEntity,
	turmericwall.KindStillRunning:     http.StatusConflict,
	turmericwall.KindConflict:         http.StatusConflict,
	turmericwall.KindOverLimit:        http.StatusTooManyRequests,
	turmericwall.KindOverloaded:       http.StatusServiceUnavailable,
	turmericwall.KindUpstreamFailed:   http.StatusBadGateway,
	turmericwall.KindNoUpstream:       http.StatusServiceUnavailable,
	turmericwall.KindStoreUnavailable: http.StatusServiceUnavailable,
	turmericwall.KindOutcomeUnknown:   http.StatusGatewayTimeout,
	turmericwall.KindNotReady:         http.StatusServiceUnavailable,
	turmericwall.KindQuarantined:      http.StatusServiceUnavailable,
}

// FromError returns the problem that the error wraps, or else one whose outcome is unknown.
func FromError(err error) *turmericwall.Problem {
	var p *turmericwall.Problem
	if errors.As(err, &p) {
		return p
	}
	return turmericwall.NewProblem(turmericwall.KindUpstreamFailed, "the request failed", "report it with its request id").
		WithOutcome(turmericwall.OutcomeUnknown).WithCause(err)
}

// HTTPStatus returns the HTTP status of the problem's kind, or 500 for a kind that callers should not meet.
func HTTPStatus(p *turmericwall.Problem) int {
	status, ok := statusByKind[p.Kind()]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

// NewBody returns the problem's body. retryAfterMillis counts from now and is at least 1 if the problem has a retry
// time.
func NewBody(p *turmericwall.Problem, requestID string, now time.Time) Body {
	body := Body{
		Type:    "urn:turmericwall:problem:" + string(p.Kind()),
		Title:   http.StatusText(HTTPStatus(p)),
		Status:  HTTPStatus(p),
		Detail:  p.Detail(),
		Kind:    p.Kind(),
		Remedy:  p.Remedy(),
		Outcome: p.Outcome(),
		Request: requestID,
		Error:   Error{Message: p.Detail() + "; " + p.Remedy(), Type: "turmericwall", Code: p.Kind()},
	}
	if !p.RetryAt().IsZero() {
		body.RetryAfterMillis = max(1, p.RetryAt().Sub(now).Milliseconds())
	}
	return body
}

// Write answers with the problem. Retry-After is in whole seconds, rounded up, so that no caller retries too early.
func Write(w http.ResponseWriter, p *turmericwall.Problem, requestID string, now time.Time) {
	body := NewBody(p, requestID, now)
	w.Header().Set("Content-Type", MediaType)
	if body.RetryAfterMillis > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(body.RetryAfterMillis)/1000))))
	}
	w.WriteHeader(body.Status)
	_ = json.NewEncoder(w).Encode(body)
}
