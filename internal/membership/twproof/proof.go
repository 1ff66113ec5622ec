// Package twproof tracks the time up to which a daemon's copy of the plan is known to be current. The authenticator
// consults it before it admits or refuses a caller's key, and the matcher before it refuses a call without a route.
//
// It has no clock and does no I/O. Times are by the clock that also runs while a VM is suspended: by the monotonic
// clock a daemon that was suspended would treat its state as newer than it is, and admit keys that have been removed.
package twproof

import (
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

// maxAgeMillis limits the age that a peer may report to one day. A larger age could overflow and make an old proof
// look new.
const maxAgeMillis = 24 * 60 * 60 * 1000

// Config holds the limits on a proof's age.
type Config struct {
	// Incarnation identifies this daemon's process in the echoes that it accepts.
	Incarnation string
	// MaxAge is the age from which calls with keys are refused; 0 means no limit.
	MaxAge time.Duration
	// InForceWithin is the time within which a change must be in force. A plan whose proof is younger has all that must be.
	InForceWithin time.Duration
}

// Proof is one daemon's proof: all changes that were acknowledged before its time are in the daemon's plan. It is
// safe for concurrent use.
type Proof struct {
	config Config
	mu     sync.Mutex
	at     twboottime.Instant
	known  bool
	// renewed is closed at the next Confirm.
	renewed chan struct{}
}

// New returns a proof that confirms nothing.
func New(config Config) *Proof { return &Proof{config: config, renewed: make(chan struct{})} }

// Confirm records that the daemon's plan holds all changes that were acknowledged before the given time. A time
// before the recorded one is ignored.
func (p *Proof) Confirm(at twboottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known || at > p.at {
		p.at = at
		p.known = true
		close(p.renewed)
		p.renewed = make(chan struct{})
	}
}

// Renewed returns a channel that is closed as soon as the proof is newer.
func (p *Proof) Renewed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.renewed
}

// ConfirmAged records a peer's proof, which had the given age when the peer replied to a request sent at sentAt. A
// negative age means that the peer has no proof.
func (p *Proof) ConfirmAged(sentAt twboottime.Instant, ageMillis int64) {
	if ageMillis >= 0 && ageMillis <= maxAgeMillis {
		p.Confirm(sentAt.Add(-time.Duration(ageMillis) * time.Millisecond))
	}
}

// ConfirmEcho records the proof in a heartbeat whose sender had received the echoed time from this daemon before.
//
// A heartbeat can stay unread in a socket for seconds, while its receiver is suspended or a link is down. Dated by
// its arrival, the proof would look new; dated by the echoed time, it is never newer than when it was written.
func (p *Proof) ConfirmEcho(now twboottime.Instant, echo turmericwall.Echo, ageMillis int64) {
	if echo.Incarnation == p.config.Incarnation && twboottime.Instant(echo.BootTimeNanos) <= now {
		p.ConfirmAged(twboottime.Instant(echo.BootTimeNanos), ageMillis)
	}
}

// AgeMillis returns the proof's age in milliseconds, rounded up, or -1 when there is none.
func (p *Proof) AgeMillis(now twboottime.Instant) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		return -1
	}
	return int64((now.Sub(p.at) + time.Millisecond - 1) / time.Millisecond)
}

// AdmitsListedKey reports whether a key in the plan may be used: had it been removed longer than MaxAge ago, this
// daemon would know.
func (p *Proof) AdmitsListedKey(now twboottime.Instant) bool {
	if p.config.MaxAge <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && now.Sub(p.at) < p.config.MaxAge
}

// IsCurrent reports whether the plan holds all changes that must be in force by now, so that what it lacks may be refused as unknown.
func (p *Proof) IsCurrent(now twboottime.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && now.Sub(p.at) < p.config.InForceWithin
}

// Covers reports whether the plan holds all changes that were acknowledged before the given time.
func (p *Proof) Covers(at twboottime.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && p.at >= at
}
