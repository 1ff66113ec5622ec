package twquota

import (
	"math"
	"time"
)

const (
	// reportSmoothing is the time constant with which the rate of reports is smoothed.
	reportSmoothing = time.Second
	// reportDelay is the age of the counts of other daemons when those daemons receive the resulting level: two
	// heartbeats.
	reportDelay = 500 * time.Millisecond
)

// minCapacitySeconds is the capacity of an account with little or no burst, in seconds of its rate.
const minCapacitySeconds = 0.5

// bucket is a token bucket that holds units and may go into debt. Its times come from the monotonic clock, so it does
// not refill while the VM is suspended.
type bucket struct {
	// savingsGoal are the units that are saved up beyond the capacity after a debt, for a call that is larger than it.
	savingsGoal float64
	level       float64
	refilledAt  time.Time
	// capacity is the one to which the level was last limited.
	capacity float64
	// smoothedReports is the rate in units per second that other daemons report, smoothed over reportSmoothing, as of
	// reportedAt.
	smoothedReports float64
	reportedAt      time.Time
	// lastRetryAt is the retry time of the last refused caller.
	lastRetryAt time.Time
}

// refill adds the units that the rate, in units per second, has allowed since the last refill, and returns those that the bucket had
// room for: less than none if it was too full before, as after a refund. A raised capacity raises the level at once by the difference; a
// lowered one limits it.
func (b *bucket) refill(now time.Time, rate, capacity float64) (added float64) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	switch {
	case capacity > b.capacity:
		b.level += capacity - b.capacity
	case capacity < b.capacity:
		b.level = min(b.level, max(capacity, b.savingsGoal))
	}
	b.capacity = capacity
	before := b.level
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
		b.refilledAt = now
	}
	b.level = min(b.level, max(capacity, b.savingsGoal))
	return b.level - before
}

// recordReport charges units that another daemon reported.
func (b *bucket) recordReport(now time.Time, units float64) {
	b.level -= units
	b.smoothedReports = b.reportRate(now) + units/reportSmoothing.Seconds()
	b.reportedAt = now
}

// reportRate returns the smoothed rate of reports at the given time, in units per second.
func (b *bucket) reportRate(now time.Time) float64 {
	if b.reportedAt.IsZero() {
		return 0
	}
	return b.smoothedReports * math.Exp(-now.Sub(b.reportedAt).Seconds()/reportSmoothing.Seconds())
}

// available returns the units that may still be charged: the level less the units that other daemons are expected to
// have charged and not reported yet.
func (b *bucket) available(now time.Time) float64 {
	return b.level - b.reportRate(now)*reportDelay.Seconds()
}

// assignRetryTime returns the time at which the refused caller of a call may retry. Retry times of an account are
// spaced by the time in which its rate allows the calls, so that refused callers do not all retry at once.
func (b *bucket) assignRetryTime(now time.Time, rate, units float64) time.Time {
	refillTime := func(units float64) time.Duration {
		return time.Duration(units / rate * float64(time.Second))
	}
	at := now.Add(refillTime(max(units-b.level, 0)))
	if b.lastRetryAt.After(now) {
		at = b.lastRetryAt.Add(refillTime(units))
	}
	if latest := now.Add(maxRetryDelay); at.After(latest) {
		at = latest
	}
	b.lastRetryAt = at
	return at
}
