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
	// minEnds is the number of ends from which a part of prompts is their cause, if no engine wrote on it since, and
	// minEndsIfSound that for a part on which an engine lately did: such a part is in most ends that have another cause.
	minEnds        = 3
	minEndsIfSound = 5
	// soundSpan is how long before an end an engine's writing on a part speaks for the part.
	soundSpan = 10 * time.Second
	// retention is how long an end is kept after it, and after the last call that was refused for it.
	retention = 10 * time.Minute
	// announcedExtension is by how much the retention of an end grows before other daemons are told.
	announcedExtension = retention / 2
	// maxEnds and maxNames bound the memory: the ends, and the names of each kind in one of them.
	maxEnds  = 64
	maxNames = 32
)

// Ledger holds the ends of engines, oldest first. It is not safe for concurrent use.
type Ledger struct {
	ends []*end
	// listed has what is in an end and not cleared there.
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

// RecordEnd records that at now an engine has ended while it ran the input, which was sent at the time. An input that was sent
// after an end of the incarnation shows that it had started again.
func (l *Ledger) RecordEnd(now time.Time, engine turmericwall.UpstreamKey, sentAt time.Time, input turmericwall.Input) {
	id := endID{service: input.Service, engine: engine}
	for known := l.find(id); known != nil && sentAt.After(known.at); known = l.find(id) {
		id.number++
	}
	e := l.findOrAdd(id, now)
	for _, n := range namesOf(input) {
		l.add(e, n)
	}
}

// RecordAnswer records that an engine completed the answer to the input, which clears its request.
func (l *Ledger) RecordAnswer(input turmericwall.Input) {
	n := requestName(input)
	for _, e := range l.ends {
		if _, ran := e.names[n]; ran {
			l.mark(e, n, cleared)
		}
	}
}

// RecordProgress records that at the time an engine had written on a part of a service's prompts for a while. This clears
// the part of earlier ends, and speaks for it in those that follow soon.
func (l *Ledger) RecordProgress(at time.Time, service, part string) {
	n := name{service: service, kind: KindPart, text: part}
	for _, e := range l.ends {
		if _, ran := e.names[n]; !ran {
			continue
		}
		switch {
		case at.After(e.at):
			l.mark(e, n, cleared)
		case e.at.Sub(at) <= soundSpan:
			l.mark(e, n, sound)
		}
	}
}

// Parts calls visit for each part that is in an end and not cleared there.
func (l *Ledger) Parts(visit func(service, part string)) {
	for n := range maps.Clone(l.listed) {
		if n.kind == KindPart {
			visit(n.service, n.text)
		}
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

// Judge returns the verdict on an input, and keeps the ends that decide it for longer.
func (l *Ledger) Judge(now time.Time, input turmericwall.Input) turmericwall.Judgement {
	var suspected turmericwall.Judgement
	for _, n := range namesOf(input) {
		if !l.listed[n] {
			continue
		}
		judged := l.judgeName(now, n, input)
		switch judged.Verdict {
		case turmericwall.VerdictQuarantined:
			return judged
		case turmericwall.VerdictSuspect:
			suspected.Verdict, suspected.Ends = judged.Verdict, max(suspected.Ends, judged.Ends)
			suspected.Keys = append(suspected.Keys, judged.Keys...)
		}
	}
	slices.Sort(suspected.Keys)
	suspected.Keys = slices.Compact(suspected.Keys)
	return suspected
}

// judgeName returns the verdict on one name of an input. The keys of a suspect include its rivals: one that runs on the same
// engine would leave open which of the two ended it.
func (l *Ledger) judgeName(now time.Time, n name, input turmericwall.Input) turmericwall.Judgement {
	ends := l.endsUnder(n)
	judged := turmericwall.Judgement{Verdict: l.verdictOn(n, ends), Keys: []string{n.String()}, Ends: len(ends)}
	if judged.Verdict != turmericwall.VerdictQuarantined {
		return judged
	}
	if rivals := l.rivals(n, ends, input); len(rivals) > 0 {
		judged.Verdict = turmericwall.VerdictSuspect
		for _, rival := range rivals {
			judged.Keys = append(judged.Keys, rival.String())
		}
		return judged
	}
	l.extend(now, ends)
	judged.RemainingMillis = retention.Milliseconds()
	return judged
}

// verdictOn returns the verdict on a name by the ends under it alone.
//
// For a part, an end weighs a third of what it takes against it, or a fifth, and any progress since outweighs all of them.
func (l *Ledger) verdictOn(n name, ends []*end) turmericwall.Verdict {
	need, suspectFrom := l.endsNeeded(n), 1
	if n.kind == KindPart {
		suspectFrom = need - 1
	}
	switch {
	case len(ends) >= need:
		return turmericwall.VerdictQuarantined
	case len(ends) >= suspectFrom:
		return turmericwall.VerdictSuspect
	}
	return turmericwall.VerdictClear
}

// endsNeeded returns the number of ends from which a name is quarantined.
func (l *Ledger) endsNeeded(n name) int {
	switch {
	case n.kind == KindRequest:
		return maxEndsPerRequest
	case l.isSound(n):
		return minEndsIfSound
	}
	return minEnds
}

// rivals returns what may be the cause of all ends under a part as well, and isn't in the input. Then the input runs as a
// suspect: either it clears the part, or the end of its engine rules all these rivals out.
func (l *Ledger) rivals(n name, ends []*end, input turmericwall.Input) []name {
	if n.kind != KindPart {
		return nil
	}
	own := namesOf(input)
	var rivals []name
	for rival := range ends[0].names {
		inAll := !slices.ContainsFunc(ends, func(e *end) bool { return !e.blames(rival) })
		if inAll && !slices.Contains(own, rival) &&
			l.verdictOn(rival, l.endsUnder(rival)) == turmericwall.VerdictQuarantined {
			rivals = append(rivals, rival)
		}
	}
	return rivals
}

// isSound reports whether an engine wrote on a part shortly before an end under it, or since one.
func (l *Ledger) isSound(n name) bool {
	return slices.ContainsFunc(l.ends, func(e *end) bool { return e.names[n] != blamed && e.has(n) })
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

// Beliefs returns the input that is quarantined, and what is suspected after several ends.
func (l *Ledger) Beliefs() []Belief {
	var beliefs []Belief
	for n := range l.listed {
		ends := l.endsUnder(n)
		verdict := l.verdictOn(n, ends)
		if verdict != turmericwall.VerdictClear && len(ends) >= minLoggedEnds {
			beliefs = append(beliefs, Belief{Service: n.service, Kind: n.kind, Key: n.text, Ends: len(ends), Verdict: verdict})
		}
	}
	slices.SortFunc(beliefs, compareBeliefs)
	return beliefs
}

// minLoggedEnds is the number of ends from which a suspicion is logged: each end has many requests.
const minLoggedEnds = 2

// Lift clears a request or a part of a service of all ends, as an operator asks. It reports whether there were any.
func (l *Ledger) Lift(service, kind, text string) bool {
	n := name{service: service, kind: kind, text: text}
	ends := l.endsUnder(n)
	for _, e := range ends {
		l.mark(e, n, cleared)
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
	l.ends = slices.DeleteFunc(l.ends, func(e *end) bool { return now.After(e.keptUntil) })
	if len(l.ends) == before {
		return false
	}
	l.index()
	return true
}

// add adds a name to an end, unless it has too many.
func (l *Ledger) add(e *end, n name) {
	if e.has(n) || e.count(n.kind) >= maxNames {
		return
	}
	e.names[n] = blamed
	l.listed[n] = true
	l.version++
}

// mark marks a name in an end, unless it is marked with as much already.
func (l *Ledger) mark(e *end, n name, as mark) {
	if e.names[n] >= as {
		return
	}
	e.names[n] = as
	l.version++
	if as == cleared {
		l.index()
	}
}

// index collects what is in an end and not cleared there.
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
func (l *Ledger) find(id endID) *end {
	for _, e := range l.ends {
		if e.endID == id {
			return e
		}
	}
	return nil
}

// findOrAdd returns an end, which is added with the time if it isn't known.
func (l *Ledger) findOrAdd(id endID, at time.Time) *end {
	if e := l.find(id); e != nil {
		return e
	}
	e := newEnd(id, at)
	l.ends = append(l.ends, e)
	slices.SortStableFunc(l.ends, func(x, y *end) int { return x.at.Compare(y.at) })
	l.evict()
	return e
}

// evict discards the oldest end that quarantines nothing, if there are too many.
func (l *Ledger) evict() {
	if len(l.ends) <= maxEnds {
		return
	}
	at := max(slices.IndexFunc(l.ends, func(e *end) bool { return !l.quarantines(e) }), 0)
	l.ends = slices.Delete(l.ends, at, at+1)
	l.index()
}

// quarantines reports whether a name of the end is quarantined.
func (l *Ledger) quarantines(e *end) bool {
	for n := range e.names {
		if e.blames(n) && l.verdictOn(n, l.endsUnder(n)) == turmericwall.VerdictQuarantined {
			return true
		}
	}
	return false
}
