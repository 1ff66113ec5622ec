package twevidence

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// Export returns the ends as other daemons get them.
func (l *Ledger) Export(now time.Time) []turmericwall.EngineEnd {
	list := make([]turmericwall.EngineEnd, 0, len(l.ends))
	for _, e := range l.ends {
		list = append(list, turmericwall.EngineEnd{
			Service: e.service, Engine: e.engine, Number: e.number, AgeMillis: now.Sub(e.at).Milliseconds(),
			RemainingMillis: e.keptUntil.Sub(now).Milliseconds(),
			Requests:        e.texts(KindRequest), ClearedRequests: e.texts(KindRequest, cleared),
			Parts: e.texts(KindPart), ClearedParts: e.texts(KindPart, cleared), SoundParts: e.texts(KindPart, sound),
		})
	}
	return list
}

// Merge adds the ends that another daemon knows. It reports whether any of it is new.
func (l *Ledger) Merge(now time.Time, ends []turmericwall.EngineEnd) (changed bool) {
	before := l.version
	for _, received := range ends {
		keptUntil := now.Add(min(time.Duration(received.RemainingMillis)*time.Millisecond, retention))
		if !keptUntil.After(now) {
			continue
		}
		id := endID{service: received.Service, engine: received.Engine, number: received.Number}
		e := l.findOrAdd(id, now.Add(-time.Duration(max(received.AgeMillis, 0))*time.Millisecond))
		l.mergeNames(e, KindRequest, blamed, received.Requests)
		l.mergeNames(e, KindRequest, cleared, received.ClearedRequests)
		l.mergeNames(e, KindPart, blamed, received.Parts)
		l.mergeNames(e, KindPart, sound, received.SoundParts)
		l.mergeNames(e, KindPart, cleared, received.ClearedParts)
		if keptUntil.After(e.keptUntil) {
			e.keptUntil = keptUntil
			e.announcedUntil = keptUntil
		}
	}
	return l.version != before
}

// mergeNames adds names of a kind to an end, with the mark.
func (l *Ledger) mergeNames(e *end, kind string, as mark, texts []string) {
	for _, text := range texts {
		n := name{service: e.service, kind: kind, text: text}
		l.add(e, n)
		if e.has(n) {
			l.mark(e, n, as)
		}
	}
}
