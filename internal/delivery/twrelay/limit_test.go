package twrelay_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// limit lets the fixture's plain service be at its limit: four times as many calls arrive as its upstreams carry.
func (s *fixture) limit() {
	load := turmericwall.ServiceLoad{Service: "plain", Arrivals: 1200}
	for _, id := range []string{"a", "b", "c"} {
		load.Upstreams = append(load.Upstreams, turmericwall.UpstreamLoad{ID: id, Open: 12, Answers: 100, AnswerMillis: 54})
	}
	s.limiter.Apply(time.Now(), []turmericwall.ServiceLoad{load})
}

// Guards against calls that wait at upstreams although they can't be answered in time, and against a refusal without the
// numbers behind it.
func TestCallAtTheLimitIsRefusedAtOnceWithARetryTime(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallNonIdempotent)
	s.limit()
	w, err := s.serveWithin(context.Background(), "/p/x", 900*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(503))
	g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(s.upstreams.sentTo()).To(BeEmpty())
	g.Expect(s.outcomes[0].LimitReason).To(Equal("limit"))
	g.Expect(s.log.String()).To(ContainSubstring(`"limitReason":"limit"`))
	g.Expect(s.log.String()).To(ContainSubstring(`"arrivals":1200`))
}

// Guards against a retry whose target has passed and that takes the place of a call which can still be on time.
func TestRetryCountsItsTargetFromItsFirstTry(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallNonIdempotent)
	s.limit()
	_, err := s.serveWithin(context.Background(), "/p/x", 800*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.outcomes[0].LimitReason).To(Equal("late"))
}

// Guards against second sends that take the place of other calls.
func TestNoHedgedRequestIsSentAtTheLimit(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallIdempotent)
	s.credit = 0.999
	s.limit()
	s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
		time.Sleep(150 * time.Millisecond)
		return answer(200, "found"), nil
	}
	w, err := s.serve(context.Background(), "/p/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(200))
	g.Expect(s.upstreams.sentTo()).To(HaveLen(1))
}

// Guards against calls that may run only once and are sent to upstreams that have stopped answering.
func TestCallIsRefusedWhenAllUpstreamsHaveStoppedAnswering(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallNonIdempotent)
	load := turmericwall.ServiceLoad{Service: "plain", Arrivals: 10}
	for _, id := range []string{"a", "b", "c"} {
		load.Upstreams = append(load.Upstreams, turmericwall.UpstreamLoad{ID: id, Open: 2, Unanswered: 2, UnansweredMillis: 500})
	}
	s.picker.ApplyLoads(time.Now(), []turmericwall.ServiceLoad{load})
	w, _ := s.serve(context.Background(), "/p/x")
	g.Expect(w.Code).To(Equal(503))
	g.Expect(s.upstreams.sentTo()).To(BeEmpty())
	g.Expect(s.outcomes[0].LimitReason).To(Equal("silent"))
}
