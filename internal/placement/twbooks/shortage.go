package twbooks

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// lastingSpan is how long calls must have found no engine of a role before engines change: a burst passes sooner than
	// an engine changes, and takes from the other role what that needs a second later.
	lastingSpan = 2 * time.Second
	// pauseSpan is the longest pause between two such calls of one shortage.
	pauseSpan = time.Second
	// spareSpan is how long a role must have had no shortage before it gives an engine away: bursts come again.
	spareSpan = 15 * time.Second
	// spareFill is how much of the answering engines' memory may be taken when one of them is given away.
	spareFill = 0.6
)

// shortage is when calls found no engine of one role in time.
type shortage struct{ since, last time.Time }

func (s *shortage) seen(now time.Time) {
	if now.Sub(s.last) > pauseSpan {
		s.since = now
	}
	s.last = now
}

func (s *shortage) lasting(now time.Time) bool {
	return now.Sub(s.last) < pauseSpan && s.last.Sub(s.since) >= lastingSpan
}

func (s *shortage) over(now time.Time) bool { return now.Sub(s.last) > spareSpan }

// Need is what the calls ask of the engines.
func (b *Books) Need(now time.Time) turmericwall.EngineNeed {
	need := turmericwall.EngineNeed{
		Busy:      b.Busy(),
		Readers:   turmericwall.RoleNeed{Short: b.readersShort.lasting(now), Spare: b.readersShort.over(now)},
		Answerers: turmericwall.RoleNeed{Short: b.answerersShort.lasting(now), Spare: b.answerersShort.over(now) && b.begin(now).fill() < spareFill},
	}
	need.Cost, need.Known = b.cost.Mean(b.bestSpeed)
	return need
}
