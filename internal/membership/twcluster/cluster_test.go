package twcluster_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twcluster"
	"github.com/turmericwall/turmericwall/internal/membership/twelection"
	"github.com/turmericwall/turmericwall/internal/membership/twproof"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/placement/twrolechange"
)

// store simulates the tables of the store. It can be made unavailable, unresponsive or closed to one daemon's writes.
type store struct {
	mu          sync.Mutex
	version     int64
	rows        map[string]map[string]turmericwall.FeedRow
	unavailable bool
	// unresponsive makes calls wait until the client gives up.
	unresponsive bool
	// refusedDaemon is the name of the daemon whose writes fail; empty for none.
	refusedDaemon string
}

// refuse fails all writes of the daemon.
func (s *store) refuse(daemon string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedDaemon = daemon
}

func newStore() *store { return &store{rows: make(map[string]map[string]turmericwall.FeedRow)} }

func (s *store) Rows(ctx context.Context, table string) (turmericwall.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unresponsive {
		s.mu.Unlock()
		awaitClientTimeout(ctx)
		s.mu.Lock()
		return turmericwall.Snapshot{}, errors.New("no reply from the store")
	}
	if s.unavailable {
		return turmericwall.Snapshot{}, errors.New("store unavailable")
	}
	var list []turmericwall.FeedRow
	for _, row := range s.rows[table] {
		list = append(list, row)
	}
	return turmericwall.Snapshot{Rows: list, Version: s.version}, nil
}

// awaitClientTimeout waits as long as the store's client waits for a reply.
func awaitClientTimeout(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(1500 * time.Millisecond):
	}
}

func (s *store) setUnresponsive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = true
}

func (s *store) Changes(context.Context, string, int64, time.Duration) (turmericwall.Snapshot, error) {
	return turmericwall.Snapshot{}, errors.New("not used")
}

func (s *store) CompareAndSwap(
	_ context.Context, table, key string, ifVersion int64, value []byte,
) (int64, turmericwall.FeedRow, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable || (s.refusedDaemon != "" && strings.Contains(string(value), `"name":"`+s.refusedDaemon+`"`)) {
		return 0, turmericwall.FeedRow{}, false, errors.New("store unavailable")
	}
	if s.rows[table] == nil {
		s.rows[table] = make(map[string]turmericwall.FeedRow)
	}
	if current := s.rows[table][key]; current.Version != ifVersion {
		return 0, current, false, nil
	}
	s.version++
	s.rows[table][key] = turmericwall.FeedRow{Key: key, Value: value, Version: s.version}
	return s.version, turmericwall.FeedRow{}, true, nil
}

func (s *store) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// network delivers heartbeats between the daemons of a test. A partitioned daemon neither sends nor receives any.
type network struct {
	mu          sync.Mutex
	clusters    map[string]*twcluster.Cluster
	partitioned map[string]bool
}

func (n *network) Heartbeat(
	ctx context.Context, address string, heartbeat turmericwall.Heartbeat,
) (turmericwall.HeartbeatReply, error) {
	n.mu.Lock()
	cluster, ok := n.clusters[address]
	partitioned := n.partitioned[address] || n.partitioned[heartbeat.Leader.Address]
	n.mu.Unlock()
	if !ok || partitioned {
		return turmericwall.HeartbeatReply{}, errors.New("peer unreachable")
	}
	return cluster.HandleHeartbeat(ctx, heartbeat), nil
}

func (n *network) FetchState(
	_ context.Context, address string, _ turmericwall.StateRequest,
) (turmericwall.SharedState, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cluster, ok := n.clusters[address]
	if !ok || n.partitioned[address] {
		return turmericwall.SharedState{}, errors.New("peer unreachable")
	}
	version, members := cluster.Members()
	return turmericwall.SharedState{Members: members, MembersVersion: version}, nil
}

func (n *network) Place(context.Context, string, turmericwall.PlaceRequest) (turmericwall.Placement, error) {
	return turmericwall.Placement{}, nil
}

func (n *network) SendUpdates(context.Context, string, []turmericwall.PlacementUpdate) error {
	return nil
}

