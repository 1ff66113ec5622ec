package twallocator

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twshares"
)

const (
	// retrySpreadMillis is the spread of the retry times of callers that are refused at the same time.
	retrySpreadMillis = 300
	// idleRetryRate is the rate of retries while no run is placed, in calls per millisecond.
	idleRetryRate = 0.02
	// minRetryRate is the lowest rate of retries, in calls per millisecond; it keeps retry times finite.
	minRetryRate = 0.002
	// unknownWaitMillis is the expected wait per waiting call when more calls wait than runs are placed.
	unknownWaitMillis = 500
	// versionRetryAfter is the retry time while no engine of a version is listed: a crashed engine is back after some
	// seconds.
	versionRetryAfter = 2 * time.Second
	// freeHoldShare is the share of the target up to which a refusal costs its caller nothing.
	freeHoldShare = 1.0 / 8
	// slipShare is by how much of the target a call may be placed later than expected before it is refused. The ends of runs
	// are known by the expected length of answers only, so that a smaller share would refuse calls that are served soon after.
	slipShare = 1.0 / 2
	// aboveShareWaitShare is within what part of the time left a call must be expected to be placed if its account uses far
	// more than its share: calls of others that arrive meanwhile go before it, so that most of these calls would be refused
	// later.
	aboveShareWaitShare = 1.0 / 4
	// minPrefillLeft is the least share of the prefill engines that counts as left to late calls; it keeps times finite.
	minPrefillLeft = 0.01
)

// refuse returns the refusal of a call that was not placed, and false when the call may still be on time and keeps
// waiting. callsAhead is how many calls wait before it.
func (a *Allocator) refuse(st *decisionState, w *waitingCall, callsAhead int) (Refusal, bool) {
	if a.plan.MemoryTokens > 0 && w.request.Work.PromptTokens >= a.plan.MemoryTokens {
		return Refusal{ID: w.request.ID, Reason: "the prompt exceeds an engine's memory", Permanent: true}, true
	}
	if version := w.request.Version; version != "" && !a.lists(version) {
		return Refusal{
			ID: w.request.ID, Reason: fmt.Sprintf("no engine of the software version %s serves", version),
			RetryAt: st.now.Add(versionRetryAfter), VersionGone: true,
		}, true
	}
	if w.isBound() {
		return a.refuseBound(st, w)
	}
	if w.request.Moving {
		return Refusal{ID: w.request.ID, Reason: moveRefusalReason(w.request), RetryAt: st.now}, true
	}
	latest := a.latestPlacement(st, w)
	availableAt := a.expectedPlacement(st, w, callsAhead)
	if w.expectedAt.IsZero() {
		w.expectedAt = availableAt
	}
	if !availableAt.After(latest) && st.now.Before(latest) && a.keepsWaiting(st, w, availableAt, latest) {
		return Refusal{}, false
	}
	reason, cause := a.refusalReason(st, w, callsAhead, availableAt)
	if !w.late {
		// The caller's retry will be late.
		at, _ := a.lateRoomAt(st, a.inflow)
		availableAt = laterOf(availableAt, at)
	}
	return Refusal{
		ID: w.request.ID, Reason: reason, Cause: cause, RetryAt: a.scheduleRetry(st, w, availableAt),
	}, true
}

// latestPlacement returns up to when the call may be placed.
//
// A late call gets memory only once calls that can be on time leave some, whose number nobody knows. It waits for that until
// its target at most. For a prefill engine it may wait longer while memory is free.
func (a *Allocator) latestPlacement(st *decisionState, w *waitingCall) time.Time {
	if w.late && w.isRetry {
		latest := w.enqueuedAt.Add(millis(a.tuning.MaxLateRetryWaitMillis))
		if a.occupancyOf(st).memoryFill() > a.tuning.LateMemoryShare && !w.targetPassed {
			again := w.enqueuedAt.Add(millis(w.spanMillis() / 2))
			latest = earlierOf(latest, laterOf(w.targetDeadline.Add(-decisionIntervalMillis*time.Millisecond), again))
		}
		return earlierOf(latest, w.request.GiveUpDeadline)
	}
	latest := w.request.TargetDeadline.Add(
		-millis(a.tuning.FirstEventMarginMillis + float64(w.request.Work.PromptTokens)/a.poolPrefillSpeed(st.now)))
	latest = earlierOf(latest, w.enqueuedAt.Add(millis(a.tuning.MaxWaitMillis)))
	return earlierOf(latest, w.request.GiveUpDeadline)
}

