package twscheduler

import "time"

// kvBytesPerToken is the size of the KV cache of one prompt token: 24,000 GB/s for 100,000 requests/s of about
// 2,000 tokens each.
const kvBytesPerToken = 120_000

// link is the bandwidth between two zones and the time until which transfers already placed occupy it. A nil link is
// within one zone or undeclared and costs nothing.
type link struct {
	bytesPerSecond float64
	costMillis     float64
	busyUntil      time.Time
}

type zonePair struct{ from, to string }

// transferEnd returns when a transfer of the tokens would end that starts at start, or once the link is free if that is
// later.
func (l *link) transferEnd(start time.Time, tokens int) time.Time {
	if l == nil {
		return start
	}
	seconds := float64(tokens) * kvBytesPerToken / l.bytesPerSecond
	return later(l.busyUntil, start).Add(time.Duration(seconds * float64(time.Second)))
}

func (l *link) cost() time.Duration {
	if l == nil {
		return 0
	}
	return millis(l.costMillis)
}

func (l *link) reserveUntil(end time.Time) {
	if l != nil {
		l.busyUntil = end
	}
}

// zoneLinks finds the link between two engines by the indexes of their zones, because each decision reads one link for
// each decode engine.
type zoneLinks struct {
	indexes   map[string]int
	links     [][]*link
	transfers []zoneTransfer
}

// zoneTransfer is the delay until a transfer reaches a zone, and the zone's score: the delay plus the link's cost.
type zoneTransfer struct {
	delay time.Duration
	score time.Duration
}

func newZoneLinks() *zoneLinks { return &zoneLinks{indexes: make(map[string]int)} }

// rebuild assigns an index to the zone of each engine.
func (z *zoneLinks) rebuild(engines []*engine, links map[zonePair]*link) {
	clear(z.indexes)
	var names []string
	for _, e := range engines {
		index, ok := z.indexes[e.vm.Zone]
		if !ok {
			index = len(names)
			z.indexes[e.vm.Zone] = index
			names = append(names, e.vm.Zone)
		}
		e.zoneIndex = index
	}
	z.transfers = make([]zoneTransfer, len(names))
	z.links = make([][]*link, len(names))
	for i, from := range names {
		z.links[i] = make([]*link, len(names))
		for j, to := range names {
			z.links[i][j] = links[zonePair{from, to}]
		}
	}
}

func (z *zoneLinks) between(from, to *engine) *link { return z.links[from.zoneIndex][to.zoneIndex] }

// transfersFrom computes the transfer from one engine to every zone once per decision instead of once per engine.
// The result is valid until the next call.
func (z *zoneLinks) transfersFrom(now time.Time, from *engine, start time.Time, tokens int) []zoneTransfer {
	for zone, l := range z.links[from.zoneIndex] {
		delay := l.transferEnd(start, tokens).Sub(now)
		z.transfers[zone] = zoneTransfer{delay: delay, score: delay + l.cost()}
	}
	return z.transfers
}
