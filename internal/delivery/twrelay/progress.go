package twrelay

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// recordArrival records when events arrived, and reports the run's progress to the placer.
func (s *answerStream) recordArrival(now time.Time) {
	a := s.attempt
	if a.stats.events == 0 {
		a.stats.firstEventMillis = a.elapsedMillis()
		a.step = stepEvents
		s.relay.config.Recorder.Record(turmericwall.EventStreamBegun).Str("request", a.call.ID).
			Str("upstream", s.run.engine.ID).Str("version", string(s.run.engine.Version)).
			Int("started", s.run.engine.StartedMillis).Int("firstMillis", a.stats.firstEventMillis).Send()
	} else {
		s.recordEventGap(now.Sub(s.lastEventAt).Milliseconds())
	}
	if s.run.firstEventAt.IsZero() {
		s.run.firstEventAt = now
		if s.run.stallTimer != nil {
			s.run.stallTimer.Stop()
		}
		s.reportPrefill(now)
	}
	s.lastEventAt = now
}

// recordEventGap records the pause before an event. The first one that exceeds the route's limit is reported at once,
// so that the placer does not run the next prefill beside streams that are slowed down as much.
func (s *answerStream) recordEventGap(millis int64) {
	stats, limitMillis := &s.attempt.stats, s.attempt.route.EventGapMillis
	if limitMillis > 0 && millis > limitMillis && stats.maxEventGapMillis <= limitMillis && s.run.events > 0 {
		s.relay.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{
			ID: s.run.placement.ID, Service: s.run.update.Service, Running: true,
			EventGapExceeded: true, OwnDelayMillis: s.relay.config.OwnDelay().Milliseconds(),
		})
	}
	stats.maxEventGapMillis = max(stats.maxEventGapMillis, millis)
}

// reportPrefill reports the duration of a local prefill to the placer.
func (s *answerStream) reportPrefill(now time.Time) {
	if s.run.update.Prefilled {
		return
	}
	s.run.update.Prefilled = true
	s.run.update.PrefillMillis = now.Sub(s.run.placedAt).Milliseconds()
	s.relay.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{
		ID: s.run.update.ID, Service: s.run.update.Service, Running: true, Prefilled: true,
		PrefillMillis: s.run.update.PrefillMillis,
	})
}

// speedReportDelay is how long a run sends events before its speed is reported.
const speedReportDelay = 400 * time.Millisecond

// reportSpeed reports the speed of the run before its end, because the first answers after a start end only after
// seconds and the placer needs an estimate before then.
func (s *answerStream) reportSpeed(now time.Time) {
	run := s.run
	if run.speedReported || now.Sub(run.firstEventAt) < speedReportDelay {
		return
	}
	run.speedReported = true
	s.relay.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{
		ID: run.placement.ID, Service: run.update.Service, Running: true,
		AnswerTokens:   (run.events - 1) * max(s.attempt.service.Engine.TokensPerEvent, 1),
		AnswerMillis:   now.Sub(run.firstEventAt).Milliseconds(),
		OwnDelayMillis: s.relay.config.OwnDelay().Milliseconds(),
	})
}
