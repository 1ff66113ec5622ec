package twrelay_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// Guards against a placement on an engine that wants no call from this daemon, which the leader doesn't know.
func TestEnginesThatAskToBackOffAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d2"))
	s.throttle.backOff("d1", time.Second)
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(200))
	g.Expect(s.placer.asked[0].Avoid).To(Equal([]string{"d1"}))
}

// Guards against a call that waits for engines of which none wants it.
func TestACallThatNoEngineWantsIsRefusedAtOnceWithATimeToComeBack(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"))
	s.throttle.backOff("d1", 3*time.Second)
	s.throttle.backOff("d2", 2*time.Second)
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(503))
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seconds).To(BeNumerically("~", 2, 0.1))
	g.Expect(s.placer.asked).To(BeEmpty())
}

// Guards against an answer sent to an engine that asked to back off while the prompt was read.
func TestAnAnswerGoesElsewhereWhenItsEngineAskedToBackOffMeanwhile(t *testing.T) {
	g := NewWithT(t)
	s := modelSite(split("d1"), split("d2"))
	s.upstreams.prefill = func(int) (turmericwall.EngineExport, error) {
		s.throttle.backOff("d1", time.Second)
		return turmericwall.EngineExport{Address: "p:1", Handle: "h"}, nil
	}
	w, _ := s.serve(context.Background(), "/m/x")
	g.Expect(w.Code).To(Equal(200))
	g.Expect(s.upstreams.reached()).To(Equal([]string{"d2"}))
	g.Expect(s.throttle.admitted["d1"]).To(BeZero())
}
