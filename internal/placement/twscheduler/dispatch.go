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

// dispatch places what it can: what has begun, then urgent work, then work that may wait.
func (s *Scheduler) dispatch(now time.Time) {
	for _, q := range s.queues {
		q.blocked = false
	}
	s.serve(now, classResumed)
	s.serve(now, classUrgent)
	s.giveUp(now)
	s.serve(now, classDeferrable)
}

// serve places the arrivals of a class, the kind of work whose turn it is first. A head that has to wait
// holds up its own model only: another model's engines may have places.
func (s *Scheduler) serve(now time.Time, c class) {
	for {
		q := s.next(c)
		if q == nil {
			return
		}
		if !s.serveHead(now, q) {
			s.block(q.model)
		}
	}
}

// next returns the kind of work whose turn it is.
func (s *Scheduler) next(c class) *queue {
	var next *queue
	for _, q := range s.queues {
		if q.class == c && !q.blocked && len(q.entries) > 0 && (next == nil || q.virtual < next.virtual) {
			next = q
		}
	}
	return next
}

func (s *Scheduler) block(model string) {
	for _, q := range s.queues {
		q.blocked = q.blocked || q.model == model
	}
}

// serveHead places or refuses the head; it returns false when the head has to wait.
func (s *Scheduler) serveHead(now time.Time, q *queue) bool {
	head := q.head()
	a := head.arrival
	best, v := s.place(now, a)
	if v != verdictPlaced && len(a.Avoid) > 0 {
		// Avoiding is a preference: an engine that failed once is better than none.
		a.Avoid = nil
		best, v = s.place(now, a)
	}
	head.noteLatestStart(best.compute)
	switch v {
	case verdictPlaced:
		q.pop()
		q.virtual += s.cost(best, a) / s.weight(best, a)
		s.grant(now, a, best)
		return true
	case verdictHopeless:
		q.pop()
		s.refuse(now, a, "the first token can't be met")
		return true
	case verdictNever:
		q.pop()
		s.act(turmericwall.Refusal{Attempt: a.Attempt, Reason: "no engine can hold prompt and answer", Never: true})
		return true
	default:
		return false
	}
}

// giveUp refuses at once what can no longer make its deadline, though it still waits for a place.
func (s *Scheduler) giveUp(now time.Time) {
	for _, q := range s.queues {
		for _, w := range q.remove(func(w *entry) bool { return overdue(now, w) || tooLate(now, w) }) {
			s.refuse(now, w.arrival, "no decode place became free in time")
		}
	}
}

func overdue(now time.Time, w *entry) bool {
	return !w.arrival.GiveUpDeadline.IsZero() && now.After(w.arrival.GiveUpDeadline)
}

// tooLate tells that even an immediate place would miss the first token.
func tooLate(now time.Time, w *entry) bool {
	return !w.latestStart.IsZero() && now.After(w.latestStart)
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
// no report yet may be usable in a moment: a keeper that starts must not refuse what it could serve.
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

func (s *Scheduler) grant(now time.Time, a turmericwall.Arrival, p pair) {
	s.turn++
	decodeTime := p.decode.step(p.decode.report.Slots) * time.Duration(a.MaxTokens)
	p.prefill.placePrefill(now, p.compute, a.Urgent)
	p.prefill.remember(a.Blocks)
	s.zones.between(p.prefill, p.decode).book(p.firstToken)
	reserved := p.firstToken.Add(reservationSlack)
	s.occupy(p.decode, &occupant{
		attempt: a.Attempt,
		pieces:  piecesOf(a.PromptTokens + a.MaxTokens),
		end:     p.firstToken.Add(decodeTime),
		expires: reserved,
		waited:  !a.Urgent,
	})
	s.act(turmericwall.Grant{
		Attempt:       a.Attempt,
		Prefill:       p.prefill.vm,
		Decode:        p.decode.vm,
		ReservedUntil: reserved,
		CachedTokens:  p.cached,
		FirstToken:    p.firstToken,
		Reason:        reason(p),
		Considered:    p.considered,
	})
}

func reason(p pair) string {
	if p.cached > 0 {
		return "prefix held, done first; decode least loaded"
	}
	return "done first; decode least loaded"
}

// refuse answers at once, with the time at which the backlog is expected to leave room.
func (s *Scheduler) refuse(now time.Time, a turmericwall.Arrival, why string) {
	s.act(turmericwall.Refusal{Attempt: a.Attempt, Reason: why, RetryAt: now.Add(s.retryAfter(now, a))})
}

// retryAfter is the time in which as many places become free as arrivals wait, and one more: each of
// the pool's places turns over once in the mean time that an attempt holds it.
func (s *Scheduler) retryAfter(now time.Time, a turmericwall.Arrival) time.Duration {
	places, hold := 0, time.Duration(0)
	for _, e := range s.decodes {
		if e.usable(now, a.Model) {
			places += e.report.Slots
			hold = e.step(e.report.Slots) * time.Duration(a.MaxTokens)
		}
	}
	if places == 0 {
		return silentAfter
	}
	return min(maxRetry, max(minRetry, hold*time.Duration(s.Waiting()+1)/time.Duration(places)))
}

// cost is the slot time that an attempt takes, in seconds.
func (s *Scheduler) cost(p pair, a turmericwall.Arrival) float64 {
	step := p.decode.step(p.decode.report.Slots).Seconds()
	return step*float64(a.MaxTokens) + p.compute.Seconds()
}

// weight is the worth of a second of slot time.
func (s *Scheduler) weight(p pair, a turmericwall.Arrival) float64 {
	return max(a.Worth, minWorth) / s.cost(p, a)
}

const minWorth = 0.001

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
