package twcoordinator_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
	"github.com/turmericwall/turmericwall/internal/placement/twcoordinator"
)

// fixedJudgement judges all input alike.
type fixedJudgement struct{ turmericwall.Judgement }

func (j *fixedJudgement) Judge(turmericwall.Input) turmericwall.Judgement { return j.Judgement }

func (j *fixedJudgement) Ends(turmericwall.Input) (int, bool) { return j.Judgement.Ends, false }

func (*fixedJudgement) LastEndAt(turmericwall.Input) time.Time { return time.Time{} }

func (*fixedJudgement) Listed(turmericwall.Input) []string { return nil }
func (*fixedJudgement) RecordProgress(turmericwall.Input)  {}
func (*fixedJudgement) RecordEnd(turmericwall.UpstreamKey, time.Time, turmericwall.Input, turmericwall.EndResult) {
}
func (*fixedJudgement) RecordAnswer(turmericwall.Input) {}

// Guards against the next try of a request that ended engines: another daemon, which was told nothing, has it placed.
func TestLeaderPlacesSuspectsOneAtATimeAndNoQuarantinedInput(t *testing.T) {
	g := NewWithT(t)
	list := []turmericwall.Upstream{
		{ID: "d", Slots: 16, Role: turmericwall.RoleDecode}, {ID: "p", Slots: 16, Role: turmericwall.RolePrefill},
	}
	judged := &fixedJudgement{}
	c := twcoordinator.New(twcoordinator.Config{
		Tuning: twallocator.DefaultTuning(), Upstreams: func(string) []turmericwall.Upstream { return list },
		Service: func(name string) (turmericwall.ServicePlan, bool) {
			engine := turmericwall.EnginePlan{Slots: 16, MemoryTokens: 76_000, TokensPerEvent: 50, MaxReservationMillis: 2000}
			return turmericwall.ServicePlan{Name: name, Engine: &engine}, true
		},
		ChangingRole: func(time.Time) []string { return nil }, IsLeader: func() bool { return false },
		RefusingCalls: func() []turmericwall.UpstreamKey { return nil }, Quarantine: judged,
	})
	place := func(id string) error {
		request := placeRequest(id)
		request.Fingerprint = "f"
		_, err := c.Place(context.Background(), request)
		return err
	}
	end := func(id string) { c.ApplyUpdate(turmericwall.PlacementUpdate{ID: id, Service: "s"}) }
	g.Expect(place("a/0")).To(Succeed())
	g.Expect(place("b/0")).To(Succeed(), "nothing speaks against it")
	end("a/0")
	end("b/0")
	judged.Judgement = turmericwall.Judgement{Verdict: turmericwall.VerdictSuspect, Keys: []string{"f"}, Ends: 1}
	g.Expect(place("c/0")).To(Succeed())
	g.Expect(place("d/0")).To(MatchError(ContainSubstring("another call with it runs")))
	g.Expect(place("c/1")).To(Succeed(), "the next run of the same call")
	end("c/0")
	g.Expect(place("d/0")).NotTo(Succeed())
	end("c/1")
	g.Expect(place("d/0")).To(Succeed())
	end("d/0")
	judged.Judgement = turmericwall.Judgement{
		Verdict: turmericwall.VerdictQuarantined, Keys: []string{"f"}, Ends: 3, RemainingMillis: 600_000,
	}
	err := place("e/0")
	g.Expect(err).To(MatchError(turmericwall.ErrQuarantined))
	g.Expect(turmericwall.IsKind(err, turmericwall.KindQuarantined)).To(BeTrue())
}
