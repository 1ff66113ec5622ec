// Package twevidence judges from the ends of upstreams which input causes them. It is a pure state machine without clock,
// socket or goroutine: daemons that know the same ends judge alike, in whatever order they learnt of them.
package twevidence

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// MaxEndsPerRequest is how many upstreams may end under one request, over all tries of its caller.
	MaxEndsPerRequest = 3
	// minEnds is the number of ends from which a part of prompts is their cause, if no engine wrote on it since, and
	// minEndsIfSound that for a part on which an engine lately did: such a part is in most ends that have another cause.
	minEnds        = 3
	minEndsIfSound = 5
	// SoundSpan is how long before an end a name's running well speaks for it.
	SoundSpan = 10 * time.Second
	// retention is how long an end is kept after it, and after the last call that was refused for it. settledRetention is
	// that of an end under which nothing can be blamed any more: other daemons may still report it.
	retention        = 10 * time.Minute
	settledRetention = 30 * time.Second
	// announcedExtension is by how much the retention of an end grows before other daemons are told.
	announcedExtension = retention / 2
	// openRetry is how long a request is refused while open ends are among those that count: they are about to be settled.
	openRetry = time.Second
	// maxEnds and maxNames bound the memory: the ends, and the names of each kind in one of them.
	maxEnds  = 64
	maxNames = 32
)

// Ledger holds the ends of upstreams, oldest first. It is not safe for concurrent use.
type Ledger struct {
	ends []*end
	// listed has what may be the cause of an end.
	listed map[name]bool
	// version is the number of changes that other daemons need to know.
	version int64
}

// New returns a ledger without ends.
func New() *Ledger { return &Ledger{listed: make(map[name]bool)} }

// Version returns the number of changes so far that other daemons need to know.
func (l *Ledger) Version() int64 { return l.version }

// IsEmpty reports whether no end is known.
func (l *Ledger) IsEmpty() bool { return len(l.ends) == 0 }

// RecordEnd records that at now an upstream was found to have ended, or may have, while it ran the input, which was sent at the
// time. A run that was sent after a proved end of the incarnation shows that it had started again; one that was sent after another
// run of the same input had broken off there may be a further end.
func (l *Ledger) RecordEnd(
	now time.Time, upstream turmericwall.UpstreamKey, sentAt time.Time, input turmericwall.Input, result turmericwall.EndResult,
) {
	if result == turmericwall.EndRefuted {
		return
	}
	id := EndID{Service: input.Service, Upstream: upstream}
	for known := l.find(id); known != nil && sentAt.After(known.at); known = l.find(id) {
		if !known.isProved() && !known.hasAny(input) {
			break
		}
		id.Number++
	}
	e := l.findOrAdd(id, now)
	for _, n := range namesOf(input) {
		l.mark(now, e, n, markOf(input, result))
	}
}

// markOf returns the mark of an input in an end that is known as far as the result.
func markOf(input turmericwall.Input, result turmericwall.EndResult) turmericwall.EndMark {
	switch {
	case result == turmericwall.EndUnknown:
		return turmericwall.MarkOpen
	case input.Alone:
		return turmericwall.MarkAlone
	}
	return turmericwall.MarkBlamed
}

// OpenEnd is an end of which it isn't known yet whether the incarnation has ended.
type OpenEnd struct {
	EndID
	// OpenedAt is when this daemon last learnt of a run that had broken off: a query that began after it settles the end.
	OpenedAt time.Time
	// FirstAt is when it learnt of the first one.
	FirstAt time.Time
}

// OpenEnds returns the open ends, oldest first.
func (l *Ledger) OpenEnds() []OpenEnd {
	var list []OpenEnd
	for _, e := range l.ends {
		if e.isOpen() {
			list = append(list, OpenEnd{EndID: e.EndID, OpenedAt: e.openedAt, FirstAt: e.at})
		}
	}
	return list
}

// Settle settles the open names of an end, unless another run was recorded there after the query had begun.
func (l *Ledger) Settle(now time.Time, id EndID, queriedAt time.Time, result turmericwall.EndResult) {
	e := l.find(id)
	if e == nil || (result == turmericwall.EndRefuted && !queriedAt.After(e.openedAt)) {
		return
	}
	for n, mark := range maps.Clone(e.names) {
		if settled, ok := settledMark(mark, result); ok {
			l.mark(now, e, n, settled)
		}
	}
}

// settledMark returns the mark of an open name once the result is known; ok is false if nothing changes.
func settledMark(mark turmericwall.EndMark, result turmericwall.EndResult) (settled turmericwall.EndMark, ok bool) {
	switch {
	case mark > turmericwall.MarkOpenSound, result == turmericwall.EndUnknown:
		return mark, false
	case result == turmericwall.EndRefuted:
		return turmericwall.MarkRefuted, true
	case mark == turmericwall.MarkOpenSound:
		return turmericwall.MarkSound, true
	}
	return turmericwall.MarkBlamed, true
}

