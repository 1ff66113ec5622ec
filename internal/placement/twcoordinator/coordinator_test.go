package twcoordinator_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
	"github.com/turmericwall/turmericwall/internal/placement/twcoordinator"
)

func newCoordinator(leading *atomic.Bool) *twcoordinator.Coordinator {
	list := []turmericwall.Upstream{
		{ID: "d1", Slots: 16, Role: turmericwall.RoleDecode},
		{ID: "d2", Slots: 16, Role: turmericwall.RoleDecode},
		{ID: "p1", Slots: 16, Role: turmericwall.RolePrefill},
	}
	return twcoordinator.New(twcoordinator.Config{
		Tuning: twallocator.DefaultTuning(), Upstreams: func(string) []turmericwall.Upstream { return list },
		Service: func(name string) (turmericwall.ServicePlan, bool) {
			engine := turmericwall.EnginePlan{Slots: 16, MemoryTokens: 76_000, TokensPerEvent: 50, MaxReservationMillis: 2000}
			return turmericwall.ServicePlan{Name: name, Engine: &engine}, true
		},
		ChangingRole: func(time.Time) []string { return nil }, IsLeader: leading.Load,
		RefusingCalls: func() []turmericwall.UpstreamKey { return nil },
	})
}

func placeRequest(id string) turmericwall.PlaceRequest {
	now := time.Now()
	return turmericwall.PlaceRequest{
		ID: id, Service: "s", Owner: "o", Work: turmericwall.ModelWork{PromptTokens: 5000, HintTokens: 3000, MaxTokens: 6500},
		TargetDeadline: now.Add(2 * time.Second), GiveUpDeadline: now.Add(9 * time.Second),
		CallerDeadline: now.Add(9 * time.Second), EventGapMillis: 300,
	}
}

// Guards against overfilled engines after a change of leader: a call that a new leader places before the other daemons
// have reported their calls goes to an engine that only looks idle.
func TestNewLeaderWaitsForReportedCallsBeforePlacing(t *testing.T) {
	g := NewWithT(t)
	var leading atomic.Bool
	c := newCoordinator(&leading)
	leading.Store(true)
	placed := make(chan turmericwall.Placement, 1)
	go func() {
		placement, err := c.Place(context.Background(), placeRequest("mine"))
		if err == nil {
			placed <- placement
		}
	}()
	g.Eventually(func() int { return c.Waiting("s") }, time.Second, time.Millisecond).Should(Equal(1))
	for i := range 6 {
		c.Adopt(turmericwall.PlacedCall{Request: placeRequest(fmt.Sprint("theirs", i)), Engine: "d1"})
	}
	var placement turmericwall.Placement
	g.Eventually(placed, 3*time.Second).Should(Receive(&placement))
	g.Expect(placement.Decode.ID).To(Equal("d2"))
}

// Guards against a delay on a daemon without a leader, which places its calls locally and has no reports to wait for.
func TestDaemonWithoutLeaderPlacesAtOnce(t *testing.T) {
	g := NewWithT(t)
	var leading atomic.Bool
	c := newCoordinator(&leading)
	placement, err := c.Place(context.Background(), placeRequest("mine"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(placement.Prefill.ID).To(Equal("p1"))
	c.ApplyUpdate(turmericwall.PlacementUpdate{ID: "mine", Service: "s"})
	g.Expect(c.EngineDemand("s").Busy).To(BeFalse())
}
