// Package twfanout plans over which daemons a heartbeat is forwarded, so that no daemon sends it to more than a bounded
// number of others. The leader plans each round of heartbeats with it.
package twfanout

import (
	"cmp"
	"slices"
	"strings"

	"github.com/turmericwall/turmericwall"
)

// Daemon is a daemon that gets the heartbeat.
type Daemon struct {
	Forward turmericwall.HeartbeatForward
	Zone    string
	// LinkMegabits is the rate of the daemon's network link in Mbit/s.
	LinkMegabits float64
	// Failed is set when the daemon failed as a relay shortly before. It is a relay only if there is no other.
	Failed bool
}

// Plan returns the daemons to which the leader sends the heartbeat itself, each with those to which it is forwarded
// from there. A daemon sends the heartbeat to at most limit others, and the leader to at most limit plus the number of
// zones.
//
// Each data centre has relays of its own, so that the heartbeat crosses to it once for each of them. Daemons with better
// links come first as relays.
func Plan(daemons []Daemon, limit int) []turmericwall.HeartbeatForward {
	zones := make(map[string][]Daemon)
	for _, d := range daemons {
		zones[d.Zone] = append(zones[d.Zone], d)
	}
	names := make([]string, 0, len(zones))
	for name := range zones {
		names = append(names, name)
	}
	slices.Sort(names)
	forwards := make([]turmericwall.HeartbeatForward, 0, min(len(daemons), limit+len(zones)))
	for _, name := range names {
		zone := zones[name]
		slices.SortFunc(zone, func(x, y Daemon) int {
			return cmp.Or(compareFailed(x, y), cmp.Compare(y.LinkMegabits, x.LinkMegabits),
				strings.Compare(x.Forward.Address, y.Forward.Address))
		})
		relays := min(max(limit*len(zone)/len(daemons), 1), len(zone))
		forwards = append(forwards, split(zone, relays, limit)...)
	}
	return forwards
}

// compareFailed orders daemons that failed as relays last.
func compareFailed(x, y Daemon) int {
	switch {
	case x.Failed == y.Failed:
		return 0
	case x.Failed:
		return 1
	}
	return -1
}

// split makes the first daemons relays of the others, and splits their shares further where these exceed the limit.
func split(daemons []Daemon, relays, limit int) []turmericwall.HeartbeatForward {
	forwards := make([]turmericwall.HeartbeatForward, 0, relays)
	rest := daemons[relays:]
	for i, d := range daemons[:relays] {
		share := rest[i*len(rest)/relays : (i+1)*len(rest)/relays]
		if len(share) > 0 {
			d.Forward.Forwards = split(share, min(len(share), limit), limit)
		}
		forwards = append(forwards, d.Forward)
	}
	return forwards
}
