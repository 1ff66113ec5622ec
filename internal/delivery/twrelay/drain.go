package twrelay

import (
	"context"
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twdrain"
)

// stoppingRetryAfter is short, because the caller reaches another daemon on its next connection.
const stoppingRetryAfter = 50 * time.Millisecond

// drainCall returns what decides whether the call is taken in a planned stop.
func (a *attempt) drainCall() twdrain.Call {
	return twdrain.Call{Route: a.route.Name, Deadline: a.deadline}
}

// checkDrain returns the refusal of a call that nothing has run yet, and that can't end before this daemon exits.
func (r *Relay) checkDrain(a *attempt) error {
	if r.config.Drain == nil || a.runs > 0 || r.config.Drain.Takes(a.drainCall()) {
		return nil
	}
	return stoppingProblem()
}

// checkPlainDrain is checkDrain before a send of a call of a plain service. One that may run more than once may have been sent.
func (r *Relay) checkPlainDrain(a *attempt) error {
	if a.countedSends > 0 && a.route.Kind == turmericwall.CallIdempotent {
		return nil
	}
	return r.checkDrain(a)
}

// placeInTime places a call unless it waits until it can't end before this daemon exits.
func (r *Relay) placeInTime(
	ctx context.Context, a *attempt, request turmericwall.PlaceRequest,
) (turmericwall.Placement, error) {
	if r.config.Drain == nil || a.runs > 0 {
		return r.placeAtVersion(ctx, request)
	}
	held, release := r.config.Drain.Hold(ctx, a.drainCall())
	defer release()
	placement, err := r.placeAtVersion(held, request)
	if err != nil && errors.Is(context.Cause(held), twdrain.ErrStopping) {
		return placement, stoppingProblem()
	}
	return placement, err
}

// openInDrain records that the call is open, for what the daemon expects of others in a planned stop, until endInDrain.
func (r *Relay) openInDrain(a *attempt) {
	if r.config.Drain != nil {
		a.endInDrain = r.config.Drain.Open(a.route.Name, a.call.ReceivedAt)
	}
}

func stoppingProblem() *turmericwall.Problem {
	return turmericwall.NewProblem(turmericwall.KindNotReady, "this daemon is stopping", "come back on a new connection").
		WithRetryAt(time.Now().Add(stoppingRetryAfter))
}
