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

func split(decode string) turmericwall.Placement {
	return turmericwall.Placement{Prefill: engine("p1", turmericwall.RolePrefill), Decode: engine(decode, turmericwall.RoleDecode)}
}

func modelSite(places ...turmericwall.Placement) *site {
	s := newSite(turmericwall.CallIdempotent)
	s.placer.places = places
	s.placer.refusal = turmericwall.Refused(turmericwall.Refusal{Reason: "full", RetryAt: time.Now().Add(2 * time.Second)})
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
		return answer(200, events(1, 3)), nil
	}
	return s
}

func TestAModelCallIsReadByOneEngineAndAnsweredByAnother(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"))
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 3)))
	g.Expect(s.upstreams.sends[0].Step).To(Equal(turmericwall.StepImport))
	g.Expect(s.upstreams.sends[0].Export.Handle).To(Equal("h1"))
	g.Expect(s.upstreams.sends[0].Reservation).To(Equal("r1"))
	g.Expect(s.placer.ended).To(HaveLen(2), "read, then ended")
	g.Expect(s.placer.ended[1].AnswerTokens).To(Equal(150))
}

// Memory is reserved before the prompt is read: a prompt read for an engine that is full by then is thrown away.
func TestNoPromptIsReadWithoutReservedMemory(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"))
	s.upstreams.full = map[string]bool{"d1": true}
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(503))
	g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(s.upstreams.prefills).To(BeZero())
	g.Expect(s.placer.ended[0].Full).To(Equal("d1"))
}

// The export lapses before the decode engine takes it. The prompt is read once more, which counts against the budget
// like the second send: on a day with such engines 89 sends were extra where 86 are allowed.
func TestAPromptReadAgainCountsAgainstTheBudget(t *testing.T) {
	g := NewWithT(t)
	granted := 0
	for range 40 {
		s := modelSite(split("d1"), split("d1"), split("d1"), split("d1"))
		s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
			return nil, refusal()
		}
		_, _ = s.serve(context.Background(), "/m/x")
		extra := s.upstreams.prefills - 1 + len(s.upstreams.sends) - 1
		g.Expect(extra).To(BeNumerically("<=", 6), "four placements at most")
		granted += extra
	}
	g.Expect(granted).To(Equal(40 * 6))
	s := modelSite(split("d1"), split("d1"), split("d1"), split("d1"))
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
		return nil, refusal()
	}
	sends := 0
	for range 30 {
		s.placer.asked = nil
		_, _ = s.serve(context.Background(), "/m/x")
		sends = s.upstreams.prefills - 30 + len(s.upstreams.sends) - 30
	}
	g.Expect(sends).To(BeNumerically("<=", 45), "0.8 of 0.2 x 30 and 50")
}

// The engine breaks off in the middle of an event. The caller gets whole events only, and its connection is closed so
// that the answer can't be taken for whole.
func TestABrokenStreamIsNotEndedAsWhole(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"))
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
		return broken(events(1, 2)+"id: 3\nda", io.ErrUnexpectedEOF), nil
	}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).To(MatchError(twrelay.ErrBrokenOff))
	g.Expect(w.Body.String()).To(Equal(events(1, 2)))
	g.Expect(s.placer.ended[len(s.placer.ended)-1].Failed).To(Equal("d1"))
}

// slowBody waits before its second part.
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

// The engine reads another prompt beside a stream, whose next event comes too late. Told at its end only, seconds later,
// prompts would be read beside many more streams that bear it as badly.
func TestAPauseThatIsTooLongIsToldBeforeTheStreamEnds(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"))
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
		body := &slowBody{parts: []string{events(1, 1), events(2, 2)}, pause: 330 * time.Millisecond}
		return &turmericwall.Answer{Status: 200, Length: -1, Header: http.Header{}, Body: body}, nil
	}
	_, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	// A machine that is busy makes the pause long enough for the speed to be told too.
	ended := slices.DeleteFunc(s.placer.ended, func(end turmericwall.PlacementEnd) bool { return end.Running && end.AnswerTokens > 0 })
	g.Expect(ended).To(HaveLen(3), "read, paused, ended")
	g.Expect(ended[1]).To(Equal(turmericwall.PlacementEnd{ID: "id1/0", Service: "engines", Running: true, Paused: true}))
}

