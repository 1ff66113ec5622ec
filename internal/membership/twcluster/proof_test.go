package twcluster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

func TestTheLeadersProofReachesItsFollowers(t *testing.T) {
	g := NewWithT(t)
	s, n, leader := withLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(hears(b, "a"), patience).Should(BeTrue())
	g.Consistently(func() int64 { return b.proof.AgeMillis(twboottime.Now()) }, "400ms").Should(BeEquivalentTo(-1))
	readAt := twboottime.Now()
	leader.proof.Confirm(readAt)
	g.Eventually(func() int64 { return b.proof.AgeMillis(twboottime.Now()) }, "3s").Should(BeNumerically(">=", 0))
	g.Consistently(func() bool { return b.proof.Covers(readAt + 1) }, "600ms").Should(BeFalse(), "a proof never grows newer on its way")
}

// Guards against a leader that is cut off from the store and lets keys lapse although a standby reads it.
func TestALeaderTakesTheProofOfADaemonThatReads(t *testing.T) {
	g := NewWithT(t)
	s, n, leader := withLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(hears(b, "a"), patience).Should(BeTrue())
	b.proof.Confirm(twboottime.Now())
	g.Eventually(func() int64 { return leader.proof.AgeMillis(twboottime.Now()) }, "3s").Should(BeNumerically(">=", 0))
}

// Guards against a daemon that lacks the newest plan and takes the leader's proof for its own older one.
func TestAProofOfANewerPlanIsNotTaken(t *testing.T) {
	g := NewWithT(t)
	s, n, _ := withLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(hears(b, "a"), patience).Should(BeTrue())
	heartbeat := turmericwall.Heartbeat{
		Leader: turmericwall.Member{Name: "z", Address: "z", Incarnation: "z1"}, Term: 99, ProofMillis: 0,
		Echo: turmericwall.Echo{Incarnation: "b1", Moment: int64(twboottime.Now())},
	}
	heartbeat.PlanVersion = 1
	b.cluster.Heard(heartbeat)
	g.Expect(b.proof.AgeMillis(twboottime.Now())).To(BeEquivalentTo(-1))
	heartbeat.PlanVersion = 0
	b.cluster.Heard(heartbeat)
	g.Expect(b.proof.AgeMillis(twboottime.Now())).To(BeNumerically("<", time.Second.Milliseconds()))
}
