package twscheduler

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/turmericwall/turmericwall"
)

// Limits and timeouts of the view of one engine.
const (
	// pieceTokens is the unit of engine memory allocation, in tokens.
	pieceTokens = 4096
	// maxPrefixBlocks bounds the view of one engine's prefix cache, in blocks.
	maxPrefixBlocks       = 8192
	maxUnreportedPrefills = 256
	// reportTimeout is how long an engine stays usable after its last report.
	reportTimeout = 3 * time.Second
	// cacheDiscountDuration is how long the estimate of cached tokens is discounted after a gap in the cache events.
	cacheDiscountDuration = 10 * time.Second
	// cacheDiscountFactor scales the estimate of cached tokens during that time.
	cacheDiscountFactor = 0.5
	initialEjection     = time.Second
	maxEjection         = 30 * time.Second
)

// engine is the scheduler's view of one upstream engine.
type engine struct {
	vm turmericwall.VM
	// zoneIndex is the index of the engine's zone in zoneLinks.
	zoneIndex int
	listed    bool
	// accepting is set while the engine is listed, live and not draining.
	accepting            bool
	stepBase             time.Duration
	stepPerSlot          time.Duration
	prefillNanosPerToken float64
	report               turmericwall.Report
	reportTakenAt        time.Time
	reportDeadline       time.Time

	allocations map[string]*allocation
	usedSlots   int
	// deferrableSlots counts the slots held by deferrable work.
	deferrableSlots int
	usedPieces      int
	// nextReleaseAt is the earliest expected end of an allocation.
	nextReleaseAt time.Time

	// unreportedPrefills were placed after the last report was taken.
	unreportedPrefills []unreportedPrefill
	// urgentBusyUntil is when the urgent prefill queue is expected to be empty, allBusyUntil when the whole queue is.
	urgentBusyUntil time.Time
	allBusyUntil    time.Time

	prefixCache *simplelru.LRU[uint64, struct{}]
	// lastSequence is the number of the last cache event applied.
	lastSequence uint64
	// cacheDiscountUntil is when the prefix cache view counts fully again after a gap in the events.
	cacheDiscountUntil time.Time

	consecutiveFailures int
	failedAt            time.Time
	ejectedUntil        time.Time
}

// allocation is the engine memory and the slot that one attempt holds or has reserved.
type allocation struct {
	attempt string
	pieces  int
	// expectedEnd is when the attempt is expected to finish.
	expectedEnd time.Time
	// reservedUntil is when the reservation expires unless the engine reports the attempt.
	reservedUntil time.Time
	// reported is set once the engine has listed the attempt.
	reported bool
	// foreign is set for attempts that this scheduler did not grant; their owner is queried from nextSweepAt on.
	foreign     bool
	nextSweepAt time.Time
	// deferrable is set for attempts of deferrable work.
	deferrable bool
}

// unreportedPrefill is prefill work that the last report does not include yet.
type unreportedPrefill struct {
	placedAt time.Time
	doneAt   time.Time
	urgent   bool
}

func newEngine(vm turmericwall.VM) *engine {
	prefix, _ := simplelru.NewLRU[uint64, struct{}](maxPrefixBlocks, nil)
	return &engine{vm: vm, allocations: make(map[string]*allocation), prefixCache: prefix}
}

// usable reports whether the engine may be given work for the model. It runs for each engine at each decision, so the
// cheap checks come first.
func (e *engine) usable(now time.Time, model string) bool {
	return e.accepting && serves(e.report.Models, model) && now.Before(e.reportDeadline) && !e.ejected(now)
}

func (e *engine) ejected(now time.Time) bool {
	return e.consecutiveFailures > 0 && now.Before(e.ejectedUntil)
}

// refresh derives the values that decisions use from the engine's list entry and its last report.
func (e *engine) refresh() {
	e.accepting = e.listed && e.vm.State == turmericwall.VMLive && !e.report.Draining
	e.stepBase = millis(e.report.StepMillis)
	e.stepPerSlot = millis(e.report.StepPerSlotMillis)
	e.prefillNanosPerToken = float64(time.Second) / max(1, e.report.PrefillRate)
}

func serves(models []string, model string) bool {
	for _, m := range models {
		if m == model {
			return true
		}
	}
	return false
}

// slotLimit returns how many attempts may decode together within the target for the time between tokens, in
// milliseconds; 0 sets no target.
func (e *engine) slotLimit(tokenGapMillis float64) int {
	if tokenGapMillis <= 0 || e.report.StepPerSlotMillis <= 0 {
		return e.report.Slots
	}
	maxBatch := int((tokenGapMillis - e.report.StepMillis) / e.report.StepPerSlotMillis)
	return max(1, min(e.report.Slots, maxBatch))
}

// stepTime returns the time between tokens for a batch of the given number of attempts.
func (e *engine) stepTime(batch int) time.Duration {
	return e.stepBase + e.stepPerSlot*time.Duration(batch)
}

func (e *engine) allocate(alloc *allocation) {
	e.release(alloc.attempt)
	e.allocations[alloc.attempt] = alloc
	e.addUsage(alloc, 1)
	if e.nextReleaseAt.IsZero() || alloc.expectedEnd.Before(e.nextReleaseAt) {
		e.nextReleaseAt = alloc.expectedEnd
	}
}

