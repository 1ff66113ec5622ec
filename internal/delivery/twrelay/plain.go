package twrelay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// maxNonIdempotentSends bounds the upstreams that a non-idempotent call is sent to, each only if the one before
	// certainly did not run it.
	maxNonIdempotentSends = 3
	// hedgeDelayShare is the share of the target time after which an idempotent call is also sent to a second upstream.
	hedgeDelayShare = 0.5
	// minHedgeDelay keeps short delays from causing a second send.
	minHedgeDelay = 40 * time.Millisecond
	// busyRetryAfter is the retry time after upstreams refused a call: the duration of a few calls.
	busyRetryAfter = 150 * time.Millisecond
)

// reply is one upstream's answer, or the error of the send.
type reply struct {
	upstream turmericwall.Upstream
	answer   *turmericwall.Answer
	buffered []byte
	// complete is set when buffered holds the whole body.
	complete bool
	err      error
	duration time.Duration
}

// succeeded reports whether the reply can be passed on as a success of the call.
func (p reply) succeeded() bool {
	return p.err == nil && p.answer.Status < http.StatusInternalServerError
}

// servePlainCall serves a call of a plain service within its account's quota. Calls that did not run are refunded.
func (r *Relay) servePlainCall(ctx context.Context, a *attempt) error {
	if err := r.checkQuarantine(a); err != nil {
		return err
	}
	if a.quotaUnits == 0 {
		return r.serveByKind(ctx, a)
	}
	if err := r.config.Quotas.Charge(a.call.Account, a.quotaUnits); err != nil {
		return err
	}
	err := r.serveByKind(ctx, a)
	if isNotRun(err) {
		r.config.Quotas.Refund(a.call.Account, a.quotaUnits)
	}
	return err
}

// isNotRun reports whether the error states that no upstream ran the call.
func isNotRun(err error) bool {
	var p *turmericwall.Problem
	return errors.As(err, &p) && p.Outcome() == turmericwall.OutcomeNotRun
}

// serveByKind serves a call according to whether it may be sent more than once.
func (r *Relay) serveByKind(ctx context.Context, a *attempt) error {
	now := time.Now()
	r.config.Picker.RecordArrival(now, a.service.Name, a.limiterCall(now).IsLate(now))
	if a.route.Kind == turmericwall.CallIdempotent {
		return r.serveIdempotent(ctx, a)
	}
	return r.serveNonIdempotent(ctx, a)
}

