package twrelay_test

import (
	"context"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twrelay"
	"github.com/turmericwall/turmericwall/internal/membership/twproof"
	"github.com/turmericwall/turmericwall/internal/routing/twmatcher"
)

// Guards against 404 for a route that may have been added since the daemon's plan was proved to be in force.
func TestCallWithoutRouteInUnprovenPlanIsRefusedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(turmericwall.CallIdempotent)
	s.config.Matcher = twmatcher.New(twmatcher.Config{Routes: s.routes, Proof: twproof.New(twproof.Config{})})
	s.relay = twrelay.New(s.config)
	w, err := s.serve(context.Background(), "/added/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(s.upstreams.sentTo()).To(BeEmpty())
	g.Expect(s.log.String()).To(ContainSubstring(`"planAgeMillis":-1`))
	g.Expect(s.outcomes[0].Result).To(Equal("refused"))
}
