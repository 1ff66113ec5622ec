package twallocator

import (
	"fmt"
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twpace"
)

const (
	// soundFactor is how much slower than the common pace a sound engine of a service may be.
	soundFactor = 1.5
	// paceMoveInterval is the time between two moves off one slow engine: the copies of several runs at once would slow
	// it down further, and it becomes faster with each run that has left.
	paceMoveInterval = 150 * time.Millisecond
	// paceMoveCostMillis is what a move must save its caller at least in waiting for events: its own pause is of the
	// size of one long event gap, and it takes a send from the retry budget.
	paceMoveCostMillis = 600
)

// paceChoice is what the pace of the engines decided in the choice of one decode engine.
type paceChoice struct {
	// best has the shortest event gap of the engines that don't keep the limit, in milliseconds.
	best      *engine
	gapMillis float64
	// avoided counts these engines, and lowestPeak is the lowest projected peak among them.
	avoided    int
	lowestPeak float64
	// checkAll is set when also an engine that isn't slow may not keep the limit.
	checkAll bool
	// anyKeeps is set if an engine that accepts the call keeps the gap, also one that has no room now.
	anyKeeps bool
	// acceptSlow is set for a run that is lost unless it finds an engine.
	acceptSlow bool
}

// newPaceChoice returns the choice before any engine was considered.
func (a *Allocator) newPaceChoice(request turmericwall.PlaceRequest) paceChoice {
	c := paceChoice{
		gapMillis: math.Inf(1), lowestPeak: math.Inf(1), anyKeeps: request.EventGapMillis <= 0 || request.SlowEngine != "",
		acceptSlow: request.Moving && request.SlowEngine == "",
	}
	if request.EventGapMillis > 0 {
		fullMillis := a.pace.CommonMillis(max(a.plan.Slots, 1), float64(a.plan.MemoryTokens))
		c.checkAll = soundFactor*fullMillis > a.maxTokenMillis(request.EventGapMillis)
	}
	return c
}

// maxTokenMillis returns the longest time for a token with which a stream keeps its event gap, with a margin for what is
// irregular.
func (a *Allocator) maxTokenMillis(eventGapMillis int64) float64 {
	return a.tuning.EventGapShare * float64(eventGapMillis) / float64(max(a.plan.TokensPerEvent, 1))
}

// see records an engine that accepts the call, with or without room for it.
func (a *Allocator) see(st *decisionState, c *paceChoice, e *engine, request turmericwall.PlaceRequest) {
	if c.anyKeeps {
		return
	}
	if !e.slow && !c.checkAll {
		c.anyKeeps = true
		return
	}
	_, c.anyKeeps = a.pace.TokenMillis(
		st.now, e.upstream.ID, a.paceLoad(request), a.maxTokenMillis(request.EventGapMillis),
	)
}

// keepsPace reports whether the engine keeps the call's event gap with the call as a further run that starts in
// startMillis. An engine that doesn't is remembered in the choice.
func (a *Allocator) keepsPace(
	st *decisionState, c *paceChoice, e *engine, request turmericwall.PlaceRequest, startMillis, peak float64,
) bool {
	if request.EventGapMillis <= 0 || (!e.slow && !c.checkAll) {
		return true
	}
	limitMillis := a.maxTokenMillis(request.EventGapMillis)
	startAt := st.now.Add(millis(startMillis))
	// A prefill that is still under way when the run starts delays one event by what is left of it.
	speed := a.localPrefillSpeedOf(st.now, e)
	prefillMillis := e.predictedPrefillTokens(startAt, speed) / speed / float64(max(a.plan.TokensPerEvent, 1))
	tokenMillis, keeps := a.pace.TokenMillis(st.now, e.upstream.ID, a.paceLoad(request), limitMillis-prefillMillis)
	if keeps {
		return true
	}
	gapMillis := (tokenMillis + prefillMillis) * float64(max(a.plan.TokensPerEvent, 1))
	c.avoided++
	c.lowestPeak = math.Min(c.lowestPeak, peak)
	if gapMillis < c.gapMillis || (gapMillis == c.gapMillis && e.upstream.ID < c.best.upstream.ID) {
		c.best, c.gapMillis = e, gapMillis
	}
	return false
}

