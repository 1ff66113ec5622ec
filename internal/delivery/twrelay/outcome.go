package twrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/turmericwall/turmericwall"
)

// Outcome describes how one call ended.
type Outcome struct {
	Service string
	// Account is the client account; empty when the call carried no key.
	Account string
	Kind    turmericwall.CallKind
	// Result is answered, refused, failed, brokenOff or left.
	Result string
	// Cause is the kind of problem of a refused call; empty for other results.
	Cause turmericwall.Kind
	// RefusedFor is what was short when the leader refused the call; empty for other results.
	RefusedFor turmericwall.RefusalCause
	// LimitReason is why a call of a plain service was refused although the service has upstreams: its limit, or their
	// silence; empty for other results.
	LimitReason string
	// EndedBy is who ended a call that failed, was broken off or left: caller, deadline, upstream, unread, network, move or
	// process. It is empty for other results, and for calls that are at fault themselves.
	EndedBy string
	// DurationMillis is the time from reading the call to its end.
	DurationMillis int64
	// FirstEventMillis is the time until a stream's first event was passed on; 0 when there was none.
	FirstEventMillis int64
	// Resumes is the number of runs with which a stream went on after an earlier one.
	Resumes int
}

// step is a step of a call, as the log names it.
type step string

const (
	// stepStart is the wait for what the daemon doesn't know yet after its start.
	stepStart       step = "start"
	stepAdmission   step = "admission"
	stepPlacement   step = "placement"
	stepReservation step = "reservation"
	stepPrefill     step = "prefill"
	// stepSend lasts until the head of the upstream's answer was received.
	stepSend step = "send"
	// stepFirstEvent and stepEvents are the waits for the first event of a stream and for the next ones.
	stepFirstEvent step = "firstEvent"
	stepEvents     step = "events"
	stepMove       step = "move"
	stepAnswer     step = "answer"
)

// Who ended a call.
const (
	endedByCaller   = "caller"
	endedByDeadline = "deadline"
	endedByUpstream = "upstream"
	// endedByUnread is an upstream that cut off an answer because its caller read it too slowly.
	endedByUnread  = "unread"
	endedByNetwork = "network"
	endedByMove    = "move"
	endedByProcess = "process"
)

// callerError is the error of a write to the caller.
type callerError struct{ err error }

// Error returns the text of the cause.
func (e *callerError) Error() string { return fmt.Sprintf("write to the caller: %v", e.err) }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.err }

// callerWriter marks the errors of writes to the caller.
type callerWriter struct{ http.ResponseWriter }

// Write writes to the caller. The error is a callerError.
func (w callerWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		return n, &callerError{err: err}
	}
	return n, nil
}

