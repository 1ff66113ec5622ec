package twcluster_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twelection"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

// disconnectStore disconnects this daemon from the store.
func (d *daemon) disconnectStore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeLostAt = time.Now()
}

// setReadsOnlyInRole makes this daemon read the store only as the leader or a standby.
func (d *daemon) setReadsOnlyInRole() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readsOnlyInRole = true
}

// The store refuses the leader, its standbys and about half of the other daemons. The leader must find standbys that
// the store serves; else all daemons become stale.
func TestFollowersStayInformedWhileHalfAreCutOffFromStore(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 5))
			s, n, a := startLeader(t, g)
			var others []*daemon
			for i := range 20 {
				d := start(t, s, n, fmt.Sprint("d", i))
				d.setReadsOnlyInRole()
				others = append(others, d)
			}
			g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(21))
			a.disconnectStore()
			for _, d := range others {
				if d.cluster.StandbyRank() >= 0 || random.IntN(2) == 0 {
					d.disconnectStore()
				}
			}
			informed := func() int {
				count := 0
				for _, d := range others {
					if d.cluster.FollowsFreshLeader() {
						count++
					}
				}
				return count
			}
			g.Eventually(informed, "5s").Should(BeNumerically("<", 20), "the partition must have an effect first")
			g.Eventually(informed, "5s").Should(Equal(20))
			g.Consistently(informed, "3s").Should(Equal(20))
		})
	}
}

// standbys returns a query for the names of the standbys that d knows.
func standbys(d *daemon) func() []string {
	return func() []string {
		var names []string
		for _, s := range d.cluster.Standbys() {
			names = append(names, s.Name)
		}
		return names
	}
}

// Only the leader is partitioned from the store. It must obtain the state from a standby; else all its followers
// become stale and read the store themselves.
func TestLeaderWithoutStoreSyncsFromStandby(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	b, c := start(t, s, n, "b"), start(t, s, n, "c")
	g.Eventually(b.cluster.FollowsFreshLeader, eventualTimeout).Should(BeTrue())
	g.Eventually(c.cluster.FollowsFreshLeader, eventualTimeout).Should(BeTrue())
	a.disconnectStore()
	g.Consistently(c.cluster.FollowsFreshLeader, "2s").Should(BeTrue())
}

// The leader cannot renew its lease while other daemons could. It must hand over; else no engine gets an order.
func TestLeaderThatCannotRenewHandsOverToStandby(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(b.cluster.FollowsFreshLeader, eventualTimeout).Should(BeTrue())
	a.disconnectStore()
	s.refuse("a")
	g.Eventually(leads(b), 2*eventualTimeout).Should(BeTrue())
	g.Eventually(follows(a, "b"), eventualTimeout).Should(BeTrue())
}

// The store refuses the leader and its standbys and serves other daemons. The leader must try others as standbys;
// else changes reach the daemons too late.
func TestStandbysRefusedByStoreAreReplaced(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	daemons := make(map[string]*daemon)
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		daemons[name] = start(t, s, n, name)
		daemons[name].setReadsOnlyInRole()
	}
	g.Eventually(standbys(daemons["f"]), eventualTimeout).ShouldNot(BeEmpty())
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(6))
	for name, d := range daemons {
		if name != "d" {
			d.disconnectStore()
		}
	}
	a.disconnectStore()
	g.Eventually(func() bool { return slices.Contains(standbys(daemons["b"])(), "d") }, "4s").Should(BeTrue())
	g.Eventually(daemons["b"].cluster.FollowsFreshLeader, "1s").Should(BeTrue())
}

// A standby must have the list of members before it takes the lease; else all daemons place calls locally until each
// has joined the new leader.
func TestStandbyKnowsAllMembers(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(b.cluster.FollowsFreshLeader, eventualTimeout).Should(BeTrue())
	a.cluster.AddMember(turmericwall.Member{Address: "late"})
	g.Eventually(func() []string { _, list := b.cluster.Members(); return list }, "2s").
		Should(ConsistOf("a", "b", "late"))
}

// A draining daemon must be replaced as a standby before it terminates; else no daemon takes the lease when the
// leader ends meanwhile.
func TestDrainingDaemonIsNotStandby(t *testing.T) {
	g := NewWithT(t)
	s, n, _ := startLeader(t, g)
	b, c, e := start(t, s, n, "b"), start(t, s, n, "c"), start(t, s, n, "e")
	chosen := func() int {
		count := 0
		for _, d := range []*daemon{b, c, e} {
			if d.cluster.StandbyRank() >= 0 {
				count++
			}
		}
		return count
	}
	g.Eventually(chosen, eventualTimeout).Should(Equal(2))
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	g.Eventually(b.cluster.StandbyRank, eventualTimeout).Should(Equal(-1))
	g.Eventually(chosen, eventualTimeout).Should(Equal(2))
}

// All daemons restarted at once. The restarted leader does not read the store, and must take its former lease when a
// peer reports it; else all daemons wait until that lease times out.
func TestRestartedLeaderTakesItsLeaseWhenPeerReportsIt(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	version := a.election.LeaseVersion()
	a.stop()
	n.setPartitioned("a", true)
	election := twelection.New(twelection.Config{
		Store: s, Self: turmericwall.Member{Name: "a", Address: "a", Incarnation: "a2"}, OrderGap: time.Second,
		Recorder:           tweventlog.New(tweventlog.Config{Output: io.Discard}),
		FollowsFreshLeader: func() bool { return false }, IsReady: func() bool { return true },
		IsCandidate:   func() bool { return false },
		ElectionDelay: func() time.Duration { return time.Hour },
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- election.Run(ctx) }()
	defer func() { stop(); <-ended }()
	election.ReclaimLease(version, turmericwall.Member{Name: "b", Address: "b", Incarnation: "b1"})
	g.Consistently(func() bool { _, ok := election.Holds(); return ok }, "300ms").
		Should(BeFalse(), "another daemon holds the lease")
	election.ReclaimLease(version, turmericwall.Member{Name: "a", Address: "a", Incarnation: "a1"})
	g.Eventually(func() bool { _, ok := election.Holds(); return ok }, "1s").Should(BeTrue())
}
