package twscheduler

import (
	"math"
	"time"
)

// demandMemory is the time over which the demand of urgent work is averaged.
const demandMemory = 5 * time.Second

// demand estimates how many decode places urgent work needs at a time: the slot time that arrived lately,
// per second, with older arrivals fading.
type demand struct {
	slotSeconds float64
	updated     time.Time
	started     time.Time
}

func (d *demand) arrive(now time.Time, hold time.Duration) {
	d.fade(now)
	d.slotSeconds += hold.Seconds()
}

// slots returns the places needed; in the first seconds the average counts only the time there was.
func (d *demand) slots(now time.Time) float64 {
	if d.started.IsZero() {
		return 0
	}
	d.fade(now)
	seen := 1 - math.Exp(-max(minSeen, now.Sub(d.started).Seconds())/demandMemory.Seconds())
	return d.slotSeconds / (demandMemory.Seconds() * seen)
}

const minSeen = 0.5

func (d *demand) fade(now time.Time) {
	if d.started.IsZero() {
		d.started, d.updated = now, now
		return
	}
	d.slotSeconds *= math.Exp(-now.Sub(d.updated).Seconds() / demandMemory.Seconds())
	d.updated = now
}
