package twrelay_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// Guards against one request that ends engine after engine: in one call, and over the tries of its caller.
func TestARequestUnderWhichEnginesEndIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"), splitPlacement("d3"), splitPlacement("d4"), splitPlacement("d1"))
	s.view.ApplyPeerChanges(s.view.Position()+1, []turmericwall.Upstream{
		engine("d3", turmericwall.RoleDecode), engine("d4", turmericwall.RoleDecode),
	}, nil)
	ended := stream(events(1, 1)+"id: 2\nda", io.ErrUnexpectedEOF)
	s.upstreams.send = engineAnswers{"d1": ended, "d2": ended, "d3": ended, "d4": ended}.send
	s.ended.Store(true)
	for range 4 {
		_, _ = s.serveWithin(context.Background(), "/r/x", resumeSpan)
	}
	g.Expect(s.upstreams.sentTo()).To(HaveLen(3), "two engines in the first call, one in the second")
	w, err := s.serveWithin(context.Background(), "/r/x", resumeSpan)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable), "it has not run, and won't")
	g.Expect(w.Header().Get("Retry-After")).To(Equal("600.00"))
	g.Expect(s.upstreams.sentTo()).To(HaveLen(3))
	g.Expect(s.flushes.Load()).To(BeEquivalentTo(3), "each end is reported before the call goes on or ends")
	s.upstreams.send = engineAnswers{"d1": stream(events(1, 6), io.EOF)}.send
	w, _ = s.serveWithin(context.Background(), "/r/other", resumeSpan)
	g.Expect(w.Code).To(Equal(200))
}

// Guards against a request that is blamed for an answer that its engine broke off, or for the end of an engine that leaves.
func TestOnlyEndsOfEnginesAreHeldAgainstARequest(t *testing.T) {
	for name, test := range map[string]struct {
		ended bool
		err   error
		prior func(s *fixture)
	}{
		"the engine serves on": {false, io.ErrUnexpectedEOF, func(*fixture) {}},
		"the path was lost": {
			true, &turmericwall.SendError{Sent: true, PathLost: true, Err: io.ErrUnexpectedEOF}, func(*fixture) {},
		},
		"the engine leaves": {true, io.ErrUnexpectedEOF, func(s *fixture) {
			s.view.ApplyPeerChanges(s.view.Position()+1, []turmericwall.Upstream{leavingEngine("d1")}, nil)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
			s.ended.Store(test.ended)
			s.upstreams.send = engineAnswers{
				"d1": func(ctx context.Context, call turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
					test.prior(s)
					return stream("id: 1\nda", test.err)(ctx, call)
				},
			}.send
			_, _ = s.serveWithin(context.Background(), "/r/x", resumeSpan)
			g.Expect(s.flushes.Load()).To(BeZero())
		})
	}
}

func leavingEngine(id string) turmericwall.Upstream {
	e := engine(id, turmericwall.RoleDecode)
	e.Leaving = true
	return e
}

// endings are the fixture's engines that end, and its quarantine.
type endings struct {
	ended   atomic.Bool
	flushes atomic.Int64
}
