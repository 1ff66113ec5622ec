package twrelay_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// Guards against a refusal that is taken for the answer to a second send of the call to the same engine.
func TestSecondSendToAnEngineIsMarkedAsRepeated(t *testing.T) {
	g := NewWithT(t)
	local := turmericwall.Placement{Decode: engine("d1", turmericwall.RoleDecode)}
	s := newModelFixture(local, local)
	s.upstreams.send = func(
		_ context.Context, _ turmericwall.Upstream, call turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		if !call.Repeated {
			return nil, notRunError()
		}
		return answer(200, events(1, 6)), nil
	}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 6)))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1", "d1"}))
}

// Guards against a refusal of a prompt that is taken for the answer to its second send to the same engine.
func TestSecondPrefillAtAnEngineIsMarkedAsRepeated(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d1"))
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
		return answer(200, events(1, 6)), nil
	}
	s.upstreams.prefill = func(n int) (turmericwall.EngineExport, error) {
		if n == 1 {
			return turmericwall.EngineExport{}, notRunError()
		}
		return turmericwall.EngineExport{Address: "p:1", Handle: "h"}, nil
	}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 6)))
	g.Expect(s.upstreams.prefillCalls).To(HaveLen(2))
	g.Expect(s.upstreams.prefillCalls[0].Repeated).To(BeFalse())
	g.Expect(s.upstreams.prefillCalls[1].Repeated).To(BeTrue())
}

// Guards against a late copy of the answer to the run before that is taken for that to the moved run, which returns to its engine.
func TestAMovedRunThatReturnsIsMarkedAsRepeated(t *testing.T) {
	g := NewWithT(t)
	s := newMovingFixture()
	s.upstreams.onMove = func() { s.announceLeaving("d2") }
	stop := s.upstreams.move
	s.upstreams.move = func(from, to turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
		if to.ID == "d3" {
			return turmericwall.EngineExport{}, false, notRunError()
		}
		return stop(from, to)
	}
	_, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.upstreams.sentTo()[:2]).To(Equal([]string{"d1", "d1"}))
	g.Expect(s.upstreams.sends[0].Repeated).To(BeFalse())
	g.Expect(s.upstreams.sends[1].Repeated).To(BeTrue())
}