func (n *network) ReportPlacedCalls(context.Context, string, []turmericwall.PlacedCall) error {
	return nil
}

func (n *network) Admit(context.Context, string, turmericwall.AdmitRequest) (turmericwall.AdmitReply, error) {
	return turmericwall.AdmitReply{}, nil
}

func (n *network) Charge(context.Context, string, turmericwall.ChargeRequest) (turmericwall.ChargeReply, error) {
	return turmericwall.ChargeReply{Declined: true}, nil
}

func newNetwork() *network {
	return &network{clusters: make(map[string]*twcluster.Cluster), partitioned: make(map[string]bool)}
}

// join adds a daemon to the others and the others to it, as configured seeds do.
func (n *network) join(address string, cluster *twcluster.Cluster) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other, known := range n.clusters {
		known.AddMember(turmericwall.Member{Address: address})
		cluster.AddMember(turmericwall.Member{Address: other})
	}
	n.clusters[address] = cluster
}

func (n *network) setPartitioned(address string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = partitioned
}

// daemon is one daemon's cluster and election, with what the test observes and changes of it.
type daemon struct {
	cluster          *twcluster.Cluster
	election         *twelection.Election
	stop             func()
	mu               sync.Mutex
	lostIncarnations []string
	stopping         bool
	// readsFail is set when this daemon's last answered read of the store is a minute old.
	readsFail bool
	// neverReads is set if this daemon has never read the store.
	neverReads bool
	// storeLostAt is when this daemon lost its connection to the store; zero while it has one.
	storeLostAt time.Time
	// readsOnlyInRole limits reads of the store to a leader or a standby; lastReadAt is the time of the last read.
	readsOnlyInRole bool
	lastReadAt      time.Time
	roleChanges     *twrolechange.RoleChanges
	proof           *twproof.Proof
}

func (d *daemon) readAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.neverReads {
		return time.Time{}
	}
	if d.readsFail {
		return time.Now().Add(-time.Minute)
	}
	if !d.storeLostAt.IsZero() {
		return d.storeLostAt
	}
	if _, leading := d.election.Holds(); d.readsOnlyInRole && !leading && d.cluster.StandbyRank() < 0 {
		return d.lastReadAt
	}
	d.lastReadAt = time.Now()
	return d.lastReadAt
}

func (d *daemon) lostPeers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.lostIncarnations...)
}

func start(t *testing.T, s *store, n *network, name string) *daemon {
	t.Helper()
	return startWithDelay(t, s, n, name, 0)
}

// startWithDelay starts a daemon that has to receive no heartbeat for electionDelay before it seeks the lease.
func startWithDelay(t *testing.T, s *store, n *network, name string, electionDelay time.Duration) *daemon {
	t.Helper()
	log := tweventlog.New(tweventlog.Config{Output: io.Discard})
	d := &daemon{roleChanges: twrolechange.New()}
	self := turmericwall.Member{Name: name, Address: name, Incarnation: name + "1"}
	d.proof = twproof.New(twproof.Config{Incarnation: self.Incarnation})
	d.election = twelection.New(twelection.Config{
		Store: s, Self: self, Recorder: log, OrderGap: time.Second,
		ElectionDelay:      func() time.Duration { return electionDelay },
		FollowsFreshLeader: func() bool { return d.cluster.FollowsFreshLeader() },
		IsReady:            func() bool { d.mu.Lock(); defer d.mu.Unlock(); return !d.stopping },
		OnElected:          func() { d.cluster.AnnounceElection() },
	})
	none := func() int64 { return 0 }
	d.cluster = twcluster.New(twcluster.Config{
		Proof: d.proof,
		Peers: n, Self: self, Recorder: log, IsLeader: d.election.Holds, PlanVersion: none, UpstreamsPosition: none,
		LeaseVersion: d.election.LeaseVersion, ApplyLeaseVersion: d.election.RecordLeaseVersion, ReadAt: d.readAt,
		OnOutranked: d.election.Yield, OnNominated: d.election.Nominate,
		FetchState: func(ctx context.Context, other turmericwall.Member) {
			if state, err := n.FetchState(ctx, other.Address, turmericwall.StateRequest{}); err == nil {
				d.cluster.AddMembers(state.MembersVersion, state.Members)
			}
		},
		LeaseExpired: d.election.Expired, Staleness: 1300 * time.Millisecond,
		IsStopping:    func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.stopping },
		Changing:      func() []turmericwall.ChangingEngine { return d.roleChanges.List(time.Now()) },
		ApplyChanging: func(list []turmericwall.ChangingEngine) { d.roleChanges.AddReported(time.Now(), list) },
		OnPeerLost: func(incarnation string) {
			// Those who are told ask for the number of daemons.
			_ = d.cluster.LiveDaemons()
			d.mu.Lock()
			defer d.mu.Unlock()
			d.lostIncarnations = append(d.lostIncarnations, incarnation)
		},
	})
	n.join(name, d.cluster)
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan error, 2)
	go func() { ends <- d.election.Run(ctx) }()
	go func() { ends <- d.cluster.Run(ctx) }()
	var once sync.Once
	d.stop = func() { once.Do(func() { cancel(); <-ends; <-ends }) }
	t.Cleanup(d.stop)
	return d
}

