package twscheduler

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// dispatch places the waiting arrivals that engines have room for: resumed attempts, then urgent work, then
// deferrable work.
func (s *Scheduler) dispatch(now time.Time) {
	for _, q := range s.queues {
		q.blocked = false
	}
	s.placeClass(now, classResumed)
	s.placeClass(now, classUrgent)
	s.refuseExpired(now)
	s.placeClass(now, classDeferrable)
}

// placeClass places the waiting arrivals of a class, the queue with the lowest virtual time first. A head that has
// to wait blocks only the queues of its own model: engines of another model may have free slots.
func (s *Scheduler) placeClass(now time.Time, c class) {
	for {
		q := s.nextQueue(c)
		if q == nil {
			return
		}
		if !s.placeHead(now, q) {
			s.blockModel(q.model)
		}
	}
}

// nextQueue returns the unblocked queue of the class with the lowest virtual time, or nil.
func (s *Scheduler) nextQueue(c class) *queue {
	var next *queue
	for _, q := range s.queues {
		if q.class == c && !q.blocked && len(q.entries) > 0 && (next == nil || q.virtualTime < next.virtualTime) {
			next = q
		}
	}
	return next
}

func (s *Scheduler) blockModel(model string) {
	for _, q := range s.queues {
		q.blocked = q.blocked || q.model == model
	}
}

// placeHead places or refuses the head of the queue; it returns false when the head has to wait.
func (s *Scheduler) placeHead(now time.Time, q *queue) bool {
	head := q.head()
	a := head.arrival
	best, v := s.findPair(now, a)
	if v != verdictPlaced && len(a.Avoid) > 0 {
		// Avoid is a preference: an engine that failed the request before is better than none.
		a.Avoid = nil
		best, v = s.findPair(now, a)
	}
	head.recordLatestStart(best.compute)
	switch v {
	case verdictPlaced:
		q.pop()
		q.virtualTime += s.slotSeconds(best, a) / s.worthPerSlotSecond(best, a)
		s.grant(now, a, best)
		return true
	case verdictMissesDeadline:
		q.pop()
		s.refuse(now, a, "the first token can't be met")
		return true
	case verdictTooLarge:
		q.pop()
		s.emit(
			turmericwall.Refusal{Attempt: a.Attempt, Reason: "no engine can hold prompt and answer", Permanent: true},
		)
		return true
	default:
		return false
	}
}

// refuseExpired refuses queued arrivals whose give-up deadline has passed, or whose first token would be late even if a
// slot became free now.
func (s *Scheduler) refuseExpired(now time.Time) {
	for _, q := range s.queues {
		for _, w := range q.remove(func(w *entry) bool {
			return pastGiveUpDeadline(now, w) || pastLatestStart(now, w)
		}) {
			s.refuse(now, w.arrival, "no decode place became free in time")
		}
	}
}

func pastGiveUpDeadline(now time.Time, w *entry) bool {
	return !w.arrival.GiveUpDeadline.IsZero() && now.After(w.arrival.GiveUpDeadline)
}

// pastLatestStart reports whether the first token would be late even if the prefill started now.
func pastLatestStart(now time.Time, w *entry) bool {
	return !w.latestStart.IsZero() && now.After(w.latestStart)
}

func (s *Scheduler) grant(now time.Time, a turmericwall.Arrival, p pair) {
	s.scanOffset++
	decodeTime := p.decode.stepTime(p.decode.report.Slots) * time.Duration(a.MaxTokens)
	p.prefill.queuePrefill(now, p.compute, a.Urgent)
	p.prefill.addCachedBlocks(a.BlockHashes)
	s.zones.between(p.prefill, p.decode).reserveUntil(p.firstTokenAt)
	reservedUntil := p.firstTokenAt.Add(reservationSlack)
	s.allocate(p.decode, &allocation{
		attempt:       a.Attempt,
		pieces:        piecesOf(a.PromptTokens + a.MaxTokens),
		expectedEnd:   p.firstTokenAt.Add(decodeTime),
		reservedUntil: reservedUntil,
		deferrable:    !a.Urgent,
	})
	s.emit(turmericwall.Grant{
		Attempt:           a.Attempt,
		Prefill:           p.prefill.vm,
		Decode:            p.decode.vm,
		ReservedUntil:     reservedUntil,
		CachedTokens:      p.cachedTokens,
		FirstTokenAt:      p.firstTokenAt,
		Reason:            grantReason(p),
		EnginesConsidered: p.considered,
	})
}

func grantReason(p pair) string {
	if p.cachedTokens > 0 {
		return "prefix held, done first; decode least loaded"
	}
	return "done first; decode least loaded"
}

// refuse answers the arrival at once, with the time at which the backlog is expected to be cleared.
func (s *Scheduler) refuse(now time.Time, a turmericwall.Arrival, reason string) {
	s.emit(turmericwall.Refusal{Attempt: a.Attempt, Reason: reason, RetryAt: now.Add(s.retryAfter(now, a))})
}

// retryAfter returns the time in which the pool releases one slot for each waiting arrival and one more. It assumes
// that each slot is released once per mean slot time of an attempt.
func (s *Scheduler) retryAfter(now time.Time, a turmericwall.Arrival) time.Duration {
	slots, slotTime := 0, time.Duration(0)
	for _, e := range s.decodes {
		if e.usable(now, a.Model) {
			slots += e.report.Slots
			slotTime = e.stepTime(e.report.Slots) * time.Duration(a.MaxTokens)
		}
	}
	if slots == 0 {
		return reportTimeout
	}
	return min(maxRetryAfter, max(minRetryAfter, slotTime*time.Duration(s.Waiting()+1)/time.Duration(slots)))
}

// slotSeconds returns the time that an attempt occupies engines, in seconds: its decode slot time and its prefill time.
func (s *Scheduler) slotSeconds(p pair, a turmericwall.Arrival) float64 {
	step := p.decode.stepTime(p.decode.report.Slots).Seconds()
	return step*float64(a.MaxTokens) + p.compute.Seconds()
}

// worthPerSlotSecond returns the worth of the attempt per second of its slot time.
func (s *Scheduler) worthPerSlotSecond(p pair, a turmericwall.Arrival) float64 {
	return max(a.Worth, minWorth) / s.slotSeconds(p, a)
}

// minWorth keeps the virtual time finite for work without a worth.
const minWorth = 0.001