// expectedPlacement returns when the call is expected to be placed.
func (a *Allocator) expectedPlacement(st *decisionState, w *waitingCall, callsAhead int) time.Time {
	if w.late && w.isRetry {
		// A backlog of prefills that were placed together would count as lasting if their rate were taken into account.
		at, ok := a.lateRoomAt(st, inflow{memory: a.inflow.memory, at: a.inflow.at})
		if !ok {
			at = laterOf(at, a.latestPlacement(st, w).Add(decisionIntervalMillis*time.Millisecond))
		}
		return at
	}
	return a.occupancyOf(st).placeAvailableAt(callsAhead)
}

// keepsWaiting reports whether a call that may still be served goes on waiting. Within an eighth of the target a refusal
// costs the caller nothing. Beyond that a call waits only for the end of runs, and as long as its placement is not expected
// much later than at first. A late call that reaches its target waits on only if the calls that go before it, at their present
// rate, leave room for it.
func (a *Allocator) keepsWaiting(st *decisionState, w *waitingCall, availableAt, latest time.Time) bool {
	if st.now.Before(w.receivedAt.Add(millis(freeHoldShare * w.spanMillis()))) {
		return true
	}
	if w.mustYield || (w.noPrefillInTime && !w.late && !a.isPrefillOverdue(st)) {
		// A prefill backlog shrinks no faster than the time that is left.
		return false
	}
	if !w.late && a.shares.IsFarAbove(w.size, twshares.Memory) {
		latest = st.now.Add(time.Duration(aboveShareWaitShare * float64(latest.Sub(st.now))))
		w.mustYield, w.yieldedResource = availableAt.After(latest), twshares.Memory
		return !w.mustYield
	}
	if st.now.After(w.expectedAt.Add(millis(slipShare * w.spanMillis()))) {
		return false
	}
	if next := st.now.Add(decisionIntervalMillis * time.Millisecond); w.late && !next.Before(w.targetDeadline) && !w.targetPassed {
		w.targetPassed = true
		at, ok := a.lateRoomAt(st, a.inflow)
		return ok && !at.After(latest)
	}
	return true
}

// lateRoomAt returns when a late call is expected to be placed, which needs more room than another one: when runs have
// ended down to LateMemoryShare of the memory, and a prefill engine has hardly any backlog. Calls that can be on time take
// the inflow before; ok is false if the runs' ends don't leave room beside it.
func (a *Allocator) lateRoomAt(st *decisionState, taken inflow) (at time.Time, ok bool) {
	taken.add(st.now, 0, 0)
	o := a.occupancyOf(st)
	room, ok := o.freedAt(o.usedTokens+st.waitingMemory-a.tuning.LateMemoryShare*o.totalTokens, taken.memory)
	speed := a.prefillPoolSpeed(st.now)
	if speed == 0 {
		return room, ok
	}
	wait := math.Max(a.shortestBacklogMillis(st)-a.tuning.LatePrefillWaitMillis, 0) + st.waitingPrompts/speed
	left := math.Max(1-taken.prompts/speed, minPrefillLeft)
	return laterOf(room, st.now.Add(millis(wait/left))), ok
}

