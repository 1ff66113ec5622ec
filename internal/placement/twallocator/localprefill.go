package twallocator

import (
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twpace"
)

// localPrefillEngine returns a decode engine that prefills the call's prompt itself, and how many milliseconds that
// takes; nil when there is none.
//
// It is used when prompts arrive faster than the prefill engines process them, after the loss of some or when many
// callers retry at once, while the decode engines have free memory. Refused callers would retry into the same queue.
func (a *Allocator) localPrefillEngine(st *decisionState, w *waitingCall) (*engine, float64) {
	if st.cannotFit(st.demand, w.request) {
		return nil, 0
	}
	decode := a.leastFilledDecode(st, w.request, st.demand, nil, func(e *engine) (float64, bool) {
		prefillMillis := a.prefillMillis(st.now, e, w.request)
		return prefillMillis, a.meetsTarget(st.now, w, prefillMillis) && a.toleratesLocalPrefill(st.now, e, w)
	})
	if decode == nil {
		return nil, 0
	}
	return decode, a.prefillMillis(st.now, decode, w.request)
}

// toleratesLocalPrefill reports whether a decode engine may prefill the prompt beside its streams: either no stream
// pauses too long, or so few are expected to that refusing the call would be worse. A late call may not delay any
// stream.
func (a *Allocator) toleratesLocalPrefill(now time.Time, e *engine, w *waitingCall) bool {
	if a.prefillFitsEventGap(now, e, w.request) {
		return true
	}
	if e.slow || a.recentPrefillTokens(now, e) > 0 {
		// What the streams beside earlier prefills showed was on engines that kept their pace.
		return false
	}
	return !w.late && float64(len(e.runs))*a.interference.LateShare(now) < maxLateStreams
}

// prefillFitsEventGap reports whether no stream of the engine pauses too long, however large the engine's prefill
// chunks are.
//
// An engine with large chunks prefills nearly the whole prompt before the next token, so that the next event of every
// stream waits for it: 260 ms for 6,000 tokens where 300 ms are allowed. A second prompt at the same time makes all of
// them late.
func (a *Allocator) prefillFitsEventGap(now time.Time, e *engine, request turmericwall.PlaceRequest) bool {
	if len(e.runs) == 0 || request.EventGapMillis <= 0 {
		return true
	}
	limitMillis := request.EventGapMillis
	if e.minEventGapMillis > 0 {
		limitMillis = min(limitMillis, e.minEventGapMillis)
	}
	eventMillis := a.eventMillisOf(now, e)
	speed := a.localPrefillSpeedOf(now, e)
	limitTokens := (a.tuning.EventGapShare*float64(limitMillis) - eventMillis) * speed
	recent := max(e.pendingPrefillTokens(now, speed), a.recentPrefillTokens(now, e))
	return recent+float64(request.Work.PromptTokens) <= limitTokens
}

// eventMillisOf returns the time between two events on the engine without a prefill beside them.
func (a *Allocator) eventMillisOf(now time.Time, e *engine) float64 {
	tokens := float64(max(a.plan.TokensPerEvent, 1))
	eventMillis := tokens / a.decodeSpeedOf(e)
	if e.slow {
		tokenMillis, _ := a.pace.TokenMillis(now, e.upstream.ID, twpace.Load{}, 0)
		eventMillis = max(eventMillis, tokens*tokenMillis)
	}
	return eventMillis
}

// recentPrefillTokens returns the tokens of the local prefills that a stream may have waited for since its last event, or
// still does. A prompt that follows another one after a few tokens delays the same event.
func (a *Allocator) recentPrefillTokens(now time.Time, e *engine) float64 {
	if e.localPrefillTokens == 0 || now.After(e.localPrefillEndsAt.Add(millis(a.eventMillisOf(now, e)))) {
		return 0
	}
	return e.localPrefillTokens
}

// watchStreams records a local prefill, and starts observing the streams that it may delay.
func (a *Allocator) watchStreams(now time.Time, e *engine, request turmericwall.PlaceRequest, prefillMillis float64) {
	if len(e.runs) == 0 {
		return
	}
	fits, prefillEndsAt := a.prefillFitsEventGap(now, e, request), now.Add(millis(prefillMillis))
	e.localPrefillTokens = a.recentPrefillTokens(now, e) + float64(request.Work.PromptTokens)
	e.localPrefillEndsAt = prefillEndsAt
	if fits {
		return
	}
	for id, r := range e.runs {
		if !r.prefilling {
			a.interference.Watch(id, prefillEndsAt)
		}
	}
}

// maxLateStreams is how many streams may be expected to be late for one placed call: about half of the refused callers
// are served when they retry.
const maxLateStreams = 0.5
