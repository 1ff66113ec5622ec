// Package twproofreads decides when a daemon reads the plan in the store itself because it is about to decide calls by a plan that isn't
// proved to be current. The matcher requests such a read, and the watch of the plan makes it.
//
// A daemon that hears nothing newer can't tell an outage of the store, in which the plan stays in force, from a leader that is behind: only an
// answer of the store can. It has no clock and does no I/O. All daemons may lack a proof at the same moment, so that first reads are spread,
// and those of a failing store share one rate.
package twproofreads

import (
	"sync"
	"time"
)

const (
	// readSpreadPerDaemon is the span for each daemon over which first reads are spread, maxReadSpread its bound: the calls of the last
	// daemon wait for it.
	readSpreadPerDaemon = 500 * time.Microsecond
	maxReadSpread       = 200 * time.Millisecond
	// minReadInterval is the shortest time between two reads, and retryIntervalPerDaemon the mean one for each daemon after a first failure,
	// which may be that of one connection.
	minReadInterval        = 500 * time.Millisecond
	retryIntervalPerDaemon = 2 * time.Millisecond
	// fleetRetryInterval is the mean time between two reads of all daemons together after further failures.
	fleetRetryInterval = 100 * time.Millisecond
	// answerTimeout is how long calls wait for a read that is under way.
	answerTimeout = 400 * time.Millisecond
	// assumedDaemons is used as the number of daemons while it is unknown.
	assumedDaemons = 30
)

// Config holds what spreads the reads.
type Config struct {
	// Random returns a number in [0, 1).
	Random func() float64
}

// Reads makes the decisions of one daemon. It is safe for concurrent use.
type Reads struct {
	config Config
	mu     sync.Mutex
	// requestedFrom is when the requested read may begin; zero while none is requested.
	requestedFrom time.Time
	// overdueAt is when the read that is under way takes longer than calls wait for it; zero without one.
	overdueAt time.Time
	// notBefore is when the next read may begin at the earliest.
	notBefore time.Time
	// failures counts the reads that failed in a row, the last one at failedAt.
	failures int
	failedAt time.Time
}

// New returns the decisions of a daemon that has read nothing.
func New(config Config) *Reads { return &Reads{config: config} }

// Request requests one read for all calls that lack a proof now. The number of daemons is 0 while it is unknown.
func (r *Reads) Request(now time.Time, daemons int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.requestedFrom.IsZero() {
		return
	}
	spread := min(time.Duration(count(daemons))*readSpreadPerDaemon, maxReadSpread)
	r.requestedFrom = now.Add(time.Duration(r.config.Random() * float64(spread)))
	if r.requestedFrom.Before(r.notBefore) {
		r.requestedFrom = r.notBefore
	}
}

// ShouldRead reports whether the requested read begins now.
func (r *Reads) ShouldRead(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requestedFrom.IsZero() || now.Before(r.requestedFrom) {
		return false
	}
	r.overdueAt = now.Add(answerTimeout)
	return true
}

// RecordRead records the end of a read of the plan, whether it was requested here or not.
func (r *Reads) RecordRead(now time.Time, daemons int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestedFrom, r.overdueAt = time.Time{}, time.Time{}
	if err == nil {
		r.failures = 0
		r.notBefore = now.Add(minReadInterval)
		return
	}
	r.failures++
	r.failedAt = now
	r.notBefore = now.Add(r.drawRetryInterval(count(daemons)))
}

// RecordProof records up to when the plan is proved to be current. A proof from after a failed read shows that the store answers again.
func (r *Reads) RecordProof(provedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures == 0 || !provedAt.After(r.failedAt) {
		return
	}
	r.failures = 0
	r.requestedFrom = time.Time{}
	r.notBefore = r.failedAt.Add(minReadInterval)
}

// MayProve reports whether a read may soon prove the plan: the last one didn't fail, unless a later proof has come from elsewhere, and the one
// that is under way isn't overdue.
func (r *Reads) MayProve(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures == 0 && (r.overdueAt.IsZero() || now.Before(r.overdueAt))
}

// drawRetryInterval draws the time to the next read after a failure; the lock is held.
func (r *Reads) drawRetryInterval(daemons int) time.Duration {
	perDaemon := retryIntervalPerDaemon
	if r.failures > 1 {
		perDaemon = fleetRetryInterval
	}
	mean := max(time.Duration(daemons)*perDaemon, minReadInterval)
	return max(time.Duration((0.5+r.config.Random())*float64(mean)), minReadInterval)
}

// count returns the number of daemons, or the assumed one while it is unknown.
func count(daemons int) int {
	if daemons <= 0 {
		return assumedDaemons
	}
	return daemons
}
