package twcluster_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twcluster"
	"github.com/turmericwall/turmericwall/internal/membership/twproof"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

// fleet is one leader and many followers that exchange heartbeats in one process.
type fleet struct {
	turmericwall.PeerClient
	leader    *twcluster.Cluster
	followers map[string]*follower
	mu        sync.Mutex
	// sent counts the heartbeats that each daemon sent, by its address.
	sent map[string]int
	// failed maps a daemon to the way in which it fails.
	failed map[string]failure
}

// failure is a way in which a relay fails.
type failure int

const (
	// failureRefuse refuses all calls, as a daemon does that was killed.
	failureRefuse failure = iota + 1
	// failureSilence answers no call, as a daemon does that is suspended or partitioned.
	failureSilence
	// failureForward answers the leader, but reaches none of its daemons.
	failureForward
)

// follower is a daemon that never leads.
type follower struct {
	cluster *twcluster.Cluster
	mu      sync.Mutex
	// receivedAt is when it received its last heartbeat, and longestGap the longest time between two.
	receivedAt time.Time
	longestGap time.Duration
	received   int
}

func (f *follower) record() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.receivedAt.IsZero() {
		f.longestGap = max(f.longestGap, now.Sub(f.receivedAt))
	}
	f.receivedAt = now
	f.received++
}

// reset restarts the measurement of gaps and returns how many heartbeats were received before.
func (f *follower) reset() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longestGap = 0
	return f.received
}

func (f *follower) gap() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.longestGap, time.Since(f.receivedAt))
}

func (f *fleet) Heartbeat(
	ctx context.Context, address string, heartbeat turmericwall.Heartbeat,
) (turmericwall.HeartbeatReply, error) {
	from := heartbeat.Leader.Address
	if heartbeat.Relay.Name != "" {
		from = heartbeat.Relay.Address
	}
	f.mu.Lock()
	f.sent[from]++
	failed, sender := f.failed[address], f.failed[from]
	f.mu.Unlock()
	if failed == failureRefuse || sender == failureForward {
		return turmericwall.HeartbeatReply{}, errors.New("connection refused")
	}
	if failed == failureSilence {
		<-ctx.Done()
		return turmericwall.HeartbeatReply{}, ctx.Err()
	}
	to := f.followers[address]
	to.record()
	return to.cluster.HandleHeartbeat(ctx, heartbeat), nil
}

func (f *fleet) setFailed(address string, how failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed[address] = how
}

// countSent returns the numbers of heartbeats that the daemons sent within the span.
func (f *fleet) countSent(span time.Duration) map[string]int {
	f.mu.Lock()
	clear(f.sent)
	f.mu.Unlock()
	time.Sleep(span)
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int, len(f.sent))
	for address, n := range f.sent {
		counts[address] = n
	}
	return counts
}

func (f *fleet) newCluster(name, zone string, leading bool, link float64) *twcluster.Cluster {
	self := turmericwall.Member{Name: name, Address: name, Incarnation: name + "1"}
	none := func() int64 { return 0 }
	return twcluster.New(twcluster.Config{
		Peers: f, Self: self, Zone: zone, LinkMegabits: link, Staleness: time.Second,
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
		IsLeader: func() (int64, bool) { return 1, leading },
		Proof:    twproof.New(twproof.Config{Incarnation: self.Incarnation}),
		ReadAt:   time.Now, PlanVersion: none, UpstreamsPosition: none, LeaseVersion: none,
		ApplyLeaseVersion: func(int64, turmericwall.Member) {},
	})
}

