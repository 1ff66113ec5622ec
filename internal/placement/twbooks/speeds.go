package twbooks

import (
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
)

// answered learns how fast answers grow, of all engines and of the one that had the call.
func (b *Books) answered(end turmericwall.PlacementEnd) {
	speed := float64(end.AnswerTokens) / float64(end.AnswerMillis)
	b.answerSpeed = learn(b.answerSpeed, speed)
	b.cost.Answered(float64(end.AnswerTokens), float64(end.AnswerMillis))
	e, ok := b.engines[b.places[end.ID]]
	if !ok {
		return
	}
	e.answerSpeed = learn(b.answerSpeedOf(e), speed)
}

// answerSpeedOf is how fast one answer grows on the engine, in tokens a millisecond. Engines of one service differ by a
// third; with one speed for all, the slow ones ran out of memory three times as often as the others.
func (b *Books) answerSpeedOf(e *engine) float64 {
	if e.answerSpeed > 0 {
		return e.answerSpeed
	}
	return b.answerSpeed
}

// promptRead notes that the prompt is read and the answer begins.
func (b *Books) promptRead(now time.Time, end turmericwall.PlacementEnd) {
	at, ok := b.places[end.ID]
	if !ok {
		return
	}
	e := b.engines[at]
	e.refusals = 0
	r := e.runs[end.ID]
	if !r.reading {
		return
	}
	r.reading = false
	r.firstAt = now
	e.projected = nil
	b.callers.answered(now, r.work, e)
	if r.kept {
		b.foundKept(now, r, end)
		return
	}
	reader, ok := b.engines[r.readBy]
	if !ok {
		return
	}
	b.ejections.Succeeded(now, r.readBy)
	speed := b.speed(now, reader)
	if !b.partial {
		if reader.upstream.Role == turmericwall.RolePrefill && reader.readAt.After(r.placedAt) {
			b.cost.Read(float64(r.work.PromptTokens), float64(now.Sub(reader.readAt).Milliseconds()))
		}
		reader.finished(now, r, speed)
		b.learnSpeed(now, reader)
	}
	left := 0.0
	for _, other := range b.engines {
		for _, o := range other.runs {
			if o.reading && o.readBy == r.readBy {
				left += float64(o.work.PromptTokens)
			}
		}
	}
	reader.backlog = left
	reader.backlogAt = now
}

// speed is how fast the engine reads prompts, in tokens a millisecond.
//
// A speed that was measured while the engine was slow would keep calls away from it, and without calls it would never
// be measured again. What is older than forgetSpan counts for nothing, and the best speed so far is assumed.
func (b *Books) speed(now time.Time, e *engine) float64 {
	if e.readSpeed > 0 && now.Sub(e.readAt) < forgetSpan {
		return e.readSpeed
	}
	if e.upstream.Role == turmericwall.RoleDecode {
		return b.poolSpeed(now) / b.tuning.OwnReadSlowdown
	}
	return b.poolSpeed(now)
}

// poolSpeed is how fast a prefill engine reads that was not measured lately.
func (b *Books) poolSpeed(now time.Time) float64 {
	if now.Sub(b.readAt) < forgetSpan {
		return b.readSpeed
	}
	return b.bestSpeed
}

// learnSpeed carries what was learned of one engine over to those that read nothing yet.
func (b *Books) learnSpeed(now time.Time, e *engine) {
	speed := e.readSpeed
	if speed <= 0 {
		return
	}
	if e.upstream.Role == turmericwall.RoleDecode {
		speed *= b.tuning.OwnReadSlowdown
	}
	b.readSpeed = learn(b.poolSpeed(now), speed)
	b.readAt = now
	if !b.measured {
		b.measured = true
		b.bestSpeed = b.readSpeed
	}
	b.bestSpeed = math.Max(b.bestSpeed, b.readSpeed)
}
