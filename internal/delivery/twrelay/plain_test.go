package twrelay_test

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twrelay"
)

func TestAnAnswerIsPassedOnUnchanged(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallNonIdempotent)
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return answer(200, "booked"), nil
	}
	w, err := s.serve(context.Background(), "/p/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(200))
	g.Expect(w.Body.String()).To(Equal("booked"))
	g.Expect(w.Header().Get("X-Server-Signature")).To(Equal("sig"))
	g.Expect(s.outcomes[0].Result).To(Equal("answered"))
}

// A booking reaches an upstream, and the connection breaks before the answer. The booking may have been made, so the
// caller must not get "not run", and the call must not go to a second upstream.
func TestANonIdempotentCallThatMayHaveRunIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallNonIdempotent)
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return nil, &turmericwall.SendError{Sent: true, Err: errConnectionReset}
	}
	w, _ := s.serve(context.Background(), "/p/x")
	g.Expect(w.Code).To(Equal(502))
	g.Expect(s.upstreams.sentTo()).To(HaveLen(1))
}

// The first upstream refuses a booking before it runs, so the call may go to a second one.
func TestANonIdempotentCallIsSentAgainAfterARefusal(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallNonIdempotent)
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		if len(s.upstreams.sentTo()) == 1 {
			return nil, notRunError()
		}
		return answer(200, "booked"), nil
	}
	w, _ := s.serve(context.Background(), "/p/x")
	g.Expect(w.Code).To(Equal(200))
	g.Expect(s.upstreams.sentTo()).To(HaveLen(2))
}

// A failing upstream answers 503 to a booking without stating that it did not run. If the status were passed on, the
// caller would take the booking as not made and repeat it.
func TestAnUnstatedNotRunStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		g := NewWithT(t)
		s := newFixture(turmericwall.CallNonIdempotent)
		s.upstreams.send = func(
			context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
		) (*turmericwall.Answer, error) {
			return answer(status, "no"), nil
		}
		w, _ := s.serve(context.Background(), "/p/x")
		g.Expect(w.Code).To(Equal(502))
		g.Expect(w.Header().Get("X-Server-Signature")).To(BeEmpty())
	}
}

func TestACallThatNoUpstreamRanIsRefusedWithARetryTime(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallNonIdempotent)
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return nil, notRunError()
	}
	w, _ := s.serve(context.Background(), "/p/x")
	g.Expect(w.Code).To(Equal(503))
	g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	w, _ = s.serve(context.Background(), "/e/x")
	g.Expect(w.Code).To(Equal(503), "a service without upstreams")
}

func TestAnIdempotentCallIsSentToASecondUpstreamAfterAFailure(t *testing.T) {
	cases := []struct {
		name  string
		first func() (*turmericwall.Answer, error)
	}{
		{"after an error status", func() (*turmericwall.Answer, error) { return answer(500, "no"), nil }},
		{"after a broken connection", func() (*turmericwall.Answer, error) {
			return nil, &turmericwall.SendError{Sent: true, Err: errConnectionReset}
		}},
		{"after a truncated answer", func() (*turmericwall.Answer, error) { return brokenAnswer("he", io.ErrUnexpectedEOF), nil }},
		{"after an encoded answer", func() (*turmericwall.Answer, error) {
			a := answer(200, "xx")
			a.Header.Set("Content-Encoding", "gzip")
			return a, nil
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(turmericwall.CallIdempotent)
			s.upstreams.send = func(
				context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
			) (*turmericwall.Answer, error) {
				if len(s.upstreams.sentTo()) == 1 {
					return c.first()
				}
				return answer(200, "table seven"), nil
			}
			w, _ := s.serve(context.Background(), "/p/x")
			g.Expect(w.Code).To(Equal(200))
			g.Expect(w.Body.String()).To(Equal("table seven"))
			g.Expect(s.upstreams.sentTo()).To(HaveLen(2))
		})
	}
}

// An upstream accepts a look-up and does not answer. The call must be sent to a second upstream well within the target
// time, and the first answer is passed on.
func TestAnIdempotentCallIsHedgedWhenItsUpstreamIsUnresponsive(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallIdempotent)
	s.upstreams.send = func(
		ctx context.Context, _ turmericwall.Upstream, _ turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		if len(s.upstreams.sentTo()) == 1 {
			<-ctx.Done()
			return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
		}
		return answer(200, "table seven"), nil
	}
	began := time.Now()
	w, _ := s.serve(context.Background(), "/p/x")
	g.Expect(w.Code).To(Equal(200))
	g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
}

