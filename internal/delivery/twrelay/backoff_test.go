package twrelay_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// Guards against a placement on an engine that is in back-off for this daemon, which the leader does not know.
func TestEnginesInBackoffAreAvoidedByPlacements(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d2"))
	s.throttle.backOff("d1", time.Second)
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(200))
	g.Expect(s.placer.requests[0].Avoid).To(Equal([]string{"d1"}))
}

// Guards against a call that waits for a placement while all engines are in back-off.
func TestACallIsRefusedWithARetryTimeWhenAllEnginesAreInBackoff(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	s.throttle.backOff("d1", 3*time.Second)
	s.throttle.backOff("d2", 2*time.Second)
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(503))
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seconds).To(BeNumerically("~", 2, 0.1))
	g.Expect(s.placer.requests).To(BeEmpty())
}

// Guards against a call sent to a decode engine that asked to back off during the prefill.
func TestADecodeEngineThatBacksOffDuringPrefillGetsNoCall(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), splitPlacement("d2"))
	s.upstreams.prefill = func(int) (turmericwall.EngineExport, error) {
		s.throttle.backOff("d1", time.Second)
		return turmericwall.EngineExport{Address: "p:1", Handle: "h"}, nil
	}
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(200))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d2"}))
	g.Expect(s.throttle.admitted["d1"]).To(BeZero())
}
