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
	"github.com/turmericwall/turmericwall/internal/placement/twaway"
)

// store is the rows of all tables, with a switch that takes it away.
type store struct {
	mu      sync.Mutex
	version int64
	rows    map[string]map[string]turmericwall.FeedRow
	away    bool
	// silent calls are answered by nothing.
	silent bool
	// refused is the daemon whose writes are turned away.
	refused string
}

func (s *store) refuse(daemon string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = daemon
}

func newStore() *store { return &store{rows: make(map[string]map[string]turmericwall.FeedRow)} }

func (s *store) Rows(ctx context.Context, table string) (turmericwall.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		s.mu.Unlock()
		silence(ctx)
		s.mu.Lock()
		return turmericwall.Snapshot{}, errors.New("no answer")
	}
	if s.away {
		return turmericwall.Snapshot{}, errors.New("away")
	}
	var list []turmericwall.FeedRow
	for _, row := range s.rows[table] {
		list = append(list, row)
	}
	return turmericwall.Snapshot{Rows: list, Version: s.version}, nil
}

// silence lasts as long as the store's client waits for an answer.
func silence(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(1500 * time.Millisecond):
	}
}

func (s *store) setSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

func (s *store) Changes(context.Context, string, int64, time.Duration) (turmericwall.Snapshot, error) {
	return turmericwall.Snapshot{}, errors.New("not used")
}

func (s *store) Swap(_ context.Context, table, key string, ifVersion int64, value []byte) (int64, turmericwall.FeedRow, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away || (s.refused != "" && strings.Contains(string(value), `"name":"`+s.refused+`"`)) {
		return 0, turmericwall.FeedRow{}, false, errors.New("away")
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

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// network carries heartbeats between the daemons of a test.
type network struct {
	mu       sync.Mutex
	clusters map[string]*twcluster.Cluster
	cut      map[string]bool
}

func (n *network) Heartbeat(_ context.Context, address string, heartbeat turmericwall.Heartbeat) (turmericwall.HeartbeatReply, error) {
	n.mu.Lock()
	cluster, ok := n.clusters[address]
	cut := n.cut[address] || n.cut[heartbeat.Leader.Address]
	n.mu.Unlock()
	if !ok || cut {
		return turmericwall.HeartbeatReply{}, errors.New("no path")
	}
	return cluster.Heard(heartbeat), nil
}

func (n *network) State(_ context.Context, address string, _ turmericwall.StateAsk) (turmericwall.SharedState, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cluster, ok := n.clusters[address]
	if !ok || n.cut[address] {
		return turmericwall.SharedState{}, errors.New("no path")
	}
	version, members := cluster.Members()
	return turmericwall.SharedState{Members: members, MembersVersion: version}, nil
}

func (n *network) Place(context.Context, string, turmericwall.PlaceAsk) (turmericwall.Placement, error) {
	return turmericwall.Placement{}, nil
}

func (n *network) Finish(context.Context, string, []turmericwall.PlacementEnd) error { return nil }
func (n *network) Runs(context.Context, string, []turmericwall.PlacedRun) error      { return nil }

func (n *network) Admit(context.Context, string, turmericwall.AdmitAsk) (turmericwall.AdmitReply, error) {
	return turmericwall.AdmitReply{}, nil
}

// join makes a daemon and all others known to each other, as seeds do.
func (n *network) join(address string, cluster *twcluster.Cluster) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other, known := range n.clusters {
		known.Join(turmericwall.Member{Address: address})
		cluster.Join(turmericwall.Member{Address: other})
	}
	n.clusters[address] = cluster
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

type daemon struct {
	cluster  *twcluster.Cluster
	election *twelection.Election
	stop     func()
	mu       sync.Mutex
	gone     []string
	stopping bool
	// blind tells that this daemon can't read the store any more.
	blind bool
	// cutAt is when this daemon lost its way to the store.
	cutAt time.Time
	// reluctant daemons read the store only as the leader or as a standby; readLast is when this one last did.
	reluctant bool
	readLast  time.Time
	away      *twaway.Away
	proof     *twproof.Proof
}

func (d *daemon) readAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.blind {
		return time.Now().Add(-time.Minute)
	}
	if !d.cutAt.IsZero() {
		return d.cutAt
	}
	if _, leading := d.election.Holds(); d.reluctant && !leading && d.cluster.StandbyRank() < 0 {
		return d.readLast
	}
	d.readLast = time.Now()
	return d.readLast
}

func (d *daemon) lost() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.gone...)
}