// RecordAnswer records that at the time an upstream had completed the answer to the input, which speaks for its request.
func (l *Ledger) RecordAnswer(at time.Time, input turmericwall.Input) {
	for _, n := range requestNames(input) {
		l.recordWell(at, n)
	}
}

// RecordProgress records that at the time an engine had written on a part of a service's prompts for a while.
func (l *Ledger) RecordProgress(at time.Time, service, part string) {
	l.recordWell(at, name{service: service, kind: KindPart, text: part})
}

// recordWell records that a name had run well at the time. This clears it of earlier ends, and speaks for it in those that
// follow soon.
func (l *Ledger) recordWell(at time.Time, n name) {
	for _, e := range l.ends {
		mark, ran := e.names[n]
		switch {
		case !ran:
		case !at.Before(e.at):
			l.mark(at, e, n, turmericwall.MarkCleared)
		case e.at.Sub(at) > SoundSpan:
		case mark == turmericwall.MarkOpen:
			l.mark(at, e, n, turmericwall.MarkOpenSound)
		case mark == turmericwall.MarkBlamed:
			l.mark(at, e, n, turmericwall.MarkSound)
		}
	}
}

// Names calls visit for each request, stream and part that may be the cause of an end.
func (l *Ledger) Names(visit func(service, kind, text string)) {
	for n := range maps.Clone(l.listed) {
		visit(n.service, n.kind, n.text)
	}
}

// Listed returns those of the input's parts on which the verdict may depend.
func (l *Ledger) Listed(input turmericwall.Input) []string {
	var parts []string
	for _, part := range input.Parts {
		if l.listed[name{service: input.Service, kind: KindPart, text: part}] {
			parts = append(parts, part)
		}
	}
	return parts
}

// endsUnder returns the ends under a name since it was last cleared.
func (l *Ledger) endsUnder(n name) []*end {
	var ends []*end
	for _, e := range l.ends {
		if e.blames(n) {
			ends = append(ends, e)
		}
	}
	return ends
}

// Lift clears a request or a part of a service of all ends, as an operator asks. It reports whether there were any.
func (l *Ledger) Lift(service, kind, text string) bool {
	n := name{service: service, kind: kind, text: text}
	ends := l.endsUnder(n)
	for _, e := range ends {
		l.mark(e.at, e, n, turmericwall.MarkCleared)
	}
	return len(ends) > 0
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
	l.ends = slices.DeleteFunc(l.ends, func(e *end) bool {
		return now.After(e.keptUntil) || (now.Sub(e.at) > settledRetention && !e.counts())
	})
	if len(l.ends) == before {
		return false
	}
	l.index()
	return true
}

// mark marks a name in an end, unless it is marked with as much already.
func (l *Ledger) mark(now time.Time, e *end, n name, as turmericwall.EndMark) {
	before, known := e.names[n]
	if known && before >= as {
		if as < turmericwall.MarkRefuted && before < turmericwall.MarkRefuted {
			e.openedAt = now
		}
		return
	}
	if !known && !e.makeRoom(n.kind) {
		return
	}
	e.names[n] = as
	if as < turmericwall.MarkRefuted {
		e.openedAt = now
	}
	l.version++
	if e.blames(n) {
		l.listed[n] = true
		return
	}
	if known {
		l.index()
	}
}

// index collects what may be the cause of an end.
func (l *Ledger) index() {
	clear(l.listed)
	for _, e := range l.ends {
		for n := range e.names {
			if e.blames(n) {
				l.listed[n] = true
			}
		}
	}
}

// find returns an end; nil if it isn't known.
func (l *Ledger) find(id EndID) *end {
	for _, e := range l.ends {
		if e.EndID == id {
			return e
		}
	}
	return nil
}

// findOrAdd returns an end, which is added with the time if it isn't known.
func (l *Ledger) findOrAdd(id EndID, at time.Time) *end {
	if e := l.find(id); e != nil {
		return e
	}
	e := newEnd(id, at)
	l.ends = append(l.ends, e)
	slices.SortStableFunc(l.ends, func(x, y *end) int { return x.at.Compare(y.at) })
	l.evict()
	return e
}

// evict discards an end, if there are too many: one that counts nothing, else the oldest of those that are only open, else
// of those that quarantine nothing.
func (l *Ledger) evict() {
	if len(l.ends) <= maxEnds {
		return
	}
	at := 0
	for _, isDispensable := range []func(e *end) bool{
		func(e *end) bool { return !e.counts() && len(e.names) > 0 },
		func(e *end) bool { return e.isOpen() && !e.isProved() },
		func(e *end) bool { return !l.quarantines(e) },
	} {
		if found := slices.IndexFunc(l.ends, isDispensable); found >= 0 {
			at = found
			break
		}
	}
	l.ends = slices.Delete(l.ends, at, at+1)
	l.index()
}

// quarantines reports whether a name of the end is quarantined.
func (l *Ledger) quarantines(e *end) bool {
	for n := range e.names {
		if e.blames(n) && verdictOn(n, l.count(n)) == turmericwall.VerdictQuarantined {
			return true
		}
	}
	return false
}
