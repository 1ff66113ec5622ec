// Package twbaseline holds simple placement policies: round robin, least loaded and prefix affinity. They decide in
// place of twscheduler's policy when the settings name one of them, and serve to compare it with.
package twbaseline

import (
	"slices"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/turmericwall/turmericwall"
)

// Names of the baselines in the settings.
const (
	RoundRobin     = "roundRobin"
	LeastLoaded    = "leastLoaded"
	PrefixAffinity = "prefixAffinity"
)

const (
	reportTimeout    = 3 * time.Second
	ejectionDuration = 2 * time.Second
	retryAfter       = time.Second
	maxPrefixBlocks  = 8192
	// maxAffinityLoadFactor is how many times the mean load an engine with a cached prefix may have to be chosen.
	maxAffinityLoadFactor = 1.5
	// maxSlotLoadFactor is how many attempts per slot an engine may have running and queued before it gets no more.
	maxSlotLoadFactor = 1.5
)

// Baseline implements turmericwall.Policy without reservations: each daemon places its own arrivals, and the engines
// queue what they can't run yet.
type Baseline struct {
	rule            string
	engines         map[string]*engine
	sortedEngines   []*engine
	roundRobinCount int
}

type engine struct {
	vm             turmericwall.VM
	report         turmericwall.Report
	reportDeadline time.Time
	ejectedUntil   time.Time
	// unreportedPlacements are the times of this daemon's placements that the last report does not include yet.
	unreportedPlacements []time.Time
	prefixCache          *simplelru.LRU[uint64, struct{}]
}

// Config holds the settings of a baseline.
type Config struct {
	Rule string
}

// New returns a baseline without engines.
func New(config Config) *Baseline {
	return &Baseline{rule: config.Rule, engines: make(map[string]*engine)}
}

// Step applies one event and returns the resulting actions.
func (b *Baseline) Step(now time.Time, event turmericwall.Event) []turmericwall.Action {
	switch e := event.(type) {
	case turmericwall.Arrival:
		return []turmericwall.Action{b.place(now, e)}
	case turmericwall.AttemptEnded:
		b.finish(now, e.Ending)
	case turmericwall.EngineReported:
		b.applyReport(now, e)
	case turmericwall.CacheChanged:
		b.applyCacheEvents(e)
	case turmericwall.EnginesListed:
		b.updateEngines(e.VMs)
	}
	return nil
}

func (b *Baseline) place(now time.Time, a turmericwall.Arrival) turmericwall.Action {
	prefill := b.selectEngine(now, turmericwall.RolePrefill, a)
	decode := b.selectEngine(now, turmericwall.RoleDecode, a)
	if prefill == nil || decode == nil {
		return turmericwall.Refusal{Attempt: a.Attempt, Reason: "no engine with room", RetryAt: now.Add(retryAfter)}
	}
	prefill.unreportedPlacements = append(prefill.unreportedPlacements, now)
	decode.unreportedPlacements = append(decode.unreportedPlacements, now)
	for _, block := range a.BlockHashes {
		prefill.prefixCache.Add(block, struct{}{})
	}
	return turmericwall.Grant{
		Attempt: a.Attempt, Prefill: prefill.vm, Decode: decode.vm,
		Reason: b.rule, EnginesConsidered: len(b.sortedEngines), ReservedUntil: now.Add(reportTimeout),
	}
}

func (b *Baseline) selectEngine(now time.Time, role turmericwall.Role, a turmericwall.Arrival) *engine {
	var usable []*engine
	for _, e := range b.sortedEngines {
		if e.usable(now, role, a) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	switch {
	case b.rule == RoundRobin:
		b.roundRobinCount++
		return usable[b.roundRobinCount%len(usable)]
	case b.rule == PrefixAffinity && role == turmericwall.RolePrefill:
		return mostCachedPrefix(usable, a.BlockHashes)
	default:
		return leastLoaded(usable)
	}
}

func leastLoaded(engines []*engine) *engine {
	best := engines[0]
	for _, e := range engines[1:] {
		if e.load() < best.load() {
			best = e
		}
	}
	return best
}

// mostCachedPrefix returns the engine with the most leading blocks cached, except one whose load is far above the mean.
func mostCachedPrefix(engines []*engine, blocks []uint64) *engine {
	mean := 0.0
	for _, e := range engines {
		mean += e.load() / float64(len(engines))
	}
	best, bestCached := leastLoaded(engines), 0
	for _, e := range engines {
		cached := e.cachedBlocks(blocks)
		if cached > bestCached && e.load() <= maxAffinityLoadFactor*mean+1 {
			best, bestCached = e, cached
		}
	}
	return best
}

// cachedBlocks returns how many leading blocks of the prompt are in the engine's prefix cache.
func (e *engine) cachedBlocks(blocks []uint64) int {
	for i, block := range blocks {
		if !e.prefixCache.Contains(block) {
			return i
		}
	}
	return len(blocks)
}

func (e *engine) load() float64 {
	return float64(len(e.report.Attempts) + len(e.unreportedPlacements))
}

func (e *engine) usable(now time.Time, role turmericwall.Role, a turmericwall.Arrival) bool {
	if e.report.Role != role || e.report.Draining || e.vm.State != turmericwall.VMLive {
		return false
	}
	if now.After(e.reportDeadline) || now.Before(e.ejectedUntil) {
		return false
	}
	for _, name := range a.Avoid {
		if name == e.vm.Name {
			return false
		}
	}
	if e.load() >= maxSlotLoadFactor*float64(e.report.Slots) {
		return false
	}
	for _, m := range e.report.Models {
		if m == a.Model {
			return true
		}
	}
	return false
}

func (b *Baseline) finish(now time.Time, ending turmericwall.Ending) {
	if e, ok := b.engines[ending.FailedEngine]; ok {
		e.ejectedUntil = now.Add(ejectionDuration)
	}
}

func (b *Baseline) applyReport(now time.Time, event turmericwall.EngineReported) {
	e, ok := b.engines[event.VM.Name]
	if !ok {
		return
	}
	e.report = event.Report
	e.reportDeadline = now.Add(reportTimeout)
	takenAt := now.Add(-time.Duration(event.Report.AgeMillis) * time.Millisecond)
	e.unreportedPlacements = slices.DeleteFunc(e.unreportedPlacements, func(at time.Time) bool {
		return at.Before(takenAt)
	})
}

func (b *Baseline) applyCacheEvents(event turmericwall.CacheChanged) {
	e, ok := b.engines[event.Engine]
	if !ok {
		return
	}
	for _, c := range event.Events.Events {
		if c.Removed {
			e.prefixCache.Remove(c.BlockHash)
			continue
		}
		e.prefixCache.Add(c.BlockHash, struct{}{})
	}
}

func (b *Baseline) updateEngines(vms []turmericwall.VM) {
	kept := make(map[string]*engine, len(vms))
	b.sortedEngines = b.sortedEngines[:0]
	for _, vm := range vms {
		e, ok := b.engines[vm.Name]
		if !ok {
			prefixCache, _ := simplelru.NewLRU[uint64, struct{}](maxPrefixBlocks, nil)
			e = &engine{prefixCache: prefixCache}
		}
		e.vm = vm
		kept[vm.Name] = e
		b.sortedEngines = append(b.sortedEngines, e)
	}
	b.engines = kept
	sort.Slice(b.sortedEngines, func(i, j int) bool { return b.sortedEngines[i].vm.Name < b.sortedEngines[j].vm.Name })
}
