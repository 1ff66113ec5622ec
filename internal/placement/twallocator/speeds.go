package twallocator

import (
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
)

// recordAnswer updates the decode speed of all engines and of the one that answered.
func (a *Allocator) recordAnswer(update turmericwall.PlacementUpdate) {
	speed := float64(update.AnswerTokens) / float64(update.AnswerMillis)
	a.decodeSpeed = movingAverage(a.decodeSpeed, speed)
	a.cost.RecordAnswer(float64(update.AnswerTokens), float64(update.AnswerMillis))
	e, ok := a.engines[a.engineByCall[update.ID]]
	if !ok {
		return
	}
	e.decodeSpeed = movingAverage(a.decodeSpeedOf(e), speed)
}

// decodeSpeedOf returns the speed of one answer on the engine, in tokens per millisecond. Engines of one service differ
// by a third; with one speed for all, the slow ones ran out of memory three times as often as the others.
func (a *Allocator) decodeSpeedOf(e *engine) float64 {
	if e.decodeSpeed > 0 {
		return e.decodeSpeed
	}
	return a.decodeSpeed
}

// recordPrefill records that the prefill has ended and the answer begins.
func (a *Allocator) recordPrefill(now time.Time, update turmericwall.PlacementUpdate) {
	engineID, ok := a.engineByCall[update.ID]
	if !ok {
		return
	}
	e := a.engines[engineID]
	e.fullRefusals = 0
	r := e.runs[update.ID]
	if !r.prefilling {
		return
	}
	r.prefilling = false
	a.shares.EndPrefill(update.ID)
	a.endPrefill(update.ID, r)
	r.firstTokenAt = now
	e.memoryProjection = nil
	a.callers.recordEngine(now, r.work, e)
	if r.promptCached {
		a.recordCacheOutcome(now, r, update)
		return
	}
	prefillEngine, ok := a.engines[r.prefillEngineID]
	if !ok {
		return
	}
	a.ejections.RecordSuccess(now, r.prefillEngineID)
	speed := a.prefillSpeedOf(now, prefillEngine)
	if !a.partial {
		if prefillEngine.role() == turmericwall.RolePrefill && prefillEngine.lastPrefillAt.After(r.placedAt) {
			a.cost.RecordPrefill(float64(r.work.PromptTokens), float64(now.Sub(prefillEngine.lastPrefillAt).Milliseconds()))
		}
		prefillEngine.measurePrefill(now, r, speed)
		a.updatePoolSpeed(now, prefillEngine)
	}
	pendingTokens := 0.0
	for _, tokens := range prefillEngine.prefills {
		pendingTokens += float64(tokens)
	}
	prefillEngine.prefillBacklog = pendingTokens
	prefillEngine.prefillBacklogAt = now
	a.updateUsed(now, prefillEngine)
}

// prefillSpeedOf returns the engine's prefill speed in tokens per millisecond.
//
// A speed that was measured while the engine was slow would keep calls away from it, and without calls it would never
// be measured again. Measurements older than speedValidity are therefore ignored and the best speed so far is assumed.
func (a *Allocator) prefillSpeedOf(now time.Time, e *engine) float64 {
	if e.prefillSpeed > 0 && now.Sub(e.lastPrefillAt) < speedValidity {
		return e.prefillSpeed
	}
	if e.role() == turmericwall.RoleDecode {
		return a.poolPrefillSpeed(now) / a.tuning.LocalPrefillSlowdown
	}
	return a.poolPrefillSpeed(now)
}

// poolPrefillSpeed returns the speed of a prefill engine without a recent measurement, in tokens per millisecond.
func (a *Allocator) poolPrefillSpeed(now time.Time) float64 {
	if now.Sub(a.prefillSpeedAt) < speedValidity {
		return a.prefillSpeed
	}
	return a.bestPrefillSpeed
}

// updatePoolSpeed applies the speed measured at one engine to those without a measurement.
func (a *Allocator) updatePoolSpeed(now time.Time, e *engine) {
	speed := e.prefillSpeed
	if speed <= 0 {
		return
	}
	if e.role() == turmericwall.RoleDecode {
		speed *= a.tuning.LocalPrefillSlowdown
	}
	a.prefillSpeed = movingAverage(a.poolPrefillSpeed(now), speed)
	a.prefillSpeedAt = now
	if !a.prefillMeasured {
		a.prefillMeasured = true
		a.bestPrefillSpeed = a.prefillSpeed
	}
	a.bestPrefillSpeed = math.Max(a.bestPrefillSpeed, a.prefillSpeed)
}
