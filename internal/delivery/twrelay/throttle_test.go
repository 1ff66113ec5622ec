package twrelay_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// closed says that an upstream takes no call for so long.
func (s *site) closed(id string, span time.Duration) {
	s.throttle.closedUntil[id] = time.Now().Add(span)
}

var plainKinds = []turmericwall.CallKind{turmericwall.CallIdempotent, turmericwall.CallNonIdempotent}

// Guards against calls above an upstream's rate that are refused while another upstream takes them.
func TestACallAboveAnUpstreamsRateGoesToAnotherOne(t *testing.T) {
	for _, kind := range plainKinds {
		g := NewWithT(t)
		s := newSite(kind)
		s.closed("a", time.Second)
		s.closed("b", time.Second)
		s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
			return answer(200, "ok"), nil
		}
		w, _ := s.serve(context.Background(), "/p/x")
		g.Expect(w.Code).To(Equal(200))
		g.Expect(s.upstreams.reached()).To(Equal([]string{"c"}))
	}
}

// Guards against calls that wait, or hear no time to come back, when all upstreams have reached their rates.
func TestACallAboveAllRatesIsRefusedAtOnceWithATimeToComeBack(t *testing.T) {
	for _, kind := range plainKinds {
		g := NewWithT(t)
		s := newSite(kind)
		for i, id := range []string{"b", "a", "c"} {
			s.closed(id, time.Duration(i+1)*2*time.Second)
		}
		began := time.Now()
		w, _ := s.serve(context.Background(), "/p/x")
		g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		g.Expect(w.Code).To(Equal(503))
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seconds).To(BeNumerically("~", 2, 0.1), "the upstream that takes the next call first")
		g.Expect(s.upstreams.reached()).To(BeEmpty())
		g.Expect(s.outcomes[0].Cause).To(Equal(turmericwall.KindOverloaded))
	}
}

// Guards against repeats and second sends that choose their upstream past its rate.
func TestRepeatsAndSecondSendsKeepRates(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  turmericwall.CallKind
		first func(ctx context.Context) (*turmericwall.Answer, error)
	}{
		{"a repeat after a failure", turmericwall.CallIdempotent, func(context.Context) (*turmericwall.Answer, error) { return answer(500, "no"), nil }},
		{"a repeat after a refusal", turmericwall.CallNonIdempotent, func(context.Context) (*turmericwall.Answer, error) { return nil, refusal() }},
		{"a second send beside a silent one", turmericwall.CallIdempotent, func(ctx context.Context) (*turmericwall.Answer, error) {
			<-ctx.Done()
			return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSite(c.kind)
			s.closed("b", time.Second)
			s.upstreams.send = func(ctx context.Context, to turmericwall.Upstream, _ turmericwall.Outgoing) (*turmericwall.Answer, error) {
				if to.ID == "a" {
					return c.first(ctx)
				}
				return answer(200, "ok"), nil
			}
			w, _ := s.serve(context.Background(), "/p/x")
			g.Expect(w.Code).To(Equal(200))
			g.Expect(s.upstreams.reached()).To(Equal([]string{"a", "c"}))
			g.Expect(s.throttle.admitted).To(Equal(map[string]int{"a": 1, "c": 1}))
		})
	}
}

// Guards against a share of a rate that is lost to a repeat for which there is no budget.
func TestASendWithoutABudgetIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	s := newSite(turmericwall.CallNonIdempotent)
	for s.retries.Spend(time.Now(), "plain", 1) {
		continue
	}
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
		return nil, refusal()
	}
	_, _ = s.serve(context.Background(), "/p/x")
	g.Expect(s.upstreams.reached()).To(HaveLen(1))
	total := 0
	for _, n := range s.throttle.admitted {
		total += n
	}
	g.Expect(total).To(Equal(1))
}

// Guards against a prompt that is read for an engine that takes no further call.
func TestAModelCallAboveAnEnginesRateIsPlacedElsewhere(t *testing.T) {
	for _, limited := range []string{"d1", "p1"} {
		g := NewWithT(t)
		other := turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)}
		s := modelSite(split("d1"), other)
		s.closed(limited, time.Second)
		w, _ := s.serve(context.Background(), "/m/x")
		g.Expect(w.Code).To(Equal(200))
		g.Expect(s.upstreams.prefills).To(BeZero())
		g.Expect(s.upstreams.reservations).To(Equal(1), "nothing is reserved at the engine of the first placement")
		g.Expect(s.placer.asked[1].Avoid).To(Equal([]string{limited}))
		g.Expect(s.placer.ended[0].NotRun).To(BeTrue())
		g.Expect(s.throttle.admitted["d1"]).To(BeZero())
		g.Expect(s.throttle.admitted["d2"]).To(Equal(1))
	}
}

// Guards against a stream that goes on at an engine past its rate; it stays where it is.
func TestARunIsNotMovedToAnEngineThatTakesNoFurtherCall(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
	s.closed("d2", time.Second)
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.Outgoing) (*turmericwall.Answer, error) {
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
