package twevidence

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

// The kinds of input.
const (
	KindRequest = "request"
	KindStream  = "stream"
	KindPart    = "part"
)

// Belief is what the ends say of one input.
type Belief struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Key is the fingerprint of a request, the id of a stream, or the name of a part.
	Key  string `json:"key"`
	Ends int    `json:"ends"`
	// Verdict is suspect or quarantined.
	Verdict turmericwall.Verdict `json:"-"`
}

func compareBeliefs(x, y Belief) int {
	return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Key, y.Key))
}

// name is one input that may be the cause of ends: a request, a stream or a part of prompts.
type name struct{ service, kind, text string }

// String returns the name as problems and turns have it.
func (n name) String() string { return n.kind + " " + n.text }

// requestNames returns the names by which the tries of one caller are recognized.
func requestNames(input turmericwall.Input) []name {
	var names []name
	if input.Request != "" {
		names = append(names, name{service: input.Service, kind: KindRequest, text: input.Request})
	}
	if input.Stream != "" {
		names = append(names, name{service: input.Service, kind: KindStream, text: input.Stream})
	}
	return names
}

// namesOf returns the names in an input.
func namesOf(input turmericwall.Input) []name {
	names := requestNames(input)
	for _, part := range input.Parts {
		names = append(names, name{service: input.Service, kind: KindPart, text: part})
	}
	return names
}

// EndID identifies the end of an incarnation; see turmericwall.UpstreamEnd.
type EndID struct {
	Service  string
	Upstream turmericwall.UpstreamKey
	Number   int
}

// end is the end of one incarnation.
type end struct {
	EndID
	// at is when this daemon learnt of it, less the age that was stated: never before the end itself.
	at time.Time
	// openedAt is when this daemon last learnt of a name whose run has broken off since.
	openedAt time.Time
	// keptUntil is when the end is discarded, announcedUntil the time for that which other daemons know.
	keptUntil, announcedUntil time.Time
	// names are what the upstream ran.
	names map[name]turmericwall.EndMark
}

func newEnd(id EndID, at time.Time) *end {
	return &end{
		EndID: id, at: at, keptUntil: at.Add(retention), announcedUntil: at.Add(retention),
		names: make(map[name]turmericwall.EndMark),
	}
}

func (e *end) has(n name) bool {
	_, ok := e.names[n]
	return ok
}

// hasMark reports whether the end has a name with one of the marks.
func (e *end) hasMark(marks ...turmericwall.EndMark) bool {
	for _, mark := range e.names {
		if slices.Contains(marks, mark) {
			return true
		}
	}
	return false
}

// isProved reports whether the incarnation is known to have ended.
func (e *end) isProved() bool {
	return e.hasMark(turmericwall.MarkBlamed, turmericwall.MarkSound, turmericwall.MarkAlone)
}

// isOpen reports whether it isn't known of some name's run yet whether the incarnation has ended.
func (e *end) isOpen() bool { return e.hasMark(turmericwall.MarkOpen, turmericwall.MarkOpenSound) }

// hasAny reports whether the upstream ran any of the input's names.
func (e *end) hasAny(input turmericwall.Input) bool {
	return slices.ContainsFunc(namesOf(input), e.has)
}

// blames reports whether the name may be the cause of the end. Open ends count for requests only, whose runs can't be sent
// elsewhere in the meantime without a risk; parts wait for the proof.
func (e *end) blames(n name) bool {
	mark, ok := e.names[n]
	switch {
	case !ok, mark == turmericwall.MarkRefuted, mark == turmericwall.MarkCleared:
		return false
	case n.kind == KindPart:
		return mark >= turmericwall.MarkBlamed
	}
	return true
}

// isSound reports whether the name had run well shortly before the end.
func (e *end) isSound(n name) bool {
	mark, ok := e.names[n]
	return ok && (mark == turmericwall.MarkSound || mark == turmericwall.MarkOpenSound)
}

// counts reports whether any name may be the cause of the end.
func (e *end) counts() bool {
	for n := range e.names {
		if e.blames(n) || e.names[n] < turmericwall.MarkRefuted {
			return true
		}
	}
	return false
}

// makeRoom discards a name of the kind that is settled, if there are too many; it reports whether one more fits.
func (e *end) makeRoom(kind string) bool {
	count := 0
	var settled *name
	for other, mark := range e.names {
		if other.kind != kind {
			continue
		}
		count++
		if mark == turmericwall.MarkRefuted {
			settled = &other
		}
	}
	if count < maxNames {
		return true
	}
	if settled == nil {
		return false
	}
	delete(e.names, *settled)
	return true
}

// inputs returns the names as other daemons get them.
func (e *end) inputs() []turmericwall.EndedInput {
	list := make([]turmericwall.EndedInput, 0, len(e.names))
	for n, mark := range e.names {
		list = append(list, turmericwall.EndedInput{Kind: n.kind, Name: n.text, Mark: mark})
	}
	slices.SortFunc(list, func(x, y turmericwall.EndedInput) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return list
}
