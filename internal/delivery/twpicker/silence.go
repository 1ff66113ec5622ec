package twpicker

import (
	"slices"
	"time"
)

const (
	// slowTargetShare is the share of the target after which an open call counts as a lower bound of the answer time, if it
	// is also slowFactor times the average: the rest of the target is enough for another upstream.
	slowTargetShare = 0.5
	slowFactor      = 3
	// silentFactor times the average, and at least the target, is how long minUnanswered calls must be unanswered for the
	// upstream to be silent. A single one must be loneFactor times as old, because it may be a long call.
	silentFactor  = 6
	minUnanswered = 2
	loneFactor    = 4
	// defaultTargetMillis is used for routes without a target.
	defaultTargetMillis = 1000
	// probeSpacing is the time between two probes of a silent upstream by all daemons together, maxProbeGap the longest time
	// between two by one daemon if there are few. The first one follows after firstProbeGap, and the gap doubles.
	probeSpacing  = 100 * time.Millisecond
	firstProbeGap = 700 * time.Millisecond
	maxProbeGap   = 4 * time.Second
	// silenceRetention is how long an upstream counts as silent after the last call to it has ended. A service whose calls
	// may all run only once has no other way to learn that it answers again.
	silenceRetention = 4 * time.Second
)

// silence tracks for how long an upstream has left calls unanswered.
type silence struct {
	// open are the times at which the open calls were sent.
	open []time.Time
	// from is when the first of the calls was sent that are unanswered, or when the last answer was received after that;
	// zero if no call is unanswered.
	from time.Time
	// ended is the number of calls that ended without an answer, each after a span that is unusual for the upstream, since
	// the last answer. endedAt is when the last one did.
	ended   int
	endedAt time.Time
	// after is the span that is unusual, as of the last send.
	after time.Duration
	// probes counts the ends that a probe followed, and probeAt is when the next probe may be sent.
	probes  int
	probeAt time.Time
	// answeredAt is when the last answer was received.
	answeredAt time.Time
}

func (s *silence) send(at time.Time, after time.Duration) {
	s.open = append(s.open, at)
	s.after = after
	if s.from.IsZero() {
		s.from = at
	}
}

// answer records that the call that was sent at the time was answered now.
func (s *silence) answer(sentAt, now time.Time) {
	s.remove(sentAt)
	s.answeredAt = now
	s.restart(now)
}

// restart ends the silence as of an answer at the time. Calls that are still open may begin a new one.
func (s *silence) restart(at time.Time) {
	s.ended, s.probes, s.endedAt, s.probeAt, s.from = 0, 0, time.Time{}, time.Time{}, time.Time{}
	if len(s.open) > 0 {
		s.from = at
	}
}

// end records that the call that was sent at the time has ended without an answer.
func (s *silence) end(now, sentAt time.Time, minGap time.Duration) {
	if !s.remove(sentAt) {
		return
	}
	if now.Sub(sentAt) >= s.after {
		s.ended++
		s.endedAt = now
		s.probeAt = now.Add(max(min(firstProbeGap<<s.probes, maxProbeGap), minGap))
		s.probes = min(s.probes+1, 3)
	}
	s.settle()
}

// withdraw forgets a call that didn't reach the upstream.
func (s *silence) withdraw(sentAt time.Time) {
	s.remove(sentAt)
	s.settle()
}

// settle ends the silence when nothing is left that speaks for it.
func (s *silence) settle() {
	if len(s.open) == 0 && s.ended == 0 {
		s.from = time.Time{}
	}
}

func (s *silence) remove(sentAt time.Time) bool {
	i := slices.IndexFunc(s.open, sentAt.Equal)
	if i < 0 {
		return false
	}
	s.open = slices.Delete(s.open, i, i+1)
	return true
}

// span returns for how long the upstream has left calls unanswered; 0 if it hasn't, or if the last of them ended so long ago
// that it is tried again.
func (s *silence) span(now time.Time) time.Duration {
	if s.from.IsZero() || (len(s.open) == 0 && now.Sub(s.endedAt) > silenceRetention) {
		return 0
	}
	return now.Sub(s.from)
}

