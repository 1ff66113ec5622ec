package twrelay

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// maxPlacements is the largest number of placements for one call; each costs at least one round trip.
	maxPlacements = 4
	// firstEventTimeout is how long after the send a first event may be missing before the engine is reported as failed.
	firstEventTimeout = 600 * time.Millisecond
	// noEngineRetryAfter is the retry time after engines unexpectedly refused a call; when they have room again is unknown
	// here.
	noEngineRetryAfter = time.Second
)

// serveModelCall serves a call for a model engine: placement, prefill, then decode. A run that fails is replaced by
// another one where that is safe.
func (r *Relay) serveModelCall(ctx context.Context, a *attempt) error {
	defer r.releasePrepared(a)
	if err := r.checkQuarantine(a); err != nil {
		return err
	}
	run, err := r.startRun(ctx, a)
	if err != nil {
		return a.problemOfRuns(err)
	}
	return newAnswerStream(r, a).passOn(ctx, run)
}

// startRun starts a run of the call, at another engine after each failure that is safe to retry.
func (r *Relay) startRun(ctx context.Context, a *attempt) (*modelRun, error) {
	var last error
	for range maxPlacements {
		var done bool
		var err error
		run := a.takePrepared()
		if run == nil {
			if err = r.settleFormer(ctx, a); err != nil {
				return nil, err
			}
			run, done, err = r.prepareRun(ctx, a)
		}
		if err == nil {
			done, err = r.sendRun(ctx, a, run)
		}
		if err == nil {
			return run, nil
		}
		if done || ctx.Err() != nil {
			return nil, err
		}
		last = err
	}
	if a.throttleRefusal != nil && errors.Is(last, a.throttleRefusal) {
		return nil, last
	}
	return nil, noEngineProblem(last)
}

// problemOfRuns returns the error of a call whose runs can't be started, which doesn't state "not run" once one may have
// begun.
func (a *attempt) problemOfRuns(err error) error {
	if a.runs == 0 {
		return err
	}
	return unknownProblem(err)
}

// place requests a placement on engines that neither failed the call nor are in back-off.
func (r *Relay) place(ctx context.Context, a *attempt) (turmericwall.Placement, error) {
	closed, err := r.enginesInBackoff(a)
	if err != nil {
		return turmericwall.Placement{}, err
	}
	a.step = stepPlacement
	attemptNumber := strconv.Itoa(a.placements)
	a.placements++
	request := turmericwall.PlaceRequest{
		ID: a.call.ID + "/" + attemptNumber, Service: a.service.Name, Owner: r.config.Daemon,
		Zone: r.config.Zone, Work: a.call.Work, TargetDeadline: a.call.ReceivedAt.Add(a.target()),
		ReceivedAt: a.call.ReceivedAt, PrefillLost: a.prefillSent,
		GiveUpDeadline: a.deadline,
		CallerDeadline: a.call.Deadline, Avoid: slices.Concat(a.avoid, closed),
		EventGapMillis: a.route.EventGapMillis, Account: a.call.Account, Units: a.quotaUnits,
		Priority: a.route.Priority, Version: a.version,
		TakesUp: a.takesUp(), Stream: a.call.Resumes, Fingerprint: string(a.fingerprint()),
		StreamFingerprint: a.takenUpStream(),
		Parts:             r.listedParts(a),
	}
	if a.runs > 0 {
		// The call was charged with its first run, and its caller waits for the next event like for a first one.
		request.Units = 0
		request.Work = a.remainingWork()
		request.ReceivedAt = time.Now()
		request.TargetDeadline = request.ReceivedAt.Add(a.target())
	}
	if a.isBound() {
		request.Only, request.Avoid = a.former.engine.ID, closed
		if until := a.boundUntil(); until.Before(request.GiveUpDeadline) {
			request.GiveUpDeadline = until
		}
	}
	placement, err := r.placeInTime(ctx, a, request)
	if err != nil {
		return placement, err
	}
	if a.takesUp() {
		a.version = placement.Version
	}
	a.placementReason = placement.Reason
	a.stats.placedMillis = a.elapsedMillis()
	a.stats.late = placement.Late
	a.stats.prefillEngine = placement.Prefill.ID
	a.stats.expectedPrefillMillis = placement.PrefillEndsAt.Sub(a.call.ReceivedAt).Milliseconds()
	r.config.Recorder.Record(turmericwall.EventPlacementGranted).Str("request", a.call.ID).
		Str("attempt", attemptNumber).Str("decode", placement.Decode.ID).
		Str("prefill", placement.Prefill.ID).Str("version", string(placement.Decode.Version)).
		Str("prefillVersion", string(placement.Prefill.Version)).Int("started", placement.Decode.StartedMillis).
		Int("placedMillis", a.stats.placedMillis).
		Int("expectedReadMillis", a.stats.expectedPrefillMillis).
		Int("planVersion", a.planVersion).Int("upstreamsVersion", r.config.View.Version()).
		Str("reason", placement.Reason).Send()
	return placement, nil
}

