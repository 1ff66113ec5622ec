package twevidence

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// Export returns the ends as other daemons get them.
func (l *Ledger) Export(now time.Time) []turmericwall.UpstreamEnd {
	list := make([]turmericwall.UpstreamEnd, 0, len(l.ends))
	for _, e := range l.ends {
		list = append(list, turmericwall.UpstreamEnd{
			Service: e.Service, Upstream: e.Upstream, Number: e.Number, AgeMillis: now.Sub(e.at).Milliseconds(),
			RemainingMillis: e.keptUntil.Sub(now).Milliseconds(), Inputs: e.inputs(),
		})
	}
	return list
}

// Merge adds the ends that another daemon knows. It reports whether any of it is new.
func (l *Ledger) Merge(now time.Time, ends []turmericwall.UpstreamEnd) (changed bool) {
	before := l.version
	for _, received := range ends {
		keptUntil := now.Add(min(time.Duration(received.RemainingMillis)*time.Millisecond, retention))
		if !keptUntil.After(now) {
			continue
		}
		id := EndID{Service: received.Service, Upstream: received.Upstream, Number: received.Number}
		e := l.findOrAdd(id, now.Add(-time.Duration(max(received.AgeMillis, 0))*time.Millisecond))
		for _, input := range received.Inputs {
			if !isKind(input.Kind) || input.Mark < turmericwall.MarkOpen || input.Mark > turmericwall.MarkCleared {
				continue
			}
			l.mark(now, e, name{service: e.Service, kind: input.Kind, text: input.Name}, input.Mark)
		}
		if keptUntil.After(e.keptUntil) {
			e.keptUntil = keptUntil
			e.announcedUntil = keptUntil
		}
	}
	return l.version != before
}

func isKind(kind string) bool { return kind == KindRequest || kind == KindStream || kind == KindPart }
