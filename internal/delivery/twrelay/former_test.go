package twrelay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twfence"
	"github.com/turmericwall/turmericwall/internal/delivery/twrelay"
	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
)

// withProofs has the ends of runs proved by the function.
func (s *fixture) withProofs(prove func(ctx context.Context, run twfence.Run) (twrunend.Proof, error)) {
	s.config.ProveEnd = prove
	s.relay = twrelay.New(s.config)
}

// Guards against a stream that goes on at another engine while the engine of the run before works on.
func TestAStreamGoesOnOnceTheRunBeforeHasEnded(t *testing.T) {
	for name, cause := range map[string]func(context.Context, turmericwall.OutgoingCall) (*turmericwall.Answer, error){
		"a connection that breaks": stream(events(1, 2), io.ErrUnexpectedEOF),
		"no answer": func(context.Context, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
			return nil, &turmericwall.SendError{Sent: true, Err: errConnectionReset}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
			s.upstreams.send = engineAnswers{"d1": cause}.send
			var asked []string
			s.withProofs(func(_ context.Context, run twfence.Run) (twrunend.Proof, error) {
				asked = append(asked, run.Engine.ID)
				g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1"}))
				return twrunend.ProofStopped, nil
			})
			w, err := s.serveWithin(context.Background(), "/r/x", resumeSpan)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(w.Body.String()).To(Equal(events(1, 6)))
			g.Expect(asked).To(Equal([]string{"d1"}))
		})
	}
}

// Guards against a second run, and against "not run", if nothing shows that the first run has ended.
func TestAStreamWhoseRunMayWorkOnRunsNowhereElse(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
	s.upstreams.send = engineAnswers{"d1": func(context.Context, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
		return nil, &turmericwall.SendError{Sent: true, Err: errConnectionReset}
	}}.send
	s.withProofs(func(ctx context.Context, _ twfence.Run) (twrunend.Proof, error) {
		<-ctx.Done()
		return "", twfence.ErrUnproved
	})
	w, err := s.serveWithin(context.Background(), "/r/x", 300*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(http.StatusGatewayTimeout))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1"}))
	g.Expect(s.upstreams.prefills).To(Equal(1), "no prompt is read for a run that may not begin")
}

// Guards against a stream that goes on at another engine while the engine before has preempted its run, and against one that is lost
// with each connection.
func TestAStreamGoesOnAtTheEngineThatMayRunItLater(t *testing.T) {
	for _, c := range []struct {
		name   string
		places []turmericwall.Placement
		sentTo []string
		want   string
	}{
		{"the same engine", []turmericwall.Placement{splitPlacement("d1"), splitPlacement("d1")}, []string{"d1", "d1"}, events(1, 6)},
		{"a leader that places it elsewhere", []turmericwall.Placement{splitPlacement("d1"), splitPlacement("d2")}, []string{"d1"}, events(1, 2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newModelFixture(c.places...)
			s.upstreams.send = func(_ context.Context, _ turmericwall.Upstream, call turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
				if call.ResumeAfter == 0 {
					return brokenAnswer(events(1, 2), io.ErrUnexpectedEOF), nil
				}
				return answer(200, events(3, 6)), nil
			}
			s.withProofs(func(context.Context, twfence.Run) (twrunend.Proof, error) {
				return "", errors.Join(twfence.ErrUnproved, twfence.ErrAbsent)
			})
			w, _ := s.serveWithin(context.Background(), "/r/x", 700*time.Millisecond)
			g.Expect(w.Body.String()).To(Equal(c.want))
			g.Expect(s.upstreams.sentTo()).To(Equal(c.sentTo))
			for _, later := range s.upstreams.sends[1:] {
				g.Expect(later.Repeated).To(BeTrue())
			}
			g.Expect(s.placer.requests[1].Only).To(Equal("d1"))
			g.Expect(s.placer.requests[1].Avoid).To(BeEmpty())
		})
	}
}

// Guards against a stream that waits for the only engine at which it may go on until its caller leaves.
func TestAStreamThatItsEngineDoesNotTakeEndsSoon(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	s.upstreams.send = engineAnswers{"d1": stream(events(1, 2), io.ErrUnexpectedEOF)}.send
	s.withProofs(func(context.Context, twfence.Run) (twrunend.Proof, error) {
		return "", errors.Join(twfence.ErrUnproved, twfence.ErrAbsent)
	})
	beganAt := time.Now()
	w, err := s.serveWithin(context.Background(), "/r/x", 8*time.Second)
	g.Expect(err).To(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 2)))
	// Its caller waits for four times its target.
	g.Expect(time.Since(beganAt)).To(BeNumerically("<", 4*time.Second))
	g.Expect(s.placer.requests[1].GiveUpDeadline).To(BeTemporally("<", beganAt.Add(4*time.Second)))
}

// Guards against the second run of a call at an engine that is moved, or taken over, by an order which may stop the first one.
func TestARunBesideAnEarlierOneIsNotMoved(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
	s.upstreams.send = func(_ context.Context, _ turmericwall.Upstream, call turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
		if call.ResumeAfter == 0 {
			return brokenAnswer(events(1, 2), io.ErrUnexpectedEOF), nil
		}
		leaving := engine("d1", turmericwall.RoleDecode)
		leaving.Leaving = true
		s.view.Put(2, leaving)
		return answer(200, events(3, 6)), nil
	}
	s.upstreams.onCopy = func() { t.Error("the run is moved") }
	s.upstreams.move = func(_, _ turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
		return turmericwall.EngineExport{}, false, notRunError()
	}
	proofs := 0
	s.withProofs(func(context.Context, twfence.Run) (twrunend.Proof, error) {
		proofs++
		return "", errors.Join(twfence.ErrUnproved, twfence.ErrAbsent)
	})
	w, err := s.serveWithin(context.Background(), "/r/x", resumeSpan)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 6)))
	g.Expect(proofs).To(Equal(1))
}

