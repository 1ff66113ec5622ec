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
	// maxBuffered is what is read of an answer before it is passed on, in bytes: while nothing is passed on, a
	// failure can be mended by another upstream.
	maxBuffered = 64 << 10
	// maxRefusals is how many upstreams that did not run the call are asked in all.
	maxRefusals = 3
	// patienceShare is the part of the target time after which a repeatable call is sent to a second upstream.
	patienceShare = 0.5
	// minPatience keeps a second send from following a short hiccup.
	minPatience = 40 * time.Millisecond
	// busyRetry is when callers may come back after upstreams refused: a few calls' work.
	busyRetry = 150 * time.Millisecond
)

// reply is one upstream's answer, or its failure.
type reply struct {
	upstream turmericwall.Upstream
	answer   *turmericwall.Answer
	buffered []byte
	// whole tells that buffered is the whole body.
	whole bool
	err   error
	span  time.Duration
}

// good tells that the reply can be passed on as a success of the call.
func (p reply) good() bool { return p.err == nil && p.answer.Status < http.StatusInternalServerError }

// plain serves a call of a plain service, within its account's quota.
func (r *Relay) plain(ctx context.Context, a *attempt) error {
	if a.units == 0 {
		return r.route(ctx, a)
	}
	if err := r.config.Quotas.Charge(a.call.Account, a.units); err != nil {
		return err
	}
	err := r.route(ctx, a)
	if notExecuted(err) {
		r.config.Quotas.Refund(a.call.Account, a.units)
	}
	return err
}

// notExecuted tells that the error says that no upstream ran the call.
func notExecuted(err error) bool {
	var p *turmericwall.Problem
	return errors.As(err, &p) && p.Outcome() == turmericwall.OutcomeNotRun
}

// route serves a call by what may be repeated of it.
func (r *Relay) route(ctx context.Context, a *attempt) error {
	if a.route.Kind == turmericwall.CallIdempotent {
		return r.repeatable(ctx, a)
	}
	return r.once(ctx, a)
}

