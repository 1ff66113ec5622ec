package twscheduler

import "time"

// kvBytesPerToken is the KV cache of one prompt token: 24,000 GB/s over 100,000 requests/s of about
// 2,000 tokens each.
const kvBytesPerToken = 120_000

// link is the budget of the transfers between two zones.
type link struct {
	bytesPerSecond float64
	costMillis     float64
	busyUntil      time.Time
}

type zonePair struct{ from, to string }

// transferEnd is when a transfer that may start at the time would end.
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

func (l *link) book(end time.Time) {
	if l != nil {
		l.busyUntil = end
	}
}

// zoneLinks finds the link between two engines by the numbers of their zones: a decision looks at one for
// each decode engine in view.
type zoneLinks struct {
	numbers map[string]int
	links   [][]*link
	reached []zoneArrival
}

// zoneArrival is when a transfer would reach a zone, and what that is worth in a decision.
type zoneArrival struct {
	after time.Duration
	score time.Duration
}

func newZoneLinks() *zoneLinks { return &zoneLinks{numbers: make(map[string]int)} }

// rebuild numbers the zones of the engines.
func (z *zoneLinks) rebuild(engines []*engine, links map[zonePair]*link) {
	clear(z.numbers)
	var names []string
	for _, e := range engines {
		number, ok := z.numbers[e.vm.Zone]
		if !ok {
			number = len(names)
			z.numbers[e.vm.Zone] = number
			names = append(names, e.vm.Zone)
		}
		e.zone = number
	}
	z.reached = make([]zoneArrival, len(names))
	z.links = make([][]*link, len(names))
	for i, from := range names {
		z.links[i] = make([]*link, len(names))
		for j, to := range names {
			z.links[i][j] = links[zonePair{from, to}]
		}
	}
}

func (z *zoneLinks) between(from, to *engine) *link { return z.links[from.zone][to.zone] }

// arrivals works out once for each zone, not for each engine, when a transfer would be there.
func (z *zoneLinks) arrivals(now time.Time, from *engine, start time.Time, tokens int) []zoneArrival {
	for zone, l := range z.links[from.zone] {
		after := l.transferEnd(start, tokens).Sub(now)
		z.reached[zone] = zoneArrival{after: after, score: after + l.cost()}
	}
	return z.reached
}
