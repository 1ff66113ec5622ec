package twrelay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// A decode engine answers 500 to each call while its health check passes. If the placer does not learn of it, the
// engine looks idle and gets ever more calls.
func TestAnErrorOfADecodeEngineIsReportedToThePlacer(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		body := io.NopCloser(strings.NewReader("broken"))
		return &turmericwall.Answer{Status: 500, Length: 6, Header: http.Header{}, Body: body}, nil
	}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(500), "the engine's answer is passed on unchanged")
	g.Expect(s.placer.updates[len(s.placer.updates)-1].FailedEngine).To(Equal("d1"))
}

// A decode engine accepts calls and never answers. If the placer does not learn of it, each further call waits there
// until its caller leaves.
func TestADecodeEngineThatHangsIsReportedToThePlacer(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	s.upstreams.send = func(
		ctx context.Context, _ turmericwall.Upstream, _ turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		<-ctx.Done()
		return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	_, _ = s.serve(ctx, "/m/x")
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	report := turmericwall.PlacementUpdate{ID: "id1/0", Service: "engines", Running: true, FailedEngine: "d1"}
	g.Expect(s.placer.updates).To(ContainElement(report))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1"}), "the call may run there and must not be sent again")
}

// A prefill engine accepts a prompt and never finishes it. Without a time-out the call waits there until its caller
// leaves.
func TestAHangingPrefillIsPlacedOnAnotherEngine(t *testing.T) {
	g := NewWithT(t)
	first, second := splitPlacement("d1"), splitPlacement("d1")
	first.Prefill.ID = "hangs"
	s := newModelFixture(first, second)
	s.upstreams.hangingPrefills = map[string]bool{"hangs": true}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(200))
	g.Expect(s.placer.requests[1].Avoid).To(Equal([]string{"hangs"}))
	g.Expect(s.placer.updates[0].FailedEngine).To(Equal("hangs"))
}

// Exports expire before they are imported. If their prefill engines counted as failed, no prefill engine would be left.
func TestAnEngineWhoseExportExpiredIsOnlySuspected(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
	s.upstreams.send = func(
		_ context.Context, to turmericwall.Upstream, _ turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		if to.ID == "d1" {
			return nil, &turmericwall.SendError{Sent: true, NotRun: true, Err: errConnectionReset}
		}
		return answer(200, events(1, 3)), nil
	}
	_, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	for _, update := range s.placer.updates {
		g.Expect(update.FailedEngine).To(BeEmpty())
	}
	g.Expect(s.placer.updates).To(ContainElement(HaveField("SuspectedEngine", "p1")))
}

// Guards against engines that are ejected for all daemons because one daemon has no network path to them.
func TestEngineWithoutPathIsNotReportedAsFailed(t *testing.T) {
	expectNotReportedAsFailed(t, turmericwall.SendError{PathLost: true, Err: errConnectionReset})
}

// Guards against an engine that gets no calls from any daemon because one of them, to which all new connections go, uses its
// share of the engine's connections.
func TestEngineWhoseConnectionsAreInUseIsNotReportedAsFailed(t *testing.T) {
	expectNotReportedAsFailed(t, turmericwall.SendError{ShareUsed: true, Err: errors.New("in use")})
}

func expectNotReportedAsFailed(t *testing.T, failure turmericwall.SendError) {
	t.Helper()
	g := NewWithT(t)
	s := newFixture(turmericwall.CallIdempotent)
	s.placer.placements = []turmericwall.Placement{
		{Decode: engine("d1", turmericwall.RoleDecode)}, {Decode: engine("d2", turmericwall.RoleDecode)},
	}
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
		return nil, &failure
	}
	s.placer.refusal = turmericwall.NewProblem(turmericwall.KindOverloaded, "full", "come back")
	_, _ = s.serve(context.Background(), "/m/x")
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	g.Expect(s.placer.updates).To(HaveLen(2))
	for _, update := range s.placer.updates {
		g.Expect(update.FailedEngine).To(BeEmpty())
	}
	g.Expect(s.placer.requests[1].Avoid).To(ConsistOf("d1"))
}
