package twrelay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twquarantine"
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
	s.setEnded(true)
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

// Guards against a request that is blamed for an answer that its engine broke off, and against ends that nobody counts because
// they can't be judged at once.
func TestBrokenRunsCountUntilTheirEnginesAreSeenAlive(t *testing.T) {
	noChange := func(*fixture) {}
	for name, test := range map[string]struct {
		found  turmericwall.EndResult
		err    error
		prior  func(s *fixture)
		counts bool
	}{
		"the engine serves on":      {turmericwall.EndRefuted, io.ErrUnexpectedEOF, noChange, false},
		"the engine has ended":      {turmericwall.EndProved, io.ErrUnexpectedEOF, noChange, true},
		"nobody can tell":           {turmericwall.EndUnknown, io.ErrUnexpectedEOF, noChange, true},
		"the path was lost":         {turmericwall.EndUnknown, &turmericwall.SendError{Sent: true, PathLost: true, Err: io.ErrUnexpectedEOF}, noChange, true},
		"the engine leaves":         {turmericwall.EndProved, io.ErrUnexpectedEOF, listEngine(leavingEngine("d1")), true},
		"the engine's entry is new": {turmericwall.EndProved, io.ErrUnexpectedEOF, listEngine(startedEngine("d1", 9)), true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newModelFixture(splitPlacement("d1"))
			s.found.Store(int64(test.found))
			s.upstreams.send = engineAnswers{
				"d1": func(ctx context.Context, call turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
					test.prior(s)
					return stream("id: 1\nda", test.err)(ctx, call)
				},
			}.send
			_, _ = s.serveWithin(context.Background(), "/m/x", resumeSpan)
			g.Expect(s.checks.Load()).To(BeEquivalentTo(1))
			g.Expect(s.flushes.Load() > 0).To(Equal(test.counts))
		})
	}
}

// Guards against an engine whose end nobody asks about, because the caller left or its time was over as it ended.
func TestEndIsCheckedAfterTheCallerHasLeft(t *testing.T) {
	for name, span := range map[string]time.Duration{"the caller left": resumeSpan, "the deadline passed": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newModelFixture(splitPlacement("d1"))
			s.setEnded(true)
			s.upstreams.send = engineAnswers{
				"d1": func(ctx context.Context, _ turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
					<-ctx.Done()
					return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
				},
			}.send
			ctx, leave := context.WithCancel(context.Background())
			time.AfterFunc(20*time.Millisecond, func() {
				if span == resumeSpan {
					leave()
				}
			})
			defer leave()
			_, _ = s.serveWithin(ctx, "/m/x", span)
			g.Eventually(s.flushes.Load).Should(BeEquivalentTo(1))
			g.Expect(s.placer.last().Unsettled).To(BeTrue(), "the leader must count the run until its end is known")
		})
	}
}

// listEngine lists an engine anew.
func listEngine(e turmericwall.Upstream) func(s *fixture) {
	return func(s *fixture) { s.view.ApplyPeerChanges(s.view.Position()+1, []turmericwall.Upstream{e}, nil) }
}

func startedEngine(id string, startedMillis int64) turmericwall.Upstream {
	e := engine(id, turmericwall.RoleDecode)
	e.StartedMillis = startedMillis
	return e
}

func leavingEngine(id string) turmericwall.Upstream {
	e := engine(id, turmericwall.RoleDecode)
	e.Leaving = true
	return e
}

// endings are what checks find of the fixture's upstreams, and how often its evidence was sent.
type endings struct {
	quarantine      *twquarantine.Quarantine
	found           atomic.Int64
	checks, flushes atomic.Int64
}

// setEnded sets whether the upstreams of broken runs have ended, or serve on.
func (e *endings) setEnded(ended bool) {
	e.found.Store(int64(turmericwall.EndRefuted))
	if ended {
		e.found.Store(int64(turmericwall.EndProved))
	}
}

// Guards against a request that ends engine after engine as they read its prompt.
func TestEndOfAnEngineThatReadsThePromptIsRecorded(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"), splitPlacement("d1"), splitPlacement("d2"))
	s.setEnded(true)
	s.upstreams.prefill = func(int) (turmericwall.EngineExport, error) {
		return turmericwall.EngineExport{}, &turmericwall.SendError{Sent: true, Err: errConnectionReset}
	}
	w, err := s.serveWithin(context.Background(), "/r/x", resumeSpan)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable), "no engine ran it")
	g.Expect(s.upstreams.prefills).To(Equal(3))
	g.Expect(s.flushes.Load()).To(BeEquivalentTo(3))
}

// Guards against a fourth engine that a request ends by a move: the engine that takes the run ends before it answers.
func TestMovedRunIsJudgedAndItsEndRecorded(t *testing.T) {
	for name, test := range map[string]struct {
		// endsBefore is the number of engines that ended under other tries while the run was copied.
		endsBefore    int
		sends, counts int
	}{
		"the engine ends":               {0, 2, 1},
		"three engines ended meanwhile": {3, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newModelFixture(splitPlacement("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
			s.setEnded(true)
			answers := leavingStream(s, "d1", func() (turmericwall.EngineExport, bool, error) {
				for n := range test.endsBefore {
					s.quarantine.RecordEnd(turmericwall.UpstreamKey{ID: fmt.Sprint("other", n)}, time.Now(),
						turmericwall.Input{Service: "engines", Request: s.placer.lastRequest().Fingerprint}, turmericwall.EndProved)
				}
				return moved()
			})
			answers["d2"] = func(context.Context, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
				return nil, &turmericwall.SendError{Sent: true, Err: errConnectionReset}
			}
			s.upstreams.send = answers.send
			_, _ = s.serveWithin(context.Background(), "/m/x", resumeSpan)
			g.Expect(s.upstreams.sentTo()).To(HaveLen(test.sends))
			g.Expect(s.flushes.Load()).To(BeEquivalentTo(test.counts))
		})
	}
}

// Guards against a prompt that is sent to a further engine for a takeover, while the silent one may be the third that ends under the
// request.
func TestNoTakeoverIsPreparedForARequestUnderWhichThreeEnginesMayHaveEnded(t *testing.T) {
	for ends, prefills := range map[int]int{1: 2, 2: 1} {
		t.Run(fmt.Sprint(ends, " ended before"), func(t *testing.T) {
			g := NewWithT(t)
			s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
			s.upstreams.send = engineAnswers{"d1": func(ctx context.Context, _ turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
				for n := range ends {
					s.quarantine.RecordEnd(turmericwall.UpstreamKey{ID: fmt.Sprint("other", n)}, time.Now(),
						turmericwall.Input{Service: "engines", Request: s.placer.lastRequest().Fingerprint}, turmericwall.EndProved)
				}
				<-ctx.Done()
				return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
			}}.send
			_, _ = s.serveWithin(context.Background(), "/r/x", 2500*time.Millisecond)
			g.Expect(s.upstreams.prefills).To(Equal(prefills))
		})
	}
}
