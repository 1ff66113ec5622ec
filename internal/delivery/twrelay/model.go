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
	// reservationSlack extends a reservation beyond the expected end of the prefill.
	reservationSlack = 700 * time.Millisecond
	// reserveTimeout is thirty times the usual duration of a reservation, and less than a third of the usual target time,
	// so that another engine can still answer on time.
	reserveTimeout = 300 * time.Millisecond
	// prefillSlack is added to twice the expected duration of a prefill to get its time-out: an engine may be silent for
	// a second or so and continue, and a prefill that is broken off is wasted.
	prefillSlack = 1200 * time.Millisecond
	// firstEventTimeout is how long after the send a first event may be missing before the engine is reported as failed.
	firstEventTimeout = 600 * time.Millisecond
	// cleanupTimeout bounds the calls that release what a failed placement left at its engines.
	cleanupTimeout = time.Second
	// noEngineRetryAfter is the retry time after engines unexpectedly refused a call; when they have room again is unknown
	// here.
	noEngineRetryAfter = time.Second
)

// serveModelCall serves a call for a model engine: placement, prefill, then decode. A run that fails is replaced by
// another one where that is safe.
func (r *Relay) serveModelCall(ctx context.Context, a *attempt) error {
	defer r.releasePrepared(a)
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
		GiveUpDeadline: a.deadline,
		CallerDeadline: a.call.Deadline, Avoid: slices.Concat(a.avoid, closed),
		EventGapMillis: a.route.EventGapMillis, Account: a.call.Account, Units: a.quotaUnits,
		Priority: a.route.Priority,
	}
	if a.runs > 0 {
		// The call was charged with its first run, and its caller waits for the next event like for a first one.
		request.Units = 0
		request.Work = a.remainingWork()
		request.TargetDeadline = time.Now().Add(a.target())
	}
	placement, err := r.config.Placer.Place(ctx, request)
	if err != nil {
		return placement, err
	}
	a.placementReason = placement.Reason
	a.stats.placedMillis = a.elapsedMillis()
	a.stats.late = placement.Late
	a.stats.prefillEngine = placement.Prefill.ID
	a.stats.expectedPrefillMillis = placement.PrefillEndsAt.Sub(a.call.ReceivedAt).Milliseconds()
	r.config.Recorder.Record(turmericwall.EventPlacementGranted).Str("request", a.call.ID).
		Str("attempt", attemptNumber).Str("decode", placement.Decode.ID).
		Str("prefill", placement.Prefill.ID).Int("placedMillis", a.stats.placedMillis).
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

// prepareRun places the call, reserves memory and has the prompt read, so that only the send to the decode engine is
// left. If that fails, done reports whether the call must not be placed again.
func (r *Relay) prepareRun(ctx context.Context, a *attempt) (run *modelRun, done bool, err error) {
	placement, err := r.place(ctx, a)
	if err != nil {
		return nil, true, err
	}
	run = newModelRun(a, placement)
	if done, err = r.prepare(ctx, a, run); err != nil {
		run.update.NotRun = isNotRun(err)
		r.config.Placer.ApplyUpdate(run.update)
		return nil, done, err
	}
	return run, false, nil
}

// prepare admits the sends of a placed run, reserves memory at the decode engine and has the prompt read.
func (r *Relay) prepare(ctx context.Context, a *attempt, run *modelRun) (done bool, err error) {
	p := run.placement
	a.upstreamID = p.Decode.ID
	if err := r.config.Authenticator.CheckCredential(a.credential); err != nil {
		return true, err
	}
	if limitedID, err := r.admitPlacement(ctx, p); err != nil {
		a.avoid = append(a.avoid, limitedID)
		a.recordThrottled(err)
		return false, a.throttleRefusal
	}
	a.step = stepReservation
	run.out.Reservation, err = r.reserve(ctx, p)
	if err != nil {
		r.returnAdmissions(p.Decode, p.Prefill)
		if errors.Is(err, errNoMemory) {
			run.update.FullEngine = p.Decode.ID
		} else {
			run.update.FailedEngine = r.failedEngine(p.Decode, err)
			a.avoid = append(a.avoid, p.Decode.ID)
		}
		return false, notRunProblem(err)
	}
	if done, err = r.runPrefill(ctx, a, run); err == nil {
		done, err = r.checkBeforeDecode(a, p.Decode)
	}
	if err != nil {
		r.returnAdmissions(p.Decode)
		go r.releaseEngines(p.Decode, run.out.Reservation, p.Prefill, run.out.Export)
	}
	return done, err
}

