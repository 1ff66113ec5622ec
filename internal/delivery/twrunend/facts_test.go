package twrunend_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
)

var now = time.Now()

// Guards against facts that are taken for the end of a run without proving it.
func TestFactsProveOnlyWhatTheyShow(t *testing.T) {
	unconnected := func(states turmericwall.ConnectionStates, span time.Duration, tries int) twrunend.Facts {
		return twrunend.Facts{At: now, UnconnectedSince: now.Add(-span), UnconnectedTries: tries, Connections: states}
	}
	refused := func(states turmericwall.ConnectionStates) twrunend.Facts {
		return twrunend.Facts{At: now, Connections: states}
	}
	silent := turmericwall.ConnectionStates{Open: 1}
	for _, c := range []struct {
		name  string
		facts twrunend.Facts
		want  twrunend.Proof
	}{
		{"nothing", twrunend.Facts{}, ""},
		{"stopped", twrunend.Facts{Order: twrunend.OrderStopped}, twrunend.ProofStopped},
		{"one of two runs stopped", twrunend.Facts{Order: twrunend.OrderStopped, Shared: true}, ""},
		{"absent", twrunend.Facts{Order: twrunend.OrderAbsent}, ""},
		{"absent, replaced", twrunend.Facts{Order: twrunend.OrderAbsent, Replaced: true}, twrunend.ProofReplaced},
		{"refused, nothing else known", refused(turmericwall.ConnectionStates{}), ""},
		{"refused, all connections ended", refused(turmericwall.ConnectionStates{Broken: 9, Closed: 9}), ""},
		{"refused, idle ones closed", refused(turmericwall.ConnectionStates{Closed: 1}), ""},
		{"refused, one is open", refused(turmericwall.ConnectionStates{Broken: 1, Closed: 1, Open: 1}), ""},
		{"unconnected, its machine is silent", unconnected(silent, time.Second, 3), twrunend.ProofUnreachable},
		{"unconnected, its machine answers", unconnected(turmericwall.ConnectionStates{Open: 1, Heard: true}, time.Second, 3), ""},
		{"unconnected, nothing else known", unconnected(turmericwall.ConnectionStates{}, time.Minute, 9), ""},
		{"unconnected for a moment", unconnected(silent, 100*time.Millisecond, 3), ""},
		{"unconnected twice", unconnected(silent, time.Second, 2), ""},
	} {
		t.Run(c.name, func(t *testing.T) { NewWithT(t).Expect(c.facts.Proof()).To(Equal(c.want)) })
	}
}
