package twthrottle

import "time"

const (
	// burstCalls and burstSeconds, in seconds of its rate, are what a full bucket holds.
	burstCalls   = 3
	burstSeconds = 0.5
	// firstCalls is what a bucket holds at first: whoever counted before may have granted all that it had.
	firstCalls = 1
	// maxReturn bounds the time to come back.
	maxReturn = 5 * time.Second
)

// bucket is a token bucket. It keeps the steady clock: while a VM is suspended nothing flows in.
type bucket struct {
	level float64
	at    time.Time
	// returnAt is when the last caller that was refused may come back.
	returnAt time.Time
}

// refill lets in what has flowed at the rate, in calls a second.
func (b *bucket) refill(now time.Time, rate float64) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level += passed * rate
		b.at = now
	}
	b.level = min(b.level, burstCalls+burstSeconds*rate)
}

// take grants up to count calls.
func (b *bucket) take(count int) int {
	granted := max(min(count, int(b.level)), 0)
	b.level -= float64(granted)
	return granted
}

// nextAt is when the bucket holds a call.
func (b *bucket) nextAt(now time.Time, rate float64) time.Time {
	return now.Add(seconds(max(1-b.level, 0) / rate))
}

// invite chooses when a refused caller may come back: one after the other, as fast as calls flow in.
func (b *bucket) invite(now time.Time, rate float64) time.Time {
	at := b.nextAt(now, rate)
	if b.returnAt.After(now) {
		at = b.returnAt.Add(seconds(1 / rate))
	}
	b.returnAt = earlier(at, now.Add(maxReturn))
	return b.returnAt
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