func (e *engine) release(attempt string) bool {
	alloc, ok := e.allocations[attempt]
	if !ok {
		return false
	}
	delete(e.allocations, attempt)
	e.addUsage(alloc, -1)
	if !alloc.expectedEnd.After(e.nextReleaseAt) {
		e.updateNextRelease()
	}
	return true
}

func (e *engine) addUsage(alloc *allocation, sign int) {
	e.usedSlots += sign
	e.usedPieces += sign * alloc.pieces
	if alloc.deferrable {
		e.deferrableSlots += sign
	}
}

func (e *engine) updateNextRelease() {
	e.nextReleaseAt = time.Time{}
	for _, alloc := range e.allocations {
		if e.nextReleaseAt.IsZero() || alloc.expectedEnd.Before(e.nextReleaseAt) {
			e.nextReleaseAt = alloc.expectedEnd
		}
	}
}

// prefillTime returns the compute time of the given number of uncached prompt tokens.
func (e *engine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * e.prefillNanosPerToken)
}

func (e *engine) busyUntil(urgent bool) time.Time {
	if urgent {
		return e.urgentBusyUntil
	}
	return e.allBusyUntil
}

func (e *engine) queuePrefill(now time.Time, compute time.Duration, urgent bool) {
	e.allBusyUntil = later(e.allBusyUntil, now).Add(compute)
	if urgent {
		e.urgentBusyUntil = later(e.urgentBusyUntil, now).Add(compute)
	}
	if len(e.unreportedPrefills) < maxUnreportedPrefills {
		e.unreportedPrefills = append(e.unreportedPrefills, unreportedPrefill{
			placedAt: now, doneAt: now.Add(compute), urgent: urgent,
		})
	}
}

// rebuildQueue takes the prefill queue from the report and adds the prefills placed after the report was taken.
// Without them a stale report would draw every request to the engine that was idle when it was taken.
func (e *engine) rebuildQueue(takenAt time.Time) {
	e.allBusyUntil = takenAt.Add(e.prefillTime(e.report.QueuedTokens))
	e.urgentBusyUntil = takenAt.Add(e.prefillTime(e.report.UrgentTokens))
	kept := e.unreportedPrefills[:0]
	for _, p := range e.unreportedPrefills {
		if p.placedAt.Before(takenAt) {
			continue
		}
		kept = append(kept, p)
		e.allBusyUntil = later(e.allBusyUntil, p.placedAt).Add(p.doneAt.Sub(p.placedAt))
		if p.urgent {
			e.urgentBusyUntil = later(e.urgentBusyUntil, p.placedAt).Add(p.doneAt.Sub(p.placedAt))
		}
	}
	e.unreportedPrefills = kept
}

// cachedTokens estimates how many tokens of the prompt are in the engine's prefix cache.
func (e *engine) cachedTokens(now time.Time, blocks []uint64, blockTokens int) int {
	matched := 0
	for _, b := range blocks {
		if !e.prefixCache.Contains(b) {
			break
		}
		matched++
	}
	cached := matched * blockTokens
	if now.Before(e.cacheDiscountUntil) {
		cached = int(float64(cached) * cacheDiscountFactor)
	}
	return cached
}

func (e *engine) addCachedBlocks(blocks []uint64) {
	for _, b := range blocks {
		e.prefixCache.Add(b, struct{}{})
	}
}

// applyCacheEvents updates the prefix cache view. A gap in the sequence numbers means that evictions may have been
// missed: the view is then discounted for a while instead of being dropped.
func (e *engine) applyCacheEvents(now time.Time, events turmericwall.CacheEvents) {
	for _, c := range events.Events {
		if c.Sequence <= e.lastSequence {
			continue
		}
		if e.lastSequence != 0 && c.Sequence != e.lastSequence+1 {
			e.cacheDiscountUntil = now.Add(cacheDiscountDuration)
		}
		e.lastSequence = c.Sequence
		if c.Removed {
			e.prefixCache.Remove(c.BlockHash)
		} else {
			e.prefixCache.Add(c.BlockHash, struct{}{})
		}
	}
}

// eject takes the engine out of use for a time that doubles with each consecutive failure.
func (e *engine) eject(now time.Time) {
	e.consecutiveFailures++
	e.failedAt = now
	ejection := min(maxEjection, initialEjection<<min(e.consecutiveFailures-1, 5))
	e.ejectedUntil = now.Add(ejection)
}

// endEjection puts the engine back into use when a report was taken after the ejection expired. After a failed poll
// the leader polls on a new connection, since the old one may stay unresponsive while new ones work.
func (e *engine) endEjection(takenAt time.Time) {
	if e.consecutiveFailures > 0 && takenAt.After(e.failedAt) && takenAt.After(e.ejectedUntil) {
		e.consecutiveFailures = 0
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func millis(m float64) time.Duration { return time.Duration(m * float64(time.Millisecond)) }

func piecesOf(tokens int) int { return (tokens + pieceTokens - 1) / pieceTokens }