// choose returns the engine for the call: best if there is one, and otherwise the one with the shortest gap unless some
// engine keeps the gap and only lacks room now. It records in the state what the pace decided.
//
// A full slow engine makes all its streams late. While the sound ones are full, calls are better off waiting for room
// there, or refused for lack of it: placing them on slow ones made 17% of the streams late instead of 6%.
func (c *paceChoice) choose(st *decisionState, best *engine, bestPeak float64, limitMillis int64) *engine {
	st.paceReason, st.paceAvoided, st.paceShortest = "", false, false
	st.paceExcluded = best == nil && c.best != nil
	switch {
	case best != nil && c.lowestPeak < bestPeak:
		st.paceAvoided = true
		st.paceReason = fmt.Sprintf(", %d engines avoided whose event gap exceeds %d ms", c.avoided, limitMillis)
	case best == nil && c.best != nil && (c.acceptSlow || !c.anyKeeps):
		best = c.best
		st.paceShortest = true
		st.paceReason = fmt.Sprintf(", no engine with room keeps the event gap of %d ms, the shortest is %.0f ms",
			limitMillis, c.gapMillis)
	}
	return best
}

// countPaceDecision counts a placement if the pace of engines decided it.
func (a *Allocator) countPaceDecision(st *decisionState) {
	if st.paceAvoided {
		a.paceDecisions.Avoided++
	}
	if st.paceShortest {
		a.paceDecisions.Shortest++
	}
}

// paceLoad returns the load of the call on the engine that runs it.
func (a *Allocator) paceLoad(request turmericwall.PlaceRequest) twpace.Load {
	return twpace.Load{Runs: 1, MemoryTokens: a.meanMemory(request.Work)}
}

// meanMemory returns the memory that a run takes on average while it decodes.
func (a *Allocator) meanMemory(work turmericwall.ModelWork) float64 {
	return float64(work.PromptTokens) + meanLength(work.HintTokens, work.MaxTokens)/2
}

// localPrefillSpeedOf returns the prefill speed of a decode engine, which is lower while the engine is slow.
func (a *Allocator) localPrefillSpeedOf(now time.Time, e *engine) float64 {
	speed := a.prefillSpeedOf(now, e)
	if !e.slow {
		return speed
	}
	slowed := a.poolPrefillSpeed(now) / a.tuning.LocalPrefillSlowdown / a.pace.Factor(now, e.upstream.ID)
	return math.Min(speed, slowed)
}

// recordPlaced records a placed call for the estimates of pace.
func (a *Allocator) recordPlaced(now time.Time, e *engine, placed turmericwall.PlacedCall) {
	request := placed.Request
	a.hasEventGaps = a.hasEventGaps || request.EventGapMillis > 0
	if !a.hasEventGaps {
		return
	}
	if request.EventGapMillis > 0 && (e.minEventGapMillis == 0 || request.EventGapMillis < e.minEventGapMillis) {
		e.minEventGapMillis = request.EventGapMillis
	}
	a.pace.Place(now, twpace.Run{
		ID: request.ID, Engine: e.upstream.ID, MemoryTokens: a.meanMemory(request.Work),
		Tokens: int64(placed.PaceTokens), Millis: placed.PaceMillis, AgeMillis: placed.PaceAgeMillis,
	})
}

// recordPace records what a report says about the pace of the run's engine.
func (a *Allocator) recordPace(now time.Time, update turmericwall.PlacementUpdate) {
	e, ok := a.engines[a.engineByCall[update.ID]]
	if !ok || e.runs[update.ID].eventGapMillis <= 0 {
		return
	}
	recorded := false
	if update.AnswerMillis > minMeasuredMillis && update.AnswerTokens > 0 {
		recorded = a.pace.Record(now, twpace.Report{
			Run: update.ID, Tokens: int64(update.AnswerTokens), Millis: update.AnswerMillis,
			OwnDelayMillis: update.OwnDelayMillis, Total: true,
		})
	}
	if update.PaceTokens > 0 && update.PaceMillis > minMeasuredMillis {
		recorded = a.pace.Record(now, twpace.Report{
			Run: update.ID, Tokens: int64(update.PaceTokens), Millis: update.PaceMillis,
			OwnDelayMillis: update.OwnDelayMillis,
		})
		if a.hasNoPace(now, e) {
			// Its runs hold their memory for longer than was expected when they were placed.
			e.decodeSpeed = movingAverage(a.decodeSpeedOf(e), float64(update.PaceTokens)/float64(update.PaceMillis))
			e.memoryProjection = nil
		}
	}
	if gapMillis := e.runs[update.ID].eventGapMillis; update.EventGapExceeded && update.OwnDelayMillis == 0 {
		recorded = a.pace.RecordGap(now, update.ID, int64(max(a.plan.TokensPerEvent, 1)), gapMillis) || recorded
	}
	if recorded {
		e.slow = a.pace.IsSlow(e.upstream.ID)
	}
}