// sendRun sends a prepared run to its decode engine and returns once the head of the answer was received. If that
// fails, done reports whether the call must not be placed again.
func (r *Relay) sendRun(ctx context.Context, a *attempt, run *modelRun) (done bool, err error) {
	a.upstreamID = run.engine.ID
	a.runs++
	run.stallTimer = r.startStallTimer(run.placement, a.service.Name)
	r.recordSent(a, run.engine)
	run.answer, err = r.awaitHead(ctx, a, run)
	if err == nil {
		return false, nil
	}
	run.stop()
	r.returnUnsent(a, err)
	done, err = r.handleSendError(ctx, a, run, err)
	run.update.NotRun = isNotRun(err)
	r.config.Placer.ApplyUpdate(run.update)
	return done, err
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
			silence.Reset(run.silenceSpan())
		}
	}
}

// runPrefill has the placement's prefill engine, if there is one, compute and export the prompt; done reports whether
// the call must not be placed again.
func (r *Relay) runPrefill(ctx context.Context, a *attempt, run *modelRun) (done bool, err error) {
	p := run.placement
	if p.Prefill.ID == "" {
		return false, nil
	}
	a.step = stepPrefill
	began := time.Now()
	run.out.Export, err = r.sendPrefill(ctx, a, p, run.out)
	if errors.Is(err, errRetryBudgetUsed) {
		return true, noEngineProblem(err)
	}
	if err != nil {
		if !errors.Is(err, errBackOff) {
			run.update.FailedEngine = r.failedEngine(p.Prefill, err)
		}
		a.avoid = append(a.avoid, p.Prefill.ID)
		return false, notRunProblem(err)
	}
	run.out.Step = turmericwall.StepImport
	run.update.Prefilled = true
	run.update.PrefillMillis = time.Since(began).Milliseconds()
	a.stats.prefilledMillis = a.elapsedMillis()
	r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{
		ID: p.ID, Service: run.update.Service, Running: true, Prefilled: true,
		PrefillMillis: run.update.PrefillMillis,
	})
	return false, nil
}

// checkBeforeDecode checks what may have changed during the prefill: the engine, the caller's key and the retry budget.
// done reports whether the call must not be placed again.
func (r *Relay) checkBeforeDecode(a *attempt, decode turmericwall.Upstream) (done bool, err error) {
	if err := r.checkAcceptsCalls(decode); err != nil {
		return false, notRunProblem(err)
	}
	if err := r.config.Authenticator.CheckCredential(a.credential); err != nil {
		return true, err
	}
	if !r.spendSend(a) {
		return true, noEngineProblem(errRetryBudgetUsed)
	}
	return false, nil
}

// admitPlacement admits the sends to both engines before anything is sent, because a prefill for an engine that accepts
// no further call is wasted. On an error, limitedID is the engine that accepts no call.
func (r *Relay) admitPlacement(ctx context.Context, p turmericwall.Placement) (limitedID string, err error) {
	if err := r.config.Throttle.Admit(ctx, p.Decode.Key()); err != nil {
		return p.Decode.ID, err
	}
	if p.Prefill.ID == "" {
		return "", nil
	}
	if err := r.config.Throttle.Admit(ctx, p.Prefill.Key()); err != nil {
		r.config.Throttle.ReturnSend(p.Decode.Key())
		return p.Prefill.ID, err
	}
	return "", nil
}