// unanswered returns the number of calls since the last answer that have waited unusually long.
func (s *silence) unanswered(now time.Time, after time.Duration) int {
	if s.from.IsZero() || s.span(now) == 0 {
		return 0
	}
	n := s.ended
	for _, at := range s.open {
		if now.Sub(at) >= after/2 {
			n++
		}
	}
	return n
}

// isSilent reports whether the upstream has stopped answering, judged by the span after which that is unusual.
func (s *silence) isSilent(now time.Time, after time.Duration) bool {
	span := s.span(now)
	return span >= after && (s.unanswered(now, after) >= minUnanswered || span >= loneFactor*after)
}

// answeredElsewhere records that another daemon received an answer at the time.
func (s *silence) answeredElsewhere(at time.Time) {
	if at.After(s.from) {
		s.restart(at)
	}
}

// mayProbe reports whether a call that may run more than once may be sent to find out whether the upstream answers again.
func (s *silence) mayProbe(now time.Time) bool {
	return len(s.open) == 0 && !s.probeAt.IsZero() && !now.Before(s.probeAt)
}

// lowerBoundMillis returns the lower bound of the answer time that follows from unanswered calls; 0 while none is late, and
// for a probe.
func (p *Picker) lowerBoundMillis(now time.Time, call Call, r *upstreamStats) float64 {
	if !call.RunsOnce && r.silence.mayProbe(now) {
		return 0
	}
	late := max(slowTargetShare*targetMillis(call), slowFactor*r.usualMillis)
	millis := float64((r.silence.span(now) - p.ownDelay()).Milliseconds())
	if millis < late {
		return 0
	}
	return millis
}

// isSilent reports whether the upstream has stopped answering, as this daemon or all together observed it.
func (p *Picker) isSilent(now time.Time, call Call, r *upstreamStats) bool {
	after := r.silentAfter(call)
	return r.silence.isSilent(now, after+p.ownDelay()) || r.isSilentElsewhere(now, after)
}

// isClosedTo reports whether the upstream is silent and must not get the call. A call that may run more than once is sent
// as a probe while no other call is open.
func (p *Picker) isClosedTo(now time.Time, call Call, r *upstreamStats) bool {
	switch {
	case !p.isSilent(now, call, r):
		return false
	case call.RunsOnce, r.openCalls > 0:
		return true
	case r.silence.span(now) > 0:
		return !r.silence.mayProbe(now)
	}
	return now.Before(r.shared.silentSince.Add(p.sharedProbeGap()))
}

// sharedProbeGap returns how long this daemon waits before it probes an upstream that is silent for others. The daemons'
// probes are spread, so that the first ones follow soon.
func (p *Picker) sharedProbeGap() time.Duration {
	return firstProbeGap/2 + time.Duration(p.config.FirstChoice%uint64(max(firstProbeGap, p.minProbeGap())))
}

// ownDelay returns by how much this daemon may delay the answers that it waits for.
func (p *Picker) ownDelay() time.Duration {
	if p.config.OwnDelay == nil {
		return 0
	}
	return p.config.OwnDelay()
}

// minProbeGap returns the shortest time between two probes of a silent upstream by this daemon. One probe of all daemons
// every probeSpacing is enough to notice an answer.
func (p *Picker) minProbeGap() time.Duration {
	if p.config.Daemons == nil {
		return 0
	}
	return time.Duration(p.config.Daemons()) * probeSpacing
}

// silentAfter returns the span without an answer after which the upstream is silent.
func (r *upstreamStats) silentAfter(call Call) time.Duration {
	return time.Duration(max(targetMillis(call), silentFactor*r.usualMillis) * float64(time.Millisecond))
}

func targetMillis(call Call) float64 {
	if call.TargetMillis <= 0 {
		return defaultTargetMillis
	}
	return float64(call.TargetMillis)
}
