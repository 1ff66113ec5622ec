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
	KindPart    = "part"
)

// Belief is what the ends say of one input.
type Belief struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Key is the fingerprint of a request, or the name of a part.
	Key  string `json:"key"`
	Ends int    `json:"ends"`
	// Verdict is suspect or quarantined.
	Verdict turmericwall.Verdict `json:"-"`
}

func compareBeliefs(x, y Belief) int {
	return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Key, y.Key))
}

// name is one input that may be the cause of ends: a request, or a part of prompts.
type name struct{ service, kind, text string }

// String returns the name as problems and turns have it.
func (n name) String() string { return n.kind + " " + n.text }

func requestName(input turmericwall.Input) name {
	return name{service: input.Service, kind: KindRequest, text: input.Request}
}

// namesOf returns the names in an input.
func namesOf(input turmericwall.Input) []name {
	names := make([]name, 0, 1+len(input.Parts))
	if input.Request != "" {
		names = append(names, requestName(input))
	}
	for _, part := range input.Parts {
		names = append(names, name{service: input.Service, kind: KindPart, text: part})
	}
	return names
}

// mark is what is known of a name in an end. Marks only rise.
type mark int

const (
	// blamed is the mark of a name that may be the cause.
	blamed mark = iota
	// sound is that of a part on which an engine wrote shortly before the end; it may be the cause nevertheless.
	sound
	// cleared is that of a name that has run well since.
	cleared
)

// endID identifies the end of an incarnation; see turmericwall.EngineEnd.
type endID struct {
	service string
	engine  turmericwall.UpstreamKey
	number  int
}

// end is the end of one incarnation.
type end struct {
	endID
	// at is when this daemon learnt of it, less the age that was stated: never before the end itself.
	at time.Time
	// keptUntil is when the end is discarded, announcedUntil the time for that which other daemons know.
	keptUntil, announcedUntil time.Time
	// names are what the engine ran.
	names map[name]mark
}

func newEnd(id endID, at time.Time) *end {
	return &end{
		endID: id, at: at, keptUntil: at.Add(retention), announcedUntil: at.Add(retention),
		names: make(map[name]mark),
	}
}

func (e *end) has(n name) bool {
	_, ok := e.names[n]
	return ok
}

// blames reports whether the name may be the cause of the end.
func (e *end) blames(n name) bool {
	m, ok := e.names[n]
	return ok && m != cleared
}

// count returns the number of names of a kind.
func (e *end) count(kind string) int {
	n := 0
	for other := range e.names {
		if other.kind == kind {
			n++
		}
	}
	return n
}

// texts returns the names of a kind, all or those with one of the marks.
func (e *end) texts(kind string, marked ...mark) []string {
	var list []string
	for n, m := range e.names {
		if n.kind == kind && (len(marked) == 0 || slices.Contains(marked, m)) {
			list = append(list, n.text)
		}
	}
	slices.Sort(list)
	return list
}