// Flush sends what was written.
func (w callerWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// finish writes the error as the caller's answer unless an answer was begun, and records the outcome.
func (r *Relay) finish(ctx context.Context, a *attempt, err error) error {
	outcome := a.outcome()
	status := 0
	if a.endInDrain != nil {
		a.endInDrain(err == nil)
	}
	if err != nil {
		outcome.EndedBy = endedBy(ctx, err)
	}
	switch {
	case err == nil:
		outcome.Result = "answered"
	case outcome.EndedBy == endedByCaller:
		outcome.Result = "left"
	case a.headerWritten:
		outcome.Result = "brokenOff"
	default:
		status = writeProblem(a.w, a.lastProblem(ctx, err))
		outcome.Result = "failed"
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
			status == http.StatusUnauthorized {
			outcome.Result = "refused"
			outcome.Cause = problemKind(err)
			outcome.RefusedFor = refusedFor(err)
			if a.countedSends == 0 {
				outcome.LimitReason = string(a.limitReason())
			}
			outcome.EndedBy = ""
		}
	}
	r.record(a, outcome, status, err)
	if outcome.Result == "brokenOff" || outcome.Result == "left" {
		return ErrAnswerTruncated
	}
	return nil
}

// outcome returns the outcome of the call so far, without a result.
func (a *attempt) outcome() Outcome {
	return Outcome{
		Service: a.service.Name, Account: a.call.Account, Kind: a.route.Kind, DurationMillis: a.elapsedMillis(),
		FirstEventMillis: a.stats.firstEventMillis, Resumes: a.resumes,
	}
}

// recordPanic records the outcome of a call whose handler panics: the server closes the caller's connection.
func (r *Relay) recordPanic(a *attempt) {
	cause := recover()
	if cause == nil {
		return
	}
	if a.endInDrain != nil {
		a.endInDrain(false)
	}
	outcome := a.outcome()
	outcome.Result, outcome.EndedBy = "brokenOff", endedByProcess
	r.record(a, outcome, 0, fmt.Errorf("%w: %v", errPanicked, cause))
	panic(cause)
}

// endedBy returns who ended a call with the error; empty if the call itself is at fault.
func endedBy(ctx context.Context, err error) string {
	var toCaller *callerError
	var sent *turmericwall.SendError
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		return endedByProcess
	case errors.Is(ctx.Err(), context.Canceled), errors.As(err, &toCaller):
		return endedByCaller
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return endedByDeadline
	case errors.Is(err, errPanicked):
		return endedByProcess
	case isUnread(err):
		return endedByUnread
	case errors.Is(err, errMoveFailed):
		return endedByMove
	case errors.As(err, &sent) && (sent.PathLost || sent.ConnectFailed), isTimeout(err):
		return endedByNetwork
	case isCallersFault(err):
		return ""
	}
	return endedByUpstream
}

// isTimeout reports whether the error is that of a connection without acknowledgements or packets.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) ||
		(errors.As(err, &timeout) && timeout.Timeout())
}

// isCallersFault reports whether the call can't be served as it is.
func isCallersFault(err error) bool {
	switch problemKind(err) {
	case turmericwall.KindNotFound, turmericwall.KindTooLarge, turmericwall.KindBadRequest:
		return true
	}
	return false
}

// problemKind returns the kind of the problem in err, or "" when there is none.
func problemKind(err error) turmericwall.Kind {
	var p *turmericwall.Problem
	if !errors.As(err, &p) {
		return ""
	}
	return p.Kind()
}

// refusedFor returns what was short when the leader refused the call with the error, or "".
func refusedFor(err error) turmericwall.RefusalCause {
	var p *turmericwall.Problem
	if !errors.As(err, &p) {
		return ""
	}
	return p.RefusedFor()
}