// returnAdmissions returns admitted sends that were not made.
func (r *Relay) returnAdmissions(engines ...turmericwall.Upstream) {
	for _, e := range engines {
		if e.ID != "" {
			r.config.Throttle.ReturnSend(e.Key())
		}
	}
}

// startStallTimer reports the decode engine as failed when it sends no first event in time. The call may be running
// there and can't be sent again, but the placer keeps other calls away from the engine.
func (r *Relay) startStallTimer(p turmericwall.Placement, service string) *time.Timer {
	wait := firstEventTimeout
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

// reserve reserves memory at the decode engine before the prefill, which is wasted if the engine is full by its end.
//
// The connection to an unresponsive engine breaks only after 1.7 s. Without the shorter time-out, its calls were
// refused long after their target although other engines had room.
func (r *Relay) reserve(ctx context.Context, p turmericwall.Placement) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	until := p.PrefillEndsAt.Add(reservationSlack)
	if latest := time.Now().Add(time.Duration(r.maxReservationMillis(p)) * time.Millisecond); until.After(latest) {
		until = latest
	}
	reservation, ok, err := r.config.Upstreams.Reserve(ctx, p.Decode, p.ReserveTokens, until)
	if err != nil {
		return "", err
	}
	if !ok {
		return "", errNoMemory
	}
	return reservation, nil
}

// maxReservationMillis returns the longest reservation that the service's engines grant, or 0 when it is unknown.
func (r *Relay) maxReservationMillis(p turmericwall.Placement) int64 {
	plan, ok := r.config.Routes.Service(p.Decode.Service)
	if !ok || plan.Engine == nil {
		return 0
	}
	return plan.Engine.MaxReservationMillis
}

// sendPrefill sends the prompt to the prefill engine. The first prefill is no retry; each further one is taken from the
// retry budget before it is sent, whether the one before succeeded or not.
func (r *Relay) sendPrefill(
	ctx context.Context, a *attempt, p turmericwall.Placement, out turmericwall.OutgoingCall,
) (turmericwall.EngineExport, error) {
	if err := r.checkAcceptsCalls(p.Prefill); err != nil {
		return turmericwall.EngineExport{}, &turmericwall.SendError{Err: err}
	}
	repeated := a.prefillSent
	if repeated && !r.config.Retries.Spend(time.Now(), a.service.Name, r.config.Daemons()) {
		a.retryDenied = true
		return turmericwall.EngineExport{}, errRetryBudgetUsed
	}
	ctx, cancel := context.WithTimeout(ctx, 2*max(time.Until(p.PrefillEndsAt), 0)+prefillSlack)
	defer cancel()
	export, err := r.config.Upstreams.Prefill(ctx, p.Prefill, turmericwall.OutgoingCall{
		Call: a.call, Deadline: out.Deadline, Priority: out.Priority, ResumeAfter: out.ResumeAfter,
	})
	switch {
	case err == nil || wasSent(err):
		a.prefillSent = true
	case repeated:
		r.config.Retries.Return(time.Now(), a.service.Name)
	}
	return export, err
}

// releaseEngines releases the reservation and the export of a failed placement, independently of the caller's context.
func (r *Relay) releaseEngines(
	decode turmericwall.Upstream, reservation string, prefill turmericwall.Upstream, export turmericwall.EngineExport,
) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	if reservation != "" {
		if err := r.config.Upstreams.DropReservation(ctx, decode, reservation); err != nil {
			r.config.Recorder.Record(turmericwall.EventEngineUnreachable).Str("upstream", decode.ID).Err(err).Send()
		}
	}
	if export.Handle != "" {
		if err := r.config.Upstreams.DropExport(ctx, prefill, export); err != nil {
			r.config.Recorder.Record(turmericwall.EventEngineUnreachable).Str("upstream", prefill.ID).Err(err).Send()
		}
	}
}

// queuePriority returns the call's priority in the engine's queue: the route's, and one lower for late calls, so that
// calls that can still be on time go first.
func queuePriority(route turmericwall.Route, p turmericwall.Placement) int {
	priority := min(route.Priority, 8)
	if p.Late {
		priority++
	}
	return priority
}
