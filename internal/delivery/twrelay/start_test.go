package twrelay_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twreadiness"
)

// Guards against a call that reaches an upstream before its daemon knows what it must know, a wait that doesn't know the call's target, and
// a call without a route that waits for its refusal.
func TestCallIsHeldUntilItsDaemonKnowsEnough(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallIdempotent)
	var described []twreadiness.Call
	problem := turmericwall.NewProblem(turmericwall.KindNotReady, "not yet", "come back").WithRetryAt(time.Now().Add(time.Second))
	s.awaitStart = func(_ context.Context, _ string, describe func() twreadiness.Call) error {
		described = append(described, describe())
		return problem
	}
	w, err := s.serve(context.Background(), "/m/1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(s.upstreams.sentTo()).To(BeEmpty())
	g.Expect(described).To(HaveLen(1))
	g.Expect(described[0].Model).To(BeTrue())
	g.Expect(described[0].TargetAt.Sub(described[0].ReceivedAt)).To(Equal(time.Second))
	w, err = s.serve(context.Background(), "/nowhere/1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(http.StatusNotFound))
	g.Expect(described).To(HaveLen(1))
}
