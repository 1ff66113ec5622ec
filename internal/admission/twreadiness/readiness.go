// Package twreadiness decides what happens to a call that arrives while its daemon, which has just started, doesn't know yet what
// it must know: whether the call waits, until when, or is refused. It is for the seconds after all daemons were killed, when all
// callers come back at once and each has one retry. It has no clock, does no I/O and starts no goroutine.
package twreadiness

import "time"

// Item is something that a daemon must know before it serves calls.
type Item int

// The items, in the order in which a daemon learns them.
const (
	// ItemRoutes is the operator's plan: routes, services and client accounts.
	ItemRoutes Item = iota
	// ItemUpstreams is the list of upstreams.
	ItemUpstreams
	// ItemEvidence is the evidence on upstreams that ended, from the store or from a peer that has it.
	ItemEvidence
	// ItemLeader is a live leader, which knows the runs under way, or the end of the wait for one.
	ItemLeader
	// Items is the number of items.
	Items
)

// String returns the item's name in logs and metrics.
func (i Item) String() string {
	return [...]string{"routes", "upstreams", "evidence", "leader", "nothing"}[min(i, Items)]
}

const (
	// plainNeedShare is the part of its target that a plain call needs for itself.
	plainNeedShare = 0.125
	// modelNeedShare is that of a model call: placement, prefill, transfer and the first step.
	modelNeedShare = 0.25
	// While the routes, and with them a call's target, are unknown, the call waits for unknownTargetBase and unknownTargetShare of its
	// caller's time, but maxUnknownShare of that at most: targets are a fifth of short deadlines and about a twentieth of long ones.
	unknownTargetBase  = 80 * time.Millisecond
	unknownTargetShare = 1.0 / 28
	maxUnknownShare    = 1.0 / 6
	// retrySpan is the retry time when it is unknown when what is missing comes: two reads of the store.
	retrySpan = 500 * time.Millisecond
)

// Why a call is refused.
const (
	// CauseLate means that the call has no time left to wait.
	CauseLate = "late"
	// CauseStalled means that what is missing can't come in time.
	CauseStalled = "stalled"
	// CauseFull means that too many calls wait already.
	CauseFull = "full"
	// CauseStopping means that the daemon stops.
	CauseStopping = "stopping"
)

// Config holds the settings of a Readiness.
type Config struct {
	// StartedAt is when the daemon started.
	StartedAt time.Time
	// MaxWaiting is the largest number of calls that wait at the same time.
	MaxWaiting int
}

// Call is what the decision needs of a call.
type Call struct {
	// ReceivedAt is when the call was read, and Deadline when its caller stops waiting, or its route ends it.
	ReceivedAt, Deadline time.Time
	// TargetAt is when the answer, or its first event, is due; zero while it is unknown.
	TargetAt time.Time
	// Model is set for calls for model engines.
	Model bool
}

// Decision is what happens to a call now.
type Decision struct {
	// Served is set if the daemon knows all that it must know.
	Served bool
	// Missing is the first item that is missing.
	Missing Item
	// WaitUntil is until when the call waits at most; zero if it doesn't wait.
	WaitUntil time.Time
	// Cause is why the call is refused; empty if it isn't. RetryAt is when its caller should come back then.
	Cause   string
	RetryAt time.Time
}

// Readiness is what one daemon knows after its start. It is not safe for concurrent use.
type Readiness struct {
	config Config
	// knownAt is when each item became known; zero before.
	knownAt [Items]time.Time
	// notBefore is when each item can become known at the earliest; zero if it can at any time.
	notBefore [Items]time.Time
	waiting   int
	stopping  bool
}

// New returns the readiness of a daemon that knows nothing yet.
func New(config Config) *Readiness { return &Readiness{config: config} }

// RecordKnown records that an item is known. It reports whether that is new. What was known once counts as known from then on: what
// gets lost later has its own rules.
func (r *Readiness) RecordKnown(now time.Time, item Item) bool {
	if !r.knownAt[item].IsZero() {
		return false
	}
	r.knownAt[item] = now
	return true
}

// RecordStalled records that an item can't become known before the time, because its sources fail; the zero time means that it can
// come at any time again. It reports whether calls that wait have to be reconsidered: its sources fail since now.
func (r *Readiness) RecordStalled(item Item, until time.Time) (fails bool) {
	fails = r.notBefore[item].IsZero() && !until.IsZero() && r.knownAt[item].IsZero()
	r.notBefore[item] = until
	return fails
}

// Stop records that the daemon stops: no call waits any more.
func (r *Readiness) Stop() { r.stopping = true }

// Missing returns the first item that is missing, or Items if all are known.
func (r *Readiness) Missing() Item {
	for item, at := range r.knownAt {
		if at.IsZero() {
			return Item(item)
		}
	}
	return Items
}

// KnownAfter returns how long after the daemon's start the item became known; it reports false if it isn't known yet.
func (r *Readiness) KnownAfter(item Item) (time.Duration, bool) {
	if r.knownAt[item].IsZero() {
		return 0, false
	}
	return r.knownAt[item].Sub(r.config.StartedAt), true
}

// Waiting returns the number of calls that wait.
func (r *Readiness) Waiting() int { return r.waiting }

// Arrive decides on a call that has arrived. A call that waits takes a place, until Leave is called.
func (r *Readiness) Arrive(now time.Time, call Call) Decision {
	d := r.Reconsider(now, call)
	if d.WaitUntil.IsZero() {
		return d
	}
	if r.waiting >= r.config.MaxWaiting {
		return Decision{Missing: d.Missing, Cause: CauseFull, RetryAt: r.retryAt(now)}
	}
	r.waiting++
	return d
}

// Leave records that a call waits no more: it is served or refused, or its caller has left.
func (r *Readiness) Leave() { r.waiting-- }

// Reconsider decides on a call that waits already, after something has changed or its time has passed.
func (r *Readiness) Reconsider(now time.Time, call Call) Decision {
	d := Decision{Missing: r.Missing()}
	if d.Missing == Items {
		d.Served = true
		return d
	}
	until := call.waitUntil()
	switch {
	case r.stopping:
		d.Cause = CauseStopping
	case !now.Before(until):
		d.Cause = CauseLate
	case !r.earliest().Before(until):
		d.Cause = CauseStalled
	default:
		d.WaitUntil = until
		return d
	}
	d.RetryAt = r.retryAt(now)
	return d
}

// earliest returns when all that is missing can be known at the earliest.
func (r *Readiness) earliest() time.Time {
	var at time.Time
	for item := range Items {
		if r.knownAt[item].IsZero() && r.notBefore[item].After(at) {
			at = r.notBefore[item]
		}
	}
	return at
}

// retryAt returns when a refused call should come back.
func (r *Readiness) retryAt(now time.Time) time.Time {
	at := now.Add(retrySpan)
	if earliest := r.earliest(); earliest.After(at) {
		return earliest
	}
	return at
}

// waitUntil returns until when the call can wait and still be answered in time.
func (c Call) waitUntil() time.Time {
	var until time.Time
	if c.TargetAt.IsZero() {
		span := float64(c.Deadline.Sub(c.ReceivedAt))
		until = c.ReceivedAt.Add(time.Duration(min(float64(unknownTargetBase)+unknownTargetShare*span, maxUnknownShare*span)))
	} else {
		need := plainNeedShare
		if c.Model {
			need = modelNeedShare
		}
		until = c.ReceivedAt.Add(time.Duration((1 - need) * float64(c.TargetAt.Sub(c.ReceivedAt))))
	}
	if c.Deadline.Before(until) {
		return c.Deadline
	}
	return until
}
