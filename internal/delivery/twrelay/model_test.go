package twrelay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twrelay"
)

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

func splitPlacement(decode string) turmericwall.Placement {
	return turmericwall.Placement{
		Prefill: engine("p1", turmericwall.RolePrefill),
		Decode:  engine(decode, turmericwall.RoleDecode),
	}
}

func newModelFixture(places ...turmericwall.Placement) *fixture {
	s := newFixture(turmericwall.CallIdempotent)
	s.placer.placements = places
	s.placer.refusal = turmericwall.NewRefusalProblem(
		turmericwall.Refusal{Reason: "full", RetryAt: time.Now().Add(2 * time.Second)},
	)
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return answer(200, events(1, 3)), nil
	}
	return s
}

func TestAModelCallUsesItsPrefillAndItsDecodeEngine(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 3)))
	g.Expect(s.upstreams.sends[0].Step).To(Equal(turmericwall.StepImport))
	g.Expect(s.upstreams.sends[0].Export.Handle).To(Equal("h1"))
	g.Expect(s.upstreams.sends[0].Reservation).To(Equal("r1"))
	g.Expect(s.placer.updates).To(HaveLen(2), "one report after the prefill, one at the end")
	g.Expect(s.placer.updates[1].AnswerTokens).To(Equal(150))
}

// A prefill is wasted when the decode engine turns out to be full, so memory is reserved before it.
func TestNoPrefillStartsWithoutReservedMemory(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	s.upstreams.full = map[string]bool{"d1": true}
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(503))
	g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(s.upstreams.prefills).To(BeZero())
	g.Expect(s.placer.updates[0].FullEngine).To(Equal("d1"))
}

// The export expires before the decode engine imports it. The second prefill must count against the retry budget like
// the second send: otherwise 89 sends were extra where 86 are allowed.
func TestARepeatedPrefillCountsAgainstTheRetryBudget(t *testing.T) {
	g := NewWithT(t)
	granted := 0
	for range 40 {
		s := newModelFixture(splitPlacement("d1"), splitPlacement("d1"), splitPlacement("d1"), splitPlacement("d1"))
		s.upstreams.send = func(
			context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
		) (*turmericwall.Answer, error) {
			return nil, notRunError()
		}
		_, _ = s.serve(context.Background(), "/m/x")
		extra := s.upstreams.prefills - 1 + len(s.upstreams.sends) - 1
		g.Expect(extra).To(BeNumerically("<=", 6), "extra sends of at most four placements")
		granted += extra
	}
	g.Expect(granted).To(Equal(40 * 6))
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d1"), splitPlacement("d1"), splitPlacement("d1"))
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return nil, notRunError()
	}
	sends := 0
	for range 30 {
		s.placer.requests = nil
		_, _ = s.serve(context.Background(), "/m/x")
		sends = s.upstreams.prefills - 30 + len(s.upstreams.sends) - 30
	}
	g.Expect(sends).To(BeNumerically("<=", 45), "0.8 of 0.2 x 30 and 50")
}

// The engine's stream ends in the middle of an event. The caller gets complete events only, and its connection is
// closed so that the answer can't be taken as complete.
func TestATruncatedStreamIsNotCompleted(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return brokenAnswer(events(1, 2)+"id: 3\nda", io.ErrUnexpectedEOF), nil
	}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).To(MatchError(twrelay.ErrAnswerTruncated))
	g.Expect(w.Body.String()).To(Equal(events(1, 2)))
	g.Expect(s.placer.updates[len(s.placer.updates)-1].FailedEngine).To(Equal("d1"))
}

// slowBody pauses before its last part.
type slowBody struct {
	parts []string
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	if len(b.parts) == 1 {
		time.Sleep(b.pause)
	}
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

func (*slowBody) Close() error { return nil }

// An engine runs a prefill beside a stream, whose next event comes too late. If that were reported only at the stream's
// end, seconds later, prefills would slow down many more streams.
func TestAnEventGapOverTheLimitIsReportedBeforeTheStreamEnds(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		body := &slowBody{parts: []string{events(1, 1), events(2, 2)}, pause: 330 * time.Millisecond}
		return &turmericwall.Answer{Status: 200, Length: -1, Header: http.Header{}, Body: body}, nil
	}
	_, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	// On a busy machine the pause is long enough for the speed to be reported too.
	ended := slices.DeleteFunc(
		s.placer.updates,
		func(update turmericwall.PlacementUpdate) bool { return update.Running && update.AnswerTokens > 0 },
	)
	g.Expect(ended).To(HaveLen(3), "reports of the prefill, the event gap and the end")
	g.Expect(ended[1]).To(
		Equal(turmericwall.PlacementUpdate{ID: "id1/0", Service: "engines", Running: true, EventGapExceeded: true}),
	)
}

