package twallocator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twshares"
)

// decisionIntervalMillis is the time until waiting calls are tried again, 1/50 of a target of one second.
const decisionIntervalMillis = 20

// decisionState is what the waiting calls of one decision have in common.
type decisionState struct {
	now time.Time
	// unplaced are the calls that found no decode engine in this decision.
	unplaced []unplacedCall
	// demand is the forecast of the present call, and size its size for the shares.
	demand forecast
	size   twshares.Call
	// fastestPrefill is the prefill engine that was the fastest for the last call.
	fastestPrefill *engine
	// evaluateAll is set for a call that requires a version: a sample may have no engine of it.
	evaluateAll bool
	// occupancy is nil until a call needs it.
	occupancy *occupancy
	// paceReason states what the pace of engines decided in the last choice of a decode engine: paceAvoided that engines
	// with more free memory were left out, paceShortest that none keeps the event gap.
	// paceExcluded is set if there was none with room but those that don't keep it.
	paceReason                              string
	paceAvoided, paceShortest, paceExcluded bool
	// waitingMemory and waitingPrompts are the tokens that the calls need which keep waiting before the present one.
	waitingMemory, waitingPrompts float64
	// earmarks are the engines that are kept for calls which go before the present one and wait for memory. closest is the
	// engine that has most of what the present one needs, with the peak that its memory would have.
	earmarks    []earmark
	closest     *engine
	closestPeak float64
	// kept are the engines for which bound calls wait.
	kept []*engine
	// shortestBacklog is that of the prefill engines, in milliseconds; it is known once backlogKnown is set.
	shortestBacklog float64
	backlogKnown    bool
	// prefillOverdue is set if a prefill engine ends nothing though it should; it is known once overdueKnown is set.
	prefillOverdue, overdueKnown bool
}