// The first calls after a start last for seconds. What their answers take is wanted before they end, so that engines that
// read too much can answer before the load grows.
func TestTheSpeedOfAnAnswerIsToldBeforeItEnds(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"))
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
		body := &slowBody{parts: []string{events(1, 4), events(5, 5)}, pause: 450 * time.Millisecond}
		return &turmericwall.Answer{Status: 200, Length: -1, Header: http.Header{}, Body: body}, nil
	}
	_, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	var told []turmericwall.PlacementEnd
	for _, end := range s.placer.ended {
		if end.Running && end.AnswerTokens > 0 {
			told = append(told, end)
		}
	}
	g.Expect(told).To(HaveLen(1))
	g.Expect(told[0].AnswerTokens).To(Equal(200))
	g.Expect(told[0].AnswerMillis).To(BeNumerically(">=", 450))
}

// The decode engine gets the call and says nothing more. It may run there; a second engine would run it twice.
func TestAStreamIsNotSentAgainOnceItMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"), split("d2"))
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
		return nil, &turmericwall.SendError{Sent: true, Err: errPlain}
	}
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(502))
	g.Expect(s.upstreams.reached()).To(Equal([]string{"d1"}))
}

// The engine that is to answer begins to leave while the prompt is read. New work sent to it would be cut off.
func TestNoWorkIsSentToAnEngineThatBeganToLeave(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"), split("d2"))
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
	g.Expect(s.upstreams.reached()).To(Equal([]string{"d2"}))
	g.Eventually(func() int {
		s.upstreams.mu.Lock()
		defer s.upstreams.mu.Unlock()
		return s.upstreams.dropped
	}).Should(Equal(1), "the export that nobody will import is freed")
}

// pausing gives events, and holds the rest back until it is released.
type pausing struct {
	first, rest *strings.Reader
	release     chan struct{}
	end         error
}

func (p *pausing) Read(b []byte) (int, error) {
	if p.first.Len() > 0 {
		return p.first.Read(b)
	}
	<-p.release
	if p.rest.Len() > 0 {
		return p.rest.Read(b)
	}
	return 0, p.end
}

func (p *pausing) Close() error { return nil }

// The engine leaves in the middle of a long answer. It stops the run and closes the stream without its end; the run's
// memory is copied, and the answer goes on at another engine after the last event that the caller has.
func TestAStreamGoesOnElsewhereWhenItsEngineLeaves(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
	leaving := engine("d1", turmericwall.RoleDecode)
	leaving.Leaving = true
	body := &pausing{first: strings.NewReader(events(1, 2)), rest: strings.NewReader(events(3, 3) + "id: 4\n"), release: make(chan struct{}), end: io.EOF}
	s.upstreams.send = func(_ context.Context, to turmericwall.Upstream, call turmericwall.Outgoing) (*turmericwall.Answer, error) {
		if to.ID == "d1" {
			s.view.Put(2, leaving)
			return &turmericwall.Answer{Status: 200, Length: -1, Header: map[string][]string{"X-Server-Signature": {"first"}}, Body: body}, nil
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
	g.Expect(s.placer.asked[1].Moving).To(BeTrue())
	g.Expect(s.upstreams.sends[1].ResumeAfter).To(BeEquivalentTo(3))
}

// The caller leaves while its run is being moved. The place that was found for the run and the copy there must be freed,
// or the engine's memory looks taken for good.
func TestACallerThatLeavesDuringAMoveFreesThePlace(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
	leaving := engine("d1", turmericwall.RoleDecode)
	leaving.Leaving = true
	ctx, leave := context.WithCancel(context.Background())
	body := &pausing{first: strings.NewReader(events(1, 2)), rest: strings.NewReader(""), release: make(chan struct{}), end: io.ErrUnexpectedEOF}
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
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
	g.Expect(err).To(MatchError(twrelay.ErrBrokenOff))
	g.Eventually(func() int {
		s.placer.mu.Lock()
		defer s.placer.mu.Unlock()
		n := 0
		for _, end := range s.placer.ended {
			if end.ID == "id1/m1" {
				n++
			}
		}
		return n
	}).Should(Equal(1))
	g.Eventually(func() int {
		s.upstreams.mu.Lock()
		defer s.upstreams.mu.Unlock()
		return s.upstreams.dropped
	}).Should(Equal(1))
}

// The move fails before the run is stopped. The answer must go on to its end where it is.
func TestAFailedMoveLeavesTheStreamAlone(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"))
	leaving := engine("d1", turmericwall.RoleDecode)
	leaving.Leaving = true
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
		s.view.Put(2, leaving)
		return answer(200, events(1, 5)), nil
	}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 5)))
}

