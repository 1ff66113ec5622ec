// Package twloads merges what daemons observe of plain services under load: more calls than the upstreams carry, or an
// upstream that is slow or silent. The leader collects the observations from the replies to its heartbeats and sends their
// sum to all daemons; each of hundreds of daemons alone has too few calls to know an upstream.
package twloads

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// reportRetention is how long a daemon's report counts: eight heartbeat intervals.
	reportRetention = 2 * time.Second
	// pressedRetention is how long a service is sent after the last daemon reported problems: three heartbeat intervals.
	pressedRetention = 750 * time.Millisecond
	// gatherSpan is how long the sum of a service is partial: daemons that observed no problems themselves report the
	// service in their replies to the first heartbeat about it.
	gatherSpan = 150 * time.Millisecond
	// maxMillis and maxRate bound what a report may state.
	maxMillis = 1e6
	maxRate   = 1e6
)

// Board has the last report of each daemon. Its callers pass the time.
type Board struct {
	mu      sync.Mutex
	reports map[string]report
	// pressedAt is when problems of a service were last reported.
	pressedAt map[string]time.Time
	// listedAt is when the service was first sent since it was last not sent.
	listedAt map[string]time.Time
}

// report is what one daemon observed at the time.
type report struct {
	at    time.Time
	loads []turmericwall.ServiceLoad
}

// New returns a board without reports.
func New() *Board {
	return &Board{reports: make(map[string]report), pressedAt: make(map[string]time.Time), listedAt: make(map[string]time.Time)}
}

// Record records what a daemon observed just before the time. It replaces the daemon's last report.
func (b *Board) Record(now time.Time, incarnation string, loads []turmericwall.ServiceLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(loads) == 0 {
		delete(b.reports, incarnation)
		return
	}
	loads = Bound(loads)
	b.reports[incarnation] = report{at: now, loads: loads}
	for _, s := range loads {
		if s.Pressed {
			b.pressedAt[s.Service] = now
		}
	}
}

// Remove removes the report of a daemon that is no longer live.
func (b *Board) Remove(incarnation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reports, incarnation)
}

// Merge returns the sum of all daemons' observations of the services that have problems; nil if none has.
func (b *Board) Merge(now time.Time) []turmericwall.ServiceLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	for incarnation, r := range b.reports {
		if now.Sub(r.at) > reportRetention {
			delete(b.reports, incarnation)
		}
	}
	sums := make(map[string]*sum)
	for service, at := range b.pressedAt {
		if now.Sub(at) > pressedRetention {
			delete(b.pressedAt, service)
			delete(b.listedAt, service)
			continue
		}
		if _, ok := b.listedAt[service]; !ok {
			b.listedAt[service] = now
		}
		sums[service] = &sum{upstreams: make(map[turmericwall.UpstreamKey]*upstreamSum)}
	}
	if len(sums) == 0 {
		return nil
	}
	// Sums of fractions depend on their order.
	for _, incarnation := range slices.Sorted(maps.Keys(b.reports)) {
		r := b.reports[incarnation]
		for _, load := range r.loads {
			if s, ok := sums[load.Service]; ok {
				s.add(r.at, load)
			}
		}
	}
	var list []turmericwall.ServiceLoad
	for service, s := range sums {
		load := s.load(now, service)
		load.Partial = now.Sub(b.listedAt[service]) < gatherSpan
		list = append(list, load)
	}
	return Bound(list)
}

// Bound returns the loads, those with problems and then those with the most arrivals first, with at most MaxLoadEntries
// upstreams, of each service those with unanswered calls and then those with the most open calls first.
func Bound(list []turmericwall.ServiceLoad) []turmericwall.ServiceLoad {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b turmericwall.ServiceLoad) int {
		if a.Pressed != b.Pressed {
			return trueFirst(a.Pressed)
		}
		return cmp.Or(cmp.Compare(b.Arrivals, a.Arrivals), cmp.Compare(a.Service, b.Service))
	})
	left := turmericwall.MaxLoadEntries
	for i := range list {
		if left == 0 {
			return list[:i]
		}
		upstreams := slices.Clone(list[i].Upstreams)
		slices.SortFunc(upstreams, func(a, b turmericwall.UpstreamLoad) int {
			return cmp.Or(cmp.Compare(b.Unanswered, a.Unanswered), cmp.Compare(b.Open, a.Open), cmp.Compare(a.ID, b.ID))
		})
		list[i].Upstreams = upstreams[:min(len(upstreams), left)]
		left -= max(len(list[i].Upstreams), 1)
	}
	return list
}

