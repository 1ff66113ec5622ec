// Package twbaseline holds the simple placement policies that the shipped one is measured against.
package twbaseline

import (
	"slices"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/turmericwall/turmericwall"
)

// Rules of the baselines.
const (
	RoundRobin     = "roundRobin"
	LeastLoaded    = "leastLoaded"
	PrefixAffinity = "prefixAffinity"
)

const (
	silentAfter  = 3 * time.Second
	ejectedFor   = 2 * time.Second
	retryAfter   = time.Second
	prefixBlocks = 8192
	// affinityOverload is how much more loaded than the mean an engine may be and still get its prefix's work.
	affinityOverload = 1.5
	// fullFactor is how many times its slots an engine may hold, in slots and queue, before work is refused.
	fullFactor = 1.5
)

// Baseline implements turmericwall.Policy without reservations: each daemon places alone, and the
// engines queue what they can't run yet.
type Baseline struct {
	rule    string
	engines map[string]*engine
	order   []*engine
	turn    int
}

type engine struct {
	vm             turmericwall.VM
	report         turmericwall.Report
	silentDeadline time.Time
	ejectedUntil   time.Time
	// placed holds when this daemon gave the engine work that its report can't show yet.
	placed []time.Time
	prefix *simplelru.LRU[uint64, struct{}]
}

// Config chooses the rule.
type Config struct {
	Rule string
}

// New returns a baseline that knows no engines.
func New(config Config) *Baseline {
	return &Baseline{rule: config.Rule, engines: make(map[string]*engine)}
}

// Step takes one event in and returns what follows from it.
func (b *Baseline) Step(now time.Time, event turmericwall.Event) []turmericwall.Action {
	switch e := event.(type) {
	case turmericwall.Arrival:
		return []turmericwall.Action{b.place(now, e)}
	case turmericwall.Finished:
		b.finish(now, e.Ending)
	case turmericwall.Reported:
		b.report(now, e)
	case turmericwall.Cached:
		b.learn(e)
	case turmericwall.Listed:
		b.list(e.VMs)
	}
	return nil
}

func (b *Baseline) place(now time.Time, a turmericwall.Arrival) turmericwall.Action {
	prefill := b.choose(now, turmericwall.RolePrefill, a)
	decode := b.choose(now, turmericwall.RoleDecode, a)
	if prefill == nil || decode == nil {
		return turmericwall.Refusal{Attempt: a.Attempt, Reason: "no engine with room", RetryAt: now.Add(retryAfter)}
	}
	prefill.placed = append(prefill.placed, now)
	decode.placed = append(decode.placed, now)
	for _, h := range a.Blocks {
		prefill.prefix.Add(h, struct{}{})
	}
	return turmericwall.Grant{
		Attempt: a.Attempt, Prefill: prefill.vm, Decode: decode.vm,
		Reason: b.rule, Considered: len(b.order), ReservedUntil: now.Add(silentAfter),
	}
}

func (b *Baseline) choose(now time.Time, role turmericwall.Role, a turmericwall.Arrival) *engine {
	var usable []*engine
	for _, e := range b.order {
		if e.usable(now, role, a) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	switch {
	case b.rule == RoundRobin:
		b.turn++
		return usable[b.turn%len(usable)]
	case b.rule == PrefixAffinity && role == turmericwall.RolePrefill:
		return withPrefix(usable, a.Blocks)
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

// withPrefix takes the engine that holds most of the prefix, unless it is far more loaded than the mean.
func withPrefix(engines []*engine, blocks []uint64) *engine {
	mean := 0.0
	for _, e := range engines {
		mean += e.load() / float64(len(engines))
	}
	best, bestHeld := leastLoaded(engines), 0
	for _, e := range engines {
		held := e.held(blocks)
		if held > bestHeld && e.load() <= affinityOverload*mean+1 {
			best, bestHeld = e, held
		}
	}
	return best
}

func (e *engine) held(blocks []uint64) int {
	for i, h := range blocks {
		if !e.prefix.Contains(h) {
			return i
		}
	}
	return len(blocks)
}

func (e *engine) load() float64 {
	return float64(len(e.report.Attempts) + len(e.placed))
}

func (e *engine) usable(now time.Time, role turmericwall.Role, a turmericwall.Arrival) bool {
	if e.report.Role != role || e.report.Draining || e.vm.State != turmericwall.VMLive {
		return false
	}
	if now.After(e.silentDeadline) || now.Before(e.ejectedUntil) {
		return false
	}
	for _, name := range a.Avoid {
		if name == e.vm.Name {
			return false
		}
	}
	if e.load() >= fullFactor*float64(e.report.Slots) {
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
		e.ejectedUntil = now.Add(ejectedFor)
	}
}

func (b *Baseline) report(now time.Time, event turmericwall.Reported) {
	e, ok := b.engines[event.VM.Name]
	if !ok {
		return
	}
	e.report = event.Report
	e.silentDeadline = now.Add(silentAfter)
	taken := now.Add(-time.Duration(event.Report.AgeMillis) * time.Millisecond)
	e.placed = slices.DeleteFunc(e.placed, func(at time.Time) bool { return at.Before(taken) })
}

func (b *Baseline) learn(event turmericwall.Cached) {
	e, ok := b.engines[event.Engine]
	if !ok {
		return
	}
	for _, c := range event.Events.Events {
		if c.Removed {
			e.prefix.Remove(c.Block)
			continue
		}
		e.prefix.Add(c.Block, struct{}{})
	}
}

func (b *Baseline) list(vms []turmericwall.VM) {
	kept := make(map[string]*engine, len(vms))
	b.order = b.order[:0]
	for _, vm := range vms {
		e, ok := b.engines[vm.Name]
		if !ok {
			prefix, _ := simplelru.NewLRU[uint64, struct{}](prefixBlocks, nil)
			e = &engine{prefix: prefix}
		}
		e.vm = vm
		kept[vm.Name] = e
		b.order = append(b.order, e)
	}
	b.engines = kept
	sort.Slice(b.order, func(i, j int) bool { return b.order[i].vm.Name < b.order[j].vm.Name })
}
