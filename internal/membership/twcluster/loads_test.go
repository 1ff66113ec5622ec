package twcluster_test

import (
	"context"
	"encoding/json"
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

// replyingPeer answers each heartbeat with its loads.
type replyingPeer struct {
	turmericwall.PeerClient
	loads []turmericwall.ServiceLoad
}

func (p *replyingPeer) Heartbeat(context.Context, string, turmericwall.Heartbeat) (turmericwall.HeartbeatReply, error) {
	return turmericwall.HeartbeatReply{Member: turmericwall.Member{Name: "c"}, Loads: p.loads}, nil
}

// loadsFollower is a follower that has what it was told to apply, and reports its own loads once it was told any.
type loadsFollower struct {
	cluster *twcluster.Cluster
	applied []turmericwall.ServiceLoad
	sentAt  time.Time
}

func newLoadsFollower(peers turmericwall.PeerClient) *loadsFollower {
	f := &loadsFollower{}
	none := func() int64 { return 0 }
	f.cluster = twcluster.New(twcluster.Config{
		Peers: peers, Self: turmericwall.Member{Name: "b", Address: "b", Incarnation: "b1"},
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}), Proof: twproof.New(twproof.Config{Incarnation: "b1"}),
		IsLeader: func() (int64, bool) { return 0, false }, PlanVersion: none, UpstreamsPosition: none, ReadAt: time.Now,
		LeaseVersion: none, ApplyLeaseVersion: func(int64, turmericwall.Member) {},
		OwnLoads: func() []turmericwall.ServiceLoad {
			if len(f.applied) == 0 {
				return nil
			}
			return []turmericwall.ServiceLoad{{Service: "filings", Arrivals: 2}}
		},
		ApplyLoads: func(sentAt time.Time, loads []turmericwall.ServiceLoad) { f.sentAt, f.applied = sentAt, loads },
	})
	return f
}

func heartbeatWithLoads() turmericwall.Heartbeat {
	return turmericwall.Heartbeat{
		Leader: turmericwall.Member{Name: "a", Address: "a"}, Term: 1, Sequence: 5,
		Echo:  turmericwall.Echo{Incarnation: "b1", BootTimeNanos: int64(twboottime.Now())},
		Loads: []turmericwall.ServiceLoad{{Service: "filings", Arrivals: 9, Partial: true}},
	}
}

// Guards against a daemon that reports a service one heartbeat late, and against replies that relays don't forward.
func TestLoadsAreAppliedBeforeTheReplyAndForwarded(t *testing.T) {
	g := NewWithT(t)
	of := []turmericwall.ServiceLoad{{Service: "filings", Arrivals: 3}}
	f := newLoadsFollower(&replyingPeer{loads: of})
	heartbeat := heartbeatWithLoads()
	heartbeat.Forwards = []turmericwall.HeartbeatForward{{Address: "c"}}
	reply := f.cluster.HandleHeartbeat(context.Background(), heartbeat)
	g.Expect(f.applied).To(Equal(heartbeat.Loads))
	g.Expect(reply.Loads).To(Equal([]turmericwall.ServiceLoad{{Service: "filings", Arrivals: 2}}))
	g.Expect(reply.Forwarded[0].Loads).To(Equal(of))
}

// Guards against observations of unknown age: the leader or a relay may have been suspended before it sent the heartbeat on.
func TestLoadsOfUnknownAgeAreIgnored(t *testing.T) {
	g := NewWithT(t)
	f := newLoadsFollower(&replyingPeer{})
	for _, relay := range []turmericwall.Member{{}, {Name: "r"}} {
		heartbeat := heartbeatWithLoads()
		heartbeat.Relay, heartbeat.Echo = relay, turmericwall.Echo{}
		f.cluster.HandleHeartbeat(context.Background(), heartbeat)
		g.Expect(f.applied).To(BeNil())
	}
	late := heartbeatWithLoads()
	f.cluster.HandleHeartbeat(context.Background(), late)
	late.Sequence, late.Loads = 4, nil
	f.cluster.HandleHeartbeat(context.Background(), late)
	g.Expect(f.applied).To(HaveLen(1), "an earlier heartbeat that arrives later")
}

// Guards against messages that are larger while there is nothing to say, and against a leader of the previous release.
func TestMessagesWithoutLoadsAreWhatTheyWere(t *testing.T) {
	g := NewWithT(t)
	f := newLoadsFollower(&replyingPeer{})
	heartbeat := heartbeatWithLoads()
	heartbeat.Loads = nil
	encoded, err := json.Marshal(heartbeat)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(encoded)).NotTo(ContainSubstring("loads"))
	encoded, err = json.Marshal(f.cluster.HandleHeartbeat(context.Background(), heartbeat))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(encoded)).NotTo(ContainSubstring("loads"))
}
