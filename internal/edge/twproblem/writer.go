// Package twproblem writes problems in the form of RFC 9457.
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

// MediaType is the media type of a problem.
const MediaType = "application/problem+json"

// Body is a problem as callers see it; error repeats it where clients of completions look for it.
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

// Error is what clients of completions read.
type Error struct {
	Message string            `json:"message"`
	Type    string            `json:"type"`
	Code    turmericwall.Kind `json:"code"`
}

var statuses = map[turmericwall.Kind]int{
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
}

// Of returns the problem in the error, or one that says the outcome is not known.
func Of(err error) *turmericwall.Problem {
	var p *turmericwall.Problem
	if errors.As(err, &p) {
		return p
	}
	return turmericwall.NewProblem(turmericwall.KindUpstreamFailed, "the request failed", "report it with its request id").
		WithOutcome(turmericwall.OutcomeUnknown).WithCause(err)
}

// Status is the HTTP status of the problem.
func Status(p *turmericwall.Problem) int {
	status, ok := statuses[p.Kind()]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

// BodyOf returns the problem's body.
func BodyOf(p *turmericwall.Problem, request string, now time.Time) Body {
	b := Body{
		Type:    "urn:turmericwall:problem:" + string(p.Kind()),
		Title:   http.StatusText(Status(p)),
		Status:  Status(p),
		Detail:  p.Detail(),
		Kind:    p.Kind(),
		Remedy:  p.Remedy(),
		Outcome: p.Outcome(),
		Request: request,
		Error:   Error{Message: p.Detail() + "; " + p.Remedy(), Type: "turmericwall", Code: p.Kind()},
	}
	if !p.RetryAt().IsZero() {
		b.RetryAfterMillis = max(1, p.RetryAt().Sub(now).Milliseconds())
	}
	return b
}

// Write answers with the problem.
func Write(w http.ResponseWriter, p *turmericwall.Problem, request string, now time.Time) {
	body := BodyOf(p, request, now)
	w.Header().Set("Content-Type", MediaType)
	if body.RetryAfterMillis > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(body.RetryAfterMillis)/1000))))
	}
	w.WriteHeader(body.Status)
	_ = json.NewEncoder(w).Encode(body)
}
