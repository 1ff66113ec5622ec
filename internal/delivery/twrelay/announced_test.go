package twrelay_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// announceLeaving marks an upstream as leaving, as the adapter does when an answer announces it.
func (s *fixture) announceLeaving(id string) {
	s.view.RecordAnnouncement(time.Now(), turmericwall.UpstreamKey{ID: id})
}

// Guards against sends of any kind to an upstream that announced in an answer that it leaves.
func TestNothingIsSentToAnUpstreamThatAnnouncedLeaving(t *testing.T) {
	t.Run("first sends and retries", func(t *testing.T) {
		for _, kind := range plainKinds {
			g := NewWithT(t)
			s := newFixture(kind)
			s.upstreams.send = func(
				_ context.Context, to turmericwall.Upstream, _ turmericwall.OutgoingCall,
			) (*turmericwall.Answer, error) {
				s.announceLeaving("b")
				if to.ID == "a" {
					return nil, notRunError()
				}
				return answer(200, "ok"), nil
			}
			w, _ := s.serve(context.Background(), "/p/x")
			g.Expect(w.Code).To(Equal(200))
			g.Expect(s.upstreams.sentTo()).To(Equal([]string{"a", "c"}))
		}
	})
	t.Run("a decode after its prefill", func(t *testing.T) {
		g := NewWithT(t)
		s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
		s.upstreams.prefill = func(int) (turmericwall.EngineExport, error) {
			s.announceLeaving("d1")
			return turmericwall.EngineExport{Address: "p:1", Handle: "h"}, nil
		}
		w, _ := s.serve(context.Background(), "/m/x")
		g.Expect(w.Code).To(Equal(200))
		g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d2"}))
	})
	t.Run("a prefill", func(t *testing.T) {
		g := NewWithT(t)
		s := newModelFixture(splitPlacement("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
		s.announceLeaving("p1")
		w, _ := s.serve(context.Background(), "/m/x")
		g.Expect(w.Code).To(Equal(200))
		g.Expect(s.upstreams.prefills).To(BeZero())
	})
	t.Run("a moved run", func(t *testing.T) {
		g := NewWithT(t)
		s := newModelFixture(splitPlacement("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
		s.announceLeaving("d2")
		s.upstreams.send = func(
			context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
		) (*turmericwall.Answer, error) {
			s.announceLeaving("d1")
			a := answer(200, "")
			a.Length, a.Body = -1, &slowBody{parts: []string{events(1, 2), events(3, 4)}, pause: 150 * time.Millisecond}
			return a, nil
		}
		s.upstreams.move = func(_, _ turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
			t.Error("the run was moved")
			return turmericwall.EngineExport{}, false, nil
		}
		w, _ := s.serve(context.Background(), "/m/x")
		g.Expect(w.Body.String()).To(Equal(events(1, 4)))
	})
}
