package twallocator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

// fastestPrefill returns the prefill engine that would finish the prompt first, and how many milliseconds that takes.
func (a *Allocator) fastestPrefill(st *decisionState, request turmericwall.PlaceRequest) (*engine, float64) {
	var best *engine
	bestMillis := math.Inf(1)
	consider := func(e *engine) bool {
		if !a.acceptsCall(st.now, e, request) {
			return false
		}
		readyMillis := a.prefillMillis(st.now, e, request)
		if e.upstream.Zone != request.Zone {
			readyMillis += prefillOverheadMillis
		}
		if readyMillis < bestMillis || (readyMillis == bestMillis && e.upstream.ID < best.upstream.ID) {
			best, bestMillis = e, readyMillis
		}
		return true
	}
	a.considerEngines(a.prefills, a.prefillsInUse(st), request.Version, consider)
	return best, bestMillis
}

// prefillOption is a software version at which a call can run, with the prefill engine of that version that would finish
// its prompt first; nil if there is none.
type prefillOption struct {
	version turmericwall.SoftwareVersion
	engine  *engine
	millis  float64
}

// prefillOptions returns the versions at which the call may run, the one with the fastest prefill first. A prompt is
// imported at the version that read it, because what two versions write doesn't fit together.
func (a *Allocator) prefillOptions(st *decisionState, request turmericwall.PlaceRequest) []prefillOption {
	versions := a.versions
	if request.Version != "" || !a.mixed || len(versions) == 0 {
		versions = []turmericwall.SoftwareVersion{request.Version}
	}
	options := make([]prefillOption, 0, len(versions))
	for _, version := range versions {
		request.Version = version
		option := prefillOption{version: version}
		option.engine, option.millis = a.fastestPrefill(st, request)
		options = append(options, option)
	}
	slices.SortStableFunc(options, func(x, y prefillOption) int { return cmp.Compare(x.millis, y.millis) })
	return options
}

// considerEngines calls consider for the engines in use, and for the idle engines of the version in each zone until it
// accepts one.
func (a *Allocator) considerEngines(
	p *pool, used []*engine, version turmericwall.SoftwareVersion, consider func(*engine) bool,
) {
	for _, e := range used {
		consider(e)
	}
	for _, z := range p.zones {
		z.idleEngine(version, consider)
	}
}

// prefillsInUse returns the prefill engines in use that are evaluated for a call. Engines found idle are no longer in
// use afterwards.
func (a *Allocator) prefillsInUse(st *decisionState) []*engine {
	var idle []*engine
	for _, e := range a.prefills.sample(a.maxCandidates(st)) {
		if !a.isPrefillUsed(st.now, e) {
			idle = append(idle, e)
		}
	}
	for _, e := range idle {
		a.prefills.setUsed(e, false)
	}
	return a.prefills.sample(a.maxCandidates(st))
}

// maxCandidates returns how many engines in use are evaluated for a call; 0 means all.
func (a *Allocator) maxCandidates(st *decisionState) int {
	if st.evaluateAll {
		return 0
	}
	return a.tuning.MaxCandidates * max(len(a.versions), 1)
}

// isPrefillUsed reports whether a prefill engine differs from the idle ones: it has a backlog, a prefill that has not
// ended, or its own speed was measured.
func (a *Allocator) isPrefillUsed(now time.Time, e *engine) bool {
	measured := e.prefillSpeed > 0 && now.Sub(e.lastPrefillAt) < speedValidity
	return measured || e.prefills.Tokens() > 0 || e.pendingPrefillTokens(now, a.prefillSpeedOf(now, e)) > 0
}

