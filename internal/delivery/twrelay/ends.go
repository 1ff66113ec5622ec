package twrelay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/delivery/twfingerprint"
)

// fingerprint returns the fingerprint of the attempt's request, which is the same for all tries of its caller.
func (a *attempt) fingerprint() twfingerprint.Fingerprint {
	if a.requestFingerprint == "" {
		a.requestFingerprint = twfingerprint.Of(a.call)
	}
	return a.requestFingerprint
}

// brokenRun is a run that ended without a complete answer.
type brokenRun struct {
	callID   string
	upstream turmericwall.Upstream
	input    turmericwall.Input
	// sentAt is when the run was sent, and brokenAt when it ended.
	sentAt, brokenAt time.Time
	// begunAt is when its answer was first received; zero before that.
	begunAt time.Time
	// events is the number of events that were passed on, and sinceFirstMillis the time since the first one; -1 before it.
	events           int
	sinceFirstMillis int64
	cause            error
}

// brokenModelRun returns a run of a model call that was broken off now.
func (a *attempt) brokenModelRun(run *modelRun, cause error) brokenRun {
	broken := a.brokenRun(run.engine, run.sentAt, cause)
	broken.events, broken.begunAt = run.events, run.begunAt
	if !run.firstEventAt.IsZero() {
		broken.sinceFirstMillis = time.Since(run.firstEventAt).Milliseconds()
	}
	if run.hasProgressed() {
		broken.input.Parts = nil
	}
	return broken
}

// brokenRun returns a run of the call that was broken off now, before any event.
func (a *attempt) brokenRun(upstream turmericwall.Upstream, sentAt time.Time, cause error) brokenRun {
	return brokenRun{
		callID: a.call.ID, upstream: upstream, input: a.input(), sentAt: sentAt, brokenAt: time.Now(), sinceFirstMillis: -1,
		cause: cause,
	}
}

// settleBroken finds out whether the upstream of a broken run has ended, and records it. Then the call may go on, or its caller
// be answered, who may come again at once. Where the caller has left, or the time is over, it doesn't wait. The update is that of
// the run's placement.
func (r *Relay) settleBroken(
	ctx context.Context, a *attempt, broken brokenRun, update *turmericwall.PlacementUpdate,
) {
	switch {
	case r.config.Quarantine == nil, r.config.CheckEnd == nil, !mayHaveBegun(broken.cause):
	case isMalformed(broken.cause):
		update.Ended = r.settleMalformed(ctx, a, broken)
	case hasAnswered(broken.cause):
		r.logBroken(broken, "no", twendcheck.Finding{})
	case isUnread(broken.cause):
		update.Ended = r.settleUnread(ctx, a, broken)
	case errors.Is(broken.cause, errSilent), hasLeft(ctx, broken.cause) && r.isListed(broken.input):
		// Another engine is about to take over, or the next try of a suspect is on its way. A query would come too late.
		update.Ended = r.recordEnd(ctx, a, broken, twendcheck.Finding{Incarnation: broken.upstream.Key()})
	case hasLeft(ctx, broken.cause):
		update.Unsettled = true
		go func() {
			background := context.WithoutCancel(ctx)
			r.recordEnd(background, nil, broken, r.checkEnd(background, broken))
		}()
	default:
		update.Ended = r.recordEnd(ctx, a, broken, r.checkEnd(ctx, broken))
	}
}

// settleUnread settles a run whose upstream cut the answer off because it stayed unread. Only an upstream that has certainly
// ended is recorded.
func (r *Relay) settleUnread(ctx context.Context, a *attempt, broken brokenRun) *turmericwall.UpstreamKey {
	found := r.checkEnd(ctx, broken)
	if found.Result == turmericwall.EndProved {
		return r.recordEnd(ctx, a, broken, found)
	}
	var unread *unreadError
	if errors.As(broken.cause, &unread) {
		unread.isAlive = found.Result == turmericwall.EndRefuted
	}
	r.logBroken(broken, "unread", found)
	return nil
}

// settleMalformed settles a run that its upstream answered with a malformed head: it lived then. Only an upstream that has certainly ended since is
// recorded.
func (r *Relay) settleMalformed(ctx context.Context, a *attempt, broken brokenRun) *turmericwall.UpstreamKey {
	found := r.checkEnd(ctx, broken)
	if found.Result == turmericwall.EndProved {
		return r.recordEnd(ctx, a, broken, found)
	}
	r.logBroken(broken, "no", found)
	return nil
}

// isListed reports whether upstreams ended, or may have, under the input's request.
func (r *Relay) isListed(input turmericwall.Input) bool {
	ends, sound := r.config.Quarantine.Ends(input)
	return ends > 0 && !sound
}

// checkSilent checks whether an upstream that doesn't answer a call is alive. If nobody can tell, the call is suspected before its
// caller gives up and comes again.
func (r *Relay) checkSilent(ctx context.Context, a *attempt, upstream turmericwall.Upstream, sentAt time.Time) {
	if r.config.Quarantine == nil || r.config.CheckEnd == nil {
		return
	}
	silent := a.brokenRun(upstream, sentAt, errSilent)
	if found := r.checkEnd(context.WithoutCancel(ctx), silent); !a.isAnswered.Load() {
		r.recordEnd(ctx, nil, silent, found)
	}
}

