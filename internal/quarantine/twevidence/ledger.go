// Package twevidence judges from the ends of engines which input causes them. It is a pure state machine without clock,
// socket or goroutine: daemons that know the same ends judge alike, in whatever order they learnt of them.
package twevidence

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// maxEndsPerRequest is how many engines may end under one request, over all tries of its caller.
	maxEndsPerRequest = 3
	// retention is how long an end is kept after it, and after the last call that was refused for it.
	retention = 10 * time.Minute
	// announcedExtension is by how much the retention of an end grows before other daemons are told.
	announcedExtension = retention / 2
	// sameEndSpan is the time within which reports on an incarnation are about the same end. Its entry may not state yet that
	// it started again, which takes longer.
	sameEndSpan = time.Second
	// maxEnds and maxNames bound the memory: the ends, and the names of each kind in one of them.
	maxEnds  = 64
	maxNames = 32
)

// The kinds of input.
const (
	KindRequest = "request"
)

// Belief is what the ends say of one input.
type Belief struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Key is the fingerprint of a request.
	Key  string `json:"key"`
	Ends int    `json:"ends"`
	// Verdict is suspect or quarantined.
	Verdict turmericwall.Verdict `json:"-"`
}

// Ledger holds the ends of engines, oldest first. It is not safe for concurrent use.
type Ledger struct {
	ends []*end
	// version is the number of changes that other daemons need to know.
	version int64
}

// end is the end of one incarnation.
type end struct {
	service string
	engine  turmericwall.UpstreamKey
	at      time.Time
	// keptUntil is when the end is discarded, announcedUntil the time for that which other daemons know.
	keptUntil, announcedUntil time.Time
	// requests has the requests that the engine ran, and whether each was answered since.
	requests map[string]bool
}

// New returns a ledger without ends.
func New() *Ledger { return &Ledger{} }

// Version returns the number of changes so far that other daemons need to know.
func (l *Ledger) Version() int64 { return l.version }

// IsEmpty reports whether no end is known.
func (l *Ledger) IsEmpty() bool { return len(l.ends) == 0 }

// RecordEnd records that an engine ended at now while it ran the input.
func (l *Ledger) RecordEnd(now time.Time, engine turmericwall.UpstreamKey, input turmericwall.Input) {
	e := l.find(input.Service, engine, now)
	if l.add(e, input.Request) {
		l.version++
	}
}

// RecordAnswer records that an engine completed the answer to the input.
func (l *Ledger) RecordAnswer(input turmericwall.Input) {
	for _, e := range l.ends {
		if cleared, ran := e.requests[input.Request]; e.service == input.Service && ran && !cleared {
			e.requests[input.Request] = true
			l.version++
		}
	}
}

// Judge returns the verdict on an input, and keeps the ends that decide it for longer.
func (l *Ledger) Judge(now time.Time, input turmericwall.Input) turmericwall.Judgement {
	ends := l.endsUnder(input)
	if len(ends) == 0 {
		return turmericwall.Judgement{}
	}
	judgement := turmericwall.Judgement{
		Verdict: verdictOf(len(ends), maxEndsPerRequest), Keys: []string{input.Request}, Ends: len(ends),
	}
	if judgement.Verdict == turmericwall.VerdictQuarantined {
		l.extend(now, ends)
		judgement.RemainingMillis = retention.Milliseconds()
	}
	return judgement
}

// Beliefs returns the input that is quarantined, and what is suspected after several ends.
func (l *Ledger) Beliefs() []Belief {
	var beliefs []Belief
	seen := make(map[turmericwall.Input]bool)
	for _, e := range l.ends {
		for request := range e.requests {
			input := turmericwall.Input{Service: e.service, Request: request}
			if ends := len(l.endsUnder(input)); ends >= minLoggedEnds && !seen[input] {
				seen[input] = true
				beliefs = append(beliefs, Belief{
					Service: e.service, Kind: KindRequest, Key: request, Ends: ends,
					Verdict: verdictOf(ends, maxEndsPerRequest),
				})
			}
		}
	}
	return beliefs
}

// minLoggedEnds is the number of ends from which a suspicion is logged: each end has many requests.
const minLoggedEnds = 2

// verdictOf returns the verdict on what is quarantined from a number of ends on.
func verdictOf(ends, most int) turmericwall.Verdict {
	if ends >= most {
		return turmericwall.VerdictQuarantined
	}
	return turmericwall.VerdictSuspect
}