// Decide places the waiting calls that fit, refuses those that can't be on time, and keeps the others waiting.
func (a *Allocator) Decide(now time.Time) Decisions {
	var d Decisions
	if len(a.waiting) == 0 {
		return d
	}
	st := a.newDecisionState(now)
	a.sortWaiting(now)
	kept := a.waiting[:0]
	for n, w := range a.waiting {
		w.mustYield = false
		placement, ok := a.place(st, w)
		if w.isBound() {
			a.keepForBound(st, w)
		}
		if ok {
			a.shares.Dequeue(w.size)
			d.Placed = append(d.Placed, placement)
			continue
		}
		if refusal, ok := a.refuse(st, w, n-len(d.Placed)-len(d.Refused)); ok {
			a.shares.Dequeue(w.size)
			d.Refused = append(d.Refused, refusal)
			continue
		}
		st.waitingMemory += w.size.PromptTokens + w.size.AnswerTokens
		st.waitingPrompts += w.size.PromptTokens
		kept = append(kept, w)
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
	if len(kept) > 0 {
		d.NextAt = now.Add(decisionIntervalMillis * time.Millisecond)
	}
	return d
}

// newDecisionState returns the state with which the waiting calls are compared.
func (a *Allocator) newDecisionState(now time.Time) *decisionState {
	a.markEjected(now)
	a.settlePace(now)
	a.shares.BeginRound(now)
	return &decisionState{now: now}
}

// projectionOf returns the projection of the engine's memory.
//
// Projecting every engine for each call took 5.2 ms per decision with 60 waiting calls and 15 full engines, which left
// a leader no processor time for its heartbeats. Projections are therefore reused while their engine's runs stay the
// same.
func (a *Allocator) projectionOf(now time.Time, e *engine) *projection {
	if e.memoryProjection == nil || now.Sub(e.memoryProjection.origin) > projectionValidity {
		e.memoryProjection = e.project(now, a.decodeSpeedOf(e), a.tuning.LengthQuantile)
	}
	return e.memoryProjection
}

// maxEjectedShare is the share of the engines of one role that may be ejected. When more fail, the cause is not the
// engines, and the others could not carry the load.
const maxEjectedShare = 0.4

// markEjected marks the engines that get no calls because earlier calls on them failed, up to maxEjectedShare of the
// engines of each role.
func (a *Allocator) markEjected(now time.Time) {
	for _, e := range a.ejected {
		e.ejected = false
	}
	a.ejected = a.ejected[:0]
	remaining := map[*pool]int{}
	for _, p := range []*pool{a.prefills, a.decodes} {
		remaining[p] = int(maxEjectedShare * float64(p.size))
	}
	for _, id := range a.ejections.Ejected(now) {
		e, ok := a.engines[id]
		if !ok || e.pool == nil || remaining[e.pool] == 0 {
			continue
		}
		remaining[e.pool]--
		e.ejected = true
		a.ejected = append(a.ejected, e)
	}
}

// recordPlacement records that a call was placed on the engines. For an engine that has not recovered from
// a failure, it is the trial call, and the engine gets no other call while the trial is under way.
func (a *Allocator) recordPlacement(now time.Time, engines ...*engine) {
	for _, e := range engines {
		a.ejections.RecordTrial(now, e.upstream.ID)
		if !e.ejected && a.ejections.IsEjected(now, e.upstream.ID) {
			e.ejected = true
			a.ejected = append(a.ejected, e)
		}
		a.updateUsed(now, e)
	}
}

// elapsedMillis returns the time since the projection's origin in milliseconds.
func (p *projection) elapsedMillis(now time.Time) float64 {
	return float64(now.Sub(p.origin).Milliseconds())
}

// sortWaiting sorts the waiting calls: bound ones first, then those that can be on time, then by priority. Of these, the calls that
// require a software version go first, since no other engine can run them, then those whose prefill was lost, which keep
// their turn. Then the shares of the client accounts decide, and then the target deadline.
func (a *Allocator) sortWaiting(now time.Time) {
	speed := a.poolPrefillSpeed(now)
	for _, w := range a.waiting {
		fastest := float64(w.request.Work.PromptTokens)/speed + a.tuning.FirstEventMarginMillis
		w.late = now.Add(millis(fastest)).After(w.request.TargetDeadline)
		w.tag = 0
	}
	slices.SortStableFunc(a.waiting, compareWaiting)
	if !a.shares.Competing() {
		return
	}
	// The calls of one account keep their order: their tags rise with it.
	for _, w := range a.waiting {
		w.tag = a.shares.Tag(w.size)
	}
	slices.SortStableFunc(a.waiting, compareWaiting)
}

func compareWaiting(x, y *waitingCall) int {
	if x.isBound() != y.isBound() {
		return compareBools(x.isBound(), y.isBound())
	}
	if x.late != y.late {
		return compareBools(y.late, x.late)
	}
	if x.request.Priority != y.request.Priority {
		return cmp.Compare(x.request.Priority, y.request.Priority)
	}
	if required := x.request.Version != ""; required != (y.request.Version != "") {
		return compareBools(required, !required)
	}
	if x.request.PrefillLost != y.request.PrefillLost {
		return compareBools(x.request.PrefillLost, y.request.PrefillLost)
	}
	if x.tag != y.tag {
		return cmp.Compare(x.tag, y.tag)
	}
	return x.request.TargetDeadline.Compare(y.request.TargetDeadline)
}

// compareBools returns a negative number if only the first is set.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// place chooses the engines for one call and reserves their memory. A call is placed only where its first event can be
// on time, unless it is late already: a late answer would take memory that another call needs to be on time.
func (a *Allocator) place(st *decisionState, w *waitingCall) (turmericwall.Placement, bool) {
	st.closest, st.closestPeak = nil, math.Inf(1)
	st.demand, st.size = w.demand, w.size
	st.evaluateAll = w.request.Version != ""
	if w.request.Moving {
		return a.placeMovingRun(st, w)
	}
	if !w.isBound() && w.late && a.occupancyOf(st).memoryFill() > a.tuning.LateMemoryShare {
		return turmericwall.Placement{}, false
	}
	if a.mustYieldMemory(st, w) {
		return turmericwall.Placement{}, false
	}
	if e, tokens := a.engineWithPrompt(st, &w.request); e != nil {
		if placement, ok := a.placeOnCachedPrompt(st, w, e, tokens); ok {
			return placement, true
		}
	}
	if a.waitsForMemory(st, w) {
		w.noPrefillInTime = false
		a.decodeShortage.record(st.now)
		return turmericwall.Placement{}, false
	}
	options := a.prefillOptions(st, w.request)
	st.fastestPrefill = options[0].engine
	if a.mustYieldPrefill(st, w, options[0]) {
		return turmericwall.Placement{}, false
	}
	inTime := a.finishesInTime(st.now, w, options[0])
	if !inTime && !w.late {
		a.prefillShortage.record(st.now)
	}
	for _, option := range options {
		if placement, ok := a.placeAfterPrefill(st, w, option); ok {
			return placement, true
		}
	}
	w.noPrefillInTime = !inTime
	if inTime && !w.late {
		a.decodeShortage.record(st.now)
		a.recordMemoryFull(w.request)
		a.earmark(st, w)
	}
	return turmericwall.Placement{}, false
}

// waitsForMemory reports whether a call that needs no more memory was not placed in this decision, while the prefill engine
// that was the fastest for the call before would finish the prompt in time. Nothing else has to be evaluated then, which
// spares most of the work while many calls wait for memory.
func (a *Allocator) waitsForMemory(st *decisionState, w *waitingCall) bool {
	e := st.fastestPrefill
	return e != nil && !w.late && !a.mixed && w.request.Only == "" && len(w.request.Avoid) == 0 && st.cannotFit(st.demand, w.request) &&
		a.acceptsCall(st.now, e, w.request) &&
		a.meetsTarget(st.now, w, a.prefillMillisOf(st.now, e, w.request.Work.PromptTokens)+prefillOverheadMillis)
}

// finishesInTime reports whether the option's prefill engine finishes the call's prompt in time.
func (a *Allocator) finishesInTime(now time.Time, w *waitingCall, option prefillOption) bool {
	return option.engine != nil && a.meetsTarget(now, w, option.millis)
}

// placeAfterPrefill places a call on a decode engine of the option's version, after the prefill at the option's engine, or
// at the decode engine itself if that one would be late.
func (a *Allocator) placeAfterPrefill(
	st *decisionState, w *waitingCall, option prefillOption,
) (turmericwall.Placement, bool) {
	required := w.request.Version
	w.request.Version = option.version
	defer func() { w.request.Version = required }()
	prefillEngine, prefillMillis := option.engine, option.millis
	var decode *engine
	if a.finishesInTime(st.now, w, option) {
		decode = a.decodeAfterPrefill(st, w.request, prefillEngine, prefillMillis)
	} else {
		decode, prefillMillis = a.localPrefillEngine(st, w)
		prefillEngine = decode
	}
	if decode == nil {
		return turmericwall.Placement{}, false
	}
	if prefillEngine == decode {
		a.watchStreams(st.now, decode, w.request, prefillMillis)
	}
	placement := a.reserve(st, w, decode, prefillEngine, prefillMillis)
	placement.Version = required
	return placement, true
}

// placeMovingRun chooses a decode engine for a run whose engine is leaving. The run's prompt has been prefilled.
func (a *Allocator) placeMovingRun(st *decisionState, w *waitingCall) (turmericwall.Placement, bool) {
	if w.request.SlowEngine != "" && !a.leavesSlowEngine(st, w.request) {
		a.recordPaceMove(st, w.request, false)
		return turmericwall.Placement{}, false
	}
	decode := a.decodeAfterPrefill(st, w.request, nil, 0)
	if w.request.SlowEngine != "" {
		a.recordPaceMove(st, w.request, decode != nil)
	}
	if decode == nil {
		return turmericwall.Placement{}, false
	}
	placement := a.reserve(st, w, decode, decode, 0)
	decode.prefillBacklog = math.Max(0, decode.prefillBacklog-float64(w.request.Work.PromptTokens))
	r := decode.runs[w.request.ID]
	a.endPrefill(w.request.ID, r)
	a.shares.EndPrefill(w.request.ID)
	r.prefilling = false
	r.firstTokenAt = st.now
	a.pace.Begin(st.now, w.request.ID)
	decode.memoryProjection = decode.project(st.now, a.decodeSpeedOf(decode), a.tuning.LengthQuantile)
	return placement, true
}

// meetsTarget reports whether the first event can be on time when the prefill ends in prefillMillis. For a late call it
// reports whether the wait at the engine is so short that the call hardly delays others.
func (a *Allocator) meetsTarget(now time.Time, w *waitingCall, prefillMillis float64) bool {
	if w.late {
		return prefillMillis-float64(w.request.Work.PromptTokens)/a.poolPrefillSpeed(now) < a.tuning.LatePrefillWaitMillis
	}
	return now.Add(millis(prefillMillis + a.tuning.FirstEventMarginMillis)).Before(w.request.TargetDeadline)
}

// prefillMillis returns in how many milliseconds the engine would finish the call's prompt, its backlog included.
func (a *Allocator) prefillMillis(now time.Time, e *engine, request turmericwall.PlaceRequest) float64 {
	return a.prefillMillisOf(now, e, request.Work.PromptTokens)
}

func (a *Allocator) prefillMillisOf(now time.Time, e *engine, promptTokens int) float64 {
	speed := a.prefillSpeedOf(now, e)
	return (e.pendingPrefillTokens(now, speed)+float64(promptTokens))/speed + prefillOverheadMillis
}

// reserve records a placed call on its engines. prefillEngine is decode when the decode engine does the prefill itself.
func (a *Allocator) reserve(
	st *decisionState, w *waitingCall, decode, prefillEngine *engine, prefillMillis float64,
) turmericwall.Placement {
	request := w.request
	prefillEndsAt := st.now.Add(millis(prefillMillis))
	prefillEngine.prefillBacklog = prefillEngine.pendingPrefillTokens(st.now, a.prefillSpeedOf(st.now, prefillEngine)) +
		float64(request.Work.PromptTokens)
	prefillEngine.prefillBacklogAt = st.now
	prefillEngine.prefills.Begin(request.ID, request.Work.PromptTokens, prefillEndsAt)
	decode.runs[request.ID] = &run{
		owner: request.Owner, work: request.Work, firstTokenAt: prefillEndsAt.Add(millis(a.tuning.FirstEventMarginMillis)),
		prefillEngineID: prefillEngine.upstream.ID, prefilling: true, placedAt: st.now,
		eventGapMillis: request.EventGapMillis,
	}
	a.recordPlaced(st.now, decode, turmericwall.PlacedCall{Request: request})
	a.countPaceDecision(st)
	added := w.demand.profile(prefillMillis, decode.memoryProjection.speed)
	decode.memoryProjection.add(added.shifted(decode.memoryProjection.elapsedMillis(st.now)))
	needed := added.tokensAt(added.endMillis, decode.memoryProjection.speed)
	if st.occupancy != nil {
		st.occupancy.usedTokens += needed
	}
	decode.allocatedTokens += needed
	a.engineByCall[request.ID] = decode.upstream.ID
	w.size.Local = prefillEngine == decode
	a.recordShare(st.now, w)
	a.recordPlacement(st.now, decode, prefillEngine)
	length := expectedLength(request.Work.HintTokens, request.Work.MaxTokens, 0, a.tuning.ReserveQuantile)
	placement := turmericwall.Placement{
		ID: request.ID, Decode: decode.upstream, ReserveTokens: request.Work.PromptTokens + int(length),
		PrefillEndsAt: prefillEndsAt, Late: w.late, Reason: "memory expected to suffice" + st.paceReason,
		Version: request.Version,
	}
	if w.hasYielded {
		placement.Reason += ", after room was left to other accounts"
	}
	if prefillEngine != decode {
		placement.Prefill = prefillEngine.upstream
	}
	return placement
}

// forecast returns the memory that the call will need once its prompt is prefilled.
func (a *Allocator) forecast(request turmericwall.PlaceRequest) forecast {
	return forecastOf(request.Work, 0, a.tuning.LengthQuantile)
}
