package twcluster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// heartbeatOf returns a heartbeat of the named leader, whose state is new.
func heartbeatOf(name string, term int64) turmericwall.Heartbeat {
	return turmericwall.Heartbeat{
		Leader: turmericwall.Member{Name: name, Address: name, Incarnation: name + "1"}, Term: term, ProofAgeMillis: -1,
	}
}

// Guards against daemons that believe the state of a leader which stood still while another one took the lease, once that one stands still in
// its turn.
func TestHeartbeatOfSupersededLeaderIsIgnored(t *testing.T) {
	g := NewWithT(t)
	s, n, _ := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeTrue())
	n.setPartitioned("a", true)
	b.cluster.ApplyHeartbeat(heartbeatOf("later", 1<<50))
	g.Eventually(follows(b, "later"), eventualTimeout).Should(BeFalse())
	freshAt := b.cluster.FreshAt()
	reply := b.cluster.ApplyHeartbeat(heartbeatOf("former", 1<<49))
	_, _, live := b.cluster.Leader()
	g.Expect(live).To(BeFalse())
	g.Expect(reply.Term).To(BeEquivalentTo(1<<50), "the former leader must learn of the later term")
	g.Expect(b.cluster.FreshAt()).To(BeTemporally("~", freshAt, time.Second))
}

// Guards against a leader that goes on in its term although its daemons have heard a later one.
func TestLeaderYieldsWhenAReplyNamesALaterTerm(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeTrue())
	b.cluster.ApplyHeartbeat(heartbeatOf("later", 1<<50))
	g.Eventually(leads(a), "1s", "5ms").Should(BeFalse())
}

// Guards against a former leader that the leader itself doesn't tell of its term, and follows once its own is over.
func TestLeaderIgnoresFormerLeader(t *testing.T) {
	g := NewWithT(t)
	_, _, a := startLeader(t, g)
	term, _ := a.election.Holds()
	g.Expect(a.cluster.ApplyHeartbeat(heartbeatOf("former", term-1)).Term).To(Equal(term))
	a.election.Yield()
	a.cluster.ApplyHeartbeat(heartbeatOf("former", term-1))
	g.Expect(follows(a, "former")()).To(BeFalse())
}