// serveNonIdempotent sends a call that may run once at most. It goes to a further upstream only if the one before
// certainly did not run it.
func (r *Relay) serveNonIdempotent(ctx context.Context, a *attempt) error {
	avoid := make(map[string]bool)
	var last error
	for range maxNonIdempotentSends {
		got, ok := r.pickAndSend(ctx, a, avoid)
		if !ok {
			break
		}
		if got.err == nil {
			return r.writeReply(ctx, a, got)
		}
		avoid[got.upstream.ID] = true
		last = got.err
		r.returnUnsent(a, got.err)
		var sent *turmericwall.SendError
		if !errors.As(got.err, &sent) || !sent.IsSafeToResend() {
			return turmericwall.NewProblem(turmericwall.KindUpstreamFailed, "the upstream gave no answer",
				"look before calling again").WithOutcome(turmericwall.OutcomeUnknown).WithCause(got.err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if last == nil {
		return a.notSentProblem()
	}
	return notRunProblem(last)
}

// serveIdempotent sends a call that may run more than once. When the first upstream fails or is slow, the call is also
// sent to a second one within the retry budget, and the first successful answer is passed on.
func (r *Relay) serveIdempotent(ctx context.Context, a *attempt) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	avoid := make(map[string]bool)
	replies := make(chan reply, max(a.route.MaxUpstreams, 1)+maxNonIdempotentSends)
	pending, sends := 0, 0
	sendNext := func() {
		if sends >= max(a.route.MaxUpstreams, 1) {
			return
		}
		upstream, ok := r.pickUpstream(ctx, a, avoid)
		if !ok {
			return
		}
		avoid[upstream.ID] = true
		pending++
		sends++
		a.upstreamID = upstream.ID
		repeats, turn := r.recordSent(a, upstream), a.turn
		go func() { replies <- r.send(ctx, a, upstream, turn, repeats) }()
	}
	sendNext()
	hedgeTimer := time.NewTimer(a.hedgeDelay() + r.config.OwnDelay())
	defer hedgeTimer.Stop()
	var failure reply
	for pending > 0 {
		select {
		case <-hedgeTimer.C:
			// The first upstream of a suspect may be ending under it, so that a second one would be at risk too. At the
			// limit, a second send takes the place of another call, unless the first one was a probe.
			if r.checkQuarantine(a) == nil && !a.isSuspect.Load() && (a.probing || !r.isLimited(a)) {
				sendNext()
			}
		case got := <-replies:
			pending--
			if got.succeeded() {
				a.upstreamID = got.upstream.ID
				go closeLateReplies(replies, pending)
				return r.writeReply(ctx, a, got)
			}
			if got.err != nil {
				r.returnUnsent(a, got.err)
			}
			if failure.answer == nil {
				failure = got
			}
			if pending == 0 && ctx.Err() == nil {
				sendNext()
			}
		}
	}
	if failure.answer != nil && failure.err == nil {
		return r.writeReply(ctx, a, failure)
	}
	if failure.err == nil {
		return a.notSentProblem()
	}
	return sendProblem(failure.err)
}

// hedgeDelay returns how long an upstream may take to answer before another one gets the call too.
func (a *attempt) hedgeDelay() time.Duration {
	return max(time.Duration(float64(a.route.TargetMillis)*hedgeDelayShare)*time.Millisecond, minHedgeDelay)
}

// closeLateReplies closes the answers that arrive after the one that was passed on.
func closeLateReplies(replies <-chan reply, pending int) {
	for ; pending > 0; pending-- {
		if late := <-replies; late.answer != nil {
			_ = late.answer.Body.Close()
		}
	}
}

// pickAndSend picks an upstream and sends the call to it; it returns false when there is none to send to.
func (r *Relay) pickAndSend(ctx context.Context, a *attempt, avoid map[string]bool) (reply, bool) {
	upstream, ok := r.pickUpstream(ctx, a, avoid)
	if !ok {
		return reply{}, false
	}
	a.upstreamID = upstream.ID
	repeats := r.recordSent(a, upstream)
	return r.send(ctx, a, upstream, a.turn, repeats), true
}

// pickUpstream picks an upstream for one more send, within the upstream's rate and the retry budget, and waits for the call's
// turn if it is suspected.
func (r *Relay) pickUpstream(ctx context.Context, a *attempt, avoid map[string]bool) (turmericwall.Upstream, bool) {
	avoid = maps.Clone(avoid)
	for {
		upstream, ok := r.choose(a, avoid)
		if !ok {
			return upstream, false
		}
		if err := r.config.Throttle.Admit(ctx, upstream.Key()); err != nil {
			r.releasePick(a, upstream)
			a.recordThrottled(err)
			avoid[upstream.ID] = true
			continue
		}
		if a.heldBack = r.checkPlainDrain(a); a.heldBack != nil || !r.spendSend(a) {
			r.config.Throttle.ReturnSend(upstream.Key())
			r.releasePick(a, upstream)
			return upstream, false
		}
		if a.turn, a.heldBack = r.awaitTurn(ctx, a, upstream); a.heldBack != nil {
			r.returnUnsent(a, &turmericwall.SendError{Err: a.heldBack})
			r.config.Throttle.ReturnSend(upstream.Key())
			r.releasePick(a, upstream)
			return upstream, false
		}
		if r.config.View.AcceptsCalls(upstream.Key()) {
			return upstream, true
		}
		// It has left while the call was admitted or waited for its turn.
		r.returnTurn(a)
		r.returnUnsent(a, &turmericwall.SendError{Err: errLeaving})
		r.config.Throttle.ReturnSend(upstream.Key())
		r.releasePick(a, upstream)
		avoid[upstream.ID] = true
	}
}

// recordThrottled records that an upstream accepts no call now. Of several refusals it keeps the one with the earliest
// retry time.
func (a *attempt) recordThrottled(err error) {
	var p *turmericwall.Problem
	if errors.As(err, &p) && (a.throttleRefusal == nil || p.RetryAt().Before(a.throttleRefusal.RetryAt())) {
		a.throttleRefusal = p
	}
}

// notSentProblem returns the refusal of a call that could be sent to no upstream.
func (a *attempt) notSentProblem() error {
	if a.heldBack != nil {
		return a.heldBack
	}
	if a.throttleRefusal != nil {
		return a.throttleRefusal
	}
	if p := a.limitProblem(); p != nil {
		return p
	}
	return noUpstreamProblem()
}

// send sends the call to one upstream, in its turn if it has one, and buffers the beginning of the answer. If the upstream may
// have ended under the call, send returns once that is known to those who judge the next try.
func (r *Relay) send(ctx context.Context, a *attempt, upstream turmericwall.Upstream, turn string, repeats int) reply {
	began := time.Now()
	got := reply{upstream: upstream}
	silence := time.AfterFunc(a.hedgeDelay()+r.config.OwnDelay(), func() { r.checkSilent(ctx, a, upstream, began) })
	defer silence.Stop()
	r.config.Picker.MarkSent(began, a.pickerCall(nil), upstream)
	got.answer, got.err = r.config.Upstreams.Send(
		ctx, upstream, turmericwall.OutgoingCall{Call: a.call, Deadline: a.deadline, Repeated: repeats > 0},
	)
	if got.err == nil {
		got.buffered, got.complete, got.err = a.bufferBody(got.answer)
	}
	got.duration = time.Since(began)
	r.recordNotRun(a, upstream, began, repeats, got.err)
	r.reportToPicker(ctx, began.Add(got.duration), got)
	update := turmericwall.PlacementUpdate{ID: turn, Service: a.service.Name}
	if got.succeeded() {
		a.isAnswered.Store(true)
	}
	switch {
	case got.complete && got.succeeded():
		r.recordPlainAnswer(a)
	case got.err != nil && !a.isAnswered.Load():
		r.settleBroken(ctx, a, a.brokenRun(upstream, began, got.err), &update)
	}
	if turn != "" {
		r.config.Placer.ApplyUpdate(update)
	}
	return got
}

// reportToPicker reports the result of a send, which ended now, to the picker.
func (r *Relay) reportToPicker(ctx context.Context, now time.Time, got reply) {
	var sent *turmericwall.SendError
	switch {
	case got.err == nil:
		r.config.Picker.RecordAnswer(now, got.upstream, got.duration, got.answer.Status < http.StatusInternalServerError)
	case errors.As(got.err, &sent) && (sent.PathLost || sent.ShareUsed):
		r.config.Picker.ReleaseUnreached(now, got.upstream, got.duration)
	case isOwnShortage(got.err):
		r.config.Picker.ReleasePick(got.upstream)
	case errors.Is(ctx.Err(), context.Canceled):
		r.config.Picker.ReleaseSent(now, got.upstream, got.duration)
	case errors.As(got.err, &sent) && sent.NotRun && !sent.IncarnationReplaced:
		r.config.Picker.RecordRefusal(now, got.upstream, got.duration)
	default:
		r.config.Picker.RecordFailure(now, got.upstream, got.duration)
	}
}

// writeReply writes an upstream's answer to the caller unchanged.
func (r *Relay) writeReply(ctx context.Context, a *attempt, got reply) error {
	if !got.complete {
		defer func() { _ = got.answer.Body.Close() }()
	}
	if p := checkUnstatedNotRun(got.answer); p != nil {
		return p
	}
	copyHeader(a.w, got.answer)
	if got.complete && got.answer.Length < 0 {
		setContentLength(a.w, len(got.buffered))
	}
	a.headerWritten, a.step = true, stepAnswer
	a.w.WriteHeader(got.answer.Status)
	if _, err := a.w.Write(got.buffered); err != nil {
		return err
	}
	if got.complete {
		return nil
	}
	sentAt := got.answer.SentAt
	// The buffer that was written is used again; without one the body has ended.
	_, err := io.CopyBuffer(a.w, newPacedBody(ctx, got.answer.Body), got.buffered[:cap(got.buffered)])
	if err != nil {
		r.settleBroken(ctx, a, a.brokenRun(got.upstream, sentAt, err), &turmericwall.PlacementUpdate{})
		return err
	}
	if got.succeeded() {
		r.recordPlainAnswer(a)
	}
	return nil
}

// sendProblem converts the error of a failed send into the problem that the caller gets.
func sendProblem(err error) error {
	var sent *turmericwall.SendError
	if errors.As(err, &sent) && sent.IsSafeToResend() {
		return notRunProblem(err)
	}
	return turmericwall.NewProblem(turmericwall.KindUpstreamFailed, "the upstream gave no answer",
		"call again").WithOutcome(turmericwall.OutcomeUnknown).WithCause(err)
}

// notRunProblem returns the refusal of a call that no upstream ran.
func notRunProblem(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindOverloaded, "no upstream took the call",
		"come back at the time given").WithRetryAt(time.Now().Add(busyRetryAfter)).WithCause(cause)
}
