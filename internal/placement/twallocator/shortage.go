package twallocator

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// minShortageSpan is how long calls must have found no engine of a role before an engine changes its role. A burst
	// ends sooner than a role change, which would take an engine that the other role needs a second later.
	minShortageSpan = 2 * time.Second
	// minAcuteSpan is how long calls must have found no engine of a role before the loss of engines is made up for: some
	// calls of a busy service, and less than a target.
	minAcuteSpan = 300 * time.Millisecond
	// maxShortageGap is the longest time between two such calls of one shortage.
	maxShortageGap = time.Second
	// minSurplusSpan is how long a role must have had no shortage before one of its engines may change its role, since
	// bursts recur.
	minSurplusSpan = 15 * time.Second
	// maxSurplusFill is the share of the decode memory up to which a decode engine may change its role.
	maxSurplusFill = 0.6
)

// shortage records when calls found no engine of one role in time.
type shortage struct{ since, lastAt time.Time }

func (s *shortage) record(now time.Time) {
	if now.Sub(s.lastAt) > maxShortageGap {
		s.since = now
	}
	s.lastAt = now
}

// isLasting reports whether the shortage continues and has lasted for minShortageSpan.
func (s *shortage) isLasting(now time.Time) bool {
	return now.Sub(s.lastAt) < maxShortageGap && s.lastAt.Sub(s.since) >= minShortageSpan
}

// isAcute reports whether the shortage continues and has lasted for minAcuteSpan.
func (s *shortage) isAcute(now time.Time) bool {
	return now.Sub(s.lastAt) < maxShortageGap && s.lastAt.Sub(s.since) >= minAcuteSpan
}

// hasEnded reports whether there was no shortage for minSurplusSpan.
func (s *shortage) hasEnded(now time.Time) bool { return now.Sub(s.lastAt) > minSurplusSpan }

// EngineDemand returns the shortage and surplus of each role and the mean cost of a call.
func (a *Allocator) EngineDemand(now time.Time) turmericwall.EngineDemand {
	demand := turmericwall.EngineDemand{
		Busy: a.Busy(),
		Prefill: turmericwall.RoleDemand{
			Shortage: a.prefillShortage.isLasting(now), Acute: a.prefillShortage.isAcute(now),
			Surplus: a.prefillShortage.hasEnded(now),
		},
		Decode: turmericwall.RoleDemand{
			Shortage: a.decodeShortage.isLasting(now), Acute: a.decodeShortage.isAcute(now),
			Surplus: a.decodeShortage.hasEnded(now) && a.measureOccupancy(now).memoryFill() < maxSurplusFill,
		},
	}
	demand.Cost, demand.CostKnown = a.cost.Mean(a.bestPrefillSpeed)
	return demand
}
