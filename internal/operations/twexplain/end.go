package twexplain

import (
	"fmt"

	"github.com/turmericwall/turmericwall"
)

// endOf states how the request ended. A request without an outcome ended with its daemon's process, if that started
// again afterwards.
func endOf(all []line) string {
	var last line
	for _, l := range all {
		if !l.ofRequest || l.time < last.time {
			continue
		}
		last = l
		if isOutcome(l) {
			return describeOutcome(l)
		}
	}
	end := fmt.Sprintf("no outcome; the last step was %q at %s", stepAfter(last), last.daemon)
	for _, l := range all {
		if l.daemon == last.daemon && l.time >= last.time && l.is(turmericwall.EventStarted) {
			return fmt.Sprintf("%s, whose process ended with it%s, and started again at %s",
				end, howItEnded(all, last, l), l.time)
		}
	}
	return end + "; it is still open, or its line was dropped or is in another log"
}

// is reports whether the line is of the event.
func (l line) is(event turmericwall.EventID) bool {
	number, _ := l.fields["event"].(float64)
	return int(number) == int(event)
}

func isOutcome(l line) bool {
	return l.is(turmericwall.EventRequestRefused) || l.is(turmericwall.EventRequestAnswered) ||
		l.is(turmericwall.EventRequestFailed)
}

// describeOutcome states who ended the request, and at which step.
func describeOutcome(l line) string {
	text := l.message + " at " + l.daemon
	if cause, ok := l.fields["refusedFor"].(string); ok {
		text += describeRefusal(cause, l.fields["account"])
	}
	if by, ok := l.fields["endedBy"].(string); ok {
		text += ", ended by " + by
	}
	if step, ok := l.fields["step"].(string); ok {
		text += ", step " + step
	}
	if reason, ok := l.fields["limitReason"].(string); ok {
		text += ", " + describeLimit(reason, l.fields)
	}
	if route, _ := l.fields["route"].(string); route == "" {
		text += describePlan(l.fields)
	}
	return text
}

// describePlan states which plan decided a call without a route, and up to which time that plan was proved to be the newest.
func describePlan(fields map[string]any) string {
	age, ok := fields["planAgeMillis"].(float64)
	switch {
	case !ok:
		return ""
	case age < 0:
		return fmt.Sprintf(", by plan %v, which was never proved to be the newest", fields["planVersion"])
	}
	return fmt.Sprintf(", by plan %v (row %v), which was the newest %v ms before", fields["planVersion"], fields["planRow"], age)
}

// describeLimit states why a plain service's upstreams got no further call.
func describeLimit(reason string, fields map[string]any) string {
	if reason == "silent" {
		return "the upstreams have stopped answering"
	}
	text := fmt.Sprintf("the service was at its limit: %v calls under way of %v, %v a second arrived and %v could be answered in time",
		fields["underWay"], fields["limit"], fields["arrivals"], fields["admissions"])
	if reason == "late" {
		text += ", and this one could not"
	}
	return text
}

// describeRefusal states what was short when the leader refused the request, and whose share decided.
func describeRefusal(cause string, account any) string {
	switch turmericwall.RefusalCause(cause) {
	case turmericwall.RefusedForShare:
		return fmt.Sprintf(", because the account %v used more than its share while others needed the rest", account)
	case turmericwall.RefusedForMemory:
		return ", because no decode engine had memory in time"
	case turmericwall.RefusedForPrefill:
		return ", because no engine could have prefilled the prompt in time"
	case turmericwall.RefusedAsLate:
		return ", because it was a retry that was late already, and others needed what became free"
	}
	return ", for lack of " + cause
}

// stepAfter returns the step that followed a line of a request.
func stepAfter(l line) string {
	switch {
	case l.is(turmericwall.EventPlacementGranted):
		return "prefill"
	case l.is(turmericwall.EventCallSent):
		return "send"
	case l.is(turmericwall.EventStreamBegun):
		return "events"
	case l.is(turmericwall.EventRunMoved):
		return "move"
	}
	return "admission"
}

// howItEnded states whether the daemon of the line was draining, or a task of it had failed, before it started again.
func howItEnded(all []line, last, started line) string {
	how := " without a drain (killed, out of memory or a fatal error)"
	for _, l := range all {
		if l.daemon != last.daemon || l.time < shiftTime(last.time, -drainSeconds) || l.time > started.time {
			continue
		}
		switch {
		case l.is(turmericwall.EventTaskFailed):
			return " after a failed task"
		case l.is(turmericwall.EventDrainStarted):
			how = " in its drain"
		case l.is(turmericwall.EventStarted) && l.time < last.time:
			how = " without a drain (killed, out of memory or a fatal error)"
		}
	}
	return how
}

// drainSeconds is longer than any drain takes.
const drainSeconds = 60