// trueFirst orders two different booleans, of which a is the first.
func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// sum is the sum of the daemons' observations of a service.
type sum struct {
	arrivals  float64
	late      float64
	limited   bool
	reports   int
	age       time.Duration
	firstAt   time.Time
	upstreams map[turmericwall.UpstreamKey]*upstreamSum
}

type upstreamSum struct {
	turmericwall.UpstreamLoad
	// answeredAt is the last answer, unansweredFrom the first unanswered call, and unansweredAt when that was last reported.
	answeredAt, unansweredFrom, unansweredAt time.Time
}

func (s *sum) add(at time.Time, load turmericwall.ServiceLoad) {
	s.arrivals += clamp(load.Arrivals, maxRate)
	s.late += clamp(load.LateArrivals, maxRate)
	s.limited = s.limited || load.Limited
	if s.reports == 0 {
		s.firstAt = at
	}
	s.age += s.firstAt.Sub(at)
	s.reports++
	for _, l := range load.Upstreams {
		u, ok := s.upstreams[l.Key()]
		if !ok {
			u = &upstreamSum{}
			u.ID, u.StartedMillis = l.ID, l.StartedMillis
			s.upstreams[l.Key()] = u
		}
		u.add(at, l)
	}
}

func (u *upstreamSum) add(at time.Time, l turmericwall.UpstreamLoad) {
	answers := clamp(l.Answers, maxRate)
	u.Open += int(clamp(float64(l.Open), maxRate))
	// AnswerMillis is the sum over all answers until load divides it.
	u.AnswerMillis += answers * clamp(l.AnswerMillis, maxMillis)
	u.Answers += answers
	u.Refusals += clamp(l.Refusals, maxRate)
	if l.AnsweredMillis > 0 {
		if answeredAt := at.Add(-millis(l.AnsweredMillis)); answeredAt.After(u.answeredAt) {
			u.answeredAt = answeredAt
		}
	}
	if l.Unanswered <= 0 {
		return
	}
	u.Unanswered += int(clamp(float64(l.Unanswered), maxRate))
	if from := at.Add(-millis(l.UnansweredMillis)); u.unansweredFrom.IsZero() || from.Before(u.unansweredFrom) {
		u.unansweredFrom = from
	}
	if at.After(u.unansweredAt) {
		u.unansweredAt = at
	}
}

func (s *sum) load(now time.Time, service string) turmericwall.ServiceLoad {
	load := turmericwall.ServiceLoad{Service: service, Arrivals: round(s.arrivals), LateArrivals: round(s.late), Limited: s.limited}
	if s.reports > 0 {
		load.AgeMillis = (now.Sub(s.firstAt) + s.age/time.Duration(s.reports)).Milliseconds()
	}
	for _, u := range s.upstreams {
		load.Upstreams = append(load.Upstreams, u.load(now))
	}
	return load
}

func (u *upstreamSum) load(now time.Time) turmericwall.UpstreamLoad {
	load := u.UpstreamLoad
	if load.Answers > 0 {
		load.AnswerMillis = round(load.AnswerMillis / load.Answers)
	}
	load.Answers, load.Refusals = round(load.Answers), round(load.Refusals)
	if !u.answeredAt.IsZero() {
		load.AnsweredMillis = max(now.Sub(u.answeredAt).Milliseconds(), 1)
	}
	if load.Unanswered > 0 {
		from := u.unansweredFrom
		if u.answeredAt.After(from) {
			from = u.answeredAt
		}
		load.UnansweredMillis = max(u.unansweredAt.Sub(from).Milliseconds(), 0)
	}
	return load
}

// clamp returns a stated number within 0 and the limit.
func clamp(n, limit float64) float64 {
	if math.IsNaN(n) {
		return 0
	}
	return min(max(n, 0), limit)
}

func millis(n int64) time.Duration {
	return time.Duration(clamp(float64(n), maxMillis)) * time.Millisecond
}

func round(n float64) float64 { return math.Round(10*n) / 10 }
