package twrelay_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// A decode engine answers 500 to each call while its health is good; nobody tells the placer, which sends it ever more.
func TestAnErrorOfADecodeEngineIsToldToThePlacer(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"))
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
		body := io.NopCloser(strings.NewReader("broken"))
		return &turmericwall.Answer{Status: 500, Length: 6, Header: http.Header{}, Body: body}, nil
	}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(500), "the engine's answer is passed on unchanged")
	g.Expect(s.placer.ended[len(s.placer.ended)-1].Failed).To(Equal("d1"))
}

// A decode engine takes calls and never answers; each further call waits there until its caller leaves.
func TestADecodeEngineThatHangsIsToldToThePlacer(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"))
	s.upstreams.send = func(ctx context.Context, _ turmericwall.Upstream, _ turmericwall.Outgoing) (*turmericwall.Answer, error) {
		<-ctx.Done()
		return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	_, _ = s.serve(ctx, "/m/x")
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	told := turmericwall.PlacementEnd{ID: "id1/0", Service: "engines", Running: true, Failed: "d1"}
	g.Expect(s.placer.ended).To(ContainElement(told))
	g.Expect(s.upstreams.reached()).To(Equal([]string{"d1"}), "it may run there")
}

// An engine takes a prompt and never reads it; the call waits there until its caller leaves.
func TestAPromptThatIsNotReadGoesToAnotherEngine(t *testing.T) {
	g := NewWithT(t)
	first, second := split("d1"), split("d1")
	first.Prefill.ID = "hangs"
	s := modelSite(first, second)
	s.upstreams.hanging = map[string]bool{"hangs": true}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(200))
	g.Expect(s.placer.asked[1].Avoid).To(Equal([]string{"hangs"}))
	g.Expect(s.placer.ended[0].Failed).To(Equal("hangs"))
}

// Exports lapse before they are taken; the engines that read the prompts are taken for failing ones, and nobody reads.
func TestAnEngineWhoseExportLapsedIsOnlyDoubted(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"), split("d2"))
	s.upstreams.send = func(_ context.Context, to turmericwall.Upstream, _ turmericwall.Outgoing) (*turmericwall.Answer, error) {
		if to.ID == "d1" {
			return nil, &turmericwall.SendError{Sent: true, NotRun: true, Err: errPlain}
		}
		return answer(200, events(1, 3)), nil
	}
	_, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	for _, end := range s.placer.ended {
		g.Expect(end.Failed).To(BeEmpty())
	}
	g.Expect(s.placer.ended).To(ContainElement(HaveField("Doubted", "p1")))
}
