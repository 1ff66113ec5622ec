package twrelay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericwall/turmericwall"
)

// lastProblem returns the problem that the caller gets for the error. When the call's deadline has passed or the daemon
// exits, the problem names that; a call that was sent to no upstream is refused as not run.
func (a *attempt) lastProblem(ctx context.Context, err error) error {
	stopping := errors.Is(context.Cause(ctx), ErrStopping)
	var p *turmericwall.Problem
	switch {
	case !stopping && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return err
	case errors.As(err, &p) && p.Outcome() == turmericwall.OutcomeNotRun:
		return err
	case a.countedSends == 0 && a.runs == 0:
		return turmericwall.NewProblem(turmericwall.KindNotReady, "the call's time here is over, and no upstream has it",
			"come back at the time given").WithRetryAt(time.Now().Add(stoppingRetryAfter)).
			WithOutcome(turmericwall.OutcomeNotRun).WithCause(err)
	case stopping:
		return unknownProblem(err)
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
