package twthrottle

import (
	"math"
	"time"
)

// slotSpan is how long a slot may be used.
const slotSpan = 500 * time.Millisecond

// slots deal an upstream's rate out to daemons that can't ask anybody.
//
// Since the last heartbeat one slot after the other belongs to the daemons in the order of their ranks. A slot that isn't
// used in time is lost: if daemons could save theirs, hundreds of them would spend them at once.
type slots struct {
	// base is the heartbeat that the slots are counted from, and used the last slot of this daemon that was taken.
	base time.Time
	used int64
}

// take takes a slot of the daemon with the rank, of so many daemons; base is when the last heartbeat came. When there is
// none, next is when the daemon's next slot begins.
func (s *slots) take(now, base time.Time, rate float64, rank, daemons int) (ok bool, next time.Time) {
	if !s.base.Equal(base) {
		s.base, s.used = base, -1
	}
	turn := float64(daemons) / rate
	offset := float64(rank+1) / rate
	newest := int64(math.Floor((now.Sub(base).Seconds() - offset) / turn))
	oldest := int64(math.Ceil((now.Sub(base).Seconds() - slotSpan.Seconds() - offset) / turn))
	slot := max(s.used+1, oldest, 0)
	if slot <= newest {
		s.used = slot
		return true, now
	}
	return false, base.Add(seconds(offset + turn*float64(max(newest+1, 0))))
}
