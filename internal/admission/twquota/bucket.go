package twquota

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// leastCapacity is the capacity of an account without a burst, in seconds of its rate.
const leastCapacity = 0.5

// bucket is a token bucket that may go into debt. Its times keep the steady clock: while a VM is suspended nothing flows in.
type bucket struct {
	level float64
	at    time.Time
	// capacity is the one that the level was last cut to.
	capacity float64
	// returnAt is when the last caller that was refused may come back.
	returnAt time.Time
}

func capacityOf(q turmericwall.Quota) float64 { return max(q.Burst, leastCapacity*q.PerSecond) }

// refill lets in what has flowed at the rate, in units a second. A raised capacity is there at once.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	if b.at.IsZero() {
		b.at = now
	}
	if capacity > b.capacity {
		b.level += capacity - b.capacity
	}
	b.capacity = capacity
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level += passed * rate
		b.at = now
	}
	b.level = min(b.level, capacity)
}

// invite chooses when a refused caller may come back: callers of one account return one after the other, as fast as units
// flow in.
func (b *bucket) invite(now time.Time, rate, units float64) time.Time {
	wait := func(units float64) time.Duration {
		return time.Duration(units / rate * float64(time.Second))
	}
	from := now.Add(wait(max(units-b.level, 0)))
	if b.returnAt.After(now) {
		from = b.returnAt.Add(wait(units))
	}
	if latest := now.Add(maxReturn); from.After(latest) {
		from = latest
	}
	b.returnAt = from
	return from
}
