package twrelay_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// closeUpstream makes an upstream accept no call for the duration.
func (s *fixture) closeUpstream(id string, span time.Duration) {
	s.throttle.closedUntil[id] = time.Now().Add(span)
}

var plainKinds = []turmericwall.CallKind{turmericwall.CallIdempotent, turmericwall.CallNonIdempotent}

// Guards against a call above an upstream's rate that is refused although another upstream accepts it.
func TestACallAboveAnUpstreamsRateGoesToAnotherOne(t *testing.T) {
	for _, kind := range plainKinds {
		g := NewWithT(t)
		s := newFixture(kind)
		s.closeUpstream("a", time.Second)
		s.closeUpstream("b", time.Second)
		s.upstreams.send = func(
			context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
		) (*turmericwall.Answer, error) {
			return answer(200, "ok"), nil
		}
		w, _ := s.serve(context.Background(), "/p/x")
		g.Expect(w.Code).To(Equal(200))
		g.Expect(s.upstreams.sentTo()).To(Equal([]string{"c"}))
	}
}

// Guards against a call that waits, or gets no retry time, when all upstreams have reached their rates.
func TestACallAboveAllRatesIsRefusedAtOnceWithARetryTime(t *testing.T) {
	for _, kind := range plainKinds {
		g := NewWithT(t)
		s := newFixture(kind)
		for i, id := range []string{"b", "a", "c"} {
			s.closeUpstream(id, time.Duration(i+1)*2*time.Second)
		}
		began := time.Now()
		w, _ := s.serve(context.Background(), "/p/x")
		g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		g.Expect(w.Code).To(Equal(503))
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seconds).To(BeNumerically("~", 2, 0.1), "the earliest time at which an upstream accepts a call")
		g.Expect(s.upstreams.sentTo()).To(BeEmpty())
		g.Expect(s.outcomes[0].Cause).To(Equal(turmericwall.KindOverloaded))
	}
}

// Guards against retries and hedged sends that ignore the upstream's rate.
func TestRetriesAndHedgedSendsRespectRates(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  turmericwall.CallKind
		first func(ctx context.Context) (*turmericwall.Answer, error)
	}{
		{"a retry after a failure", turmericwall.CallIdempotent, func(context.Context) (*turmericwall.Answer, error) { return answer(500, "no"), nil }},
		{"a retry after a refusal", turmericwall.CallNonIdempotent, func(context.Context) (*turmericwall.Answer, error) { return nil, notRunError() }},
		{"a hedged send beside an unresponsive upstream", turmericwall.CallIdempotent, func(ctx context.Context) (*turmericwall.Answer, error) {
			<-ctx.Done()
			return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(c.kind)
			s.closeUpstream("b", time.Second)
			s.upstreams.send = func(
				ctx context.Context, to turmericwall.Upstream, _ turmericwall.OutgoingCall,
			) (*turmericwall.Answer, error) {
				if to.ID == "a" {
					return c.first(ctx)
				}
				return answer(200, "ok"), nil
			}
			w, _ := s.serve(context.Background(), "/p/x")
			g.Expect(w.Code).To(Equal(200))
			g.Expect(s.upstreams.sentTo()).To(Equal([]string{"a", "c"}))
			g.Expect(s.throttle.admitted).To(Equal(map[string]int{"a": 1, "c": 1}))
		})
	}
}

// Guards against an admitted send that is not returned when the retry budget refuses it.
func TestTheAdmissionOfASendWithoutRetryBudgetIsReturned(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallNonIdempotent)
	for s.retries.Spend(time.Now(), "plain", 1) {
		continue
	}
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return nil, notRunError()
	}
	_, _ = s.serve(context.Background(), "/p/x")
	g.Expect(s.upstreams.sentTo()).To(HaveLen(1))
	total := 0
	for _, n := range s.throttle.admitted {
		total += n
	}
	g.Expect(total).To(Equal(1))
}

// Guards against a prefill for a decode engine that accepts no further call.
func TestAModelCallAboveAnEnginesRateIsPlacedOnOtherEngines(t *testing.T) {
	for _, limited := range []string{"d1", "p1"} {
		g := NewWithT(t)
		other := turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)}
		s := newModelFixture(splitPlacement("d1"), other)
		s.closeUpstream(limited, time.Second)
		w, _ := s.serve(context.Background(), "/m/x")
		g.Expect(w.Code).To(Equal(200))
		g.Expect(s.upstreams.prefills).To(BeZero())
		g.Expect(s.upstreams.reservations).To(Equal(1), "nothing is reserved at the engine of the first placement")
		g.Expect(s.placer.requests[1].Avoid).To(Equal([]string{limited}))
		g.Expect(s.placer.updates[0].NotRun).To(BeTrue())
		g.Expect(s.throttle.admitted["d1"]).To(BeZero())
		g.Expect(s.throttle.admitted["d2"]).To(Equal(1))
	}
}

// Guards against a run that is moved to an engine above its rate; it must stay on its engine.
func TestARunIsNotMovedToAnEngineThatRefusesCalls(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
	s.closeUpstream("d2", time.Second)
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		leaving := engine("d1", turmericwall.RoleDecode)
		leaving.Leaving = true
		s.view.Put(5, leaving)
		a := answer(200, "")
		a.Length, a.Body = -1, &slowBody{parts: []string{events(1, 2), events(3, 4)}, pause: 150 * time.Millisecond}
		return a, nil
	}
	s.upstreams.move = func(_, _ turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
		t.Error("the run was moved")
		return turmericwall.EngineExport{}, false, nil
	}
	w, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 4)))
	g.Expect(s.outcomes[0].Result).To(Equal("answered"))
	g.Expect(s.throttle.admitted["d2"]).To(BeZero())
}
