package twrelay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twconcurrency"
	"github.com/turmericwall/turmericwall/internal/delivery/twpicker"
)

// reasonSilent is why a call is refused whose upstreams have stopped answering.
const reasonSilent twconcurrency.Reason = "silent"

// choose chooses the upstream of one more send of a call to a plain service. While the service is at its limit, that may be
// none.
func (r *Relay) choose(a *attempt, avoid map[string]bool) (turmericwall.Upstream, bool) {
	now := time.Now()
	call := a.pickerCall(avoid)
	upstreams := r.config.View.Upstreams(a.service.Name)
	if r.config.Limiter != nil {
		if u, ok := r.config.Picker.PickProbe(now, call, upstreams); ok {
			a.probing = true
			return u, true
		}
	}
	if r.config.Limiter != nil && r.config.LimitsPlainServices {
		a.limit = r.config.Limiter.Admit(now, a.limiterCall(now), upstreams, !a.arrived, func(u turmericwall.Upstream) bool {
			return r.config.Picker.IsOpenTo(now, call, u)
		})
		a.arrived = true
		if a.limit.Limited {
			r.config.Picker.RecordLimited(now, a.service.Name)
		}
	}
	switch {
	case a.limit.Admitted:
		r.config.Picker.Take(a.limit.Upstream)
		return a.limit.Upstream, true
	case a.limit.Limited:
		return turmericwall.Upstream{}, false
	}
	upstream, ok := r.config.Picker.Pick(now, call, upstreams)
	if !ok {
		a.allSilent = slices.ContainsFunc(upstreams, func(u turmericwall.Upstream) bool { return !u.Leaving && !avoid[u.ID] })
	}
	return upstream, ok
}

// releasePick takes a choice back of which nothing was sent.
func (r *Relay) releasePick(a *attempt, upstream turmericwall.Upstream) {
	r.config.Picker.ReleasePick(upstream)
	if a.limit.Admitted && a.limit.Upstream.Key() == upstream.Key() {
		now := time.Now()
		r.config.Limiter.Return(now, a.limiterCall(now))
	}
}

// isLimited reports whether the call's service is at its limit.
func (r *Relay) isLimited(a *attempt) bool {
	return r.config.Limiter != nil && r.config.Limiter.IsLimited(time.Now(), a.service.Name)
}

// pickerCall returns what the picker has to know of the call.
func (a *attempt) pickerCall(avoid map[string]bool) twpicker.Call {
	return twpicker.Call{
		TargetMillis: a.route.TargetMillis, RunsOnce: a.route.Kind != turmericwall.CallIdempotent, Avoid: avoid,
	}
}

// limiterCall returns what the limiter has to know of the call.
func (a *attempt) limiterCall(now time.Time) twconcurrency.Call {
	return twconcurrency.Call{
		Service: a.service.Name, TargetMillis: a.route.TargetMillis, TargetAt: a.targetAt(now), Deadline: a.deadline,
	}
}

// targetAt returns when the answer is expected. A caller that retries states less time than the route has: what is missing
// has passed since its first try.
func (a *attempt) targetAt(now time.Time) time.Time {
	if a.route.TargetMillis <= 0 {
		return now.Add(defaultTarget)
	}
	passed := a.call.ReceivedAt.Add(time.Duration(a.route.TimeoutMillis) * time.Millisecond).Sub(a.call.Deadline)
	return a.call.ReceivedAt.Add(a.target() - max(passed, 0))
}

// defaultTarget is the target of routes that state none.
const defaultTarget = time.Second

// limitProblem returns the refusal of a call whose service is at its limit or has only silent upstreams; nil if it isn't.
func (a *attempt) limitProblem() error {
	d := a.limit
	switch {
	case a.limitReason() == "":
		return nil
	case a.allSilent:
		return turmericwall.NewProblem(turmericwall.KindOverloaded, "the upstreams have stopped answering",
			"come back at the time given").WithRetryAt(time.Now().Add(busyRetryAfter + rand.N(busyRetryAfter)))
	}
	detail := fmt.Sprintf("the service is at its limit: %.0f calls a second arrive and %.0f can be answered in time", d.Arrivals, d.Admissions)
	if d.Reason == twconcurrency.ReasonLate {
		detail += fmt.Sprintf(", and this one, answered in %d ms, can't be", d.ExpectedMillis)
	}
	return turmericwall.NewProblem(turmericwall.KindOverloaded, detail, "come back at the time given").WithRetryAt(d.RetryAt)
}

// limitReason returns why the call could be sent to no upstream; empty if that isn't due to a limit or to silence.
func (a *attempt) limitReason() twconcurrency.Reason {
	if a.allSilent {
		return reasonSilent
	}
	return a.limit.Reason
}
