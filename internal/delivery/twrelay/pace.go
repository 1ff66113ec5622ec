package twrelay

import (
	"context"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// paceArrivals is how many arrivals of events show a run's pace: with their median, one event that was late because a
	// packet was lost changes nothing.
	paceArrivals = 3
	// paceReportShare is the share of the longest allowed event gap from which on the pace of a run is reported, and
	// paceRegainedShare the one below which it is no longer. Sound engines stay below a third.
	paceReportShare   = 0.4
	paceRegainedShare = 0.3
	// paceMoveShare is the share from which on the run is to leave its engine. Below it a move, which is a long gap itself,
	// costs more than the gaps.
	paceMoveShare = 0.85
	// paceReportInterval is the time between two such reports on one run, and paceReportSpacing the one between those of
	// all runs of the daemon. A report has some 250 bytes, so that those of a daemon take 5 kB/s at most.
	paceReportInterval = 500 * time.Millisecond
	paceReportSpacing  = 50 * time.Millisecond
	// paceMoveRetryDelay is the time between two requests to move a run off a slow engine, and maxPaceMoveRequests how many
	// a stream makes.
	paceMoveRetryDelay  = 500 * time.Millisecond
	maxPaceMoveRequests = 4
	// minMovedEvents is how many events a stream must still expect to be moved.
	minMovedEvents = 4
)

// streamPace is how far apart the latest events of a run are.
type streamPace struct {
	// gapMillis and events are those of the latest arrivals; arrivals counts all of them.
	gapMillis, events [paceArrivals]int64
	arrivals          int
	// departed is set while the pace is near the limit; it was last reported at reportedAt.
	departed   bool
	reportedAt time.Time
}

// record records an arrival of events that came so long after the one before.
func (p *streamPace) record(gapMillis, events int64) {
	i := p.arrivals % paceArrivals
	p.gapMillis[i], p.events[i] = gapMillis, events
	p.arrivals++
}

// eventMillis returns the median time between two events in the latest arrivals; 0 before there are enough. Events that
// were held up by a lost packet arrive together and share their gap.
func (p *streamPace) eventMillis() int64 {
	if p.arrivals < paceArrivals {
		return 0
	}
	var each [paceArrivals]int64
	for i := range each {
		each[i] = p.gapMillis[i] / max(p.events[i], 1)
	}
	slices.Sort(each[:])
	return each[paceArrivals/2]
}

// sums returns the events of the latest arrivals and the time that they took.
func (p *streamPace) sums() (events, millis int64) {
	for i := range p.events {
		events += p.events[i]
		millis += p.gapMillis[i]
	}
	return events, millis
}

// observePace records that events arrived, and reports the run's pace while it is near the route's longest event gap.
//
// The other reports of a run come 400 ms after its first event and at its end. An engine that becomes slow in between
// would get further calls for seconds.
func (s *answerStream) observePace(now, previousAt time.Time, count int64) {
	run, limitMillis := s.run, float64(s.attempt.route.EventGapMillis)
	if limitMillis <= 0 || int64(run.events) <= count {
		return
	}
	pace := &run.pace
	pace.record(now.Sub(previousAt).Milliseconds(), count)
	if pace.arrivals < paceArrivals {
		return
	}
	eventMillis := float64(pace.eventMillis())
	near := eventMillis >= paceReportShare*limitMillis
	regained := pace.departed && eventMillis < paceRegainedShare*limitMillis
	if (!near && !regained) || (near && now.Sub(pace.reportedAt) < paceReportInterval) || !s.relay.mayReportPace(now) {
		return
	}
	pace.departed, pace.reportedAt = near, now
	events, millis := pace.sums()
	s.relay.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{
		ID: run.placement.ID, Service: run.update.Service, Running: true,
		PaceTokens: int(events) * max(s.attempt.service.Engine.TokensPerEvent, 1), PaceMillis: millis,
		OwnDelayMillis: s.relay.config.OwnDelay().Milliseconds(),
	})
}

// mayReportPace reports whether this daemon may report the pace of a run now, and counts that report.
func (r *Relay) mayReportPace(now time.Time) bool {
	at := now.Sub(r.startedAt).Nanoseconds()
	next := r.nextPaceReport.Load()
	return at >= next && r.nextPaceReport.CompareAndSwap(next, at+paceReportSpacing.Nanoseconds())
}

// moveIfSlow starts to move the run while its events are nearly as far apart as they may be. Whether the move is worth its
// cost, and which engine is faster, is for the placer to decide.
func (s *answerStream) moveIfSlow(ctx context.Context) {
	m, a := &s.move, s.attempt
	limitMillis := float64(a.route.EventGapMillis)
	if limitMillis <= 0 || float64(s.run.pace.eventMillis()) < paceMoveShare*limitMillis {
		return
	}
	if m.isPending() || s.run.isShared || a.versionUnknown || a.lastEventID == 0 || m.moves >= maxMoves ||
		m.paceRequests >= maxPaceMoveRequests || time.Now().Before(m.nextAt) {
		return
	}
	remaining := a.call.Work.HintTokens/max(a.service.Engine.TokensPerEvent, 1) - a.stats.events
	if remaining < minMovedEvents || s.relay.config.OwnDelay() > 0 {
		return
	}
	m.paceRequests++
	s.startMove(ctx, true)
}

// startMove starts to move the run; slow is set if it leaves its engine because that one is slow.
func (s *answerStream) startMove(ctx context.Context, slow bool) {
	m := &s.move
	m.running = true
	m.requests++
	request := moveRequest{
		from: s.run.engine, sequence: m.requests, work: s.attempt.remainingWork(), slow: slow,
	}
	eventMillis := s.run.pace.eventMillis()
	go func() {
		result := s.relay.moveRun(ctx, s.attempt, request)
		result.slow, result.eventMillis = slow, eventMillis
		m.done <- result
	}()
}