// leads returns a check that d is the leader.
func leads(d *daemon) func() bool {
	return func() bool { _, ok := d.election.Holds(); return ok }
}

// follows returns a check that the named daemon is d's live leader.
func follows(d *daemon, name string) func() bool {
	return func() bool {
		leader, _, ok := d.cluster.Leader()
		return ok && leader.Name == name
	}
}

const eventualTimeout = 6 * time.Second

// startLeader starts the daemon a and waits until it is the leader.
func startLeader(t *testing.T, g *WithT) (*store, *network, *daemon) {
	t.Helper()
	s, n := newStore(), newNetwork()
	a := start(t, s, n, "a")
	g.Eventually(leads(a), eventualTimeout).Should(BeTrue())
	return s, n, a
}

// The leader terminates. Another daemon must take the lease, all must follow it, and it must not order engines before
// the former leader's last order is too old to be carried out.
func TestTerminatedLeaderIsReplaced(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	b, c := start(t, s, n, "b"), start(t, s, n, "c")
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeTrue())
	g.Eventually(follows(c, "a"), eventualTimeout).Should(BeTrue())
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(3))
	g.Eventually(b.cluster.LiveDaemons, eventualTimeout).Should(Equal(3))
	_, ok := a.election.Fence()
	g.Expect(ok).To(BeTrue())
	a.stop()
	n.setPartitioned("a", true)
	g.Eventually(func() bool { return leads(b)() || leads(c)() }, eventualTimeout).Should(BeTrue())
	g.Eventually(func() bool {
		return follows(b, "b")() && follows(c, "b")() || follows(b, "c")() && follows(c, "c")()
	}, eventualTimeout).Should(BeTrue())
	_, ok = b.election.Fence()
	_, also := c.election.Fence()
	g.Expect(ok || also).To(BeFalse(), "the former leader's last order may still be in transit")
}

// The store is unavailable. The leader stays the leader, because it still replies and no other daemon can take the
// lease; no daemon may order engines once the leader's term has expired.
func TestLeaderStaysThroughStoreOutage(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeTrue())
	s.setUnavailable(true)
	g.Eventually(func() bool { _, ok := a.election.Fence(); return ok }, eventualTimeout).Should(BeFalse())
	g.Expect(follows(b, "a")()).To(BeTrue())
	s.setUnavailable(false)
	g.Eventually(func() bool { _, ok := a.election.Fence(); return ok }, eventualTimeout).Should(BeTrue())
}

// The store does not answer the leader. It must still send heartbeats: without them all daemons place calls locally,
// each with part of the load in view, until another one has taken the lease.
func TestLeaderSendsHeartbeatsWhileStoreIsUnresponsive(t *testing.T) {
	g := NewWithT(t)
	s, n, _ := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeTrue())
	s.setUnresponsive()
	g.Consistently(follows(b, "a"), eventualTimeout).Should(BeTrue(),
		"a call to the store that is not answered must not delay heartbeats")
}