// Guards against a placer without an estimate of the decode speed: the first answers after a start take seconds, and
// the placer needs their speed earlier to change surplus prefill engines to decode before the load grows.
func TestTheSpeedOfAnAnswerIsReportedBeforeItEnds(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		body := &slowBody{parts: []string{events(1, 4), events(5, 5)}, pause: 450 * time.Millisecond}
		return &turmericwall.Answer{Status: 200, Length: -1, Header: http.Header{}, Body: body}, nil
	}
	_, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	var reported []turmericwall.PlacementUpdate
	for _, update := range s.placer.updates {
		if update.Running && update.AnswerTokens > 0 {
			reported = append(reported, update)
		}
	}
	g.Expect(reported).To(HaveLen(1))
	g.Expect(reported[0].AnswerTokens).To(Equal(200))
	g.Expect(reported[0].AnswerMillis).To(BeNumerically(">=", 450))
}

// The connection breaks after the decode engine received the call. The call may run there, so a second engine would run
// it twice.
func TestAStreamThatMayHaveRunIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return nil, &turmericwall.SendError{Sent: true, Err: errConnectionReset}
	}
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(502))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1"}))
}

// The decode engine starts to leave during the prefill. A call sent to it then would be cut short.
func TestNoCallIsSentToALeavingEngine(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
	s.upstreams.prefill = func(n int) (turmericwall.EngineExport, error) {
		if n == 1 {
			leaving := engine("d1", turmericwall.RoleDecode)
			leaving.Leaving = true
			s.view.Put(2, leaving)
		}
		return turmericwall.EngineExport{Handle: fmt.Sprint(n)}, nil
	}
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(200))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d2"}))
	g.Eventually(func() int {
		s.upstreams.mu.Lock()
		defer s.upstreams.mu.Unlock()
		return s.upstreams.droppedExports
	}).Should(Equal(1), "the unused export is released")
}

// pausingBody returns its first part, and the rest once it is released.
type pausingBody struct {
	first, rest *strings.Reader
	release     chan struct{}
	end         error
}

func (p *pausingBody) Read(b []byte) (int, error) {
	if p.first.Len() > 0 {
		return p.first.Read(b)
	}
	<-p.release
	if p.rest.Len() > 0 {
		return p.rest.Read(b)
	}
	return 0, p.end
}

func (p *pausingBody) Close() error { return nil }

// The engine leaves in the middle of a long answer. It stops the run and closes the stream without its end; the run's
// memory is copied, and the answer continues on another engine after the last event that the caller has.
func TestAStreamContinuesOnAnotherEngineWhenItsEngineLeaves(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
	leaving := engine("d1", turmericwall.RoleDecode)
	leaving.Leaving = true
	body := &pausingBody{
		first: strings.NewReader(events(1, 2)), rest: strings.NewReader(events(3, 3) + "id: 4\n"),
		release: make(chan struct{}), end: io.EOF,
	}
	s.upstreams.send = func(
		_ context.Context, to turmericwall.Upstream, call turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		if to.ID == "d1" {
			s.view.Put(2, leaving)
			return &turmericwall.Answer{
				Status: 200, Length: -1, Header: map[string][]string{"X-Server-Signature": {"first"}},
				Body: body,
			}, nil
		}
		return answer(200, events(int(call.ResumeAfter)+1, 6)), nil
	}
	s.upstreams.move = func(from, to turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
		g.Expect([]string{from.ID, to.ID}).To(Equal([]string{"d1", "d2"}))
		close(body.release)
		return turmericwall.EngineExport{Address: "d1:1", Handle: "m"}, true, nil
	}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 6)))
	g.Expect(w.Header().Get("X-Server-Signature")).To(Equal("first"))
	g.Expect(s.placer.requests[1].Moving).To(BeTrue())
	g.Expect(s.upstreams.sends[1].ResumeAfter).To(BeEquivalentTo(3))
}

