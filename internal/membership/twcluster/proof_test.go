package twcluster_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twcluster"
	"github.com/turmericwall/turmericwall/internal/membership/twproof"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
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

// Guards against a read of the store that ends between two looks and vouches for the plan from before it.
func TestTheAgeOfAProofIsTakenBeforeThePlan(t *testing.T) {
	g := NewWithT(t)
	sent := make(chan turmericwall.Heartbeat, 1)
	none := func() int64 { return 0 }
	reading := func() *twcluster.Cluster {
		proof := twproof.New(twproof.Config{Incarnation: "a1"})
		return twcluster.New(twcluster.Config{
			Self: turmericwall.Member{Name: "a", Address: "a", Incarnation: "a1"}, Proof: proof, Peers: recording{sent: sent},
			Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}), Leading: func() (int64, bool) { return 1, true },
			ReadAt: func() time.Time { return time.Time{} }, LeaseVersion: none, UpstreamsPosition: none,
			PlanVersion: func() int64 {
				proof.Confirm(twboottime.Now())
				return 0
			},
		})
	}
	g.Expect(reading().Self().ProofMillis).To(BeEquivalentTo(-1), "the read ended after the age was taken")
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	leader := reading()
	go func() { ended <- leader.Run(ctx) }()
	defer func() { stop(); <-ended }()
	leader.Join(turmericwall.Member{Address: "b"})
	var first turmericwall.Heartbeat
	g.Eventually(sent, "3s").Should(Receive(&first))
	g.Expect(first.ProofMillis).To(BeEquivalentTo(-1))
}

// recording hands on the heartbeats that are sent and answers none.
type recording struct {
	turmericwall.PeerClient
	sent chan turmericwall.Heartbeat
}

func (r recording) Heartbeat(_ context.Context, _ string, heartbeat turmericwall.Heartbeat) (turmericwall.HeartbeatReply, error) {
	select {
	case r.sent <- heartbeat:
	default:
	}
	return turmericwall.HeartbeatReply{}, errors.New("no answer")
}