func start(t *testing.T, s *store, n *network, name string) *daemon {
	t.Helper()
	return startPatient(t, s, n, name, 0)
}

func startPatient(t *testing.T, s *store, n *network, name string, patience time.Duration) *daemon {
	t.Helper()
	log := tweventlog.New(tweventlog.Config{Output: io.Discard})
	d := &daemon{away: twaway.New()}
	self := turmericwall.Member{Name: name, Address: name, Incarnation: name + "1"}
	d.proof = twproof.New(twproof.Config{Incarnation: self.Incarnation})
	d.election = twelection.New(twelection.Config{
		Store: s, Self: self, Recorder: log, Apart: time.Second, Patience: func() time.Duration { return patience },
		LeaderHeard: func() bool { return d.cluster.Informed() },
		Ready:       func() bool { d.mu.Lock(); defer d.mu.Unlock(); return !d.stopping },
		Elected:     func() { d.cluster.Elected() },
	})
	none := func() int64 { return 0 }
	d.cluster = twcluster.New(twcluster.Config{
		Proof: d.proof,
		Peers: n, Self: self, Recorder: log, Leading: d.election.Holds, PlanVersion: none, UpstreamsPosition: none,
		LeaseVersion: d.election.Version, LeaseTold: d.election.Told, ReadAt: d.readAt, Outranked: d.election.Yield, Nominated: d.election.Nominate,
		Behind: func(ctx context.Context, other turmericwall.Member) {
			if state, err := n.State(ctx, other.Address, turmericwall.StateAsk{}); err == nil {
				d.cluster.AddMembers(state.MembersVersion, state.Members)
			}
		},
		LeaseExpired: d.election.Expired, Staleness: 1300 * time.Millisecond,
		Stopping:     func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.stopping },
		Changing:     func() []turmericwall.ChangingEngine { return d.away.List(time.Now()) },
		ChangingTold: func(list []turmericwall.ChangingEngine) { d.away.Told(time.Now(), list) },
		Gone: func(incarnation string) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.gone = append(d.gone, incarnation)
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

func leads(d *daemon) func() bool {
	return func() bool { _, ok := d.election.Holds(); return ok }
}

func hears(d *daemon, name string) func() bool {
	return func() bool {
		leader, _, ok := d.cluster.Leader()
		return ok && leader.Name == name
	}
}

const patience = 6 * time.Second

// withLeader starts the daemon a, which becomes the leader.
func withLeader(t *testing.T, g *WithT) (*store, *network, *daemon) {
	t.Helper()
	s, n := newStore(), &network{clusters: make(map[string]*twcluster.Cluster), cut: make(map[string]bool)}
	a := start(t, s, n, "a")
	g.Eventually(leads(a), patience).Should(BeTrue())
	return s, n, a
}

// The leader dies. Another daemon takes its place within seconds, and all hear it; its first orders wait longer.
func TestAnotherDaemonTakesADeadLeadersPlace(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	b, c := start(t, s, n, "b"), start(t, s, n, "c")
	g.Eventually(hears(b, "a"), patience).Should(BeTrue())
	g.Eventually(hears(c, "a"), patience).Should(BeTrue())
	g.Eventually(a.cluster.Daemons, patience).Should(Equal(3))
	g.Eventually(b.cluster.Daemons, patience).Should(Equal(3))
	_, ok := a.election.Fence()
	g.Expect(ok).To(BeTrue())
	a.stop()
	n.setCut("a", true)
	g.Eventually(func() bool { return leads(b)() || leads(c)() }, patience).Should(BeTrue())
	g.Eventually(func() bool {
		return hears(b, "b")() && hears(c, "b")() || hears(b, "c")() && hears(c, "c")()
	}, patience).Should(BeTrue())
	_, ok = b.election.Fence()
	_, also := c.election.Fence()
	g.Expect(ok || also).To(BeFalse(), "the dead leader's last order may be on its way")
}

// The store goes away. The leader stays the leader, because it still answers; nobody can take its place meanwhile, and
// none may order once its term is over.
func TestTheLeaderStaysThroughAnOutageOfTheStore(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(hears(b, "a"), patience).Should(BeTrue())
	s.setAway(true)
	g.Eventually(func() bool { _, ok := a.election.Fence(); return ok }, patience).Should(BeFalse())
	g.Expect(hears(b, "a")()).To(BeTrue())
	s.setAway(false)
	g.Eventually(func() bool { _, ok := a.election.Fence(); return ok }, patience).Should(BeTrue())
}

// The leader alone loses its way to the store, and its calls there are answered by nothing. It must go on sending heartbeats, or all
// daemons place calls alone, each knowing a part of the load, until another one has taken the lease.
func TestALeaderSendsHeartbeatsWhileTheStoreIsSilent(t *testing.T) {
	g := NewWithT(t)
	s, n, _ := withLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(hears(b, "a"), patience).Should(BeTrue())
	s.setSilent()
	g.Consistently(hears(b, "a"), patience).Should(BeTrue(), "it reads the daemons' rows every four seconds")
}

// A daemon is cut off from the leader. The leader takes its calls back from the books; the daemon itself knows that it
// hears no leader, and must not take the lease while it is renewed.
func TestADaemonThatIsCutOffDecidesAloneAndTakesNothing(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(hears(b, "a"), patience).Should(BeTrue())
	g.Eventually(a.cluster.Daemons, patience).Should(Equal(2))
	n.setCut("b", true)
	g.Eventually(a.lost, patience).Should(Equal([]string{"b1"}))
	g.Eventually(hears(b, "a"), patience).Should(BeFalse())
	g.Consistently(leads(b), 2500*time.Millisecond).Should(BeFalse())
	n.setCut("b", false)
	g.Eventually(hears(b, "a"), patience).Should(BeTrue())
}

// The leader is told to stop, as one of many daemons that are restarted in turn. The daemon that started last takes its
// place, since it stays the longest. All hear a leader all the while: without one they would place calls alone, and read
// the store by themselves. The stopping leader goes on placing until it hears the next one, but orders nothing more.
func TestAStoppingLeaderHandsOver(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	c := start(t, s, n, "c")
	time.Sleep(20 * time.Millisecond)
	b := start(t, s, n, "b")
	g.Eventually(a.cluster.Daemons, patience).Should(Equal(3))
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	var alone atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			if _, _, ok := c.cluster.Leader(); !ok {
				alone.Add(1)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	g.Eventually(func() bool { _, ok := a.election.Fence(); return ok }, patience).Should(BeFalse())
	g.Eventually(leads(b), patience).Should(BeTrue())
	g.Eventually(leads(a), patience).Should(BeFalse())
	g.Eventually(hears(c, "b"), patience).Should(BeTrue())
	stop()
	<-ended
	g.Expect(leads(c)()).To(BeFalse())
	g.Expect(alone.Load()).To(BeZero())
}

// The daemon that should take the lease doesn't: it is cut off, and the stopping leader has not noticed yet. Another one
// must be asked, or the leader ends and all wait until the lease falls silent.
func TestAnotherDaemonIsAskedWhenTheSuccessorFails(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	c := start(t, s, n, "c")
	time.Sleep(20 * time.Millisecond)
	b := start(t, s, n, "b")
	g.Eventually(a.cluster.Daemons, patience).Should(Equal(3))
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	g.Eventually(leads(c), patience).Should(BeTrue())
	g.Expect(leads(b)()).To(BeFalse())
}

// The leader dies before a daemon with a poor link and one with a good link. The good one takes the lease, though the
// other has looked for a leader as long: on a poor link the heartbeats to all daemons fill it, and nobody hears them.
func TestADaemonWithABetterLinkTakesTheLeaseFirst(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	poor := startPatient(t, s, n, "poor", patience)
	good := start(t, s, n, "good")
	g.Eventually(a.cluster.Daemons, patience).Should(Equal(3))
	a.stop()
	n.setCut("a", true)
	g.Eventually(leads(good), patience).Should(BeTrue())
	g.Eventually(hears(poor, "good"), patience).Should(BeTrue())
	g.Expect(leads(poor)()).To(BeFalse())
}

// The leader alone is cut off from the store. It still sends heartbeats, but what it knows is old and it may not order. Another
// daemon that reads the store takes its place, and it gives way.
func TestALeaderThatNoLongerReadsTheStoreIsReplaced(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(b.cluster.Informed, patience).Should(BeTrue())
	a.mu.Lock()
	a.blind = true
	a.mu.Unlock()
	g.Eventually(b.cluster.Informed, patience).Should(BeFalse())
	s.refuse("a")
	g.Eventually(leads(b), patience).Should(BeTrue())
	g.Eventually(leads(a), patience).Should(BeFalse())
	g.Eventually(hears(a, "b"), patience).Should(BeTrue())
}

// A daemon becomes the leader while another of its loops, which holds the cluster's lock, asks whether it is the leader. Told
// of the election under the election's own lock, the two waited for each other, and the daemon answered nobody any more.
func TestWhoHearsOfAnElectionMayAskForIt(t *testing.T) {
	g := NewWithT(t)
	held := make(chan bool, 1)
	var election *twelection.Election
	election = twelection.New(twelection.Config{
		Store: newStore(), Self: turmericwall.Member{Name: "a", Incarnation: "a1"}, Apart: time.Second,
		Recorder:    tweventlog.New(tweventlog.Config{Output: io.Discard}),
		LeaderHeard: func() bool { return false }, Ready: func() bool { return true },
		Patience: func() time.Duration { return 0 },
		Elected: func() {
			_, holds := election.Holds()
			held <- holds
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = election.Run(ctx) }()
	g.Eventually(held, patience).Should(Receive(BeTrue()))
}

// A daemon with a poor link finds no leader at all. It leaves the others time to take the lease, and then takes it itself:
// a poor leader is better than none.
func TestADaemonWithAPoorLinkWaitsAndThenTakesTheLease(t *testing.T) {
	g := NewWithT(t)
	s, n := newStore(), &network{clusters: make(map[string]*twcluster.Cluster), cut: make(map[string]bool)}
	poor := startPatient(t, s, n, "poor", 2*time.Second)
	g.Consistently(leads(poor), time.Second).Should(BeFalse())
	g.Eventually(leads(poor), patience).Should(BeTrue())
}

// The leader orders an engine to change its role and dies within a second. Whoever places calls after it, alone or as the
// next leader, must know that the engine refuses all calls.
func TestAllDaemonsLearnWhichEnginesChange(t *testing.T) {
	g := NewWithT(t)
	s, n, a := withLeader(t, g)
	b := start(t, s, n, "b")
	g.Eventually(hears(b, "a"), patience).Should(BeTrue())
	a.away.Note("e", turmericwall.RolePrefill, time.Now().Add(time.Minute))
	g.Eventually(func() bool {
		return b.away.Is(time.Now(), turmericwall.Upstream{ID: "e", Role: turmericwall.RoleDecode})
	}, "1s").Should(BeTrue())
}
