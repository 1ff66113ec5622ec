package twrelay

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twfingerprint"
)

// fingerprint returns the fingerprint of the attempt's request, which is the same for all tries of its caller.
func (a *attempt) fingerprint() twfingerprint.Fingerprint {
	if a.requestFingerprint == "" {
		a.requestFingerprint = twfingerprint.Of(a.call)
	}
	return a.requestFingerprint
}

// checkEnd checks whether the upstream of a run that was broken off has ended, and records the end.
func (r *Relay) checkEnd(ctx context.Context, a *attempt, run *modelRun, cause error) {
	judged := r.mayHaveEnded(ctx, run.engine, cause)
	ended := judged && r.config.HasEnded(ctx, run.engine)
	if ended {
		a.engineEnds++
		r.recordEnd(ctx, a, run)
	}
	sinceBegin := int64(-1)
	if !run.firstEventAt.IsZero() {
		sinceBegin = time.Since(run.firstEventAt).Milliseconds()
	}
	r.logBroken(a, run.engine, judged, cause).Int("ended", boolToInt64(ended)).Int("events", int64(run.events)).
		Int("sinceFirstMillis", sinceBegin).Send()
}

// logBroken begins the line about a send that was broken off. judged is set if it was checked whether its upstream has ended.
func (r *Relay) logBroken(
	a *attempt, upstream turmericwall.Upstream, judged bool, cause error,
) turmericwall.LogEntry {
	return r.config.Recorder.Record(turmericwall.EventRunBroken).Str("request", a.call.ID).Str("upstream", upstream.ID).
		Int("started", upstream.StartedMillis).Int("judged", boolToInt64(judged)).
		Str("fingerprint", string(a.fingerprint())).Str("parts", strings.Join(a.call.PromptParts, ",")).Err(cause)
}

// mayHaveRun reports whether the error of a send leaves open whether its upstream ran the call.
func mayHaveRun(err error) bool {
	var sent *turmericwall.SendError
	return err != nil && (!errors.As(err, &sent) || !sent.IsSafeToResend())
}

// recordEnd records the end of the engine that ran the call. It returns once the daemon that judges the next placement knows
// of it, as the call goes on, or its caller comes again, at once.
func (r *Relay) recordEnd(ctx context.Context, a *attempt, run *modelRun) {
	if r.config.Quarantine == nil {
		return
	}
	input := a.input()
	if run.hasProgressed() {
		r.config.Quarantine.RecordProgress(input)
		input.Parts = nil
	}
	r.config.Quarantine.RecordEnd(run.engine, run.sentAt, input)
	r.config.FlushEvidence(ctx)
}

// progressSpan is how long after its first event a run has shown that its engine doesn't crash on the parts of its prompt:
// several times as long as an engine takes for that.
const progressSpan = time.Second

// hasProgressed reports whether the engine has written for progressSpan.
func (m *modelRun) hasProgressed() bool {
	return !m.firstEventAt.IsZero() && time.Since(m.firstEventAt) >= progressSpan
}

// recordProgress records once for each run that it has progressed.
func (r *Relay) recordProgress(a *attempt, run *modelRun) {
	if r.config.Quarantine != nil && !run.progressRecorded && run.hasProgressed() {
		run.progressRecorded = true
		r.config.Quarantine.RecordProgress(a.input())
	}
}

// recordAnswer records that a run has answered the call completely. An engine that answered with a failure may not have begun
// to write.
func (r *Relay) recordAnswer(a *attempt, run *modelRun) {
	if r.config.Quarantine != nil && run.answer.Status < http.StatusMultipleChoices {
		r.config.Quarantine.RecordAnswer(a.input())
	}
}

// input returns what the call brings to engines.
func (a *attempt) input() turmericwall.Input {
	return turmericwall.Input{
		Service: a.service.Name, Request: string(a.fingerprint()), Parts: a.call.PromptParts,
	}
}

// listedParts returns the parts of the call's prompt that the daemon which places it needs to know.
func (r *Relay) listedParts(a *attempt) []string {
	if r.config.Quarantine == nil {
		return nil
	}
	return r.config.Quarantine.Listed(a.input())
}

// checkQuarantine returns the refusal of a call whose input is quarantined.
func (r *Relay) checkQuarantine(a *attempt) error {
	if r.config.Quarantine == nil {
		return nil
	}
	judgement := r.config.Quarantine.Judge(a.input())
	if judgement.Verdict != turmericwall.VerdictQuarantined {
		return nil
	}
	return turmericwall.NewQuarantineProblem(judgement.String(),
		time.Now().Add(time.Duration(judgement.RemainingMillis)*time.Millisecond))
}

// mayHaveEnded reports whether the error of a run may come from the end of its upstream. An upstream that is leaving ends
// as it announced, and one that is silent or answers has not ended.
func (r *Relay) mayHaveEnded(ctx context.Context, upstream turmericwall.Upstream, cause error) bool {
	var toCaller *callerError
	var sent *turmericwall.SendError
	switch {
	case r.config.HasEnded == nil, cause == nil, ctx.Err() != nil:
		return false
	case errors.As(cause, &toCaller), errors.Is(cause, errOtherVersion), errors.Is(cause, errSilent),
		errors.Is(cause, errEngineFailed), isTimeout(cause):
		return false
	case errors.As(cause, &sent) && (sent.PathLost || !sent.Sent || sent.NotRun):
		return false
	}
	return r.config.View.AcceptsCalls(upstream.Key()) && !r.pathLost(upstream)
}
