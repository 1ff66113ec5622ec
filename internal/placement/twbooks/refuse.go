package twbooks

import (
	"fmt"
	"hash/fnv"
	"math"
	"sort"
	"time"
)

const (
	// spreadMillis spreads the returns of callers that are turned away in the same moment, in milliseconds.
	spreadMillis = 300
	// idlePace is the pace of returns while nothing runs, in calls a millisecond.
	idlePace = 0.02
	// leastPace keeps the time to come back finite.
	leastPace = 0.002
	// unknownRoomMillis is the wait for room when more calls wait than run.
	unknownRoomMillis = 500
)

// refuse turns a call away whose first event can't be on time any more; ahead calls wait before it.
func (b *Books) refuse(st *step, w *waiter, ahead int) (Verdict, bool) {
	if b.plan.MemoryTokens > 0 && w.ask.Work.PromptTokens >= b.plan.MemoryTokens {
		return Verdict{ID: w.ask.ID, Reason: "the prompt exceeds an engine's memory", Never: true}, true
	}
	if w.ask.Moving {
		return Verdict{ID: w.ask.ID, Reason: "no engine has memory for the run", RetryAt: st.now}, true
	}
	latest := w.ask.TargetDeadline.Add(-millis(b.tuning.StartMarginMillis + float64(w.ask.Work.PromptTokens)/b.poolSpeed(st.now)))
	if longest := w.since.Add(millis(b.tuning.WaitMillis)); longest.Before(latest) {
		latest = longest
	}
	if w.late && w.returned {
		latest = w.since.Add(millis(b.tuning.LateWaitMillis))
	}
	if w.ask.GiveUpDeadline.Before(latest) {
		latest = w.ask.GiveUpDeadline
	}
	room := st.roomAt(ahead)
	if w.late && w.returned && st.fill() <= b.tuning.LateShare {
		// The call waits for its prompt to be read, not for memory.
		room = st.now
	}
	if !room.After(latest) && st.now.Before(latest) {
		return Verdict{}, false
	}
	return Verdict{ID: w.ask.ID, Reason: st.reason(w, ahead, room), RetryAt: b.invite(st, w, room)}, true
}

// reason says what decided a refusal, for the log and the caller.
func (s *step) reason(w *waiter, ahead int, room time.Time) string {
	missing := "no engine has memory in time"
	if w.unread {
		missing = "no engine reads the prompt in time"
	}
	return fmt.Sprintf("%s: %.0f%% taken by %d runs, %d calls wait before, room in %d ms",
		missing, 100*s.fill(), len(s.ends), ahead, room.Sub(s.now).Milliseconds())
}

// roomAt is when so many runs will have ended that a call behind so many others has a place.
func (s *step) roomAt(ahead int) time.Time {
	if !s.sorted {
		sort.Float64s(s.ends)
		s.sorted = true
	}
	if ahead >= len(s.ends) {
		return s.now.Add(millis(unknownRoomMillis * float64(2+ahead)))
	}
	return s.now.Add(millis(s.ends[ahead]))
}

// invite chooses when a caller may come back.
//
// Callers that are turned away together and come back together meet the same crowd. Their returns are spread over
// the time that the engines need for so many runs, behind the callers that were invited before.
func (b *Books) invite(st *step, w *waiter, room time.Time) time.Time {
	kept := b.invited[:0]
	for _, at := range b.invited {
		if at.After(st.now) {
			kept = append(kept, at)
		}
	}
	b.invited = kept
	at := st.now.Add(millis(float64(len(b.invited)+1) / b.pace(st)))
	if at.Before(room) {
		at = room
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.ask.ID))
	at = at.Add(time.Duration(h.Sum32()%spreadMillis) * time.Millisecond)
	b.invited = append(b.invited, at)
	return at
}

// pace is how many calls that come back the engines can take in a millisecond, beside the fresh ones.
func (b *Books) pace(st *step) float64 {
	if len(st.ends) == 0 {
		return idlePace
	}
	total := 0.0
	for _, end := range st.ends {
		total += end
	}
	// A run that is seen at a random moment has half of its time left.
	mean := 2 * total / float64(len(st.ends))
	return math.Max(float64(len(st.ends))/math.Max(mean, 1)*(1-b.tuning.LateShare), leastPace)
}
