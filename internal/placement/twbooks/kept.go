package twbooks

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// placeWhereKept places a caller that comes back on the engine that answered it before.
//
// Load pattern: a daemon is killed, and all its callers come back at once through others. Their prompts were read already,
// and their engines still keep them. Read again elsewhere, they queue before the prompts of fresh calls, and all are late.
func (b *Books) placeWhereKept(st *step, w *waiter) (turmericwall.Placement, bool) {
	e, tokens := b.whereKept(st, w.ask)
	if e == nil || !b.open(st.now, e, w.ask) || len(e.runs) >= b.slots(e) {
		return turmericwall.Placement{}, false
	}
	speed := b.speed(st.now, e)
	readMillis := (e.waitingRead(st.now, speed)+float64(w.ask.Work.PromptTokens-tokens))/speed + travelMillis
	if !w.late && !b.onTime(st.now, w, readMillis) {
		return turmericwall.Placement{}, false
	}
	added := b.forecast(w.ask).span(readMillis, e.projected.speed).later(e.projected.passed(st.now))
	if e.projected.peak(added, b.tuning.Deviations) > b.tuning.MemoryShare*float64(b.plan.MemoryTokens) {
		return turmericwall.Placement{}, false
	}
	placement := b.take(st, w, e, e, readMillis)
	placement.Reason = "its prompt is kept there"
	e.backlog -= float64(tokens)
	e.taken -= float64(tokens)
	e.runs[w.ask.ID].kept = true
	return placement, true
}

// whereKept is the decode engine that still keeps the call's prompt, and how many tokens of it; nil when there is none.
func (b *Books) whereKept(st *step, ask turmericwall.PlaceAsk) (*engine, int) {
	if !b.enginesKeep(st.now) {
		return nil, 0
	}
	known := b.callers.kept(ask)
	tokens := min(known.tokens, ask.Work.PromptTokens)
	e, ok := b.engines[known.engine.ID]
	if !ok || tokens == 0 || e.upstream.Key() != known.engine || e.upstream.Role != turmericwall.RoleDecode {
		return nil, 0
	}
	if b.thrownOut(st, e, known) {
		return nil, 0
	}
	return e, tokens
}

// thrownOut tells that the engine must have thrown the caller's prompt out: the prompts used least lately yield to runs,
// and since then more came than it can hold beside those that were under way.
func (b *Books) thrownOut(st *step, e *engine, known caller) bool {
	held := 0.0
	for _, r := range e.runs {
		if r.placedAt.Before(known.usedAt) {
			held += float64(r.work.PromptTokens) + r.made(st.now, b.answerSpeedOf(e))
		}
	}
	return e.taken-known.taken+held > float64(b.plan.MemoryTokens)
}

// Keeps takes what an engine says that it keeps.
func (b *Books) Keeps(now time.Time, engine turmericwall.UpstreamKey, prompts []turmericwall.KeptPrompt) {
	e, ok := b.engines[engine.ID]
	if !ok || e.upstream.Key() != engine {
		return
	}
	b.callers.keeps(now, e, prompts)
}

const (
	// leastKept is the share of kept prompts below which engines are taken to forget them: read again beside streams, at
	// half the speed, a prompt costs more than by an engine that reads.
	leastKept = 0.4
	// firstKept is the share assumed before the first one.
	firstKept = 0.7
	// doubtSpan is how long engines that forget prompts are not tried again: full engines may have room then.
	doubtSpan = 10 * time.Second
	// forgottenShare is the part of its reading time from which on a prompt was read again.
	forgottenShare = 0.5
)

// enginesKeep tells that prompts are expected to be kept.
func (b *Books) enginesKeep(now time.Time) bool {
	if b.keptShare < leastKept && now.Sub(b.keptJudgedAt) > doubtSpan {
		b.keptShare = firstKept
	}
	return b.keptShare >= leastKept
}

// foundKept learns whether engines keep prompts: full ones throw them out for the next run.
func (b *Books) foundKept(now time.Time, r *run, end turmericwall.PlacementEnd) {
	found := 0.0
	if float64(end.PromptMillis) < forgottenShare*float64(r.work.PromptTokens)/b.bestSpeed*b.tuning.OwnReadSlowdown {
		found = 1
	}
	b.keptShare = learn(b.keptShare, found)
	b.keptJudgedAt = now
}
