package twrelay_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// Guards against prefills that are repeated beyond the retry budget, because only sends after a prefill are taken from it.
func TestAPrefillIsNotRepeatedWithoutRetryBudget(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"), splitPlacement("d1"), splitPlacement("d2"))
	for s.retries.Spend(time.Now(), "engines", 1) {
	}
	s.upstreams.prefill = func(int) (turmericwall.EngineExport, error) {
		return turmericwall.EngineExport{}, &turmericwall.SendError{Sent: true, Err: errConnectionReset}
	}
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(503))
	g.Expect(s.upstreams.prefills).To(Equal(1))
}