// A daemon is partitioned from the leader. The leader releases its placements; the daemon must find that it has no
// leader, and must not take the lease while the leader renews it.
func TestPartitionedDaemonHasNoLeaderAndTakesNoLease(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeTrue())
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(2))
	n.setPartitioned("b", true)
	g.Eventually(a.lostPeers, eventualTimeout).Should(Equal([]string{"b1"}))
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeFalse())
	g.Consistently(leads(b), 2500*time.Millisecond).Should(BeFalse())
	n.setPartitioned("b", false)
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeTrue())
}

// The leader receives a stop signal, as in a restart of all daemons in turn. The daemon that started last must take
// the lease, since it keeps it the longest. No daemon may be without a leader meanwhile, or it places calls locally
// and reads the store itself. The draining leader places calls until it receives a heartbeat of the next one, but
// sends no more orders.
func TestDrainingLeaderHandsOver(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	c := start(t, s, n, "c")
	time.Sleep(20 * time.Millisecond)
	b := start(t, s, n, "b")
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(3))
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	var withoutLeader atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			if _, _, ok := c.cluster.Leader(); !ok {
				withoutLeader.Add(1)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	g.Eventually(func() bool { _, ok := a.election.Fence(); return ok }, eventualTimeout).Should(BeFalse())
	g.Eventually(leads(b), eventualTimeout).Should(BeTrue())
	g.Eventually(leads(a), eventualTimeout).Should(BeFalse())
	g.Eventually(follows(c, "b"), eventualTimeout).Should(BeTrue())
	stop()
	<-ended
	g.Expect(leads(c)()).To(BeFalse())
	g.Expect(withoutLeader.Load()).To(BeZero())
}

// The successor does not take the lease, and the draining leader has not noticed that yet. It must ask another
// daemon; else the lease has to time out after the leader has ended.
func TestAnotherDaemonIsNominatedWhenSuccessorFails(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	c := start(t, s, n, "c")
	time.Sleep(20 * time.Millisecond)
	b := start(t, s, n, "b")
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(3))
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	g.Eventually(leads(c), eventualTimeout).Should(BeTrue())
	g.Expect(leads(b)()).To(BeFalse())
}

// The leader terminates, and a daemon with a slow link and one with a fast link remain. The one with the fast link
// must take the lease: heartbeats to all daemons saturate a slow link and do not arrive.
func TestDaemonWithFasterLinkTakesLeaseFirst(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	slowLink := startWithDelay(t, s, n, "poor", eventualTimeout)
	fastLink := start(t, s, n, "good")
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(3))
	a.stop()
	n.setPartitioned("a", true)
	g.Eventually(leads(fastLink), eventualTimeout).Should(BeTrue())
	g.Eventually(follows(slowLink, "good"), eventualTimeout).Should(BeTrue())
	g.Expect(leads(slowLink)()).To(BeFalse())
}

// Only the leader is partitioned from the store. It still sends heartbeats, but its state is stale and it may not
// order engines. A daemon that reads the store must take the lease, and the former leader must yield.
func TestLeaderThatNoLongerReadsStoreIsReplaced(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(b.cluster.FollowsFreshLeader, eventualTimeout).Should(BeTrue())
	a.mu.Lock()
	a.readsFail = true
	a.mu.Unlock()
	g.Eventually(b.cluster.FollowsFreshLeader, eventualTimeout).Should(BeFalse())
	s.refuse("a")
	g.Eventually(leads(b), eventualTimeout).Should(BeTrue())
	g.Eventually(leads(a), eventualTimeout).Should(BeFalse())
	g.Eventually(follows(a, "b"), eventualTimeout).Should(BeTrue())
}

