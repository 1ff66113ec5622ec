package twrelay

import (
	"context"
	"time"

	"github.com/turmericwall/turmericwall/internal/admission/twreadiness"
)

// awaitStart waits until this daemon knows what it must know after its start. The error is the refusal of a call for which that
// takes too long. A call without a route doesn't wait: it gets its refusal as soon as the routes are known.
func (r *Relay) awaitStart(ctx context.Context, a *attempt) error {
	if r.config.AwaitStart == nil {
		return nil
	}
	if _, known := r.config.Routes.Plan(); known {
		if _, ok := r.config.Routes.MatchRoute(a.call.Host, a.call.Path); !ok {
			return nil
		}
	}
	a.step = stepStart
	defer func() { a.step = stepAdmission }()
	return r.config.AwaitStart(ctx, a.call.ID, func() twreadiness.Call { return r.describe(a) })
}

// describe returns what decides how long the call can wait. Its target is known only with the routes.
func (r *Relay) describe(a *attempt) twreadiness.Call {
	call := twreadiness.Call{ReceivedAt: a.call.ReceivedAt, Deadline: a.call.Deadline}
	route, ok := r.config.Routes.MatchRoute(a.call.Host, a.call.Path)
	if !ok {
		return call
	}
	call.Model = route.ForModelEngine
	if route.TargetMillis > 0 {
		call.TargetAt = call.ReceivedAt.Add(time.Duration(route.TargetMillis) * time.Millisecond)
	}
	timeoutAt := call.ReceivedAt.Add(time.Duration(route.TimeoutMillis) * time.Millisecond)
	if timeoutAt.Before(call.Deadline) {
		call.Deadline = timeoutAt
	}
	return call
}
