package twdelivery

import (
	"context"
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twretries"
)

// errorUnlessRetried returns nil when the request may be attempted again, and otherwise the error for the caller.
func (r *run) errorUnlessRetried(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return cancelledProblem(ctx)
	}
	var refused *turmericwall.Problem
	if errors.As(err, &refused) {
		return r.handleRefusal(ctx, refused)
	}
	var engine *turmericwall.EngineError
	if !errors.As(err, &engine) {
		return err
	}
	if engine.Reason() == turmericwall.EngineRefused {
		return r.upstreamFailedProblem("the engine refused the call", "check the model and the token counts", err)
	}
	if r.attempts >= maxAttempts {
		return r.upstreamFailedProblem("the engines failed several attempts", "come back later", err)
	}
	return r.spendRetry(err)
}

// spendRetry takes a retry from the service's budget. A deferrable request that gets none fails here; it runs again
// when its lease is taken later.
func (r *run) spendRetry(err error) error {
	if !r.delivery.retryBudget.Spend(r.delivery.config.Clock.Now(), r.request.Service, 1) {
		return r.upstreamFailedProblem("the service's retry budget is used up", "come back later", err)
	}
	r.delivery.retryCount.Inc(1)
	if r.attempts == 1 {
		r.resumeDeadline = r.delivery.config.Clock.Now().Add(maxResumeWait)
	}
	return nil
}

// handleRefusal returns the leader's refusal to the caller. A deferrable request is placed again instead, after a
// delay: a leader whose queue is full refuses at once, and requests without a delay would keep it busy with refusals.
func (r *run) handleRefusal(ctx context.Context, refused *turmericwall.Problem) error {
	if refused.Kind() == turmericwall.KindOverloaded && !r.request.Work.Urgent {
		return r.waitToRetry(ctx, refused.RetryAt())
	}
	return refused.WithOutcome(r.outcome())
}

func (r *run) waitToRetry(ctx context.Context, until time.Time) error {
	clock := r.delivery.config.Clock
	timer := clock.NewTimer(twretries.Delay(clock.Now(), until))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return cancelledProblem(ctx)
	}
}

func (r *run) upstreamFailedProblem(detail, remedy string, cause error) error {
	return turmericwall.NewProblem(turmericwall.KindUpstreamFailed, detail, remedy).
		WithOutcome(r.outcome()).
		WithRetryAt(r.delivery.config.Clock.Now().Add(maxPlaceWait)).
		WithCause(cause)
}

// outcome is notRun only while no attempt was placed.
func (r *run) outcome() turmericwall.Outcome {
	if r.attempts == 0 {
		return turmericwall.OutcomeNotRun
	}
	return turmericwall.OutcomeUnknown
}

func cancelledProblem(ctx context.Context) error {
	return turmericwall.NewProblem(turmericwall.KindCancelled, "the request was cancelled",
		"send it again if it is still wanted").
		WithOutcome(turmericwall.OutcomeUnknown).WithCause(context.Cause(ctx))
}