// settlePace uses the measurements that other daemons reported to a new leader.
func (a *Allocator) settlePace(now time.Time) {
	for _, id := range a.pace.Settle(now) {
		if e, ok := a.engines[id]; ok {
			e.slow = true
		}
	}
}

// recordLocalPrefill records that the engine has prefilled a prompt beside its streams.
func (a *Allocator) recordLocalPrefill(now time.Time, e *engine, r *run) {
	if now.After(e.localPrefillEndsAt) || e.prefills.Open() == 0 {
		e.localPrefillEndsAt = now
	}
	if e.role() == turmericwall.RoleDecode && !r.promptCached {
		speed := a.poolPrefillSpeed(now) / a.tuning.LocalPrefillSlowdown
		a.pace.RecordPrefill(e.upstream.ID, float64(r.work.PromptTokens)/speed)
	}
}

// leavesSlowEngine reports whether a run that asks to leave a slow engine may be moved now: the engine doesn't keep the
// run's event gap, no other run has just left it, and the events that are left are worth the move.
func (a *Allocator) leavesSlowEngine(st *decisionState, request turmericwall.PlaceRequest) bool {
	e, ok := a.engines[request.SlowEngine]
	if !ok || !e.slow || st.now.Before(e.nextPaceMoveAt) {
		return false
	}
	if len(st.unplaced) > 0 || a.occupancyOf(st).memoryFill() > a.tuning.LateMemoryShare {
		// Another call needs the memory: without it, that one would be placed on a slow engine itself.
		return false
	}
	// Beside the limit itself, without the margin for new runs, a move would cause the only long gap of the stream.
	limitMillis := float64(request.EventGapMillis) / float64(max(a.plan.TokensPerEvent, 1))
	tokenMillis, keeps := a.pace.TokenMillis(st.now, e.upstream.ID, twpace.Load{}, limitMillis)
	if keeps {
		return false
	}
	saved := tokenMillis - a.pace.CommonMillis(len(e.runs), 0)
	return saved*meanLength(request.Work.HintTokens, request.Work.MaxTokens) > paceMoveCostMillis
}

// moveRefusalReason returns why a run isn't moved, for the log.
func moveRefusalReason(request turmericwall.PlaceRequest) string {
	if request.SlowEngine != "" {
		return "the move is not worth its cost now, or no engine that keeps the event gap has room"
	}
	return "no engine has memory for the run"
}

// hasNoPace reports whether a further stream would not keep the event gap of the streams on the engine.
func (a *Allocator) hasNoPace(now time.Time, e *engine) bool {
	if !e.slow || e.minEventGapMillis <= 0 {
		return false
	}
	_, keeps := a.pace.TokenMillis(now, e.upstream.ID, twpace.Load{Runs: 1}, a.maxTokenMillis(e.minEventGapMillis))
	return !keeps
}

// recordPaceMove records the outcome of a request to move a run off a slow engine.
func (a *Allocator) recordPaceMove(st *decisionState, request turmericwall.PlaceRequest, placed bool) {
	if !placed {
		a.paceDecisions.RefusedMoves++
		return
	}
	a.paceDecisions.Moves++
	if e, ok := a.engines[request.SlowEngine]; ok {
		e.nextPaceMoveAt = st.now.Add(paceMoveInterval)
	}
}

// Paces returns the estimated pace of the engines that were measured, in no order.
func (a *Allocator) Paces(now time.Time) []turmericwall.EnginePace { return a.pace.Estimates(now) }

// PaceDecisions returns how many placements the pace of engines decided.
func (a *Allocator) PaceDecisions() turmericwall.PaceDecisions { return a.paceDecisions }