// once sends a call that may run once at most: to a further upstream only after the one before certainly did
// not run it.
func (r *Relay) once(ctx context.Context, a *attempt) error {
	avoid := make(map[string]bool)
	var last error
	for range maxRefusals {
		got, ok := r.sendPlain(ctx, a, avoid)
		if !ok {
			break
		}
		if got.err == nil {
			return r.pass(a, got)
		}
		avoid[got.upstream.ID] = true
		last = got.err
		var sent *turmericwall.SendError
		if !errors.As(got.err, &sent) || !sent.Safe() {
			return turmericwall.NewProblem(turmericwall.KindUpstreamFailed, "the upstream gave no answer",
				"look before calling again").WithOutcome(turmericwall.OutcomeUnknown).WithCause(got.err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if last == nil {
		return a.unsent()
	}
	return notRun(last)
}

// repeatable sends a call that may run more than once. When the first upstream fails or is slow, a second one is
// asked within the budget, and the first good answer counts.
func (r *Relay) repeatable(ctx context.Context, a *attempt) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	avoid := make(map[string]bool)
	replies := make(chan reply, max(a.route.MaxUpstreams, 1)+maxRefusals)
	open, sent := 0, 0
	send := func() {
		if sent >= max(a.route.MaxUpstreams, 1) {
			return
		}
		upstream, ok := r.pick(ctx, a, avoid)
		if !ok {
			return
		}
		avoid[upstream.ID] = true
		open++
		sent++
		a.upstream = upstream.ID
		go func() { replies <- r.send(ctx, a, upstream) }()
	}
	send()
	patience := time.NewTimer(max(time.Duration(float64(a.route.TargetMillis)*patienceShare)*time.Millisecond, minPatience))
	defer patience.Stop()
	var failure reply
	for open > 0 {
		select {
		case <-patience.C:
			send()
		case got := <-replies:
			open--
			if got.good() {
				a.upstream = got.upstream.ID
				go drain(replies, open)
				return r.pass(a, got)
			}
			if failure.answer == nil {
				failure = got
			}
			if open == 0 && ctx.Err() == nil {
				send()
			}
		}
	}
	if failure.answer != nil && failure.err == nil {
		return r.pass(a, failure)
	}
	if failure.err == nil {
		return a.unsent()
	}
	return settled(failure.err)
}

// drain closes the answers that come after the one that counted.
func drain(replies <-chan reply, open int) {
	for ; open > 0; open-- {
		if late := <-replies; late.answer != nil {
			_ = late.answer.Body.Close()
		}
	}
}

func (r *Relay) sendPlain(ctx context.Context, a *attempt, avoid map[string]bool) (reply, bool) {
	upstream, ok := r.pick(ctx, a, avoid)
	if !ok {
		return reply{}, false
	}
	a.upstream = upstream.ID
	return r.send(ctx, a, upstream), true
}

// pick takes an upstream for one more send, if it takes one more call and the budget allows it.
func (r *Relay) pick(ctx context.Context, a *attempt, avoid map[string]bool) (turmericwall.Upstream, bool) {
	avoid = maps.Clone(avoid)
	for {
		upstream, ok := r.config.Picker.Pick(time.Now(), r.config.View.Upstreams(a.service.Name), avoid)
		if !ok {
			return upstream, false
		}
		if err := r.config.Throttle.Admit(ctx, upstream.Key()); err != nil {
			r.config.Picker.Withdrawn(upstream)
			a.throttled(err)
			avoid[upstream.ID] = true
			continue
		}
		if !r.mayTry(a) {
			r.config.Throttle.Return(upstream.Key())
			r.config.Picker.Withdrawn(upstream)
			return upstream, false
		}
		return upstream, true
	}
}

// throttled notes that an upstream takes no call now; of several, the one that takes the next call first counts.
func (a *attempt) throttled(err error) {
	var p *turmericwall.Problem
	if errors.As(err, &p) && (a.refusal == nil || p.RetryAt().Before(a.refusal.RetryAt())) {
		a.refusal = p
	}
}

// unsent refuses a call for which no upstream was found.
func (a *attempt) unsent() error {
	if a.refusal != nil {
		return a.refusal
	}
	return noUpstream()
}

// send sends the call to one upstream and reads the beginning of its answer.
func (r *Relay) send(ctx context.Context, a *attempt, upstream turmericwall.Upstream) reply {
	began := time.Now()
	got := reply{upstream: upstream}
	got.answer, got.err = r.config.Upstreams.Send(ctx, upstream, turmericwall.Outgoing{Call: a.call, Deadline: a.deadline})
	if got.err == nil {
		got.buffered, got.whole, got.err = buffer(got.answer)
	}
	got.span = time.Since(began)
	r.judge(ctx, got)
	return got
}

// judge tells the picker how the upstream did.
func (r *Relay) judge(ctx context.Context, got reply) {
	now := time.Now()
	var sent *turmericwall.SendError
	switch {
	case got.err == nil:
		r.config.Picker.Answered(now, got.upstream, got.span, got.answer.Status < http.StatusInternalServerError)
	case errors.Is(ctx.Err(), context.Canceled):
		r.config.Picker.Withdrawn(got.upstream)
	case errors.As(got.err, &sent) && sent.NotRun && !sent.Gone:
		r.config.Picker.Answered(now, got.upstream, got.span, false)
	default:
		r.config.Picker.Failed(now, got.upstream, got.span)
	}
}

// buffer reads the answer's body up to a bound.
func buffer(answer *turmericwall.Answer) ([]byte, bool, error) {
	if encoded(answer) {
		_ = answer.Body.Close()
		return nil, false, &turmericwall.SendError{Sent: true, Err: errEncoded}
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered))
	if err != nil {
		_ = answer.Body.Close()
		return nil, false, &turmericwall.SendError{Sent: true, Err: err}
	}
	if len(body) < maxBuffered {
		_ = answer.Body.Close()
		return body, true, nil
	}
	return body, false, nil
}

// pass gives the caller an upstream's answer, unchanged.
func (r *Relay) pass(a *attempt, got reply) error {
	if !got.whole {
		defer func() { _ = got.answer.Body.Close() }()
	}
	if p := unsaid(got.answer); p != nil {
		return p
	}
	copyHead(a.w, got.answer)
	if got.whole && got.answer.Length < 0 {
		setLength(a.w, len(got.buffered))
	}
	a.begun = true
	a.w.WriteHeader(got.answer.Status)
	if _, err := a.w.Write(got.buffered); err != nil {
		return err
	}
	if got.whole {
		return nil
	}
	_, err := io.Copy(a.w, got.answer.Body)
	return err
}

// settled turns a failed send into the caller's answer.
func settled(err error) error {
	var sent *turmericwall.SendError
	if errors.As(err, &sent) && sent.Safe() {
		return notRun(err)
	}
	return turmericwall.NewProblem(turmericwall.KindUpstreamFailed, "the upstream gave no answer",
		"call again").WithOutcome(turmericwall.OutcomeUnknown).WithCause(err)
}

// notRun refuses a call that no upstream ran.
func notRun(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindOverloaded, "no upstream took the call",
		"come back at the time given").WithRetryAt(time.Now().Add(busyRetry)).WithCause(cause)
}