// The caller leaves while its run is being moved. Unless the run's new placement and export are released, the engine's
// memory stays reserved for good.
func TestAMoveIsReleasedWhenTheCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
	leaving := engine("d1", turmericwall.RoleDecode)
	leaving.Leaving = true
	ctx, leave := context.WithCancel(context.Background())
	body := &pausingBody{
		first: strings.NewReader(events(1, 2)), rest: strings.NewReader(""),
		release: make(chan struct{}), end: io.ErrUnexpectedEOF,
	}
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		s.view.Put(2, leaving)
		return &turmericwall.Answer{Status: 200, Length: -1, Header: map[string][]string{}, Body: body}, nil
	}
	s.upstreams.move = func(turmericwall.Upstream, turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
		leave()
		close(body.release)
		time.Sleep(20 * time.Millisecond)
		return turmericwall.EngineExport{Address: "d1:1", Handle: "m"}, true, nil
	}
	_, err := s.serve(ctx, "/m/x")
	g.Expect(err).To(MatchError(twrelay.ErrAnswerTruncated))
	g.Eventually(func() int {
		s.placer.mu.Lock()
		defer s.placer.mu.Unlock()
		n := 0
		for _, update := range s.placer.updates {
			if update.ID == "id1/m1" {
				n++
			}
		}
		return n
	}).Should(Equal(1))
	g.Eventually(func() int {
		s.upstreams.mu.Lock()
		defer s.upstreams.mu.Unlock()
		return s.upstreams.droppedExports
	}).Should(Equal(1))
}

// A move fails before the run is stopped. The answer must continue to its end on the same engine.
func TestAStreamContinuesAfterAFailedMove(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	leaving := engine("d1", turmericwall.RoleDecode)
	leaving.Leaving = true
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		s.view.Put(2, leaving)
		return answer(200, events(1, 5)), nil
	}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 5)))
}

func TestARefusalOfThePlacerReachesTheCallerWithItsRetryTime(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture()
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(503))
	g.Expect(w.Header().Get("Retry-After")).To(MatchRegexp(`^(1\.9|2\.0)`))
	s.placer.refusal = errors.New("no leader")
	w, _ = s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(502))
}

// The engine leaves while the retry budget is used up. A run that is stopped then can't be resumed and its caller loses
// the whole answer. It must stay on its engine, which still serves for a while.
func TestARunIsNotStoppedWithoutRetryBudget(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
	s.retries.Spend(time.Now(), "engines", 1)
	for s.retries.Spend(time.Now(), "engines", 1) {
	}
	leaving := engine("d1", turmericwall.RoleDecode)
	leaving.Leaving = true
	body := &pausingBody{
		first: strings.NewReader(events(1, 2)), rest: strings.NewReader(events(3, 5)),
		release: make(chan struct{}), end: io.EOF,
	}
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		s.view.Put(2, leaving)
		return &turmericwall.Answer{Status: 200, Length: -1, Header: map[string][]string{}, Body: body}, nil
	}
	s.upstreams.move = func(turmericwall.Upstream, turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
		t.Error("the run was stopped")
		return turmericwall.EngineExport{}, false, nil
	}
	go func() {
		g.Eventually(func() bool { s.placer.mu.Lock(); defer s.placer.mu.Unlock(); return len(s.placer.requests) > 1 }).Should(BeTrue())
		close(body.release)
	}()
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 5)))
}

// The engine leaves while no other engine has room. The run must continue and be moved a little later; with a single
// attempt to move it, it would be cut short when its engine terminates.
func TestARefusedMoveIsRequestedAgain(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	s.placer.refusal = turmericwall.NewRefusalProblem(
		turmericwall.Refusal{Attempt: "id1/m1", Reason: "full", RetryAt: time.Now()},
	)
	leaving := engine("d1", turmericwall.RoleDecode)
	leaving.Leaving = true
	reader, writer := io.Pipe()
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		s.view.Put(2, leaving)
		return &turmericwall.Answer{Status: 200, Length: -1, Header: map[string][]string{}, Body: reader}, nil
	}
	go func() {
		for i := 1; i <= 12; i++ {
			_, _ = io.WriteString(writer, events(i, i))
			time.Sleep(50 * time.Millisecond)
		}
		_ = writer.Close()
	}()
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 12)))
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	g.Expect(len(s.placer.requests)).To(BeNumerically(">=", 3), "the first placement and two requests for a move")
	g.Expect(s.placer.requests[2].ID).To(Equal("id1/m2"))
}

// The decode engine is unresponsive and its connection does not break. The call must go to another engine while it can
// still be on time, and the engine must be reported as failed.
func TestAnUnresponsiveEngineIsReplacedWithinTheTarget(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
	s.upstreams.unresponsive = map[string]bool{"d1": true}
	began := time.Now()
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(200))
	g.Expect(time.Since(began)).To(BeNumerically("<", 900*time.Millisecond))
	g.Expect(s.placer.requests[1].Avoid).To(Equal([]string{"d1"}))
	g.Expect(s.placer.updates[0].FailedEngine).To(Equal("d1"))
}