// startFleet starts a leader with followers in five data centres.
func startFleet(t *testing.T, followers int) *fleet {
	t.Helper()
	f := &fleet{followers: make(map[string]*follower), sent: make(map[string]int), failed: make(map[string]failure)}
	f.leader = f.newCluster("leader", "z0", true, 1000)
	for i := range followers {
		name := fmt.Sprintf("d%04d", i)
		link := 20.0
		if i%21 == 7 {
			link = 1000
		}
		f.followers[name] = &follower{cluster: f.newCluster(name, fmt.Sprint("z", i%5), false, link)}
		f.leader.AddMember(turmericwall.Member{Address: name})
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.leader.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return f
}

// relays returns the addresses of the daemons that forward heartbeats.
func (f *fleet) relays() []string {
	var list []string
	for address := range f.countSent(600 * time.Millisecond) {
		if address != "leader" {
			list = append(list, address)
		}
	}
	return list
}

// Guards against a leader whose heartbeats to a thousand daemons fill its link and take its processor time: no daemon
// may send more of them the more daemons there are, and each daemon must still get four a second.
func TestNoDaemonSendsMoreHeartbeatsInLargerFleet(t *testing.T) {
	for _, count := range []int{1000, 2000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			g := NewWithT(t)
			f := startFleet(t, count)
			time.Sleep(1500 * time.Millisecond)
			before := make(map[string]int)
			for name, d := range f.followers {
				before[name] = d.reset()
			}
			counts := f.countSent(2 * time.Second)
			most := 0
			for _, n := range counts {
				most = max(most, n)
			}
			g.Expect(most).To(BeNumerically("<=", (32+5)*4*2*5/4), "32 daemons, and one for each data centre, four times a second")
			for name, d := range f.followers {
				g.Expect(d.reset()-before[name]).To(BeNumerically(">=", 5), name)
			}
		})
	}
}

// Guards against daemons that lose their leader because the relay between fails: they must get the leader's heartbeats
// before they count the leader as lost, also when two relays fail at once.
func TestDaemonsOfFailedRelaysKeepTheirLeader(t *testing.T) {
	for name, how := range map[string]failure{
		"killed": failureRefuse, "suspended": failureSilence, "partitioned from its daemons": failureForward,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := startFleet(t, 300)
			time.Sleep(1500 * time.Millisecond)
			relays := f.relays()
			g.Expect(len(relays)).To(BeNumerically(">=", 20))
			failed := relays[:2]
			for _, d := range f.followers {
				d.reset()
			}
			for _, address := range failed {
				f.setFailed(address, how)
			}
			time.Sleep(3 * time.Second)
			for address, d := range f.followers {
				if address == failed[0] || address == failed[1] {
					continue
				}
				g.Expect(d.gap()).To(BeNumerically("<", 700*time.Millisecond), address)
			}
			if how != failureForward {
				g.Expect(f.leader.LiveDaemons()).To(Equal(299))
			}
		})
	}
}

// Guards against a relay that was suspended with a heartbeat and forwards it after later ones: it names an older state.
func TestDelayedHeartbeatIsIgnored(t *testing.T) {
	g := NewWithT(t)
	d := (&fleet{}).newCluster("d", "z", false, 20)
	leader := turmericwall.Member{Name: "l", Address: "l", Incarnation: "l1"}
	d.ApplyHeartbeat(turmericwall.Heartbeat{Leader: leader, Term: 1, Sequence: 9, Daemons: 8})
	d.ApplyHeartbeat(turmericwall.Heartbeat{Leader: leader, Term: 1, Sequence: 8, Daemons: 5})
	g.Expect(d.LiveDaemons()).To(Equal(8))
	restarted := leader
	restarted.Incarnation = "l2"
	d.ApplyHeartbeat(turmericwall.Heartbeat{Leader: restarted, Term: 2, Sequence: 1, Daemons: 7})
	g.Expect(d.LiveDaemons()).To(Equal(7), "another leader counts its rounds anew")
}

// Guards against a heartbeat that a relay held back for seconds and that makes old state look fresh.
func TestForwardedHeartbeatIsDatedByItsEcho(t *testing.T) {
	g := NewWithT(t)
	d := (&fleet{}).newCluster("d", "z", false, 20)
	relay := turmericwall.Member{Name: "r", Address: "r", Incarnation: "r1"}
	heartbeat := turmericwall.Heartbeat{
		Leader: turmericwall.Member{Name: "l", Address: "l", Incarnation: "l1"}, Term: 1, Relay: relay,
	}
	reply := d.ApplyHeartbeat(heartbeat)
	g.Expect(d.FollowsLiveLeader()).To(BeTrue())
	g.Expect(d.FollowsFreshLeader()).To(BeFalse(), "the leader has no reply of this daemon yet")
	heartbeat.Echo = turmericwall.Echo{Incarnation: "d1", BootTimeNanos: reply.BootTimeNanos}
	d.ApplyHeartbeat(heartbeat)
	g.Expect(d.FollowsFreshLeader()).To(BeTrue())
	heartbeat.Echo.BootTimeNanos -= int64(5 * time.Second)
	d.ApplyHeartbeat(heartbeat)
	g.Expect(d.FollowsFreshLeader()).To(BeFalse())
}

