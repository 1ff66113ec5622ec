package twscheduler

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// verdict is the outcome of an attempt to place an arrival.
type verdict int

const (
	verdictPlaced verdict = iota
	// verdictWait means that no decode slot is free now.
	verdictWait
	// verdictMissesDeadline means that the first token would be late.
	verdictMissesDeadline
	// verdictTooLarge means that no engine has the memory for prompt and answer.
	verdictTooLarge
)

// pair is the best pair of a prefill and a decode engine found for an arrival.
type pair struct {
	prefill      *engine
	decode       *engine
	cachedTokens int
	// compute is the prefill time of the uncached tokens.
	compute      time.Duration
	prefillEndAt time.Time
	firstTokenAt time.Time
	considered   int
	// nextSlotAt is when the first decode slot is expected to be released, if none is free now.
	nextSlotAt time.Time
}

// findPair selects the prefill engine that finishes first, then the decode engine with the best score among those with
// a free slot.
func (s *Scheduler) findPair(now time.Time, a turmericwall.Arrival) (pair, verdict) {
	if s.tooLarge(a) {
		return pair{}, verdictTooLarge
	}
	best, ok := s.bestPrefill(now, a)
	if !ok {
		return best, s.verdictWithoutEngine(a)
	}
	if !a.Urgent && !a.Resumed && !s.admitsDeferrable(now, best) {
		return best, verdictWait
	}
	if !s.bestDecode(now, a, &best) {
		return best, s.enqueueOrRefuse(now, a, best)
	}
	if missesDeadline(a, best.firstTokenAt) {
		return best, verdictMissesDeadline
	}
	return best, verdictPlaced
}

// tooLarge reports whether no decode engine of the model has the memory for the arrival even when empty; it would
// otherwise wait forever.
func (s *Scheduler) tooLarge(a turmericwall.Arrival) bool {
	pieces, known := piecesOf(a.PromptTokens+a.MaxTokens), false
	for _, e := range s.decodes {
		if !serves(e.report.Models, a.Model) {
			continue
		}
		if e.report.Pieces >= pieces {
			return false
		}
		known = true
	}
	return known
}

// verdictWithoutEngine decides on an arrival for which no engine is usable. Deferrable and resumed ones wait; an urgent
// one waits only while a listed engine has not reported yet: a new leader must not refuse what an engine could serve
// after its first report.
func (s *Scheduler) verdictWithoutEngine(a turmericwall.Arrival) verdict {
	if !a.Urgent || a.Resumed {
		return verdictWait
	}
	for _, e := range s.sortedEngines {
		if e.reportTakenAt.IsZero() {
			return verdictWait
		}
	}
	return verdictMissesDeadline
}

// enqueueOrRefuse decides on an arrival when no decode slot is free: it waits only if a slot is expected in time for
// its first token.
func (s *Scheduler) enqueueOrRefuse(now time.Time, a turmericwall.Arrival, best pair) verdict {
	if best.nextSlotAt.IsZero() {
		return s.verdictWithoutEngine(a)
	}
	wait := max(0, best.nextSlotAt.Sub(now))
	if missesDeadline(a, best.prefillEndAt.Add(wait)) {
		return verdictMissesDeadline
	}
	return verdictWait
}

func missesDeadline(a turmericwall.Arrival, firstTokenAt time.Time) bool {
	return !a.Resumed && !a.FirstTokenDeadline.IsZero() && firstTokenAt.After(a.FirstTokenDeadline)
}

// bestPrefill selects the prefill engine that finishes first. An engine with a cached prefix is therefore preferred
// only while its queue costs less time than the prefix saves.
func (s *Scheduler) bestPrefill(now time.Time, a turmericwall.Arrival) (pair, bool) {
	if exporter, ok := s.engines[a.ExportEngine]; ok {
		return pair{prefill: exporter, cachedTokens: a.PromptTokens, prefillEndAt: now, considered: 1}, true
	}
	var best pair
	var bestEnd time.Duration
	for i := range s.prefills {
		e := s.prefills[(i+s.scanOffset)%len(s.prefills)]
		if !e.usable(now, a.Model) || avoided(a, e) {
			continue
		}
		best.considered++
		cached := min(e.cachedTokens(now, a.BlockHashes, s.blockTokens), a.PromptTokens-1)
		compute := e.prefillTime(a.PromptTokens - cached)
		end := max(0, e.busyUntil(a.Urgent).Sub(now)) + compute
		if best.prefill == nil || end < bestEnd {
			best.prefill, best.cachedTokens, best.compute, bestEnd = e, cached, compute, end
		}
	}
	best.prefillEndAt = now.Add(bestEnd)
	return best, best.prefill != nil
}

// bestDecode sets the decode engine of the pair; it returns false when no slot is free.
func (s *Scheduler) bestDecode(now time.Time, a turmericwall.Arrival, best *pair) bool {
	pieces := piecesOf(a.PromptTokens + a.MaxTokens)
	transfers := s.zones.transfersFrom(now, best.prefill, best.prefillEndAt, a.PromptTokens)
	var bestScore time.Duration
	for i := range s.decodes {
		e := s.decodes[(i+s.scanOffset)%len(s.decodes)]
		if !e.usable(now, a.Model) || avoided(a, e) {
			continue
		}
		best.considered++
		if !e.hasCapacity(a.TokenGapMillis, pieces) {
			best.nextSlotAt = earlier(best.nextSlotAt, e.nextReleaseAt)
			continue
		}
		step := e.stepTime(e.usedSlots + 1)
		score := transfers[e.zoneIndex].score + step*stepWeight
		if best.decode == nil || score < bestScore {
			best.decode, bestScore = e, score
			best.firstTokenAt = now.Add(transfers[e.zoneIndex].delay + step)
		}
	}
	return best.decode != nil
}

// stepWeight weighs a slower decode step against a later first token: every token of the answer pays for the step.
const stepWeight = 4

func (e *engine) hasCapacity(tokenGapMillis float64, pieces int) bool {
	return e.usedSlots < e.slotLimit(tokenGapMillis) && e.usedPieces+pieces <= e.report.Pieces
}

// admitsDeferrable reports whether deferrable work may start without taking slots that urgent work needs. The check
// comes before the prefill, because stopping the work later would waste the prefill. Deferrable work holds its slot for
// seconds, so the expected demand of urgent work counts besides the slots in use.
func (s *Scheduler) admitsDeferrable(now time.Time, best pair) bool {
	if best.prefill.busyUntil(false).Sub(now) > maxDeferrableBacklog {
		return false
	}
	all, urgent, deferrable := 0, 0, 0
	for _, e := range s.decodes {
		if now.Before(e.reportDeadline) {
			all += e.report.Slots
			deferrable += e.deferrableSlots
			urgent += e.usedSlots - e.deferrableSlots
		}
	}
	needed := max(float64(urgent), s.urgentDemand.slots(now))
	return needed+float64(deferrable) < (1-urgentHeadroomShare)*float64(all)
}

// expectedSlotTime returns how long an attempt with the given number of answer tokens is expected to hold a decode
// slot.
func (s *Scheduler) expectedSlotTime(tokens int) time.Duration {
	for _, e := range s.decodes {
		if e.report.Slots > 0 {
			return e.stepTime(e.report.Slots) * time.Duration(tokens)
		}
	}
	return 0
}

func avoided(a turmericwall.Arrival, e *engine) bool {
	for _, name := range a.Avoid {
		if name == e.vm.Name {
			return true
		}
	}
	return false
}

// earlier returns the earlier of two times; a zero time counts as unset.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