// record writes the line of the call's outcome and reports it for the metrics.
func (r *Relay) record(a *attempt, outcome Outcome, status int, err error) {
	event := turmericwall.EventRequestAnswered
	switch outcome.Result {
	case "refused":
		event = turmericwall.EventRequestRefused
	case "failed", "brokenOff", "left":
		event = turmericwall.EventRequestFailed
	}
	entry := r.config.Recorder.Record(event).Str("request", a.call.ID).Str("result", outcome.Result).
		Str("route", a.route.Name).Str("account", a.call.Account).Str("service", a.service.Name).
		Int("upstreamsVersion", r.config.View.Version()).Str("upstream", a.upstreamID).Int("tries", int64(a.countedSends)).
		Int("millis", outcome.DurationMillis)
	entry = r.addPlan(entry, a)
	if err != nil {
		entry = entry.Str("step", string(a.step)).Err(err)
	}
	if outcome.RefusedFor != "" {
		entry = entry.Str("refusedFor", string(outcome.RefusedFor))
	}
	if outcome.EndedBy != "" {
		entry = entry.Str("endedBy", outcome.EndedBy)
	}
	if ends := a.upstreamEnds.Load(); ends > 0 {
		entry = entry.Int("upstreamEnds", ends).Str("fingerprint", string(a.fingerprint())).
			Str("parts", strings.Join(a.call.PromptParts, ","))
	}
	if a.retryDenied {
		entry = entry.Int("retryDenied", 1)
	}
	if outcome.LimitReason != "" {
		entry = entry.Str("limitReason", outcome.LimitReason)
	}
	if d := a.limit; d.Limited {
		entry = entry.Float("arrivals", d.Arrivals).Float("admissions", d.Admissions).Int("limit", int64(d.Limit)).
			Int("underWay", int64(d.Open)).Int("expectedMillis", d.ExpectedMillis)
	}
	if !a.deadline.IsZero() {
		entry = entry.Int("millisLeft", time.Until(a.deadline).Milliseconds())
	}
	if a.service.Engine != nil {
		entry = entry.Str("reason", a.placementReason).Str("version", string(a.version)).
			Str("reader", a.stats.prefillEngine).
			Int("late", boolToInt64(a.stats.late)).Int("expectedReadMillis", a.stats.expectedPrefillMillis).
			Int("placedMillis", a.stats.placedMillis).Int("readMillis", a.stats.prefilledMillis).
			Int("firstMillis", a.stats.firstEventMillis).
			Int("gapMillis", a.stats.maxEventGapMillis).Int("events", int64(a.stats.events)).
			Int("runs", int64(a.runs)).Int("resumes", int64(a.resumes)).
			Int("promptTokens", int64(a.call.Work.PromptTokens)).Int("hintTokens", int64(a.call.Work.HintTokens)).
			Int("maxTokens", int64(a.call.Work.MaxTokens)).Str("framing", string(a.stats.framing)).
			Int("restBytes", int64(a.stats.restBytes)).Str("contentType", a.stats.contentType).
			Str("peer", a.stats.peer).Str("protocol", a.call.Protocol)
	}
	if a.call.LastEvent > 0 || a.call.Resumes != "" {
		entry = entry.Str("resumes", a.call.Resumes).Int("callerLastEvent", a.call.LastEvent)
	}
	if status != 0 {
		entry = entry.Int("status", int64(status))
	}
	entry.Send()
	if r.config.Observe != nil {
		r.config.Observe(outcome)
	}
}

// addPlan adds which plan decided the call, and how current it and the daemon's state were.
func (r *Relay) addPlan(entry turmericwall.LogEntry, a *attempt) turmericwall.LogEntry {
	entry = entry.Int("planVersion", a.planVersion).Int("planRow", a.planRow).Int("planAgeMillis", a.planAgeMillis)
	if a.planWaitMillis > 0 {
		entry = entry.Int("planWaitMillis", a.planWaitMillis)
	}
	if r.config.StateAge != nil {
		stateMillis, heardMillis := r.config.StateAge()
		entry = entry.Int("stateMillis", stateMillis).Int("heardMillis", heardMillis)
	}
	return entry
}

// recordSent records that the call is about to be sent to an upstream, so that the log shows where it was if the process
// ends with it. It returns how often it was sent there before.
func (r *Relay) recordSent(a *attempt, upstream turmericwall.Upstream) (repeats int) {
	a.step = stepSend
	repeats = a.countSend(upstream)
	r.config.Recorder.Record(turmericwall.EventCallSent).Str("request", a.call.ID).Str("upstream", upstream.ID).
		Str("route", a.route.Name).Int("sends", int64(a.countedSends)).Int("repeats", int64(repeats)).
		Int("millis", a.elapsedMillis()).Send()
	return repeats
}

// recordNotRun records that an upstream stated that it didn't run the call, which was sent there at sentAt and the number of
// repeats before.
func (r *Relay) recordNotRun(a *attempt, upstream turmericwall.Upstream, sentAt time.Time, repeats int, err error) {
	var sent *turmericwall.SendError
	if !errors.As(err, &sent) || !sent.NotRun {
		return
	}
	r.config.Recorder.Record(turmericwall.EventCallNotRun).Str("request", a.call.ID).Str("upstream", upstream.ID).
		Int("status", int64(sent.Status)).Int("millis", time.Since(sentAt).Milliseconds()).Int("repeats", int64(repeats)).
		Int("reused", boolToInt64(sent.Reused)).Send()
}

func boolToInt64(set bool) int64 {
	if set {
		return 1
	}
	return 0
}
