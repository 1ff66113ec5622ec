package twrunend_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
)

// Guards against facts that are taken for the end of a run without proving it.
func TestFactsProveOnlyWhatTheyShow(t *testing.T) {
	for _, c := range []struct {
		name  string
		facts twrunend.Facts
		want  twrunend.Proof
	}{
		{"nothing, whatever became of connections", twrunend.Facts{}, ""},
		{"stopped", twrunend.Facts{Order: twrunend.OrderStopped}, twrunend.ProofStopped},
		{"one of two runs stopped", twrunend.Facts{Order: twrunend.OrderStopped, Shared: true}, ""},
		{"absent", twrunend.Facts{Order: twrunend.OrderAbsent}, ""},
		{"absent, replaced", twrunend.Facts{Order: twrunend.OrderAbsent, Replaced: true}, twrunend.ProofReplaced},
	} {
		t.Run(c.name, func(t *testing.T) { NewWithT(t).Expect(c.facts.Proof()).To(Equal(c.want)) })
	}
}
