// Package twboottime reads a monotonic clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME).
// Leases and their proofs are checked against it.
package twboottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is an instant, in nanoseconds since the machine's start.
//
// The ordinary monotonic clock (CLOCK_MONOTONIC) stops while the machine is suspended, and the wall clock may jump. By
// either of them a lease could look valid long after another daemon has taken it over.
type Instant int64

// Now returns the current instant.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel has this clock. Without it, leases would never expire on this machine; the latest
		// instant makes all of them expired, so that none is held.
		return Instant(1<<63 - 1)
	}
	return Instant(t.Nano())
}

// Add returns the instant that is the span later.
func (i Instant) Add(span time.Duration) Instant { return i + Instant(span) }

// Sub returns the time from the other instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }
