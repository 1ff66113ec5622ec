package twevidence

import (
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

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
	counted := l.count(n)
	judged := turmericwall.Judgement{Verdict: verdictOn(n, counted), Keys: []string{n.String()}, Ends: counted.ends}
	if judged.Verdict != turmericwall.VerdictQuarantined {
		return judged
	}
	if verdictOn(n, counted.proved()) != turmericwall.VerdictQuarantined {
		judged.Open, judged.RemainingMillis = true, openRetry.Milliseconds()
		return judged
	}
	ends := l.endsUnder(n)
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

// count is the number of ends under a name since it was last cleared. Those that are sound followed shortly after the name had
// run well.
type count struct {
	ends, sound int
	// openEnds and openSound are those of them that aren't proved.
	openEnds, openSound int
	// everSound is set if the name ran well shortly before one of its ends, or since.
	everSound bool
}

// proved returns the count of the proved ends.
func (c count) proved() count {
	c.ends, c.sound = c.ends-c.openEnds, c.sound-c.openSound
	return c
}

// count counts the ends under a name. Open ends don't count for parts, whose other runs may go on until the end is proved.
func (l *Ledger) count(n name) (c count) {
	for _, e := range l.ends {
		mark, ran := e.names[n]
		switch {
		case !ran, mark == turmericwall.MarkRefuted, mark < turmericwall.MarkRefuted && n.kind == KindPart:
		case mark == turmericwall.MarkCleared:
			c.everSound = true
		case mark == turmericwall.MarkOpen:
			c.ends, c.openEnds = c.ends+1, c.openEnds+1
		case mark == turmericwall.MarkOpenSound:
			c.ends, c.openEnds = c.ends+1, c.openEnds+1
			c.sound, c.openSound = c.sound+1, c.openSound+1
		case mark == turmericwall.MarkSound:
			c.ends, c.sound, c.everSound = c.ends+1, c.sound+1, true
		default:
			c.ends++
		}
	}
	return c
}

// verdictOn returns the verdict on a name by the ends under it alone.
//
// For a part, an end weighs a third of what it takes against it, or a fifth, and any progress since outweighs all of them. A
// request that ran well shortly before its ends was in those of others; only one more, under a run of it alone, is its own.
func verdictOn(n name, c count) turmericwall.Verdict {
	need, suspectFrom := MaxEndsPerRequest, 1
	switch {
	case n.kind == KindPart && c.everSound:
		need, suspectFrom = minEndsIfSound, minEndsIfSound-1
	case n.kind == KindPart:
		need, suspectFrom = minEnds, minEnds-1
	case c.ends == c.sound:
		need, suspectFrom = maxEnds+1, MaxEndsPerRequest
	}
	switch {
	case c.ends >= need:
		return turmericwall.VerdictQuarantined
	case c.ends >= suspectFrom:
		return turmericwall.VerdictSuspect
	}
	return turmericwall.VerdictClear
}

// LastEndAt returns when this daemon learnt of the last proved end under the input's request; zero if there is none.
func (l *Ledger) LastEndAt(input turmericwall.Input) (at time.Time) {
	for _, n := range requestNames(input) {
		for _, e := range l.endsUnder(n) {
			if e.names[n] >= turmericwall.MarkBlamed && e.at.After(at) {
				at = e.at
			}
		}
	}
	return at
}

// Ends returns how many upstreams ended under the input's request, or may have; sound is set if the request had run well
// shortly before the last of them.
func (l *Ledger) Ends(input turmericwall.Input) (ends int, sound bool) {
	for _, n := range requestNames(input) {
		under := l.endsUnder(n)
		if len(under) > ends {
			ends, sound = len(under), under[len(under)-1].isSound(n)
		}
	}
	return ends, sound
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
			verdictOn(rival, l.count(rival)) == turmericwall.VerdictQuarantined {
			rivals = append(rivals, rival)
		}
	}
	return rivals
}

// Beliefs returns the input that is quarantined, and what is suspected after several ends.
func (l *Ledger) Beliefs() []Belief {
	var beliefs []Belief
	for n := range l.listed {
		counted := l.count(n)
		verdict := verdictOn(n, counted)
		if verdict != turmericwall.VerdictClear && counted.ends >= minLoggedEnds {
			beliefs = append(beliefs, Belief{Service: n.service, Kind: n.kind, Key: n.text, Ends: counted.ends, Verdict: verdict})
		}
	}
	slices.SortFunc(beliefs, compareBeliefs)
	return beliefs
}

// minLoggedEnds is the number of ends from which a suspicion is logged: each end has many requests.
const minLoggedEnds = 2
