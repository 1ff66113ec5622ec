package twrelay

import (
	"context"
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/delivery/twretries"
)

const (
	// maxSilence is how long an engine may be silent before another one is prepared: a sound engine may be silent for a
	// second or so.
	maxSilence = 1500 * time.Millisecond
	// minSilence is the part of it in which nothing may have been received from the engine at all.
	minSilence = 1300 * time.Millisecond
	// maxTakeovers bounds the engines that are prepared for one call because its engine is silent.
	maxTakeovers = 2
)

var (
	errSilent      = errors.New("the engine was silent, and another one was prepared")
	errUnreachable = errors.New("the engine was silent, and its machine acknowledges nothing")
	errReleased    = errors.New("the send is not needed any more")
)

// continueElsewhere starts the next run of a stream whose run has ended early with the error. It returns the error, with
// those of its tries, if the stream can't go on.
func (s *answerStream) continueElsewhere(ctx context.Context, cause error) (*modelRun, error) {
	var toCaller *callerError
	if ctx.Err() != nil || errors.As(cause, &toCaller) {
		return nil, cause
	}
	run, err := s.importMoved(ctx)
	if err != nil {
		cause = errors.Join(cause, errMoveFailed, err)
	}
	if run != nil {
		return run, nil
	}
	if !mayGoOn(cause) {
		return nil, cause
	}
	run, err = s.resume(ctx)
	if run != nil {
		s.recordResumed(run, cause)
		return run, nil
	}
	if err != nil {
		cause = errors.Join(cause, err)
	}
	return nil, cause
}

// resume starts another run of the call after the last event that was passed on. While no engine takes it, it is placed
// again at the times that the refusals name. Without an error resume returns no run if the call must not run again.
func (s *answerStream) resume(ctx context.Context) (*modelRun, error) {
	r, a := s.relay, s.attempt
	var last error
	for a.prepared != nil || r.mayResume(ctx, a) {
		run, err := r.startRun(ctx, a)
		if err == nil {
			return run, nil
		}
		last = err
		delay, retried := retryDelay(err)
		if a.isBound() {
			delay = min(delay, boundRetryDelay)
			retried = retried && time.Now().Add(delay).Before(a.boundUntil())
		}
		if !retried || !pause(ctx, delay) {
			break
		}
		// An engine that failed, or was silent, may be sound again; no other one is left.
		a.avoid = nil
	}
	return nil, last
}

// retryDelay returns how long to wait before the next placement; it returns false if the error names no time for one, as
// that of a key that was removed, if no engine of the stream's version is left, or if the call's input is quarantined.
func retryDelay(err error) (time.Duration, bool) {
	var p *turmericwall.Problem
	if !errors.As(err, &p) || p.RetryAt().IsZero() || errors.Is(err, turmericwall.ErrVersionGone) ||
		errors.Is(err, turmericwall.ErrQuarantined) {
		return 0, false
	}
	return twretries.Delay(time.Now(), p.RetryAt()), true
}

// mayResume reports whether the route and the retry budget allow another run of the call, its prefill included.
func (r *Relay) mayResume(ctx context.Context, a *attempt) bool {
	if ctx.Err() != nil || !a.mayRunAgain() {
		return false
	}
	sends := 1
	if a.prefillSent {
		sends = 2
	}
	if !r.config.Retries.Allows(time.Now(), a.service.Name, r.config.Daemons(), sends) {
		a.retryDenied = true
		return false
	}
	return true
}

// prepareTakeover prepares a run at another engine because that of the present run is silent. It returns false if that
// is not allowed or fails, or if the engine has gone on meanwhile: then the present run remains.
func (r *Relay) prepareTakeover(ctx context.Context, a *attempt, run *modelRun, arrived *arrivals) bool {
	if a.takeovers >= maxTakeovers || !r.isSilent(run.engine) || !r.mayResume(ctx, a) {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer arrived.cancelNext(cancel)()
	if r.mustStay(ctx, a, run) || ctx.Err() != nil || !r.mayReplace(ctx, a, run) {
		return false
	}
	a.takeovers++
	stats, step := a.stats, a.step
	a.avoid = append(a.avoid, run.engine.ID)
	next, _, err := r.prepareRun(ctx, a)
	if err == nil {
		a.prepared = next
	}
	if err == nil && !arrived.isPending() && r.stopSilent(ctx, run) {
		return true
	}
	r.releasePrepared(a)
	a.stats, a.step, a.upstreamID = stats, step, run.engine.ID
	return false
}

// mayReplace reports whether another engine may be reached for the call while the present one is silent: that one may be the last
// which may end under a suspected request.
func (r *Relay) mayReplace(ctx context.Context, a *attempt, run *modelRun) bool {
	if r.config.Quarantine == nil || !r.isListed(a.input()) {
		return true
	}
	r.recordEnd(ctx, a, a.brokenModelRun(run, errSilent), twendcheck.Finding{Incarnation: run.engine.Key()})
	return r.checkQuarantine(a) == nil
}

// isSilent reports whether nothing was received from the engine for a while, on any connection of this daemon, and for longer than the
// daemon delays it. An engine that sends to others has only preempted a run.
func (r *Relay) isSilent(engine turmericwall.Upstream) bool {
	receivedAt := r.config.LastReceivedAt
	return receivedAt == nil || time.Since(receivedAt(engine)) >= minSilence+r.config.OwnDelay()
}

// silenceSpan is how long the run may send no event before another engine is prepared. The prompt may be read first, at
// the decode engine.
func (m *modelRun) silenceSpan() time.Duration {
	if m.events > 0 || m.placement.Prefill.ID != "" {
		return maxSilence
	}
	return maxSilence + 2*max(time.Until(m.placement.PrefillEndsAt), 0)
}

// takePrepared returns the run that was prepared, to be sent now; nil if there is none.
func (a *attempt) takePrepared() *modelRun {
	run := a.prepared
	a.prepared = nil
	if run != nil {
		run.out.ResumeAfter = a.lastEventID
	}
	return run
}

// releasePrepared releases a prepared run that is not needed.
func (r *Relay) releasePrepared(a *attempt) {
	run := a.takePrepared()
	if run == nil {
		return
	}
	r.returnUnsent(a, &turmericwall.SendError{Err: errReleased})
	r.returnAdmissions(run.engine)
	r.config.Placer.ApplyUpdate(run.update)
	go r.releaseEngines(run.engine, run.out.Reservation, run.placement.Prefill, run.out.Export)
}

// recordResumed records that the stream goes on with another run.
func (s *answerStream) recordResumed(run *modelRun, cause error) {
	s.attempt.resumes++
	s.relay.config.Recorder.Record(turmericwall.EventStreamResumed).Str("request", s.attempt.call.ID).
		Str("from", s.run.engine.ID).Str("to", run.engine.ID).Int("lastEvent", s.attempt.lastEventID).
		Str("fromVersion", string(s.run.engine.Version)).Str("toVersion", string(run.engine.Version)).
		Int("runs", int64(s.attempt.runs)).Err(cause).Send()
}
