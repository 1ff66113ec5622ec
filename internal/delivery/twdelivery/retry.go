package twdelivery

import (
	"context"
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
)

// How long work that may wait pauses between two questions.
const (
	minPause = 100 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// final returns nil when the request is worth another attempt, and else the error for the caller.
func (r *run) final(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return cancelled(ctx)
	}
	var refused *turmericwall.Problem
	if errors.As(err, &refused) {
		return r.refused(ctx, refused)
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
	if !r.d.budget.Spend(r.d.config.Clock.Now(), r.request.Service, 1) {
		return r.failed("the service's retry budget is used up", "come back later", err)
	}
	r.d.retries.Inc(1)
	if r.tries == 1 {
		r.resumeDeadline = r.d.config.Clock.Now().Add(resumeWait)
	}
	return nil
}

// refused passes a leader's refusal on, but for work that may wait: that asks again. It pauses first: a
// leader whose queue is full refuses at once, and asking without a pause would keep it busy with refusing.
func (r *run) refused(ctx context.Context, refused *turmericwall.Problem) error {
	if refused.Kind() == turmericwall.KindOverloaded && !r.request.Work.Urgent {
		return r.pause(ctx, refused.RetryAt())
	}
	return refused.WithOutcome(r.outcome())
}

func (r *run) pause(ctx context.Context, until time.Time) error {
	clock := r.d.config.Clock
	timer := clock.NewTimer(min(maxPause, max(minPause, until.Sub(clock.Now()))))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return cancelled(ctx)
	}
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
