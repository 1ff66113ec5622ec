package twrelay_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/delivery/twfence"
	"github.com/turmericwall/turmericwall/internal/delivery/twrelay"
	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
)

// Guards against a stream that goes on at another engine while the engine of the run before may work on, since the engine that was to read
// its prompt was replaced.
func TestEndOfAPrefillEngineProvesNoEndOfTheRunBefore(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d1"), splitPlacement("d2"))
	s.upstreams.send = engineAnswers{"d1": stream(events(1, 2), io.ErrUnexpectedEOF)}.send
	s.upstreams.prefill = func(n int) (turmericwall.EngineExport, error) {
		if n == 2 {
			return turmericwall.EngineExport{}, &turmericwall.SendError{Sent: true, Err: errConnectionReset}
		}
		return turmericwall.EngineExport{Address: "p1:1", Handle: "h"}, nil
	}
	s.config.CheckEnd = func(_ context.Context, run twendcheck.Run) twendcheck.Finding {
		if run.Upstream.ID == "p1" {
			return twendcheck.Finding{Incarnation: run.Upstream.Key(), Result: turmericwall.EndProved, Proof: twrunend.ProofReplaced}
		}
		return twendcheck.Finding{Incarnation: run.Upstream.Key(), Result: turmericwall.EndUnknown}
	}
	s.config.ProveEnd = func(context.Context, twfence.Run) (twrunend.Proof, error) {
		return "", errors.Join(twfence.ErrUnproved, twfence.ErrAbsent)
	}
	s.relay = twrelay.New(s.config)
	w, _ := s.serveWithin(context.Background(), "/r/x", 700*time.Millisecond)
	g.Expect(w.Body.String()).To(Equal(events(1, 2)))
	g.Expect(s.upstreams.sentTo()).NotTo(ContainElement("d2"))
	g.Expect(len(s.placer.requests)).To(BeNumerically(">", 2))
	for _, later := range s.placer.requests[1:] {
		g.Expect(later.Only).To(Equal("d1"))
	}
}
