package twcapacity

import "time"

const (
	// fullSpan is how long a daemon refuses connections before it sheds them, and fullGap how long it may have room in between.
	fullSpan = time.Second
	fullGap  = 300 * time.Millisecond
	// shedSpan is how long it sheds: the balancer takes it out after two checks, a second apart, and then needs to choose another
	// one. minServingSpan is how long it doesn't shed after that. Together they keep a daemon in rotation for eight ninths of the time,
	// however full all daemons are.
	shedSpan       = 3 * time.Second
	minServingSpan = 24 * time.Second
)

// rotation decides when a daemon that is full leaves the balancer's rotation for a moment, so that another one gets the new connections.
type rotation struct {
	// fullSince and fullAt are when the daemon became full, and when it last was; zero if it isn't.
	fullSince, fullAt time.Time
	outUntil          time.Time
}

// record records whether the daemon has room at a time.
func (r *rotation) record(now time.Time, hasRoom bool) {
	switch {
	case !hasRoom:
		if r.fullSince.IsZero() {
			r.fullSince = now
		}
		r.fullAt = now
	case now.Sub(r.fullAt) > fullGap:
		r.fullSince = time.Time{}
	}
	if r.fullSince.IsZero() || now.Sub(r.fullSince) < fullSpan {
		return
	}
	if r.outUntil.IsZero() || now.Sub(r.outUntil) >= minServingSpan {
		r.outUntil = now.Add(shedSpan)
	}
}
