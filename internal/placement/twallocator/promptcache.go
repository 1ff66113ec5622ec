package twallocator

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// placeOnCachedPrompt places a retry on the decode engine that still has tokens of the caller's prompt in its cache.
//
// When a daemon is killed, all its callers retry at once at other daemons. If their prompts were prefilled again, they
// would queue before the prompts of new calls and all of them would be late.
func (a *Allocator) placeOnCachedPrompt(
	st *decisionState, w *waitingCall, e *engine, tokens int,
) (turmericwall.Placement, bool) {
	if !a.acceptsCall(st.now, e, w.request) || st.isKept(e, w.request) || len(e.runs) >= a.slotLimit(e) {
		return turmericwall.Placement{}, false
	}
	speed := a.prefillSpeedOf(st.now, e)
	prefillMillis := (e.pendingPrefillTokens(st.now, speed)+float64(w.request.Work.PromptTokens-tokens))/speed +
		prefillOverheadMillis
	if !w.late && !a.meetsTarget(st.now, w, prefillMillis) {
		return turmericwall.Placement{}, false
	}
	memory := a.projectionOf(st.now, e)
	added := w.demand.profile(prefillMillis, memory.speed).shifted(memory.elapsedMillis(st.now))
	if memory.peak(added, a.tuning.Deviations) > a.tuning.MemoryShare*float64(a.plan.MemoryTokens) {
		return turmericwall.Placement{}, false
	}
	pace := a.newPaceChoice(w.request)
	if !a.keepsPace(st, &pace, e, w.request, prefillMillis, 0) {
		return turmericwall.Placement{}, false
	}
	pace.choose(st, e, 0, w.request.EventGapMillis)
	placement := a.reserve(st, w, e, e, prefillMillis)
	placement.Reason = "its prompt is kept there"
	e.prefillBacklog -= float64(tokens)
	e.allocatedTokens -= float64(tokens)
	e.runs[w.request.ID].promptCached = true
	return placement, true
}

// engineWithPrompt returns the decode engine that still has the call's prompt in its cache, and how many tokens of it;
// nil when there is none.
func (a *Allocator) engineWithPrompt(st *decisionState, request *turmericwall.PlaceRequest) (*engine, int) {
	if !a.promptsStayCached(st.now) {
		return nil, 0
	}
	known := a.callers.cachedPrompt(request)
	tokens := min(known.cachedTokens, request.Work.PromptTokens)
	e, ok := a.engines[known.engine.ID]
	if !ok || tokens == 0 || e.upstream.Key() != known.engine || e.role() != turmericwall.RoleDecode {
		return nil, 0
	}
	if request.Only != "" && request.Only != e.upstream.ID {
		return nil, 0
	}
	if a.promptEvicted(st, e, known) {
		return nil, 0
	}
	return e, tokens
}

// promptEvicted reports whether the engine must have evicted the caller's prompt. Engines evict the least recently used
// prompts for new runs, and since the prompt's last use more was allocated than fits beside the runs of that time.
func (a *Allocator) promptEvicted(st *decisionState, e *engine, known caller) bool {
	held := 0.0
	for _, r := range e.runs {
		if r.placedAt.Before(known.lastUsedAt) {
			held += float64(r.work.PromptTokens) + r.generatedTokens(st.now, a.decodeSpeedOf(e))
		}
	}
	return e.allocatedTokens-known.allocatedAtUse+held > float64(a.plan.MemoryTokens)
}

// RecordCachedPrompts records the cached prompts that an engine reports. Reports of another incarnation are ignored.
func (a *Allocator) RecordCachedPrompts(
	now time.Time, engine turmericwall.UpstreamKey, prompts []turmericwall.CachedPrompt,
) {
	e, ok := a.engines[engine.ID]
	if !ok || e.upstream.Key() != engine {
		return
	}
	a.callers.recordCachedPrompts(now, e, prompts)
}

const (
	// minCacheHitShare is the share of cache hits below which engines are expected to evict prompts. A cache miss costs
	// more than a prefill on a prefill engine, because the decode engine prefills at half the speed and delays streams.
	minCacheHitShare = 0.4
	// initialCacheHitShare is the share assumed before the first retry.
	initialCacheHitShare = 0.7
	// cacheRetryInterval is how long cached prompts are not used after too many misses. Full engines may have free
	// memory again by then.
	cacheRetryInterval = 10 * time.Second
	// cacheMissShare is the share of the expected prefill time from which on a prefill counts as a cache miss.
	cacheMissShare = 0.5
)

// promptsStayCached reports whether engines are expected to keep prompts in their caches.
func (a *Allocator) promptsStayCached(now time.Time) bool {
	if a.cacheHitShare < minCacheHitShare && now.Sub(a.cacheHitShareAt) > cacheRetryInterval {
		a.cacheHitShare = initialCacheHitShare
	}
	return a.cacheHitShare >= minCacheHitShare
}

// recordCacheOutcome records whether the engine had the prompt in its cache. Full engines evict cached prompts for new
// runs.
func (a *Allocator) recordCacheOutcome(now time.Time, r *run, update turmericwall.PlacementUpdate) {
	hit := 0.0
	if float64(update.PrefillMillis) <
		cacheMissShare*float64(r.work.PromptTokens)/a.bestPrefillSpeed*a.tuning.LocalPrefillSlowdown {
		hit = 1
	}
	a.cacheHitShare = movingAverage(a.cacheHitShare, hit)
	a.cacheHitShareAt = now
}