// A stream that reaches a stopping daemon late would be cut off at its end. Refused at once, its caller finds another.
func TestAStoppingDaemonRefusesStreamsThatItCannotFinish(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"))
	s.stopsAt = time.Now().Add(2 * time.Second)
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(503))
	g.Expect(s.upstreams.prefills).To(BeZero())
	s.stopsAt = time.Now().Add(time.Minute)
	w, _ = s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(200))
}

func TestARefusalOfThePlacerReachesTheCallerWithItsTime(t *testing.T) {
	g := NewWithT(t)
	s := modelSite()
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(503))
	g.Expect(w.Header().Get("Retry-After")).To(MatchRegexp(`^(1\.9|2\.0)`))
	s.placer.refusal = errors.New("no leader")
	w, _ = s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(502))
}

// The engine leaves while the budget of repeated sends is used up. A run that is stopped then can't go on anywhere: its
// caller would lose the whole answer. It must stay where it is, since engines serve on for a while.
func TestARunIsNotStoppedWithoutABudgetToGoOn(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
	s.retries.Spend(time.Now(), "engines", 1)
	for s.retries.Spend(time.Now(), "engines", 1) {
	}
	leaving := engine("d1", turmericwall.RoleDecode)
	leaving.Leaving = true
	body := &pausing{first: strings.NewReader(events(1, 2)), rest: strings.NewReader(events(3, 5)), release: make(chan struct{}), end: io.EOF}
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
		s.view.Put(2, leaving)
		return &turmericwall.Answer{Status: 200, Length: -1, Header: map[string][]string{}, Body: body}, nil
	}
	s.upstreams.move = func(turmericwall.Upstream, turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
		t.Error("the run was stopped")
		return turmericwall.EngineExport{}, false, nil
	}
	go func() {
		g.Eventually(func() bool { s.placer.mu.Lock(); defer s.placer.mu.Unlock(); return len(s.placer.asked) > 1 }).Should(BeTrue())
		close(body.release)
	}()
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 5)))
}

// The engine leaves, and at first no other engine has room. The run goes on where it is and is moved a little later;
// asked for once only, it would be cut off with its engine.
func TestARefusedMoveIsAskedForAgain(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"))
	s.placer.refusal = turmericwall.Refused(turmericwall.Refusal{Attempt: "id1/m1", Reason: "full", RetryAt: time.Now()})
	leaving := engine("d1", turmericwall.RoleDecode)
	leaving.Leaving = true
	reader, writer := io.Pipe()
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
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
	g.Expect(len(s.placer.asked)).To(BeNumerically(">=", 3), "the first placing and two asks for a move")
	g.Expect(s.placer.asked[2].ID).To(Equal("id1/m2"))
}

// The decode engine has gone silent: it answers nothing and resets nothing. The call must go to another engine while it
// can still be on time, and the books must hear that this one failed.
func TestASilentEngineCostsLessThanTheTarget(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"), split("d2"))
	s.upstreams.silent = map[string]bool{"d1": true}
	began := time.Now()
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(200))
	g.Expect(time.Since(began)).To(BeNumerically("<", 900*time.Millisecond))
	g.Expect(s.placer.asked[1].Avoid).To(Equal([]string{"d1"}))
	g.Expect(s.placer.ended[0].Failed).To(Equal("d1"))
}
