package twrelay

import (
	"context"
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// reservationSlack extends a reservation beyond the expected end of the prefill.
	reservationSlack = 700 * time.Millisecond
	// reserveTimeout is thirty times the usual duration of a reservation, and less than a third of the usual target time,
	// so that another engine can still answer on time.
	reserveTimeout = 300 * time.Millisecond
	// prefillSlack is added to twice the expected duration of a prefill to get its time-out: an engine may be silent for
	// a second or so and continue, and a prefill that is broken off is wasted.
	prefillSlack = 1200 * time.Millisecond
	// cleanupTimeout bounds the calls that release what a failed placement left at its engines.
	cleanupTimeout = time.Second
)

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

// prepare checks what may have changed while the call waited for its placement, admits the sends, reserves memory at the decode engine and has the prompt read.
func (r *Relay) prepare(ctx context.Context, a *attempt, run *modelRun) (done bool, err error) {
	p := run.placement
	a.upstreamID = p.Decode.ID
	if err := r.config.Authenticator.CheckCredential(a.credential); err != nil {
		return true, err
	}
	if err := r.checkQuarantine(a); err != nil {
		return true, err
	}
	if err := r.checkDrain(a); err != nil {
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

// reserve reserves memory at the decode engine before the prefill, which is wasted if the engine is full by its end.
//
// The connection to an unresponsive engine breaks only long after the call's target, in which another engine can answer.
func (r *Relay) reserve(ctx context.Context, p turmericwall.Placement) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout+r.config.OwnDelay())
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
	update *turmericwall.PlacementUpdate,
) (turmericwall.EngineExport, error) {
	if err := r.checkAcceptsCalls(p.Prefill); err != nil {
		return turmericwall.EngineExport{}, &turmericwall.SendError{Err: err}
	}
	repeated := a.prefillSent
	if repeated && !r.config.Retries.Spend(time.Now(), a.service.Name, r.config.Daemons()) {
		a.retryDenied = true
		return turmericwall.EngineExport{}, errRetryBudgetUsed
	}
	sentAt, repeats := time.Now(), a.countSend(p.Prefill)
	export, err := r.requestPrefill(ctx, p, turmericwall.OutgoingCall{
		Call: a.call, Deadline: out.Deadline, Priority: out.Priority, ResumeAfter: out.ResumeAfter, Repeated: repeats > 0,
	})
	r.recordNotRun(a, p.Prefill, sentAt, repeats, err)
	if err != nil {
		// The answer wasn't begun, so that only the request can be the cause.
		broken := a.brokenRun(p.Prefill, sentAt, err)
		broken.input.Parts = nil
		r.settleBroken(ctx, a, broken, update)
	}
	switch {
	case err == nil || wasSent(err):
		a.prefillSent = true
	case repeated:
		r.config.Retries.Return(time.Now(), a.service.Name)
	}
	return export, err
}

// requestPrefill sends a prompt to its prefill engine, and gives up when the prefill takes far longer than expected.
func (r *Relay) requestPrefill(
	ctx context.Context, p turmericwall.Placement, call turmericwall.OutgoingCall,
) (turmericwall.EngineExport, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*max(time.Until(p.PrefillEndsAt), 0)+prefillSlack+r.config.OwnDelay())
	defer cancel()
	return r.config.Upstreams.Prefill(ctx, p.Prefill, call)
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

// runPrefill has the placement's prefill engine, if there is one, compute and export the prompt; done reports whether
// the call must not be placed again.
func (r *Relay) runPrefill(ctx context.Context, a *attempt, run *modelRun) (done bool, err error) {
	p := run.placement
	if p.Prefill.ID == "" {
		return false, nil
	}
	a.step = stepPrefill
	began := time.Now()
	run.out.Export, err = r.sendPrefill(ctx, a, p, run.out, &run.update)
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

// checkBeforeDecode checks what may have changed during the prefill: the engine, the caller's key, a planned stop and the retry
// budget.
// done reports whether the call must not be placed again.
func (r *Relay) checkBeforeDecode(a *attempt, decode turmericwall.Upstream) (done bool, err error) {
	if err := r.checkAcceptsCalls(decode); err != nil {
		return false, notRunProblem(err)
	}
	if err := r.config.Authenticator.CheckCredential(a.credential); err != nil {
		return true, err
	}
	if err := r.checkDrain(a); err != nil {
		return true, err
	}
	if !r.spendSend(a) {
		return true, noEngineProblem(errRetryBudgetUsed)
	}
	return false, nil
}
