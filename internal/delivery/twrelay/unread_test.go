package twrelay_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twrelay"
	"github.com/turmericwall/turmericwall/internal/operations/twbudget"
)

// slowCaller stops reading for the pause once it has received a number of writes.
type slowCaller struct {
	*httptest.ResponseRecorder
	pauseAt int
	pause   time.Duration
	writes  int
}

func (c *slowCaller) Write(p []byte) (int, error) {
	c.writes++
	if c.writes == c.pauseAt {
		time.Sleep(c.pause)
	}
	return c.ResponseRecorder.Write(p)
}

// serveSlowly serves a call whose caller pauses at its second write.
func (s *fixture) serveSlowly(path string, pause time.Duration) *slowCaller {
	now := time.Now()
	w := &slowCaller{ResponseRecorder: httptest.NewRecorder(), pauseAt: 2, pause: pause}
	_ = s.relay.Serve(context.Background(), w, turmericwall.RoutedCall{
		ID: "id1", Host: "h", Method: http.MethodPost, Target: path, Path: path, ReceivedAt: now,
		Deadline: now.Add(5 * time.Second), Work: turmericwall.ModelWork{PromptTokens: 5000, HintTokens: 3000, MaxTokens: 6500},
	})
	return w
}

// useBuffers sets the memory for buffers.
func (s *fixture) useBuffers(memory *twbudget.Budget) {
	s.config.Buffers = memory
	s.relay = twrelay.New(s.config)
}

// cutAnswer returns an answer that its upstream cuts off after the parts.
func cutAnswer(contentType string, parts ...string) *turmericwall.Answer {
	reader, writer := io.Pipe()
	go func() {
		for _, part := range parts {
			_, _ = io.WriteString(writer, part)
		}
		_ = writer.CloseWithError(errConnectionReset)
	}()
	return &turmericwall.Answer{
		Status: 200, Length: -1, Header: http.Header{"Content-Type": {contentType}}, Body: reader,
		Framing: turmericwall.FramingChunks,
	}
}

// Guards against an engine that is ejected, suspected or counted as ended because it cut off an answer that its caller didn't
// read, and against the end of an engine that passes for such a cut.
func TestCutOfAnUnreadAnswerIsNoFailureOfTheEngine(t *testing.T) {
	for _, test := range []struct {
		name         string
		path         string
		pause        time.Duration
		found        turmericwall.EndResult
		failed, ends bool
		endedBy      string
	}{
		{"unread, alive", "/m/x", 1200 * time.Millisecond, turmericwall.EndRefuted, false, false, "unread"},
		{"unread, unknown", "/r/x", 1200 * time.Millisecond, turmericwall.EndUnknown, false, false, "unread"},
		{"unread, ended", "/m/x", 1200 * time.Millisecond, turmericwall.EndProved, true, true, "unread"},
		{"read, alive", "/m/x", 10 * time.Millisecond, turmericwall.EndRefuted, true, false, "upstream"},
		{"read, unknown", "/m/x", 10 * time.Millisecond, turmericwall.EndUnknown, true, true, "upstream"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
			s.found.Store(int64(test.found))
			s.upstreams.send = engineAnswers{
				"d1": func(context.Context, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
					return cutAnswer("text/event-stream", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\n"), nil
				},
			}.send
			s.serveSlowly(test.path, test.pause)
			g.Expect(s.placer.last().FailedEngine != "").To(Equal(test.failed))
			g.Expect(s.flushes.Load() > 0).To(Equal(test.ends))
			g.Expect(s.outcomes[0].EndedBy).To(Equal(test.endedBy))
			g.Expect(s.outcomes[0].Result).To(Equal("brokenOff"))
			g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1"}))
		})
	}
}

// Guards against a plain upstream that is suspected because it cut off an answer that its caller didn't read.
func TestCutOfAnUnreadPlainAnswerIsNoEnd(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallNonIdempotent)
	s.found.Store(int64(turmericwall.EndUnknown))
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return cutAnswer("text/plain", strings.Repeat("x", 64<<10), "a", "b"), nil
	}
	plan, _ := s.routes.Plan()
	longer := *plan
	longer.Version, longer.Routes = plan.Version+1, slices.Clone(plan.Routes)
	longer.Routes[0].TimeoutMillis = 5000
	s.routes.Apply(&longer)
	s.serveSlowly("/p/x", 1200*time.Millisecond)
	g.Expect(s.outcomes[0].EndedBy).To(Equal("unread"))
	g.Expect(s.checks.Load()).To(BeEquivalentTo(1))
	g.Expect(s.flushes.Load()).To(BeZero())
}

// Guards against answers of many slow callers that together take all memory, and against calls that fail for want of it.
func TestAnswersAreStreamedOnWithoutMemoryForThem(t *testing.T) {
	g := NewWithT(t)
	memory := twbudget.New(twbudget.Config{Bytes: 1})
	s := newFixture(turmericwall.CallIdempotent)
	s.useBuffers(memory)
	body := strings.Repeat("0123456789abcdef", 4<<10)
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return answer(200, body), nil
	}
	w, err := s.serve(context.Background(), "/p/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String() == body).To(BeTrue())
	g.Expect(memory.Refused()).To(BeNumerically(">", 0))
	g.Expect(memory.Held()).To(BeZero())
}

// Guards against an event without end that takes a daemon's memory, against memory that is kept after it, and against an
// engine that fails or counts as ended because this daemon has no memory.
func TestLargeEventsAreBounded(t *testing.T) {
	large := "id: 1\ndata: " + strings.Repeat("x", 200<<10) + "\n\n"
	for _, test := range []struct {
		name           string
		memory         int64
		event          string
		result, failed string
	}{
		{"within the limit", 1 << 20, large, "answered", ""},
		{"without end", 1 << 20, strings.TrimSpace(large) + large, "failed", "d1"},
		{"without memory", 64 << 10, large, "failed", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			memory := twbudget.New(twbudget.Config{Bytes: test.memory})
			s := newModelFixture(splitPlacement("d1"))
			s.useBuffers(memory)
			s.setEnded(true)
			s.upstreams.send = engineAnswers{
				"d1": func(context.Context, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
					a := answer(200, "")
					a.Header.Set("Content-Type", "text/event-stream")
					a.Length, a.Framing = -1, turmericwall.FramingChunks
					a.Body = io.NopCloser(bytes.NewReader([]byte(test.event)))
					return a, nil
				},
			}.send
			w, _ := s.serveWithin(context.Background(), "/m/x", resumeSpan)
			g.Expect(s.outcomes[0].Result).To(Equal(test.result))
			g.Expect(s.placer.last().FailedEngine).To(Equal(test.failed))
			g.Expect(s.flushes.Load()).To(BeZero(), "what sends too much hasn't ended")
			g.Expect(memory.Held()).To(BeZero())
			if test.result == "answered" {
				g.Expect(w.Body.String() == test.event).To(BeTrue())
			}
		})
	}
}
