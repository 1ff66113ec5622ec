package twupstreams

import (
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twposition"
)

// departureRetention is how long a removed incarnation is remembered. A copy from which the registry continues is some
// seconds old.
const departureRetention = time.Minute

// departure is the removal of an incarnation's entry.
type departure struct {
	at time.Time
	// leaving is set if the incarnation was leaving before.
	leaving bool
}

// enterEra keeps what is known of upstreams that left if the version is of a later era than the view; the lock is held.
//
// The new era begins with a copy that may list them as they were before. A leaving incarnation never accepts calls again.
// One that was only removed may be running, since entries of suspended upstreams lapse too: it gets no calls until its
// entry would have lapsed again.
func (v *View) enterEra(version int64) {
	if !v.listed || twposition.Position(version).Era() <= twposition.Position(v.position/positionsPerVersion).Era() {
		return
	}
	for _, e := range v.entries {
		if v.isLeaving(e) {
			v.announced[e.upstream.Key()] = v.sweptAt
		}
	}
	for key, d := range v.departed {
		if d.leaving {
			v.announced[key] = v.sweptAt
			continue
		}
		v.heldOut[key] = v.sweptAt.Add(v.holdOutSpan())
	}
}

// holdOutSpan returns the time within which the registry removes the entry of an upstream that has left: three
// heartbeats, and the time to register again after an outage.
func (v *View) holdOutSpan() time.Duration {
	return time.Duration(2*v.config.LapseMillis*float64(time.Millisecond)) + reregistrationSpan
}

// hasLeft reports whether the incarnation gets no calls although the registry lists it as ready; the lock is held.
func (v *View) hasLeft(key turmericwall.UpstreamKey) bool {
	_, announced := v.announced[key]
	_, heldOut := v.heldOut[key]
	return announced || heldOut
}

// isLeaving reports whether the entry's incarnation leaves for certain, rather than being held out for a while; the lock
// is held.
func (v *View) isLeaving(e *entry) bool {
	_, heldOut := v.heldOut[e.upstream.Key()]
	return e.upstream.Leaving && !heldOut
}

// dropEntry deletes an entry and remembers its incarnation; the lock is held.
func (v *View) dropEntry(id string) {
	if e, ok := v.entries[id]; ok {
		v.departed[e.upstream.Key()] = departure{at: v.sweptAt, leaving: v.isLeaving(e)}
		v.deleteEntry(id)
	}
}

// expireDepartures forgets removals after departureRetention, and lets calls be sent to the upstreams that the registry
// still lists after they were held out; the lock is held.
func (v *View) expireDepartures(now time.Time) {
	for key, d := range v.departed {
		if now.Sub(d.at) > departureRetention {
			delete(v.departed, key)
		}
	}
	position := v.position + 1
	for key, until := range v.heldOut {
		if now.Before(until) {
			continue
		}
		delete(v.heldOut, key)
		e, ok := v.entries[key.ID]
		if !ok || e.upstream.Key() != key || e.listedLeaving {
			continue
		}
		u := e.upstream
		u.Leaving = false
		v.setEntry(u)
		// Followers must get the change, but a follower must not run ahead of its leader.
		if !v.followsPeer {
			v.recordChange(position, key.ID)
		}
	}
	v.updateLists()
}
