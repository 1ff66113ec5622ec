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
	a.completePrefill(now, update.ID, r)
	a.pace.Begin(now, update.ID)
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
	if prefillEngine == e {
		a.recordLocalPrefill(now, e, r)
	}
	speed := a.prefillSpeedOf(now, prefillEngine)
	if !a.partial {
		if prefillEngine.role() == turmericwall.RolePrefill && prefillEngine.lastPrefillAt.After(r.placedAt) {
			a.cost.RecordPrefill(float64(r.work.PromptTokens), float64(now.Sub(prefillEngine.lastPrefillAt).Milliseconds()))
		}
		prefillEngine.measurePrefill(now, r, speed)
		a.updatePoolSpeed(now, prefillEngine)
	}
	prefillEngine.prefillBacklog = float64(prefillEngine.prefills.Tokens())
	prefillEngine.prefillBacklogAt = now
	a.updateUsed(now, prefillEngine)
}

// completePrefill records that a prefill has ended. The error of its prediction says nothing about the engine while other
// daemons place calls there, or if the prompt was cached.
func (a *Allocator) completePrefill(now time.Time, id string, r *run) {
	e, ok := a.engines[r.prefillEngineID]
	switch {
	case !ok:
	case a.partial || r.promptCached:
		e.prefills.Withdraw(id)
	default:
		e.prefills.Complete(now, id)
	}
}

// PrefillErrors returns by how many milliseconds the prefills of engines end after their predictions, by the engines' ids,
// where the latest ones show it.
func (a *Allocator) PrefillErrors(now time.Time) map[string]float64 {
	errors := make(map[string]float64)
	for _, e := range a.ordered {
		if millis := e.prefills.ErrorMillis(now); millis > 0 {
			errors[e.upstream.ID] = millis
		}
	}
	return errors
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