// endsUnder returns the ends under a request since it was last answered.
func (l *Ledger) endsUnder(input turmericwall.Input) []*end {
	var ends []*end
	for _, e := range l.ends {
		if cleared, ran := e.requests[input.Request]; e.service == input.Service && ran && !cleared {
			ends = append(ends, e)
		}
	}
	return ends
}

// extend keeps the ends for the retention from now on.
func (l *Ledger) extend(now time.Time, ends []*end) {
	for _, e := range ends {
		e.keptUntil = now.Add(retention)
		if e.keptUntil.Sub(e.announcedUntil) >= announcedExtension {
			e.announcedUntil = e.keptUntil
			l.version++
		}
	}
}

// Expire discards the ends whose retention is over, and reports whether there were any.
func (l *Ledger) Expire(now time.Time) bool {
	before := len(l.ends)
	l.ends = slices.DeleteFunc(l.ends, func(e *end) bool { return now.After(e.keptUntil) })
	return len(l.ends) != before
}

// Export returns the ends as other daemons get them.
func (l *Ledger) Export(now time.Time) []turmericwall.EngineEnd {
	list := make([]turmericwall.EngineEnd, 0, len(l.ends))
	for _, e := range l.ends {
		list = append(list, turmericwall.EngineEnd{
			Service: e.service, Engine: e.engine, AgeMillis: now.Sub(e.at).Milliseconds(),
			RemainingMillis: e.keptUntil.Sub(now).Milliseconds(),
			Requests:        slices.Sorted(maps.Keys(e.requests)), ClearedRequests: clearedOf(e.requests),
		})
	}
	return list
}

// clearedOf returns the names that are cleared.
func clearedOf(names map[string]bool) []string {
	var list []string
	for name, cleared := range names {
		if cleared {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Merge adds the ends that another daemon knows. It reports whether any of it is new.
func (l *Ledger) Merge(now time.Time, ends []turmericwall.EngineEnd) (changed bool) {
	for _, received := range ends {
		keptUntil := now.Add(min(time.Duration(received.RemainingMillis)*time.Millisecond, retention))
		if !keptUntil.After(now) {
			continue
		}
		before := l.version
		e := l.find(received.Service, received.Engine, now.Add(-time.Duration(received.AgeMillis)*time.Millisecond))
		for _, request := range received.Requests {
			if l.add(e, request) {
				l.version++
			}
		}
		for _, request := range received.ClearedRequests {
			if cleared, ran := e.requests[request]; ran && !cleared {
				e.requests[request] = true
				l.version++
			}
		}
		if keptUntil.After(e.keptUntil) {
			e.keptUntil = keptUntil
			e.announcedUntil = keptUntil
		}
		changed = changed || l.version != before
	}
	return changed
}

// find returns the end of the incarnation at about the time, and adds it if it isn't known.
func (l *Ledger) find(service string, engine turmericwall.UpstreamKey, at time.Time) *end {
	for _, e := range l.ends {
		if e.service == service && e.engine == engine && e.at.Sub(at).Abs() < sameEndSpan {
			return e
		}
	}
	e := &end{
		service: service, engine: engine, at: at, keptUntil: at.Add(retention), announcedUntil: at.Add(retention),
		requests: make(map[string]bool),
	}
	l.ends = append(l.ends, e)
	slices.SortStableFunc(l.ends, func(x, y *end) int { return x.at.Compare(y.at) })
	l.evict()
	return e
}

// add adds a request to an end, and reports whether it is new.
func (l *Ledger) add(e *end, request string) bool {
	if _, ran := e.requests[request]; ran || request == "" || len(e.requests) >= maxNames {
		return false
	}
	e.requests[request] = false
	return true
}

// evict discards the oldest end that quarantines nothing, if there are too many.
func (l *Ledger) evict() {
	if len(l.ends) <= maxEnds {
		return
	}
	at := slices.IndexFunc(l.ends, func(e *end) bool { return !l.quarantines(e) })
	l.ends = slices.Delete(l.ends, max(at, 0), max(at, 0)+1)
}

// quarantines reports whether a request of the end is quarantined.
func (l *Ledger) quarantines(e *end) bool {
	for request := range e.requests {
		if len(l.endsUnder(turmericwall.Input{Service: e.service, Request: request})) >= maxEndsPerRequest {
			return true
		}
	}
	return false
}
