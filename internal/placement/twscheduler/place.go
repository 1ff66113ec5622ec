package twscheduler

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// verdict is what became of one attempt to place an entry.
type verdict int

const (
	verdictPlaced verdict = iota
	// verdictWait means that no decode place is free now.
	verdictWait
	// verdictHopeless means that the deadline can't be met.
	verdictHopeless
	// verdictNever means that no engine is large enough.
	verdictNever
)

// pair is the best placement found for an arrival.
type pair struct {
	prefill    *engine
	decode     *engine
	cached     int
	compute    time.Duration
	prefillEnd time.Time
	firstToken time.Time
	considered int
	// soonest is when the earliest decode place is expected to be free, if none is free now.
	soonest time.Time
}

// place looks for a pair: the prefill engine that is done first, then the decode engine that is the
// least loaded among those with a free place and reachable in time.
func (s *Scheduler) place(now time.Time, a turmericwall.Arrival) (pair, verdict) {
	if s.tooLarge(a) {
		return pair{}, verdictNever
	}
	best, ok := s.bestPrefill(now, a)
	if !ok {
		return best, s.unplaced(a)
	}
	if !a.Urgent && !a.Resumed && !s.room(now, best) {
		return best, verdictWait
	}
	if !s.bestDecode(now, a, &best) {
		return best, s.waitOrNot(now, a, best)
	}
	if misses(a, best.firstToken) {
		return best, verdictHopeless
	}
	return best, verdictPlaced
}

// tooLarge tells that no decode engine of the model has the memory, even when it is empty: such an arrival
// would wait for ever.
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

// unplaced decides on an arrival for which no engine is usable. An engine that was just listed and gave
// no report yet may be usable in a moment: a leader that starts must not refuse what it could serve.
func (s *Scheduler) unplaced(a turmericwall.Arrival) verdict {
	if !a.Urgent || a.Resumed {
		return verdictWait
	}
	for _, e := range s.order {
		if e.reportTaken.IsZero() {
			return verdictWait
		}
	}
	return verdictHopeless
}

// waitOrNot refuses at once an urgent arrival for which no place is expected in time.
func (s *Scheduler) waitOrNot(now time.Time, a turmericwall.Arrival, best pair) verdict {
	if best.soonest.IsZero() {
		return s.unplaced(a)
	}
	wait := max(0, best.soonest.Sub(now))
	if misses(a, best.prefillEnd.Add(wait)) {
		return verdictHopeless
	}
	return verdictWait
}

func misses(a turmericwall.Arrival, firstToken time.Time) bool {
	return !a.Resumed && !a.FirstTokenDeadline.IsZero() && firstToken.After(a.FirstTokenDeadline)
}

// bestPrefill takes the engine that is done first: one that holds the prefix is preferred only while its
// queue costs less than the prefix saves.
func (s *Scheduler) bestPrefill(now time.Time, a turmericwall.Arrival) (pair, bool) {
	if held, ok := s.engines[a.Prefilled]; ok {
		return pair{prefill: held, cached: a.PromptTokens, prefillEnd: now, considered: 1}, true
	}
	var best pair
	var bestEnd time.Duration
	for i := range s.prefills {
		e := s.prefills[(i+s.turn)%len(s.prefills)]
		if !e.usable(now, a.Model) || avoided(a, e) {
			continue
		}
		best.considered++
		cached := min(e.cachedTokens(now, a.Blocks, s.blockTokens), a.PromptTokens-1)
		compute := e.prefillTime(a.PromptTokens - cached)
		end := max(0, e.busyUntil(a.Urgent).Sub(now)) + compute
		if best.prefill == nil || end < bestEnd {
			best.prefill, best.cached, best.compute, bestEnd = e, cached, compute, end
		}
	}
	best.prefillEnd = now.Add(bestEnd)
	return best, best.prefill != nil
}

// bestDecode fills in the decode engine; it returns false when no place is free.
func (s *Scheduler) bestDecode(now time.Time, a turmericwall.Arrival, best *pair) bool {
	pieces := piecesOf(a.PromptTokens + a.MaxTokens)
	arrivals := s.zones.arrivals(now, best.prefill, best.prefillEnd, a.PromptTokens)
	var bestScore time.Duration
	for i := range s.decodes {
		e := s.decodes[(i+s.turn)%len(s.decodes)]
		if !e.usable(now, a.Model) || avoided(a, e) {
			continue
		}
		best.considered++
		if !e.hasPlace(a.TokenGapMillis, pieces) {
			best.soonest = earlier(best.soonest, e.nextEnd)
			continue
		}
		step := e.step(e.used + 1)
		score := arrivals[e.zone].score + step*decodeWeight
		if best.decode == nil || score < bestScore {
			best.decode, bestScore = e, score
			best.firstToken = now.Add(arrivals[e.zone].after + step)
		}
	}
	return best.decode != nil
}

// decodeWeight weighs a slower step against a slower first token: each token pays the step.
const decodeWeight = 4

func (e *engine) hasPlace(tokenGapMillis float64, pieces int) bool {
	return e.used < e.slotLimit(tokenGapMillis) && e.pieces+pieces <= e.report.Pieces
}

// room tells whether work that may wait leaves enough to urgent work: it gives way before its prefill
// starts, since stopping it afterwards would throw the prefill away. It holds its place for seconds, so
// what counts is not only the places that are free now, but those that urgent work is about to need.
func (s *Scheduler) room(now time.Time, best pair) bool {
	if best.prefill.busyUntil(false).Sub(now) > deferrableQueue {
		return false
	}
	all, urgent, deferrable := 0, 0, 0
	for _, e := range s.decodes {
		if now.Before(e.silentDeadline) {
			all += e.report.Slots
			deferrable += e.deferrable
			urgent += e.used - e.deferrable
		}
	}
	needed := max(float64(urgent), s.urgent.slots(now))
	return needed+float64(deferrable) < (1-deferrableHeadroom)*float64(all)
}

// hold is how long an attempt is expected to keep a decode place.
func (s *Scheduler) hold(tokens int) time.Duration {
	for _, e := range s.decodes {
		if e.report.Slots > 0 {
			return e.step(e.report.Slots) * time.Duration(tokens)
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

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