// leastFilledDecode returns the decode engine whose projected peak of memory is lowest with the call, of those that keep
// its event gap; if none of the service does, the one with the shortest gap. It returns nil when the call fits on
// none. demand is the memory that the call will need. startOn returns in how many milliseconds the answer would begin
// on an engine, and whether the engine can be used at all. prefillEngine is nil when the decode engine does the prefill
// itself.
func (a *Allocator) leastFilledDecode(
	st *decisionState, request turmericwall.PlaceRequest, demand forecast, prefillEngine *engine,
	startOn func(*engine) (float64, bool),
) *engine {
	limitTokens := a.tuning.MemoryShare * float64(a.plan.MemoryTokens)
	pace := a.newPaceChoice(request)
	var best *engine
	bestPeak := math.Inf(1)
	consider := func(e *engine) bool {
		if !a.acceptsCall(st.now, e, request) || st.isKept(e, request) {
			return false
		}
		a.see(st, &pace, e, request)
		if len(e.runs) >= a.slotLimit(e) {
			return false
		}
		startMillis, ok := startOn(e)
		if !ok {
			return false
		}
		memory := a.projectionOf(st.now, e)
		added := demand.profile(startMillis, memory.speed).shifted(memory.elapsedMillis(st.now))
		needed := memory.peak(added, a.tuning.Deviations)
		if needed > limitTokens {
			st.recordClosest(e, needed)
			return false
		}
		if a.isEarmarked(st, e) {
			return false
		}
		if e.upstream.Zone != request.Zone {
			needed += crossZonePenalty * limitTokens
		}
		if prefillEngine != nil && e.upstream.Zone != prefillEngine.upstream.Zone {
			needed += crossZoneTransferPenalty * limitTokens
		}
		if !a.keepsPace(st, &pace, e, request, startMillis, needed) {
			return false
		}
		if needed < bestPeak || (needed == bestPeak && e.upstream.ID < best.upstream.ID) {
			best, bestPeak = e, needed
		}
		return true
	}
	if request.Only == "" {
		a.considerEngines(a.decodes, a.decodes.sample(a.maxCandidates(st)), request.Version, consider)
	} else if e := a.engines[request.Only]; e != nil && e.role() == turmericwall.RoleDecode {
		consider(e)
	}
	return pace.choose(st, best, bestPeak, request.EventGapMillis)
}

// decodeAfterPrefill returns the decode engine for a prompt whose prefill on another engine ends in startMillis; nil
// when the call fits on none.
func (a *Allocator) decodeAfterPrefill(
	st *decisionState, request turmericwall.PlaceRequest, prefillEngine *engine, startMillis float64,
) *engine {
	if st.cannotFit(st.demand, request) {
		return nil
	}
	best := a.leastFilledDecode(st, request, st.demand, prefillEngine,
		func(*engine) (float64, bool) { return startMillis, true })
	if best != nil || request.Only != "" || len(request.Avoid) > 0 {
		return best
	}
	unplaced := unplacedCall{forecast: st.demand, version: request.Version}
	if st.paceExcluded {
		unplaced.eventGapMillis = request.EventGapMillis
	}
	st.unplaced = append(st.unplaced, unplaced)
	return nil
}

// unplacedCall is a call that found no decode engine of the version; an empty version is any.
type unplacedCall struct {
	forecast
	version turmericwall.SoftwareVersion
	// eventGapMillis is the call's limit if engines with room don't keep it; 0 if none has room.
	eventGapMillis int64
}

// cannotFit reports whether a call that needs no more memory than this one was not placed in this decision. Memory only
// fills up during a decision, so this one needn't be tried; under high load this spares most of the work.
func (s *decisionState) cannotFit(demand forecast, request turmericwall.PlaceRequest) bool {
	gapMillis := request.EventGapMillis
	for _, f := range s.unplaced {
		if (f.version == "" || f.version == request.Version) && demand.heldTokens >= f.heldTokens &&
			demand.growth >= f.growth && (f.eventGapMillis == 0 || (0 < gapMillis && gapMillis <= f.eventGapMillis)) {
			return true
		}
	}
	return false
}

// crossZonePenalty is how much more free memory, as a share of the limit, makes an engine in another zone as good as
// one in the call's zone. The events of an answer that cross zones cost about 1/400 of the answer's worth.
const crossZonePenalty = 0.02

// crossZoneTransferPenalty is the same for an engine in another zone than the prefill engine. A KV cache that crosses
// zones takes twice as long to transfer and costs about 1/100 of the answer's worth. With 0.1 the cost of transfers
// between zones is a fifth lower without more evicted runs; with 0.2 it is a fourth lower, but engines fill unevenly.
const crossZoneTransferPenalty = 0.1

// acceptsCall reports whether the engine may get the call: it accepts calls, is not leaving, ejected or in back-off, has
// the software version that the call requires, and has not failed the call before. An ejected one still gets the calls that may run
// nowhere else.
func (a *Allocator) acceptsCall(now time.Time, e *engine, request turmericwall.PlaceRequest) bool {
	isEjected := e.ejected && request.Only != e.upstream.ID
	if e.upstream.Leaving || e.refusing || isEjected || now.Before(e.backoffUntil) {
		return false
	}
	if request.Version != "" && e.upstream.Version != request.Version {
		return false
	}
	for _, id := range request.Avoid {
		if id == e.upstream.ID {
			return false
		}
	}
	return true
}

// slotLimit returns how many calls the engine runs at once: its own statement, or else the operator's plan.
func (a *Allocator) slotLimit(e *engine) int {
	if e.upstream.Slots > 0 {
		return e.upstream.Slots
	}
	return max(a.plan.Slots, 1)
}