// checkEnd checks whether the upstream of a broken run has ended. One that answers without stating its start is the one of before if
// the run was ended here: a process that ends closes its connections.
func (r *Relay) checkEnd(ctx context.Context, broken brokenRun) twendcheck.Finding {
	found := r.config.CheckEnd(ctx, twendcheck.Run{
		Upstream: broken.upstream, CallID: broken.callID, SentAt: broken.sentAt, BegunAt: broken.begunAt, BrokenAt: broken.brokenAt,
	})
	if found.Result == turmericwall.EndUnknown && found.Answered && wasEndedHere(broken.cause) {
		found.Result = turmericwall.EndRefuted
	}
	return found
}

// wasEndedHere reports whether this daemon ended the exchange of a run, and not its upstream.
func wasEndedHere(cause error) bool {
	var toCaller *callerError
	return errors.Is(cause, errSilent) || errors.Is(cause, errUnreachable) || errors.Is(cause, net.ErrClosed) || errors.Is(cause, context.Canceled) ||
		errors.Is(cause, context.DeadlineExceeded) || errors.As(cause, &toCaller) || isTimeout(cause) ||
		isUnread(cause)
}

// recordEnd records what was found of a broken run's upstream. It returns the incarnation that has ended, or may have, once the
// daemon that judges the next try knows of it; nil if it is alive.
func (r *Relay) recordEnd(
	ctx context.Context, a *attempt, broken brokenRun, found twendcheck.Finding,
) *turmericwall.UpstreamKey {
	r.logBroken(broken, found.Result.String(), found)
	if found.Result == turmericwall.EndRefuted {
		return nil
	}
	if a != nil {
		a.upstreamEnds.Add(1)
		// The sends of a plain call, which may end at the same time, leave no run behind. The end of an engine that was to read the prompt
		// proves none at the engine of the run before.
		if found.Proof != "" && a.former != nil && a.former.engine.Key() == broken.upstream.Key() {
			a.former = nil
		}
	}
	r.config.Quarantine.RecordEnd(found.Incarnation, broken.sentAt, broken.input, found.Result)
	r.config.FlushEvidence(context.WithoutCancel(ctx))
	return &found.Incarnation
}

// logBroken writes the line about a broken run: what is stated of its upstream, by which evidence, and what that proves about the run.
func (r *Relay) logBroken(broken brokenRun, stated string, found twendcheck.Finding) {
	connections := found.Connections
	r.config.Recorder.Record(turmericwall.EventRunBroken).Str("request", broken.callID).Str("upstream", broken.upstream.ID).
		Int("started", broken.upstream.StartedMillis).Str("found", stated).Str("evidence", string(found.Evidence)).
		Str("proof", string(found.Proof)).
		Int("open", int64(connections.Open)).Int("broken", int64(connections.Broken)).Int("closed", int64(connections.Closed)).
		Int("events", int64(broken.events)).
		Int("sinceFirstMillis", broken.sinceFirstMillis).Str("fingerprint", broken.input.Request).
		Str("parts", strings.Join(broken.input.Parts, ",")).Err(broken.cause).Send()
}

// mayHaveBegun reports whether a run that ended with the error may have begun at its upstream.
func mayHaveBegun(cause error) bool {
	var sent *turmericwall.SendError
	return cause != nil && (!errors.As(cause, &sent) || !sent.IsSafeToResend())
}

// hasAnswered reports whether the upstream answered a run that ended with the error: it lived then.
func hasAnswered(cause error) bool {
	var limit *turmericwall.LimitError
	return errors.Is(cause, errOtherVersion) || errors.Is(cause, errEngineFailed) || errors.As(cause, &limit)
}

// isMalformed reports whether the upstream answered a run that ended with the error with a malformed head.
func isMalformed(cause error) bool {
	var limit *turmericwall.LimitError
	return errors.As(cause, &limit) && limit.Limit == turmericwall.LimitMalformed
}

// hasLeft reports whether the run ended because its caller has left or its time is over.
func hasLeft(ctx context.Context, cause error) bool {
	var toCaller *callerError
	return ctx.Err() != nil || errors.As(cause, &toCaller)
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

// input returns what the call brings to upstreams.
func (a *attempt) input() turmericwall.Input {
	input := turmericwall.Input{Service: a.service.Name, Request: string(a.fingerprint()), Alone: a.isSuspect.Load()}
	if a.service.Engine != nil {
		input.Parts = a.call.PromptParts
	}
	if a.route.Resumable {
		input.Stream = string(twfingerprint.OfStream(a.call, a.streamID()))
	}
	return input
}

// takenUpStream returns the fingerprint of the stream that the call takes up; empty if it takes none up.
func (a *attempt) takenUpStream() string {
	if a.call.LastEvent == 0 {
		return ""
	}
	return a.input().Stream
}

// listedParts returns the parts of the call's prompt that the daemon which places it needs to know.
func (r *Relay) listedParts(a *attempt) []string {
	if r.config.Quarantine == nil {
		return nil
	}
	return r.config.Quarantine.Listed(a.input())
}

// checkQuarantine returns the refusal of a call whose input is quarantined, and notes whether it is suspected.
func (r *Relay) checkQuarantine(a *attempt) error {
	if r.config.Quarantine == nil {
		return nil
	}
	judgement := r.config.Quarantine.Judge(a.input())
	a.isSuspect.Store(judgement.Verdict == turmericwall.VerdictSuspect)
	if judgement.Verdict != turmericwall.VerdictQuarantined {
		return nil
	}
	return turmericwall.NewQuarantineProblem(judgement.String(),
		time.Now().Add(time.Duration(judgement.RemainingMillis)*time.Millisecond))
}
