package twcapacity

import (
	"math"
	"time"
)

const (
	// minCallShare is the share of the link that calls get at least beside other traffic.
	minCallShare = 0.1
	// maxUse is the share of the rate from which on nothing is accepted. Below it, by up to useMargin, calls are accepted the more
	// slowly the less is left: those that have just begun are going to need more.
	maxUse, useMargin = 0.95, 0.1
	// idleBurst is how many times maxExpectedDelay may be expected in addition while the link is hardly used.
	idleBurst = 1
	// useSpan is the span over which the use of the link is averaged.
	useSpan = 250 * time.Millisecond
)

// link is one direction of the network link.
type link struct {
	// rate is in bytes per second, 0 if it is unknown.
	rate float64
	// use is the rate at which all traffic uses the link.
	use float64
	// queued is what was handed to the system and not carried yet, and expected what accepted calls are going to need.
	queued, expected float64
	// callBytes are the bytes of calls, weighted by how recent they are, and otherRate is the rate of all other traffic.
	callBytes, otherRate float64
	// calls and others are the totals that were recorded last.
	calls, others int64
}

// record adds what was sent in the seconds since the last record, of which the share kept still counts towards averages.
func (l *link) record(seconds, kept float64, calls, others int64) {
	ofCalls, ofOthers := float64(calls-l.calls), float64(others-l.others)
	l.calls, l.others = calls, others
	l.callBytes = l.callBytes*kept + ofCalls
	if seconds > 0 {
		l.use += ((ofCalls+ofOthers)/seconds - l.use) * (1 - math.Exp(-seconds/useSpan.Seconds()))
		l.otherRate += (ofOthers/seconds - l.otherRate) * (1 - kept)
	}
	l.queued = max(l.queued+ofCalls+ofOthers-l.rate*seconds, 0)
	forCalls := max(l.rate-l.otherRate, l.rate*minCallShare)
	l.expected = max(l.expected-forCalls*l.unused()*seconds, 0)
}

// unused returns how much of useMargin is left, from 0 to 1.
func (l *link) unused() float64 {
	if l.rate <= 0 {
		return 1
	}
	return min(max((maxUse-l.use/l.rate)/useMargin, 0), 1)
}

// hasRoom reports whether the link carries a further call within so many times the delays.
func (l *link) hasRoom(overshoot float64) bool {
	// Several calls that come at once don't fill a link that is hardly used.
	burst := overshoot * (1 + idleBurst*l.unused())
	return l.delay(l.expected).Seconds() <= burst*maxExpectedDelay.Seconds() &&
		l.delay(l.queued).Seconds() <= overshoot*maxQueuedDelay.Seconds()
}

// delay returns how long the link takes to carry the bytes.
func (l *link) delay(bytes float64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(bytes / l.rate * float64(time.Second))
}
