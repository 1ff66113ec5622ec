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
