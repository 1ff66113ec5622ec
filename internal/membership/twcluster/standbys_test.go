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

// cutOff takes this daemon's way to the store.
func (d *daemon) cutOff() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutAt = time.Now()
}

func (d *daemon) setReluctant() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reluctant = true
}

// The store turns the leader, its standbys and half of all others away; daemons are informed again only by luck.
func TestAllAreInformedWhileHalfAreCutOffFromTheStore(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 5))
			s, n, a := withLeader(t, g)
			var others []*daemon
			for i := range 20 {
				d := start(t, s, n, fmt.Sprint("d", i))
				d.setReluctant()
				others = append(others, d)
			}
			g.Eventually(a.cluster.Daemons, patience).Should(Equal(21))
			a.cutOff()
			for _, d := range others {
				if d.cluster.StandbyRank() >= 0 || random.IntN(2) == 0 {
					d.cutOff()
				}
			}
			informed := func() int {
				count := 0
				for _, d := range others {
					if d.cluster.Informed() {
						count++
					}
				}
				return count
			}
			g.Eventually(informed, "5s").Should(BeNumerically("<", 20), "the cut must be felt")
			g.Eventually(informed, "5s").Should(Equal(20))
			g.Consistently(informed, "3s").Should(Equal(20))
		})
	}
}

func standbys(d *daemon) func() []string {
	return func() []string {
		var names []string
		for _, s := range d.cluster.Standbys() {
			names = append(names, s.Name)
		}
		return names
	}
}

// The leader alone is cut off from the store; all its followers find their knowledge too old and read for themselves.
func TestALeaderThatIsCutOffFromTheStoreLearnsFromAStandby(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	b, c := start(t, s, n, "b"), start(t, s, n, "c")
	g.Eventually(b.cluster.Informed, patience).Should(BeTrue())
	g.Eventually(c.cluster.Informed, patience).Should(BeTrue())
	a.cutOff()
	g.Consistently(c.cluster.Informed, "2s").Should(BeTrue())
}

// The leader can't renew its lease for long while others could; no engine gets an order meanwhile.
func TestALeaderThatCannotRenewHandsOverToAStandby(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(b.cluster.Informed, patience).Should(BeTrue())
	a.cutOff()
	s.refuse("a")
	g.Eventually(leads(b), 2*patience).Should(BeTrue())
	g.Eventually(hears(a, "b"), patience).Should(BeTrue())
}

// The store turns the leader and its standbys away and serves others; nobody tries, and a change is learned too late.
func TestStandbysThatTheStoreTurnsAwayAreReplaced(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	daemons := make(map[string]*daemon)
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		daemons[name] = start(t, s, n, name)
		daemons[name].setReluctant()
	}
	g.Eventually(standbys(daemons["f"]), patience).ShouldNot(BeEmpty())
	g.Eventually(a.cluster.Daemons, patience).Should(Equal(6))
	for name, d := range daemons {
		if name != "d" {
			d.cutOff()
		}
	}
	a.cutOff()
	g.Eventually(func() bool { return slices.Contains(standbys(daemons["b"])(), "d") }, "4s").Should(BeTrue())
	g.Eventually(daemons["b"].cluster.Informed, "1s").Should(BeTrue())
}

// A leader that has just taken the lease knows no daemon, and all place calls alone until each has asked for it.
func TestAStandbyKnowsAllMembers(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(b.cluster.Informed, patience).Should(BeTrue())
	a.cluster.Join(turmericwall.Member{Address: "late"})
	g.Eventually(func() []string { _, list := b.cluster.Members(); return list }, "2s").Should(ConsistOf("a", "b", "late"))
}

// A daemon that stops is the standby until it is gone, and nobody takes the lease when the leader ends meanwhile.
func TestAStoppingDaemonIsNoStandby(t *testing.T) {
	g := NewWithT(t)
	s, n, _ := withLeader(t, g)
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
	g.Eventually(chosen, patience).Should(Equal(2))
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	g.Eventually(b.cluster.StandbyRank, patience).Should(Equal(-1))
	g.Eventually(chosen, patience).Should(Equal(2))
}

// All daemons lost power; the restarted leader is no reader, and everybody waits for its old lease to fall silent.
func TestARestartedLeaderTakesItsLeaseOnAPeersWord(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	version := a.election.Version()
	a.stop()
	n.setCut("a", true)
	election := twelection.New(twelection.Config{
		Store: s, Self: turmericwall.Member{Name: "a", Address: "a", Incarnation: "a2"}, Apart: time.Second,
		Recorder:    tweventlog.New(tweventlog.Config{Output: io.Discard}),
		LeaderHeard: func() bool { return false }, Ready: func() bool { return true }, Seeks: func() bool { return false },
		Patience: func() time.Duration { return time.Hour },
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- election.Run(ctx) }()
	defer func() { stop(); <-ended }()
	election.Restarted(version, turmericwall.Member{Name: "b", Address: "b", Incarnation: "b1"})
	g.Consistently(func() bool { _, ok := election.Holds(); return ok }, "300ms").Should(BeFalse(), "it is another's lease")
	election.Restarted(version, turmericwall.Member{Name: "a", Address: "a", Incarnation: "a1"})
	g.Eventually(func() bool { _, ok := election.Holds(); return ok }, "1s").Should(BeTrue())
}
