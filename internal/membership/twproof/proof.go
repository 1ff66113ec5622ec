// Package twproof tracks the moment up to which a daemon's copy of the plan is known to be current.
//
// It has no clock, socket or goroutine. Times are by the clock that goes on while a VM is suspended: by the steady clock a
// daemon that was suspended would take its knowledge for newer than it is, and admit keys that are long removed.
package twproof

import (
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

// maxAgeMillis bounds the age that a peer may report, at one day. A larger one could overflow and turn an old proof into a
// new one.
const maxAgeMillis = 24 * 60 * 60 * 1000

// Config bounds how old a proof may be.
type Config struct {
	// Incarnation names this daemon's process in the echoes that it takes.
	Incarnation string
	// MaxAge is the age from which calls with keys are refused; 0 sets no bound.
	MaxAge time.Duration
	// Current is the age up to which a key that the plan doesn't hold is certainly unknown.
	Current time.Duration
}

// Proof is what one daemon knows. All changes that were acknowledged before its moment are in the daemon's plan.
type Proof struct {
	config Config
	mu     sync.Mutex
	at     twboottime.Moment
	known  bool
}

// New returns a proof of nothing.
func New(config Config) *Proof { return &Proof{config: config} }

// Confirm records that the daemon's plan holds all changes that were acknowledged before the moment. An older moment than
// the one on record is ignored.
func (p *Proof) Confirm(at twboottime.Moment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known || at > p.at {
		p.at = at
		p.known = true
	}
}

// ConfirmAged records a peer's proof, which had the age when the peer answered a request sent at askedAt. A negative age
// means that the peer has no proof.
func (p *Proof) ConfirmAged(askedAt twboottime.Moment, ageMillis int64) {
	if ageMillis >= 0 && ageMillis <= maxAgeMillis {
		p.Confirm(askedAt.Add(-time.Duration(ageMillis) * time.Millisecond))
	}
}

// ConfirmEcho records the proof in a heartbeat whose sender had received the echoed moment from this daemon before.
//
// A heartbeat can stay unread in a socket for seconds, while its receiver is suspended or a link is cut. Dated by its
// arrival, the proof would look new; dated by the echoed moment, it is never newer than it was when it was written.
func (p *Proof) ConfirmEcho(now twboottime.Moment, echo turmericwall.Echo, ageMillis int64) {
	if echo.Incarnation == p.config.Incarnation && twboottime.Moment(echo.Moment) <= now {
		p.ConfirmAged(twboottime.Moment(echo.Moment), ageMillis)
	}
}

// AgeMillis is the proof's age in whole milliseconds, rounded up, or -1 when there is none.
func (p *Proof) AgeMillis(now twboottime.Moment) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		return -1
	}
	return int64((now.Sub(p.at) + time.Millisecond - 1) / time.Millisecond)
}

// Admits tells that a key which the plan holds may be used: its removal would be known in time.
func (p *Proof) Admits(now twboottime.Moment) bool {
	if p.config.MaxAge <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && now.Sub(p.at) < p.config.MaxAge
}

// Denies tells that a key which the plan doesn't hold is in none that must be in force.
func (p *Proof) Denies(now twboottime.Moment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && now.Sub(p.at) < p.config.Current
}

// Covers tells that the plan holds all changes that were acknowledged before the moment.
func (p *Proof) Covers(moment twboottime.Moment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && p.at >= moment
}
