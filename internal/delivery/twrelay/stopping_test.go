package twrelay_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twrelay"
)

// Guards against calls that are open when the daemon exits and end with a closed connection, although a true answer is
// possible, and against their being counted as left by their callers.
func TestACallThatIsOpenWhenTheDaemonExitsGetsItsLastAnswer(t *testing.T) {
	for _, c := range []struct {
		name, result string
		status       int
		send         func(exit func()) func(ctx context.Context, call turmericwall.OutgoingCall) (*turmericwall.Answer, error)
	}{
		{"sent to no engine", "refused", 503, nil},
		{"sent", "failed", 502, func(exit func()) func(context.Context, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
			return func(ctx context.Context, _ turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
				exit()
				<-ctx.Done()
				return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
			}
		}},
		{"begun", "brokenOff", 200, func(exit func()) func(context.Context, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
			return func(ctx context.Context, _ turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
				body := &endingBody{events: strings.NewReader(events(1, 2)), end: func() error {
					exit()
					<-ctx.Done()
					return ctx.Err()
				}}
				return &turmericwall.Answer{Status: 200, Length: -1, Header: http.Header{}, Body: body}, nil
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, end := context.WithCancelCause(context.Background())
			exit := func() { end(twrelay.ErrStopping) }
			s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
			if c.send == nil {
				s.upstreams.unresponsive = map[string]bool{"d1": true, "d2": true}
				exit()
			} else {
				s.upstreams.send = engineAnswers{"d1": c.send(exit)}.send
			}
			w, _ := s.serveWithin(ctx, "/r/x", resumeSpan)
			g.Expect(w.Code).To(Equal(c.status))
			g.Expect(s.outcomes[0].Result).To(Equal(c.result))
			if c.result != "refused" {
				g.Expect(s.outcomes[0].EndedBy).To(Equal("process"))
			}
			g.Expect(s.log.String()).To(MatchRegexp(`"event":200[24],[^\n]*"request":"id1"`))
		})
	}
}

// Guards against calls that are taken in a planned stop and cut at its end.
func TestAStoppingDaemonRefusesCallsThatItCannotComplete(t *testing.T) {
	for _, path := range []string{"/m/x", "/r/x", "/p/x"} {
		for name, c := range map[string]struct {
			exitIn, waits time.Duration
			status        int
		}{
			"the exit is before the deadline": {400 * time.Millisecond, 2 * time.Second, 503},
			"the deadline is before the exit": {time.Minute, 2 * time.Second, 200},
			"the caller leaves before":        {400 * time.Millisecond, 300 * time.Millisecond, 200},
		} {
			t.Run(path+" "+name, func(t *testing.T) {
				g := NewWithT(t)
				s := newModelFixture(splitPlacement("d1"))
				s.upstreams.send = engineAnswers{}.send
				s.drain.Begin(time.Now().Add(c.exitIn))
				w, _ := s.serveWithin(context.Background(), path, c.waits)
				g.Expect(w.Code).To(Equal(c.status))
				if c.status == 503 {
					g.Expect(w.Header().Get("Retry-After")).To(Equal("0.05"))
					g.Expect(s.upstreams.prefills).To(BeZero())
					g.Expect(s.upstreams.sentTo()).To(BeEmpty())
				}
			})
		}
	}
}

// Guards against a call that waits for its placement as the daemon stops, until it can only be cut.
func TestAWaitingCallIsRefusedOnceTheDaemonStops(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	s.placer.waits = true
	time.AfterFunc(200*time.Millisecond, func() { s.drain.Begin(time.Now().Add(time.Second)) })
	began := time.Now()
	w, _ := s.serveWithin(context.Background(), "/r/x", 5*time.Second)
	g.Expect(w.Code).To(Equal(503))
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	g.Expect(s.upstreams.sentTo()).To(BeEmpty())
}