// enginesInBackoff returns the engines that are in back-off for this daemon, which the leader does not know. When no
// decode engine is left, it refuses the call with the earliest time at which a decode engine accepts calls again.
func (r *Relay) enginesInBackoff(a *attempt) (ids []string, err error) {
	anyDecodeOpen := false
	var earliestRetryAt time.Time
	for _, u := range r.config.View.Upstreams(a.service.Name) {
		until := r.config.Throttle.BackoffUntil(u.Key())
		if until.IsZero() {
			anyDecodeOpen = anyDecodeOpen || (u.Role == turmericwall.RoleDecode && !u.Leaving)
			continue
		}
		ids = append(ids, u.ID)
		if u.Role == turmericwall.RoleDecode && (earliestRetryAt.IsZero() || until.Before(earliestRetryAt)) {
			earliestRetryAt = until
		}
	}
	if anyDecodeOpen || earliestRetryAt.IsZero() {
		return ids, nil
	}
	return nil, turmericwall.NewProblem(turmericwall.KindOverloaded, "no engine wants a call from this daemon for now",
		"come back at the time given").WithRetryAt(earliestRetryAt)
}

// checkAcceptsCalls returns an error when the engine has started to leave or to back off since the call was admitted.
func (r *Relay) checkAcceptsCalls(engine turmericwall.Upstream) error {
	if !r.config.View.AcceptsCalls(engine.Key()) {
		return errLeaving
	}
	if !r.config.Throttle.BackoffUntil(engine.Key()).IsZero() {
		return errBackOff
	}
	return nil
}

// sendRun sends a prepared run to its decode engine and returns once the head of the answer was received. If that
// fails, done reports whether the call must not be placed again.
func (r *Relay) sendRun(ctx context.Context, a *attempt, run *modelRun) (done bool, err error) {
	a.upstreamID = run.engine.ID
	if done, err = r.checkBeforeSend(ctx, a, run); err != nil {
		a.prepared = run
		r.releasePrepared(a)
		return done, err
	}
	a.runs++
	run.sentAt = time.Now()
	run.stallTimer = r.startStallTimer(run.placement, a.service.Name)
	repeats := r.recordSent(a, run.engine)
	run.out.Repeated = repeats > 0
	run.answer, err = r.awaitHead(ctx, a, run)
	r.recordNotRun(a, run.engine, run.sentAt, repeats, err)
	if err == nil {
		return false, nil
	}
	run.stop()
	a.keepFormer(run, err)
	r.returnUnsent(a, err)
	done, err = r.handleSendError(ctx, a, run, err)
	run.update.NotRun = isNotRun(err)
	r.config.Placer.ApplyUpdate(run.update)
	return done, err
}

// checkBeforeSend checks what may have changed since the run was prepared, which may have been long before: whether the run before has
// ended, whether other runs of the request ended their engines, and the engine. done reports whether the call must not be placed
// again.
func (r *Relay) checkBeforeSend(ctx context.Context, a *attempt, run *modelRun) (done bool, err error) {
	if err := r.settleFormerBefore(ctx, a, run); err != nil {
		return true, err
	}
	if err := r.checkQuarantine(a); err != nil {
		return true, err
	}
	if err := r.checkAcceptsCalls(run.engine); err != nil {
		return false, notRunProblem(err)
	}
	return false, nil
}

// awaitHead sends the run and waits for the head of its answer, or until another run is prepared because the engine is
// silent.
func (r *Relay) awaitHead(ctx context.Context, a *attempt, run *modelRun) (*turmericwall.Answer, error) {
	run.ctx, run.cancel = context.WithCancel(ctx)
	head := startSend(run.ctx, r.config.Upstreams, run.engine, run.out)
	silence := time.NewTimer(run.silenceSpan())
	defer silence.Stop()
	for {
		select {
		case result := <-head.done:
			return result.answer, result.err
		case <-silence.C:
			if r.prepareTakeover(ctx, a, run, &head.arrivals) {
				run.cancel()
				head.discard()
				return nil, &turmericwall.SendError{Sent: true, Err: errSilent}
			}
			if run.isUnreachable {
				run.cancel()
				head.discard()
				return nil, &turmericwall.SendError{Sent: true, Err: errUnreachable}
			}
			silence.Reset(run.silenceSpan())
		}
	}
}

// startStallTimer reports the decode engine as failed when it sends no first event in time. The call may be running
// there and can't be sent again, but the placer keeps other calls away from the engine.
func (r *Relay) startStallTimer(p turmericwall.Placement, service string) *time.Timer {
	wait := firstEventTimeout + r.config.OwnDelay()
	if p.Prefill.ID == "" {
		wait += 2 * max(time.Until(p.PrefillEndsAt), 0)
	}
	return time.AfterFunc(wait, func() {
		if r.pathLost(p.Decode) {
			return
		}
		r.config.Placer.ApplyUpdate(
			turmericwall.PlacementUpdate{ID: p.ID, Service: service, Running: true, FailedEngine: p.Decode.ID},
		)
	})
}

var (
	errNoMemory        = errors.New("the engine has no memory left")
	errLeaving         = errors.New("the engine is leaving")
	errBackOff         = errors.New("the engine asked this daemon to back off")
	errRetryBudgetUsed = errors.New("the service's retry budget is used up")
)

// queuePriority returns the call's priority in the engine's queue: the route's, and one lower for late calls, so that
// calls that can still be on time go first.
func queuePriority(route turmericwall.Route, p turmericwall.Placement) int {
	priority := min(route.Priority, 8)
	if p.Late {
		priority++
	}
	return priority
}
