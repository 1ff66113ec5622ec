package twcoordinator_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
	"github.com/turmericwall/turmericwall/internal/placement/twcoordinator"
)

// newVersionedCoordinator places calls on engines of v1 and v2. The version of a stream is known from the time on.
func newVersionedCoordinator(knownFrom time.Time) *twcoordinator.Coordinator {
	list := []turmericwall.Upstream{
		{ID: "d1", Slots: 16, Role: turmericwall.RoleDecode, Version: "v1"},
		{ID: "d2", Slots: 16, Role: turmericwall.RoleDecode, Version: "v2"},
		{ID: "p1", Slots: 16, Role: turmericwall.RolePrefill, Version: "v1"},
		{ID: "p2", Slots: 16, Role: turmericwall.RolePrefill, Version: "v2"},
	}
	var leading atomic.Bool
	return twcoordinator.New(twcoordinator.Config{
		Tuning: twallocator.DefaultTuning(), Upstreams: func(string) []turmericwall.Upstream { return list },
		Service: func(name string) (turmericwall.ServicePlan, bool) {
			engine := turmericwall.EnginePlan{Slots: 16, MemoryTokens: 76_000, TokensPerEvent: 50, MaxReservationMillis: 2000}
			return turmericwall.ServicePlan{Name: name, Engine: &engine}, true
		},
		ChangingRole: func(time.Time) []string { return nil }, IsLeader: leading.Load,
		RefusingCalls: func() []turmericwall.UpstreamKey { return nil },
		FindVersion: func(_, stream string, _ twboottime.Instant) (turmericwall.SoftwareVersion, bool) {
			return "v2", stream == "first" && time.Now().After(knownFrom)
		},
	})
}

// Guards against a stream that is taken up at another version, before its record has arrived, or though it is unknown.
func TestVersionOfAStreamIsFoundBeforeItIsPlaced(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name, stream string
		knownFrom    time.Time
		known        bool
	}{
		{"known", "first", now, true},
		{"its record is under way", "first", now.Add(100 * time.Millisecond), true},
		{"unknown", "other", now, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			request := placeRequest("a/0")
			request.TakesUp, request.Stream = true, c.stream
			began := time.Now()
			placement, err := newVersionedCoordinator(c.knownFrom).Place(context.Background(), request)
			if c.known {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(placement.Decode.ID).To(Equal("d2"))
				g.Expect(placement.Version).To(BeEquivalentTo("v2"))
				return
			}
			g.Expect(turmericwall.IsKind(err, turmericwall.KindOverloaded)).To(BeTrue())
			g.Expect(err).To(MatchError(ContainSubstring("is not known")))
			g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		})
	}
}
