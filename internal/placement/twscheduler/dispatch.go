package twscheduler

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

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
