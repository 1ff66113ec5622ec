package twscheduler

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the exponential average of urgent demand.
const demandTimeConstant = 5 * time.Second

// demand estimates how many decode slots urgent work needs at a time: the slot time of recent arrivals per second,
// as an exponential average.
type demand struct {
	slotSeconds float64
	updatedAt   time.Time
	startedAt   time.Time
}

func (d *demand) add(now time.Time, slotTime time.Duration) {
	d.decay(now)
	d.slotSeconds += slotTime.Seconds()
}

// slots returns the number of decode slots needed. Until the time constant has passed, the average covers only the
// time since the first arrival.
func (d *demand) slots(now time.Time) float64 {
	if d.startedAt.IsZero() {
		return 0
	}
	d.decay(now)
	coverage := 1 - math.Exp(-max(minObservedSeconds, now.Sub(d.startedAt).Seconds())/demandTimeConstant.Seconds())
	return d.slotSeconds / (demandTimeConstant.Seconds() * coverage)
}

// minObservedSeconds keeps the first arrivals from giving an excessive estimate.
const minObservedSeconds = 0.5

func (d *demand) decay(now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt, d.updatedAt = now, now
		return
	}
	d.slotSeconds *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandTimeConstant.Seconds())
	d.updatedAt = now
}
