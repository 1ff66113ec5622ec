package twallocator

import (
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twshares"
)

const (
	// initialMemoryFull is the need of the placed calls, as a share of the decode memory, at which memory counts as full
	// before any call found it so.
	initialMemoryFull = 0.95
	// reserveSpanShare is the share of the target for which an account far above its share leaves what others are likely to
	// need. Room for a whole target would hardly serve more of them, and far fewer calls of the accounts that surge.
	reserveSpanShare = 1.0 / 4
	// maxReserveShare bounds the room that an account far above its share leaves to others.
	maxReserveShare = 0.25
	// inflowDecayMillis is the time in which the weight of an earlier placement falls to 1/e in the inflow: half of a
	// target of a second, so that the end of a burst is noticed within it.
	inflowDecayMillis = 500
)

// inflow is the rate of memory and prompts of the calls that were placed and can be on time, in tokens per millisecond.
// These calls go before late ones, whatever becomes free.
type inflow struct {
	memory, prompts float64
	at              time.Time
}

// add adds a placed call; with zeros it only lets the rates decay.
func (f *inflow) add(now time.Time, memory, prompts float64) {
	decay := math.Exp(-float64(now.Sub(f.at).Milliseconds()) / inflowDecayMillis)
	f.memory = f.memory*decay + memory/inflowDecayMillis
	f.prompts = f.prompts*decay + prompts/inflowDecayMillis
	f.at = now
}

// recordShare records a placed call in the shares of the accounts.
func (a *Allocator) recordShare(now time.Time, w *waitingCall) {
	a.shares.Place(now, w.size, true)
	if !w.late {
		a.inflow.add(now, w.size.PromptTokens+w.size.AnswerTokens, w.size.PromptTokens)
	}
	if total := a.decodeMemory(); total > 0 {
		a.memoryFull = math.Max(a.memoryFull, a.shares.Used(twshares.Memory)/total)
	}
}

// recordMemoryFull records that a call found no decode engine that has memory for it.
//
// The share of the memory at which that happens depends on how the lengths and the ends of runs are spread, and may exceed 1.
func (a *Allocator) recordMemoryFull(request turmericwall.PlaceRequest) {
	total := a.decodeMemory()
	if total <= 0 || request.Version != "" || request.Only != "" || len(request.Avoid) > 0 {
		return
	}
	a.memoryFull = movingAverage(a.memoryFull, a.shares.Used(twshares.Memory)/total)
}

// decodeMemory returns the memory of the decode engines that get calls, in tokens.
func (a *Allocator) decodeMemory() float64 {
	return float64(a.plan.MemoryTokens) * float64(a.acceptingDecodes()-a.ejectedOf(a.decodes))
}

// ejectedOf returns how many engines of the pool are ejected.
func (a *Allocator) ejectedOf(p *pool) int {
	n := 0
	for _, e := range a.ejected {
		if e.pool == p {
			n++
		}
	}
	return n
}

// mustYieldMemory reports whether the call leaves the decode memory to other accounts, because its own account uses far
// more than its share and no more is free than others are likely to need within a part of the call's target.
//
// The order of the waiting calls doesn't suffice for that: a call of an account that surges which arrives when a little
// memory is free is placed at once, and leaves nothing for those of others that arrive a moment later.
func (a *Allocator) mustYieldMemory(st *decisionState, w *waitingCall) bool {
	if w.late || w.isBound() || !a.shares.Competing() {
		return false
	}
	full := a.memoryFull * a.decodeMemory()
	if full <= 0 {
		return false
	}
	reserve := math.Min(a.shares.Reserve(w.size, twshares.Memory, reserveSpanShare*w.spanMillis()), maxReserveShare*full)
	missing := a.shares.Used(twshares.Memory) + w.size.PromptTokens + w.size.AnswerTokens + reserve - full
	w.mustYield = a.shares.MustYield(w.size, twshares.Memory, missing)
	if w.mustYield {
		w.hasYielded, w.yieldedResource = true, twshares.Memory
		a.decodeShortage.record(st.now)
	}
	return w.mustYield
}

// mustYieldPrefill reports whether the call leaves the prefill engines to other accounts: with its prompt and those that
// the others are likely to send within a part of its target, prefills would end too late.
func (a *Allocator) mustYieldPrefill(st *decisionState, w *waitingCall, fastest prefillOption) bool {
	speed := a.prefillPoolSpeed(st.now)
	if w.late || w.isBound() || fastest.engine == nil || speed == 0 || !a.shares.Competing() || a.isPrefillOverdue(st) {
		return false
	}
	reserveMillis := math.Min(a.shares.Reserve(w.size, twshares.Prefill, reserveSpanShare*w.spanMillis())/speed,
		maxReserveShare*w.spanMillis())
	left := float64(w.request.TargetDeadline.Sub(st.now).Milliseconds()) - a.tuning.FirstEventMarginMillis
	w.mustYield = a.shares.MustYield(w.size, twshares.Prefill, (fastest.millis+reserveMillis-left)*speed)
	if w.mustYield {
		w.hasYielded, w.yieldedResource = true, twshares.Prefill
		a.prefillShortage.record(st.now)
	}
	return w.mustYield
}

// prefillPoolSpeed returns the speed of all prefill engines that get calls together, in tokens per millisecond.
func (a *Allocator) prefillPoolSpeed(now time.Time) float64 {
	n := a.prefills.size - a.prefills.leavingCount - a.ejectedOf(a.prefills)
	for _, e := range a.refusing {
		if e.pool == a.prefills && !e.upstream.Leaving {
			n--
		}
	}
	return float64(max(n, 0)) * a.poolPrefillSpeed(now)
}

// spanMillis returns the caller's target in milliseconds.
func (w *waitingCall) spanMillis() float64 {
	return float64(w.targetDeadline.Sub(w.receivedAt).Milliseconds())
}

// earmark is a decode engine that is kept for a call, which waits for memory there.
type earmark struct {
	engine *engine
	call   twshares.Call
}

// recordClosest records an engine that has too little memory for the present call, with the peak that it would have.
func (st *decisionState) recordClosest(e *engine, peak float64) {
	if peak < st.closestPeak {
		st.closest, st.closestPeak = e, peak
	}
}

// earmark keeps the engine that has most of the memory that a call needs for that call.
//
// Smaller calls of accounts that surge would otherwise take what becomes free on each engine, so that a larger call of
// another account, or a more urgent one, waits in vain, although it goes first.
func (a *Allocator) earmark(st *decisionState, w *waitingCall) {
	if st.closest != nil && a.shares.Competing() {
		st.earmarks = append(st.earmarks, earmark{engine: st.closest, call: w.size})
	}
}

// isEarmarked reports whether the engine is kept for another call, to which the present one has to leave it.
func (a *Allocator) isEarmarked(st *decisionState, e *engine) bool {
	for _, kept := range st.earmarks {
		if kept.engine == e && a.shares.MustYieldTo(st.size, kept.call, twshares.Memory) {
			return true
		}
	}
	return false
}