// isPrefillOverdue reports whether a prefill engine ends nothing though it should. When it goes on isn't known then, nor that
// the calls which wait for it can't be served: a silence is often shorter than a target.
func (a *Allocator) isPrefillOverdue(st *decisionState) bool {
	if st.overdueKnown {
		return st.prefillOverdue
	}
	st.overdueKnown = true
	for _, e := range a.prefills.sample(a.tuning.MaxCandidates) {
		if e.prefills.OverdueMillis(st.now) > 0 {
			st.prefillOverdue = true
			break
		}
	}
	return st.prefillOverdue
}

// shortestBacklogMillis returns how long the prefill engine with the shortest backlog takes for it.
func (a *Allocator) shortestBacklogMillis(st *decisionState) float64 {
	if st.backlogKnown {
		return st.shortestBacklog
	}
	st.backlogKnown = true
	st.shortestBacklog = 0
	if a.prefills.size-a.prefills.leavingCount > len(a.prefills.used) {
		return 0
	}
	st.shortestBacklog = math.Inf(1)
	for _, e := range a.prefills.sample(a.tuning.MaxCandidates) {
		if e.upstream.Leaving || e.refusing || e.ejected {
			continue
		}
		speed := a.prefillSpeedOf(st.now, e)
		st.shortestBacklog = math.Min(st.shortestBacklog, e.pendingPrefillTokens(st.now, speed)/speed)
	}
	return st.shortestBacklog
}

func laterOf(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

func earlierOf(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

// lists reports whether an engine of the version is listed that takes new calls, or may do so soon.
func (a *Allocator) lists(version turmericwall.SoftwareVersion) bool {
	for _, e := range a.ordered {
		if e.upstream.Version == version && !e.upstream.Leaving {
			return true
		}
	}
	return false
}

// refusalReason returns the reason of a refusal for the log and the caller, and what was short.
func (a *Allocator) refusalReason(
	st *decisionState, w *waitingCall, callsAhead int, availableAt time.Time,
) (string, turmericwall.RefusalCause) {
	o := a.occupancyOf(st)
	missing, cause := "no engine has memory in time", turmericwall.RefusedForMemory
	switch {
	case w.mustYield:
		share, usage := a.shares.PartsOf(w.size, w.yieldedResource)
		missing, cause = fmt.Sprintf("the client account %s uses %.0f%% where its share is %.0f%%, and others need the rest",
			w.request.Account, 100*usage, 100*share), turmericwall.RefusedForShare
	case w.noPrefillInTime:
		missing, cause = "no engine reads the prompt in time", turmericwall.RefusedForPrefill
	case w.late && w.isRetry:
		missing, cause = "no engine has memory for a retry that is late", turmericwall.RefusedAsLate
	}
	return fmt.Sprintf("%s: %.0f%% taken by %d runs, %d calls wait before, room in %d ms",
		missing, 100*o.memoryFill(), int(o.runs()), callsAhead, availableAt.Sub(st.now).Milliseconds()), cause
}

// scheduleRetry returns the retry time for a refused caller.
//
// Callers that are refused together and retry together would be refused again. Their retry times are spread over the
// time that the engines need for so many runs, after the callers that were refused before.
func (a *Allocator) scheduleRetry(st *decisionState, w *waitingCall, availableAt time.Time) time.Time {
	kept := a.retryTimes[:0]
	for _, at := range a.retryTimes {
		if at.After(st.now) {
			kept = append(kept, at)
		}
	}
	a.retryTimes = kept
	after := 0
	for _, at := range a.retryTimes {
		if !at.Before(availableAt) {
			after++
		}
	}
	rate := a.occupancyOf(st).retryRate(a.tuning.LateMemoryShare)
	at := laterOf(st.now.Add(millis(float64(len(a.retryTimes)+1)/rate)), availableAt.Add(millis(float64(after)/rate)))
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.request.ID))
	at = at.Add(time.Duration(h.Sum32()%retrySpreadMillis) * time.Millisecond)
	a.retryTimes = append(a.retryTimes, at)
	return at
}
