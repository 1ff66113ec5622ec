package twthrottle

import (
	"math"
	"time"
)

// slotValidity is how long after its start a send slot may be used.
const slotValidity = 500 * time.Millisecond

// sendSlots divides an upstream's rate among daemons that reach no rate coordinator.
//
// From the last heartbeat on, send slots follow each other at the rate and are assigned to the daemons in the order of
// their ranks. A slot that is not used in time is lost: if daemons could save slots, hundreds of them would use the
// saved ones at once.
type sendSlots struct {
	// heartbeatAt is the heartbeat from which slots are counted; lastUsed is the last slot that this daemon used.
	heartbeatAt time.Time
	lastUsed    int64
}

// use takes a slot of the daemon with the given rank among daemons; heartbeatAt is when the last heartbeat was
// received. If no slot is available, ok is false and next is the start of this daemon's next slot.
func (s *sendSlots) use(now, heartbeatAt time.Time, rate float64, rank, daemons int) (ok bool, next time.Time) {
	if !s.heartbeatAt.Equal(heartbeatAt) {
		s.heartbeatAt, s.lastUsed = heartbeatAt, -1
	}
	cycleSeconds := float64(daemons) / rate
	offsetSeconds := float64(rank+1) / rate
	newest := int64(math.Floor((now.Sub(heartbeatAt).Seconds() - offsetSeconds) / cycleSeconds))
	oldest := int64(math.Ceil((now.Sub(heartbeatAt).Seconds() - slotValidity.Seconds() - offsetSeconds) / cycleSeconds))
	slot := max(s.lastUsed+1, oldest, 0)
	if slot <= newest {
		s.lastUsed = slot
		return true, now
	}
	return false, heartbeatAt.Add(seconds(offsetSeconds + cycleSeconds*float64(max(newest+1, 0))))
}