// Guards against a stream that is taken from an engine whose process stands still, and goes on by itself.
func TestAStreamWaitsForAnEngineThatStandsStill(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
	s.found.Store(int64(turmericwall.EndUnknown))
	s.upstreams.send = engineAnswers{"d1": func(ctx context.Context, _ turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
		body := newSilentBody(ctx, events(1, 2))
		body.pause, body.rest = 2500*time.Millisecond, strings.NewReader(events(3, 6))
		return &turmericwall.Answer{Status: 200, Length: -1, Header: http.Header{}, Body: body}, nil
	}}.send
	w, err := s.serveWithin(context.Background(), "/r/x", resumeSpan)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 6)))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1"}))
	g.Expect(s.upstreams.prefills).To(Equal(1))
}

// Guards against a caller that waits for a stream whose engine is unreachable, and could take it up elsewhere.
func TestASilentStreamOfAnUnreachableEngineEnds(t *testing.T) {
	g, beganAt := NewWithT(t), time.Now()
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
	s.found.Store(int64(turmericwall.EndUnknown))
	s.config.PathLost = func(turmericwall.UpstreamKey) bool { return true }
	s.upstreams.send = engineAnswers{"d1": func(ctx context.Context, _ turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
		return &turmericwall.Answer{Status: 200, Length: -1, Header: http.Header{}, Body: newSilentBody(ctx, events(1, 2))}, nil
	}}.send
	s.withProofs(func(context.Context, twfence.Run) (twrunend.Proof, error) {
		return "", errors.Join(twfence.ErrUnproved, twfence.ErrUnreachable)
	})
	_, err := s.serveWithin(context.Background(), "/r/x", time.Minute)
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.log.String()).To(ContainSubstring("its machine acknowledges nothing"))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1"}))
	g.Expect(time.Since(beganAt)).To(BeNumerically("<", 5*time.Second))
}

// Guards against a stream that is lost because its run counts as waiting, although its engine had begun to write the first event.
func TestARunHasBegunWithTheFirstByteOfItsBody(t *testing.T) {
	for body, begun := range map[string]bool{"": false, "i": true, events(1, 1): true} {
		t.Run(fmt.Sprint(len(body), " bytes"), func(t *testing.T) {
			g := NewWithT(t)
			s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
			s.upstreams.send = engineAnswers{"d1": stream(body, io.ErrUnexpectedEOF)}.send
			var asked []bool
			s.withProofs(func(_ context.Context, run twfence.Run) (twrunend.Proof, error) {
				asked = append(asked, run.HasBegun)
				return twrunend.ProofStopped, nil
			})
			_, err := s.serveWithin(context.Background(), "/r/x", resumeSpan)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(asked).To(Equal([]bool{begun}))
		})
	}
}

// Guards against a silent call that is taken from the engine at which it waits for its turn, and runs there later.
func TestACallThatWaitsAtItsEngineStaysThere(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
	s.found.Store(int64(turmericwall.EndRefuted))
	s.withProofs(func(context.Context, twfence.Run) (twrunend.Proof, error) { return "", twfence.ErrUnproved })
	s.upstreams.send = engineAnswers{"d1": func(context.Context, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
		time.Sleep(2500 * time.Millisecond)
		return answer(200, events(1, 6)), nil
	}}.send
	w, err := s.serveWithin(context.Background(), "/r/x", resumeSpan)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 6)))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1"}))
	g.Expect(s.upstreams.prefills).To(Equal(1))
}

// Guards against a silent stream whose exchange is closed before it is known that its engine has ended the run.
func TestASilentStreamIsStoppedBeforeItsExchangeIsClosed(t *testing.T) {
	for name, proof := range map[string]twrunend.Proof{"stopped": twrunend.ProofStopped, "unproved": ""} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
			s.found.Store(int64(turmericwall.EndRefuted))
			var silent *silentBody
			s.upstreams.send = engineAnswers{"d1": func(ctx context.Context, _ turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
				silent = newSilentBody(ctx, events(1, 2))
				silent.pause, silent.rest = 2500*time.Millisecond, strings.NewReader(events(3, 6))
				return &turmericwall.Answer{Status: 200, Length: -1, Header: http.Header{}, Body: silent}, nil
			}}.send
			s.withProofs(func(_ context.Context, run twfence.Run) (twrunend.Proof, error) {
				g.Expect(run.HasBegun).To(BeTrue())
				g.Expect(silent.closed).NotTo(BeClosed())
				if proof == "" {
					return "", twfence.ErrUnproved
				}
				return proof, nil
			})
			w, err := s.serveWithin(context.Background(), "/r/x", resumeSpan)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(w.Body.String()).To(Equal(events(1, 6)))
			want := []string{"d1", "d2"}
			if proof == "" {
				want = want[:1]
			}
			g.Expect(s.upstreams.sentTo()).To(Equal(want))
		})
	}
}
