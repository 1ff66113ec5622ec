package twthrottle

import "time"

const (
	// burstCalls plus burstSeconds of the rate is the capacity of a bucket.
	burstCalls   = 3
	burstSeconds = 0.5
	// initialCalls is the level of a new bucket. The previous coordinator may have granted all that its bucket held.
	initialCalls = 1
	// maxRetryDelay bounds the retry times of refused callers.
	maxRetryDelay = 5 * time.Second
)

// bucket is a token bucket that holds calls. Its times come from the monotonic clock, so it does not refill while the
// VM is suspended.
type bucket struct {
	level      float64
	refilledAt time.Time
	// lastRetryAt is the retry time of the last refused caller.
	lastRetryAt time.Time
}

// refill adds the calls that the rate, in calls per second, has allowed since the last refill, up to the capacity.
func (b *bucket) refill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
		b.refilledAt = now
	}
	b.level = min(b.level, burstCalls+burstSeconds*rate)
}

// grant removes up to count calls from the bucket and returns their number.
func (b *bucket) grant(count int) int {
	granted := max(min(count, int(b.level)), 0)
	b.level -= float64(granted)
	return granted
}

// nextCallAt returns the time at which the bucket holds a complete call.
func (b *bucket) nextCallAt(now time.Time, rate float64) time.Time {
	return now.Add(seconds(max(1-b.level, 0) / rate))
}

// assignRetryTime returns the time at which a refused caller may retry. Retry times are spaced at the rate, so that
// refused callers do not all retry at once.
func (b *bucket) assignRetryTime(now time.Time, rate float64) time.Time {
	at := b.nextCallAt(now, rate)
	if b.lastRetryAt.After(now) {
		at = b.lastRetryAt.Add(seconds(1 / rate))
	}
	b.lastRetryAt = earlier(at, now.Add(maxRetryDelay))
	return b.lastRetryAt
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
