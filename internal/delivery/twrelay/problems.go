package twrelay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericwall/turmericwall"
)

// deadlineProblem replaces err by a problem that names the call's deadline, if the deadline has passed and the call may
// have run.
func deadlineProblem(ctx context.Context, err error) error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return err
	}
	var p *turmericwall.Problem
	if errors.As(err, &p) && p.Outcome() == turmericwall.OutcomeNotRun {
		return err
	}
	return turmericwall.NewProblem(turmericwall.KindOutcomeUnknown, "the call's time is over",
		"look before calling again").
		WithOutcome(turmericwall.OutcomeUnknown).WithCause(err)
}

// writeProblem writes the answer of a failed or refused call and returns its status.
func writeProblem(w http.ResponseWriter, err error) int {
	var p *turmericwall.Problem
	if !errors.As(err, &p) {
		p = turmericwall.NewProblem(turmericwall.KindUpstreamFailed, "the upstream failed", "call again").
			WithOutcome(turmericwall.OutcomeUnknown)
	}
	status := statusOf(p)
	if !p.RetryAt().IsZero() {
		wait := max(time.Until(p.RetryAt()).Seconds(), 0.05)
		w.Header().Set("Retry-After", strconv.FormatFloat(wait, 'f', 2, 64))
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(p.Detail() + "; " + p.Remedy() + "\n"))
	return status
}

// unknownProblem returns the problem of a call that may have run. It never states that the call did not run, whatever
// the last of several errors states.
func unknownProblem(err error) error {
	if p, ok := err.(*turmericwall.Problem); ok && p.Outcome() != turmericwall.OutcomeNotRun {
		return err
	}
	return turmericwall.NewProblem(turmericwall.KindUpstreamFailed, "the upstream gave no complete answer",
		"call again").WithOutcome(turmericwall.OutcomeUnknown).WithCause(err)
}

func statusOf(p *turmericwall.Problem) int {
	switch p.Kind() {
	case turmericwall.KindNotFound:
		return http.StatusNotFound
	case turmericwall.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case turmericwall.KindBadRequest:
		return http.StatusBadRequest
	case turmericwall.KindUnauthorized:
		return http.StatusUnauthorized
	case turmericwall.KindOverLimit:
		return http.StatusTooManyRequests
	}
	if p.Outcome() == turmericwall.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	if p.Kind() == turmericwall.KindOutcomeUnknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func noUpstreamProblem() *turmericwall.Problem {
	return turmericwall.NewProblem(turmericwall.KindNoUpstream, "no upstream takes the call",
		"come back at the time given").WithRetryAt(time.Now().Add(noUpstreamRetryAfter))
}