// Guards against a deadlock: the election called OnElected under its own lock, while the cluster held its lock and
// called Holds. The daemon then answered no more requests.
func TestOnElectedMayCallHolds(t *testing.T) {
	g := NewWithT(t)
	held := make(chan bool, 1)
	var election *twelection.Election
	election = twelection.New(twelection.Config{
		Store: newStore(), Self: turmericwall.Member{Name: "a", Incarnation: "a1"}, OrderGap: time.Second,
		Recorder:           tweventlog.New(tweventlog.Config{Output: io.Discard}),
		FollowsFreshLeader: func() bool { return false }, IsReady: func() bool { return true },
		ElectionDelay: func() time.Duration { return 0 },
		OnElected: func() {
			_, holds := election.Holds()
			held <- holds
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = election.Run(ctx) }()
	g.Eventually(held, eventualTimeout).Should(Receive(BeTrue()))
}

// A daemon with a slow link finds no leader. It must leave the others time to take the lease, and then take it
// itself: a leader on a slow link is better than none.
func TestDaemonWithSlowLinkTakesLeaseAfterDelay(t *testing.T) {
	g := NewWithT(t)
	s, n := newStore(), &network{clusters: make(map[string]*twcluster.Cluster), partitioned: make(map[string]bool)}
	slowLink := startWithDelay(t, s, n, "poor", 2*time.Second)
	g.Consistently(leads(slowLink), time.Second).Should(BeFalse())
	g.Eventually(leads(slowLink), eventualTimeout).Should(BeTrue())
}

// The leader orders an engine to change role and terminates within a second. Daemons that place calls after it,
// locally or as the next leader, must know that the engine refuses all calls.
func TestFollowersKnowWhichEnginesChangeRole(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(follows(b, "a"), eventualTimeout).Should(BeTrue())
	a.roleChanges.Add("e", turmericwall.RolePrefill, time.Now().Add(time.Minute))
	g.Eventually(func() bool {
		return b.roleChanges.IsChangingRole(time.Now(), turmericwall.Upstream{ID: "e", Role: turmericwall.RoleDecode})
	}, "1s").Should(BeTrue())
}

// Guards against a first leader that counts itself as the only daemon while no peer has replied yet: each daemon's part
// of the shared retry budget would be all of it.
func TestFirstLeaderWithoutRepliesDoesNotKnowNumberOfDaemons(t *testing.T) {
	g := NewWithT(t)
	s, n := newStore(), &network{clusters: make(map[string]*twcluster.Cluster), partitioned: make(map[string]bool)}
	n.setPartitioned("a", true)
	a := start(t, s, n, "a")
	for _, seed := range []string{"b", "c", "d"} {
		a.cluster.AddMember(turmericwall.Member{Address: seed})
	}
	g.Eventually(leads(a), eventualTimeout).Should(BeTrue())
	g.Consistently(a.cluster.LiveDaemons, "2500ms").Should(BeZero())
	n.setPartitioned("a", false)
	for _, seed := range []string{"b", "c"} {
		startWithDelay(t, s, n, seed, time.Hour)
	}
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(3), "a majority of the four known daemons replies")
}

// Guards against a first leader that reports the few daemons which have joined so far: each daemon's part of the shared
// retry budget would be too large.
func TestFirstLeaderReportsNoNumberWhileDaemonsJoin(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	startWithDelay(t, s, n, "b", time.Hour)
	// The others find the leader as late as after a start on a busy machine.
	g.Consistently(a.cluster.LiveDaemons, "2400ms").Should(BeZero())
	for _, name := range []string{"c", "d"} {
		startWithDelay(t, s, n, name, time.Hour)
	}
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(4))
}

// Guards against a leader that loses the path to all other daemons and spends the retry budget of all.
func TestLeaderWithoutRepliesCountsHalfOfLastKnownDaemons(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		startWithDelay(t, s, n, name, time.Hour)
	}
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(6))
	n.setPartitioned("a", true)
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(3))
	g.Consistently(a.cluster.LiveDaemons, "1s").Should(Equal(3))
}

// Daemons whose replies stop one after the other each lower the number that is halved, and the retry budget of the few that
// remain is that of a small fleet.
func TestLeaderThatLosesRepliesOneByOneCountsHalfOfAllDaemons(t *testing.T) {
	g := NewWithT(t)
	s, n, a := startLeader(t, g)
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		startWithDelay(t, s, n, name, time.Hour)
	}
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(6))
	n.setPartitioned("f", true)
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(5))
	n.setPartitioned("e", true)
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(4))
	n.setPartitioned("a", true)
	g.Eventually(a.cluster.LiveDaemons, eventualTimeout).Should(Equal(3))
	g.Consistently(a.cluster.LiveDaemons, "1s").Should(Equal(3))
}