// When both upstreams fail, their answer is passed on unchanged after no more sends than the route allows.
func TestAFailureIsPassedOnWhenNoUpstreamSucceeds(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallIdempotent)
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return answer(500, "broken"), nil
	}
	w, _ := s.serve(context.Background(), "/p/x")
	g.Expect(w.Code).To(Equal(500))
	g.Expect(w.Header().Get("X-Server-Signature")).To(Equal("sig"))
	g.Expect(s.upstreams.sentTo()).To(HaveLen(2))
}

// The route's time-out ends a call to an unresponsive upstream although the caller would wait longer.
func TestTheRoutesTimeoutEndsACall(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallNonIdempotent)
	s.upstreams.send = func(
		ctx context.Context, _ turmericwall.Upstream, _ turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		<-ctx.Done()
		return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
	}
	began := time.Now()
	w, _ := s.serve(context.Background(), "/p/x")
	g.Expect(w.Code).To(Equal(504))
	g.Expect(time.Since(began)).To(BeNumerically("~", 900*time.Millisecond, 250*time.Millisecond))
}

// When the caller leaves, its sends are cancelled and its connection is closed without an answer.
func TestSendsAreCancelledWhenTheCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallIdempotent)
	ended := make(chan struct{}, 2)
	s.upstreams.send = func(
		ctx context.Context, _ turmericwall.Upstream, _ turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		<-ctx.Done()
		ended <- struct{}{}
		return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
	}
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, leave)
	_, err := s.serve(ctx, "/p/x")
	g.Expect(err).To(MatchError(twrelay.ErrAnswerTruncated))
	g.Eventually(ended).Should(Receive())
	g.Expect(s.outcomes[0].Result).To(Equal("left"))
}

func TestALongAnswerThatIsCutShortIsNotCompleted(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallNonIdempotent)
	long := make([]byte, 200_000)
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return brokenAnswer(string(long), io.ErrUnexpectedEOF), nil
	}
	_, err := s.serve(context.Background(), "/p/x")
	g.Expect(err).To(MatchError(twrelay.ErrAnswerTruncated))
}

func TestUnknownRoutesAndLargeBodiesAreRefused(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallIdempotent)
	w, _ := s.serve(context.Background(), "/nowhere")
	g.Expect(w.Code).To(Equal(404))
	now := time.Now()
	_ = s.relay.Serve(context.Background(), w, turmericwall.RoutedCall{
		ID: "big", Host: "h", Path: "/p/x", Body: make([]byte, 2000), ReceivedAt: now, Deadline: now.Add(time.Second),
	})
	g.Expect(s.outcomes[1].Result).To(Equal("failed"))
	g.Expect(s.upstreams.sentTo()).To(BeEmpty())
}

// Idempotent calls fail while the retry budget is used up. They must not be sent again, because the retries would keep
// the upstreams overloaded after the fault has ended.
func TestNoSecondSendBeyondTheBudget(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallIdempotent)
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return answer(500, "broken"), nil
	}
	const calls = 150
	for range calls {
		_, _ = s.serve(context.Background(), "/p/x")
	}
	g.Expect(len(s.upstreams.sentTo())-calls).To(BeNumerically("<=", 64), "0.8 of 0.2 x 150 and 50")
	g.Expect(len(s.upstreams.sentTo()) - calls).To(BeNumerically(">", 50))
}

// Guards against calls that are refused because sends that never left this daemon used up the retry budget.
func TestUnsentSendsDoNotUseTheRetryBudget(t *testing.T) {
	for _, kind := range []turmericwall.CallKind{turmericwall.CallNonIdempotent, turmericwall.CallIdempotent} {
		g := NewWithT(t)
		s := newFixture(kind)
		spendBudget(s)
		sends := 0
		s.upstreams.send = func(
			context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
		) (*turmericwall.Answer, error) {
			if sends++; sends == 1 {
				return nil, &turmericwall.SendError{ConnectFailed: true, Err: errConnectionReset}
			}
			return answer(200, "ok"), nil
		}
		w, _ := s.serve(context.Background(), "/p/x")
		g.Expect(w.Code).To(Equal(200), string(kind))
		s.upstreams.send = func(
			context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
		) (*turmericwall.Answer, error) {
			return nil, notRunError()
		}
		before := len(s.upstreams.sentTo())
		_, _ = s.serve(context.Background(), "/p/x")
		g.Expect(len(s.upstreams.sentTo())-before).To(Equal(1), "a refused send was made, and the budget is used up")
	}
}

// spendBudget uses up the retry budget of the plain service.
func spendBudget(s *fixture) {
	for s.retries.Spend(time.Now(), "plain", 1) {
	}
}
