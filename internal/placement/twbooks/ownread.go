package twbooks

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// ownReader finds a decode engine that reads the call's prompt itself, and how long that takes.
//
// Load pattern: prompts come faster than the prefill engines read, because some of them left or all callers came back
// at once, while the decode engines have room. Refused, the callers would come back to the same queue.
func (b *Books) ownReader(st *step, w *waiter) (*engine, float64) {
	decode := b.decoder(st, w.ask, nil, func(e *engine) (float64, bool) {
		readMillis := b.readMillis(st.now, e, w.ask)
		return readMillis, b.onTime(st.now, w, readMillis) && b.bearsRead(st.now, e, w)
	})
	if decode == nil {
		return nil, 0
	}
	return decode, b.readMillis(st.now, decode, w.ask)
}

// bearsRead tells that a decode engine may read the prompt beside its streams: either no stream pauses too long, or
// so few are expected to that refusing the call would be worse. A call that is late anyway disturbs none.
func (b *Books) bearsRead(now time.Time, e *engine, w *waiter) bool {
	if b.readsUnnoticed(now, e, w.ask) {
		return true
	}
	return !w.late && float64(len(e.runs))*b.pauses.LateShare(now) < mostDisturbed
}

// readsUnnoticed tells that no stream of the engine pauses too long however large the pieces are in which it reads.
//
// An engine that reads in large pieces reads nearly the whole prompt with the next token, so the next event of every
// stream there waits for it: 260 ms for 6,000 tokens where 300 ms are allowed. A second prompt at the same time makes
// all of them late.
func (b *Books) readsUnnoticed(now time.Time, e *engine, ask turmericwall.PlaceAsk) bool {
	if len(e.runs) == 0 || ask.EventGapMillis <= 0 {
		return true
	}
	event := float64(max(b.plan.TokensPerEvent, 1)) / b.answerSpeedOf(e)
	speed := b.speed(now, e)
	most := (b.tuning.GapShare*float64(ask.EventGapMillis) - event) * speed
	return e.waitingRead(now, speed)+float64(ask.Work.PromptTokens) <= most
}

// disturb notes the streams beside which the engine reads a prompt that they may notice.
func (b *Books) disturb(now time.Time, e *engine, ask turmericwall.PlaceAsk, readMillis float64) {
	if b.readsUnnoticed(now, e, ask) {
		return
	}
	readAt := now.Add(millis(readMillis))
	for id, r := range e.runs {
		if !r.reading {
			b.pauses.Watch(id, readAt)
		}
	}
}

// mostDisturbed is how many streams may be expected to be late for one call that is served: of the callers that are
// refused about half are served when they come back.
const mostDisturbed = 0.5
