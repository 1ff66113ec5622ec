package twallocator

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/turmericwall/turmericwall"
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
	if w.request.Moving {
		return Refusal{ID: w.request.ID, Reason: moveRefusalReason(w.request), RetryAt: st.now}, true
	}
	latest := w.request.TargetDeadline.Add(
		-millis(a.tuning.FirstEventMarginMillis + float64(w.request.Work.PromptTokens)/a.poolPrefillSpeed(st.now)))
	if longest := w.enqueuedAt.Add(millis(a.tuning.MaxWaitMillis)); longest.Before(latest) {
		latest = longest
	}
	if w.late && w.isRetry {
		latest = w.enqueuedAt.Add(millis(a.tuning.MaxLateRetryWaitMillis))
	}
	if w.request.GiveUpDeadline.Before(latest) {
		latest = w.request.GiveUpDeadline
	}
	o := a.occupancyOf(st)
	availableAt := o.placeAvailableAt(callsAhead)
	if w.late && w.isRetry && o.memoryFill() <= a.tuning.LateMemoryShare {
		// The call waits for a prefill engine, not for memory.
		availableAt = st.now
	}
	if !availableAt.After(latest) && st.now.Before(latest) {
		return Refusal{}, false
	}
	return Refusal{
		ID: w.request.ID, Reason: refusalReason(st.now, o, w, callsAhead, availableAt),
		RetryAt: a.scheduleRetry(st, w, availableAt),
	}, true
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

// refusalReason returns the reason of a refusal for the log and the caller.
func refusalReason(now time.Time, o *occupancy, w *waitingCall, callsAhead int, availableAt time.Time) string {
	missing := "no engine has memory in time"
	if w.noPrefillInTime {
		missing = "no engine reads the prompt in time"
	}
	return fmt.Sprintf("%s: %.0f%% taken by %d runs, %d calls wait before, room in %d ms",
		missing, 100*o.memoryFill(), int(o.runs()), callsAhead, availableAt.Sub(now).Milliseconds())
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
	at := st.now.Add(millis(float64(len(a.retryTimes)+1) / a.occupancyOf(st).retryRate(a.tuning.LateMemoryShare)))
	if at.Before(availableAt) {
		at = availableAt
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.request.ID))
	at = at.Add(time.Duration(h.Sum32()%retrySpreadMillis) * time.Millisecond)
	a.retryTimes = append(a.retryTimes, at)
	return at
}
