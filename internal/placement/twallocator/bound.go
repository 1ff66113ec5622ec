package twallocator

import (
	"fmt"
	"slices"

	"github.com/turmericwall/turmericwall"
)

// isBound reports whether the call may run at one engine only, since that engine may still run it. Its stream ends if it isn't placed
// there soon, while other calls can run elsewhere.
func (w *waitingCall) isBound() bool { return w.request.Only != "" }

// engineOfBound returns the engine of a bound call; nil if that one takes no calls any more.
func (a *Allocator) engineOfBound(w *waitingCall) *engine {
	e := a.engines[w.request.Only]
	if e == nil || e.upstream.Leaving || e.upstream.Role != turmericwall.RoleDecode {
		return nil
	}
	return e
}

// keepForBound keeps the engine of a bound call from the calls that are considered after it, also if it was placed: the engine may take
// only one more.
func (a *Allocator) keepForBound(st *decisionState, w *waitingCall) {
	if e := a.engineOfBound(w); e != nil {
		st.kept = append(st.kept, e)
	}
}

// isKept reports whether the engine is kept for a bound call, and the call may run elsewhere.
func (st *decisionState) isKept(e *engine, request turmericwall.PlaceRequest) bool {
	return request.Only == "" && slices.Contains(st.kept, e)
}

// refuseBound returns the refusal of a bound call that was not placed: once its engine takes no calls any more, or it has waited for as
// long as its caller does.
func (a *Allocator) refuseBound(st *decisionState, w *waitingCall) (Refusal, bool) {
	reason := "has no room in time"
	switch {
	case a.engineOfBound(w) == nil:
		reason = "takes no calls any more"
	case st.now.Before(w.request.GiveUpDeadline):
		return Refusal{}, false
	}
	return Refusal{
		ID: w.request.ID, Reason: fmt.Sprintf("the only engine at which the call may go on, %s, %s", w.request.Only, reason),
		Cause: turmericwall.RefusedForMemory, RetryAt: st.now,
	}, true
}
