package twrelay_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twfence"
	"github.com/turmericwall/turmericwall/internal/delivery/twfingerprint"
	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
)

// newMovingFixture returns a fixture in which the run at d1 is placed on d2, and then on d3, because d1 leaves. The run sends an event
// each 50 ms until it is stopped.
func newMovingFixture() *fixture {
	move := func(to string) turmericwall.Placement {
		return turmericwall.Placement{Decode: engine(to, turmericwall.RoleDecode)}
	}
	s := newModelFixture(splitPlacement("d1"), move("d2"), move("d3"))
	s.view.Put(2, engine("d3", turmericwall.RoleDecode))
	stopped := make(chan struct{})
	stop := sync.OnceFunc(func() { close(stopped) })
	s.upstreams.send = func(
		_ context.Context, to turmericwall.Upstream, call turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		if call.ResumeAfter > 0 {
			return answer(200, events(int(call.ResumeAfter)+1, 30)), nil
		}
		reader, writer := io.Pipe()
		go func() {
			for i := 1; i <= 30; i++ {
				_, _ = io.WriteString(writer, events(i, i))
				if i == 3 {
					s.announceLeaving(to.ID)
				}
				select {
				case <-stopped:
					_ = writer.CloseWithError(io.ErrUnexpectedEOF)
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
			_ = writer.Close()
		}()
		return &turmericwall.Answer{Status: 200, Length: -1, Header: http.Header{}, Body: reader}, nil
	}
	s.upstreams.move = func(_, _ turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
		stop()
		return turmericwall.EngineExport{Address: "d1:1", Handle: "m"}, true, nil
	}
	return s
}

// Guards against a run that is stopped for an engine which left while the copy was made.
func TestARunIsNotStoppedForATargetThatLeftDuringTheCopy(t *testing.T) {
	g := NewWithT(t)
	s := newMovingFixture()
	s.upstreams.onCopy = func() { s.announceLeaving("d2") }
	stop := s.upstreams.move
	s.upstreams.move = func(from, to turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
		g.Expect(to.ID).To(Equal("d3"))
		return stop(from, to)
	}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 30)))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1", "d3"}))
	g.Eventually(func() int {
		s.upstreams.mu.Lock()
		defer s.upstreams.mu.Unlock()
		return s.upstreams.droppedExports
	}).Should(Equal(1), "the unused copy is released")
	g.Expect(s.throttle.admitted["d2"]).To(BeZero())
}

// Guards against a moved run that is sent to an engine which left while the run was being stopped.
func TestAMovedRunReturnsIfItsTargetLeftMeanwhile(t *testing.T) {
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
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 30)))
	g.Expect(s.upstreams.sentTo()[:2]).To(Equal([]string{"d1", "d1"}))
	g.Expect(s.upstreams.sentTo()).NotTo(ContainElement("d2"))
}

// Guards against a stream that goes on at an engine which left while the end of the run before was proved.
func TestAPreparedRunIsNotSentToAnEngineThatLeftMeanwhile(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"), splitPlacement("d3"))
	s.view.Put(2, engine("d3", turmericwall.RoleDecode))
	s.found.Store(int64(turmericwall.EndRefuted))
	s.upstreams.send = engineAnswers{"d1": func(ctx context.Context, _ turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
		return &turmericwall.Answer{Status: 200, Length: -1, Header: http.Header{}, Body: newSilentBody(ctx, events(1, 2))}, nil
	}}.send
	s.upstreams.copyErr = errConnectionReset
	s.withProofs(func(context.Context, twfence.Run) (twrunend.Proof, error) {
		s.announceLeaving("d2")
		return twrunend.ProofStopped, nil
	})
	w, err := s.serveWithin(context.Background(), "/r/x", resumeSpan)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 6)))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1", "d3"}))
	g.Expect(s.throttle.admitted["d2"]).To(BeZero())
}

// Guards against a call that is sent to an upstream which left while the send was admitted.
func TestNoPlainCallIsSentToAnUpstreamThatLeftDuringItsAdmission(t *testing.T) {
	for _, kind := range plainKinds {
		g := NewWithT(t)
		s := newFixture(kind)
		s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
			return answer(200, "ok"), nil
		}
		left := ""
		s.throttle.onAdmit = func(id string) {
			if left == "" {
				left = id
				s.announceLeaving(id)
			}
		}
		w, _ := s.serve(context.Background(), "/p/x")
		g.Expect(w.Code).To(Equal(200))
		g.Expect(s.upstreams.sentTo()).To(HaveLen(1))
		g.Expect(strings.Join(s.upstreams.sentTo(), "")).NotTo(Equal(left))
		g.Expect(s.throttle.admitted[left]).To(BeZero(), "the send that was not made is returned")
	}
}

// Guards against a suspected call that is sent to an upstream which left while the call waited for its turn.
func TestNoPlainCallIsSentToAnUpstreamThatLeftDuringItsTurn(t *testing.T) {
	for _, kind := range plainKinds {
		g := NewWithT(t)
		s := newFixture(kind)
		s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
			return answer(200, "ok"), nil
		}
		s.placer.placements = make([]turmericwall.Placement, 2)
		left := ""
		s.placer.onPlace = func(request turmericwall.PlaceRequest) {
			g.Expect(request.Turn).To(BeTrue())
			if left == "" {
				left = request.Target.ID
				s.announceLeaving(left)
			}
		}
		request := twfingerprint.Of(turmericwall.RoutedCall{
			Host: "h", Method: http.MethodPost, Target: "/p/x", Path: "/p/x",
			Work: turmericwall.ModelWork{PromptTokens: 5000, HintTokens: 3000, MaxTokens: 6500},
		})
		s.quarantine.RecordEnd(turmericwall.UpstreamKey{ID: "other"}, time.Now(),
			turmericwall.Input{Service: "plain", Request: string(request)}, turmericwall.EndProved)
		w, _ := s.serve(context.Background(), "/p/x")
		g.Expect(w.Code).To(Equal(200))
		g.Expect(left).NotTo(BeEmpty(), "the call waits for its turn")
		g.Expect(s.upstreams.sentTo()).To(HaveLen(1))
		g.Expect(s.upstreams.sentTo()).NotTo(ContainElement(left))
		g.Expect(s.throttle.admitted[left]).To(BeZero(), "the send that was not made is returned")
	}
}