// A thousand daemons lack the same change. They must fetch it from their relays, and from the leader only when the relay
// does not have it in time.
func TestStateIsFetchedFromRelayFirst(t *testing.T) {
	g := NewWithT(t)
	self := turmericwall.Member{Name: "d", Address: "d", Incarnation: "d1"}
	var position atomic.Int64
	none := func() int64 { return 0 }
	fetched := make(chan turmericwall.Member, 10)
	d := twcluster.New(twcluster.Config{
		Self: self, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
		IsLeader: func() (int64, bool) { return 0, false },
		Proof:    twproof.New(twproof.Config{Incarnation: "d1"}), ReadAt: func() time.Time { return time.Time{} },
		PlanVersion: none, LeaseVersion: none, UpstreamsPosition: position.Load,
		ApplyLeaseVersion: func(int64, turmericwall.Member) {},
		FetchState:        func(_ context.Context, other turmericwall.Member) { fetched <- other },
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	defer func() { stop(); <-ended }()
	leader := turmericwall.Member{Name: "l", Address: "l", Incarnation: "l1"}
	relay := turmericwall.Member{Name: "r", Address: "r", Incarnation: "r1"}
	heartbeat := turmericwall.Heartbeat{Leader: leader, Term: 1, Relay: relay, UpstreamsPosition: 5}
	d.ApplyHeartbeat(heartbeat)
	g.Eventually(fetched).Should(Receive(Equal(relay)))
	position.Store(5)
	for next := int64(6); next < 12; next++ {
		time.Sleep(200 * time.Millisecond)
		heartbeat.UpstreamsPosition = next
		d.ApplyHeartbeat(heartbeat)
		g.Eventually(fetched).Should(Receive(Equal(relay)), "the relay has each change in time")
		position.Store(next)
	}
	time.Sleep(900 * time.Millisecond)
	heartbeat.UpstreamsPosition = 20
	d.ApplyHeartbeat(heartbeat)
	g.Eventually(fetched).Should(Receive(Equal(relay)))
	time.Sleep(900 * time.Millisecond)
	d.ApplyHeartbeat(heartbeat)
	g.Eventually(fetched).Should(Receive(Equal(leader)))
}

// Guards against heartbeats that repeat a list of hundreds of engines changing role four times a second, which fill the
// leader's link. Each daemon must still get each change, and a daemon that starts later the list.
func TestLongListOfChangingEnginesIsNotRepeated(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	list := make([]turmericwall.ChangingEngine, 400)
	for i := range list {
		list[i] = turmericwall.ChangingEngine{ID: fmt.Sprint("e", i), Role: turmericwall.RoleDecode, RemainingMillis: 9000}
	}
	sent := make(chan turmericwall.Heartbeat, 100)
	none := func() int64 { return 0 }
	leader := twcluster.New(twcluster.Config{
		Self:  turmericwall.Member{Name: "a", Address: "a", Incarnation: "a1"},
		Proof: twproof.New(twproof.Config{Incarnation: "a1"}), Peers: recordingPeers{sent: sent},
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
		IsLeader: func() (int64, bool) { return 1, true }, ReadAt: time.Now,
		LeaseVersion: none, UpstreamsPosition: none, PlanVersion: none,
		Changing: func() []turmericwall.ChangingEngine {
			mu.Lock()
			defer mu.Unlock()
			return list
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- leader.Run(ctx) }()
	defer func() { stop(); <-ended }()
	leader.AddMember(turmericwall.Member{Address: "b"})
	listed := func(rounds int) (with int) {
		for range rounds {
			var h turmericwall.Heartbeat
			g.Eventually(sent, "2s").Should(Receive(&h))
			if len(h.Changing) > 0 {
				with++
			}
		}
		return with
	}
	g.Expect(listed(16)).To(BeNumerically("<=", 6))
	mu.Lock()
	list = append([]turmericwall.ChangingEngine(nil), list[1:]...)
	mu.Unlock()
	g.Expect(listed(3)).To(BeNumerically(">=", 1), "a change is sent at once")
	g.Expect(listed(8)).To(BeNumerically(">=", 1), "the list is sent again for daemons that start")
}
