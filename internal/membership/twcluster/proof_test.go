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

func TestLeadersProofReachesFollowers(t *testing.T) {
	g := NewWithT(t)
	s, n, leader := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeTrue())
	g.Consistently(func() int64 { return b.proof.AgeMillis(twboottime.Now()) }, "400ms").Should(BeEquivalentTo(-1))
	readAt := twboottime.Now()
	leader.proof.Confirm(readAt)
	g.Eventually(func() int64 { return b.proof.AgeMillis(twboottime.Now()) }, "3s").Should(BeNumerically(">=", 0))
	g.Consistently(func() bool { return b.proof.Covers(readAt + 1) }, "600ms").
		Should(BeFalse(), "a proof must not get newer in transit")
}

// Guards against a leader that is partitioned from the store and lets its proof expire although a standby reads the
// store.
func TestLeaderAppliesProofOfStandby(t *testing.T) {
	g := NewWithT(t)
	s, n, leader := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeTrue())
	b.proof.Confirm(twboottime.Now())
	g.Eventually(func() int64 { return leader.proof.AgeMillis(twboottime.Now()) }, "3s").Should(BeNumerically(">=", 0))
}

// Guards against a daemon without the newest plan that applies the leader's proof to its own older plan.
func TestProofOfNewerPlanIsIgnored(t *testing.T) {
	g := NewWithT(t)
	s, n, _ := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeTrue())
	heartbeat := turmericwall.Heartbeat{
		Leader: turmericwall.Member{Name: "z", Address: "z", Incarnation: "z1"}, Term: 99, ProofAgeMillis: 0,
		Echo: turmericwall.Echo{Incarnation: "b1", BootTimeNanos: int64(twboottime.Now())},
	}
	heartbeat.PlanVersion = 1
	b.cluster.ApplyHeartbeat(heartbeat)
	g.Expect(b.proof.AgeMillis(twboottime.Now())).To(BeEquivalentTo(-1))
	heartbeat.PlanVersion = 0
	b.cluster.ApplyHeartbeat(heartbeat)
	g.Expect(b.proof.AgeMillis(twboottime.Now())).To(BeNumerically("<", time.Second.Milliseconds()))
}

// Guards against a read of the store that ends between taking the plan and the proof's age, and so confirms the plan
// from before it.
func TestProofAgeIsTakenBeforePlan(t *testing.T) {
	g := NewWithT(t)
	sent := make(chan turmericwall.Heartbeat, 1)
	none := func() int64 { return 0 }
	newReadingCluster := func() *twcluster.Cluster {
		proof := twproof.New(twproof.Config{Incarnation: "a1"})
		return twcluster.New(twcluster.Config{
			Self:  turmericwall.Member{Name: "a", Address: "a", Incarnation: "a1"},
			Proof: proof, Peers: recordingPeers{sent: sent},
			Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
			IsLeader: func() (int64, bool) { return 1, true },
			ReadAt:   func() time.Time { return time.Time{} }, LeaseVersion: none, UpstreamsPosition: none,
			PlanVersion: func() int64 {
				proof.Confirm(twboottime.Now())
				return 0
			},
		})
	}
	g.Expect(newReadingCluster().Self().ProofAgeMillis).To(BeEquivalentTo(-1), "the read ended after the age was taken")
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	leader := newReadingCluster()
	go func() { ended <- leader.Run(ctx) }()
	defer func() { stop(); <-ended }()
	leader.AddMember(turmericwall.Member{Address: "b"})
	var first turmericwall.Heartbeat
	g.Eventually(sent, "3s").Should(Receive(&first))
	g.Expect(first.ProofAgeMillis).To(BeEquivalentTo(-1))
}

// recordingPeers is a peer client that passes on the heartbeats that are sent and fails every call.
type recordingPeers struct {
	turmericwall.PeerClient
	sent chan turmericwall.Heartbeat
}

func (r recordingPeers) Heartbeat(
	_ context.Context, _ string, heartbeat turmericwall.Heartbeat,
) (turmericwall.HeartbeatReply, error) {
	select {
	case r.sent <- heartbeat:
	default:
	}
	return turmericwall.HeartbeatReply{}, errors.New("no reply")
}
