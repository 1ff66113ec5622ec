package twdelivery

import (
	"context"
	"errors"

	"github.com/turmericwall/turmericwall"
)

// final returns nil when the request is worth another attempt, and else the error for the caller.
func (r *run) final(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return cancelled(ctx)
	}
	var refused *turmericwall.Problem
	if errors.As(err, &refused) {
		return r.refused(refused)
	}
	var engine *turmericwall.EngineError
	if !errors.As(err, &engine) {
		return err
	}
	if engine.Reason() == turmericwall.EngineRefused {
		return r.failed("the engine refused the call", "check the model and the token counts", err)
	}
	if r.tries >= maxAttempts {
		return r.failed("the engines failed several attempts", "come back later", err)
	}
	return r.retry(err)
}

// retry spends a retry. Work that may wait does not need one: its lease goes to another try later.
func (r *run) retry(err error) error {
	if !r.d.budget(r.request.Service).Spend() {
		return r.failed("the service's retry budget is used up", "come back later", err)
	}
	r.d.retries.Inc(1)
	if r.tries == 1 {
		r.resumeDeadline = r.d.config.Clock.Now().Add(resumeWait)
	}
	return nil
}

// refused passes a keeper's refusal on, but for work that may wait: that asks again.
func (r *run) refused(refused *turmericwall.Problem) error {
	if refused.Kind() == turmericwall.KindOverloaded && !r.request.Work.Urgent {
		return nil
	}
	return refused.WithOutcome(r.outcome())
}

func (r *run) failed(detail, remedy string, cause error) error {
	return turmericwall.NewProblem(turmericwall.KindUpstreamFailed, detail, remedy).
		WithOutcome(r.outcome()).
		WithRetryAt(r.d.config.Clock.Now().Add(placeWait)).
		WithCause(cause)
}

// outcome is notRun only while no engine was asked for anything.
func (r *run) outcome() turmericwall.Outcome {
	if r.tries == 0 {
		return turmericwall.OutcomeNotRun
	}
	return turmericwall.OutcomeUnknown
}

func cancelled(ctx context.Context) error {
	return turmericwall.NewProblem(turmericwall.KindCancelled, "the request was cancelled", "send it again if it is still wanted").
		WithOutcome(turmericwall.OutcomeUnknown).WithCause(context.Cause(ctx))
}
