// Package twcluster tracks which daemons are live. The leader sends heartbeats to all other daemons; a heartbeat
// names the leader and its standbys, and carries state that every daemon needs at its next placement. The package is
// not on a request's path, but placement, quotas and the plan follow the leader that it reports.
package twcluster

import (
	"context"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twproof"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

const (
	// heartbeatInterval is the time between two heartbeats to the same daemon.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout is the time limit of one heartbeat call to a daemon that forwards to no other.
	heartbeatTimeout = 400 * time.Millisecond
	// leaderTimeout is how long the leader counts as live after its last heartbeat: nearly three heartbeat intervals.
	leaderTimeout = 700 * time.Millisecond
	// memberTimeout is how long a daemon counts as live after its last reply to a heartbeat.
	memberTimeout = 1500 * time.Millisecond
	// joinTimeout is how long the first leader waits for the others before it counts them. A daemon that finds no peer
	// reads the lease, and may take over two seconds to join on a busy machine.
	joinTimeout = 3 * time.Second
	// memberRetention is how long a daemon that does not reply stays on the list of members. A daemon that receives
	// no heartbeats joins again by itself.
	memberRetention = time.Minute
	// relayFetchDelay is how long a daemon waits before it fetches a change from its relay, which fetches it from the
	// leader meanwhile.
	relayFetchDelay = 40 * time.Millisecond
	// relayFetchTimeout is how long a daemon may lack a change before it fetches from the leader instead of its relay.
	relayFetchTimeout = 800 * time.Millisecond
	// stateRequestGap is the least time between two requests of the leader's state for calls.
	stateRequestGap = 100 * time.Millisecond
	// maxNominations is how many heartbeats ask one daemon to take the lease before another daemon is asked: two may
	// be lost.
	maxNominations = 3
)

// Config holds the settings, state providers and callbacks of a cluster.
type Config struct {
	Peers    turmericwall.PeerClient
	Self     turmericwall.Member
	Recorder turmericwall.Recorder
	// IsLeader reports whether this daemon is the leader, and its term.
	IsLeader func() (term int64, ok bool)
	// LeaseVersion is the version of the lease's row as this daemon knows it. ApplyLeaseVersion applies the version
	// that the leader sent.
	LeaseVersion      func() int64
	ApplyLeaseVersion func(version int64, leader turmericwall.Member)
	// LeaseExpired reports whether the leader failed to renew its lease within the term; it may be nil.
	LeaseExpired func() bool
	// PlanVersion and UpstreamsPosition are the newest route plan and the newest position of the upstream list on
	// this daemon.
	PlanVersion       func() int64
	UpstreamsPosition func() int64
	// ReadAt returns when this daemon itself sent its last answered read to the store; zero before the first one.
	ReadAt func() time.Time
	// Proof tracks up to which time this daemon's plan is known to be in force.
	Proof *twproof.Proof
	// Staleness is the largest age of state that a daemon acts on.
	Staleness time.Duration
	// FetchState is called to fetch state from another daemon that has newer state than this one.
	FetchState func(ctx context.Context, other turmericwall.Member)
	// LinkMegabits is the rate of this daemon's network link in Mbit/s.
	LinkMegabits float64
	Zone         string
	// IsStopping reports whether this daemon has to give the lease up while it is the leader.
	IsStopping func() bool
	// LostPaths returns the number of upstreams to which this daemon has no network path; it may be nil.
	LostPaths func() int
	// OnNominated is called when the leader asks this daemon to take the lease.
	OnNominated func()
	// OnOutranked is called when another daemon is the leader of a later term.
	OnOutranked func()
	// Changing lists the engines that are changing role. ApplyChanging applies the leader's list.
	Changing      func() []turmericwall.ChangingEngine
	ApplyChanging func([]turmericwall.ChangingEngine)
	// Uses is what this daemon itself counted against quotas, and RecordUses records the counts of another daemon.
	// Levels is what is left of quotas by the leader's count, and ApplyLevels applies the leader's levels.
	Uses        func() []turmericwall.AccountUse
	RecordUses  func(incarnation string, up time.Duration, uses []turmericwall.AccountUse)
	Levels      func() []turmericwall.AccountLevel
	ApplyLevels func(leader string, levels []turmericwall.AccountLevel)
	// Rates are the rate limits that upstreams state, and OwnRates those that this daemon received itself. ApplyRates
	// applies the rates of another daemon.
	Rates      func() []turmericwall.UpstreamRate
	OwnRates   func() []turmericwall.UpstreamRate
	ApplyRates func([]turmericwall.UpstreamRate)
	// Leaving lists the upstreams that announced in an answer that they leave. ApplyLeaving applies the list of
	// another daemon.
	Leaving      func() []turmericwall.UpstreamKey
	ApplyLeaving func([]turmericwall.UpstreamKey)
	// OwnLoads is what this daemon itself observed of plain services under load. RecordLoads records what another daemon
	// observed, Loads is the sum of all, and ApplyLoads applies the sum that the leader sent at the time. They may be nil.
	OwnLoads    func() []turmericwall.ServiceLoad
	RecordLoads func(incarnation string, loads []turmericwall.ServiceLoad)
	Loads       func() []turmericwall.ServiceLoad
	ApplyLoads  func(sentAt time.Time, loads []turmericwall.ServiceLoad)
	// EvidenceVersion is the version of this daemon's evidence on engines that ended. WantEvidence is called with that of the
	// leader. Both may be nil.
	EvidenceVersion func() int64
	WantEvidence    func(leader turmericwall.Member, version int64)
	// OnPeerLost is called for an incarnation that is no longer live. It may call the cluster.
	OnPeerLost func(incarnation string)
}

// Cluster is one daemon's view of the other daemons. Its methods are safe for concurrent use.
type Cluster struct {
	config    Config
	startedAt time.Time
	mu        sync.Mutex
	// heartbeat is the last one received, lastHeartbeatAt the time of it, and heartbeatSentAt when it was sent as far as
	// this daemon can tell; zero when that is unknown.
	heartbeat       turmericwall.Heartbeat
	lastHeartbeatAt time.Time
	heartbeatSentAt time.Time
	// latestTerm is the latest term that this daemon has heard of, or has led in.
	latestTerm int64
	// supersededTerm is the term of the last heartbeat that was ignored because a later term has begun.
	supersededTerm int64
	// peerFreshAt is when the store was queried for the newest state that this daemon has from a peer.
	peerFreshAt time.Time
	// electedAt is when this daemon last became the leader.
	electedAt time.Time
	// sequence numbers the rounds of heartbeats that this daemon sent as the leader.
	sequence int64
	// changingDigest is that of the engines changing role in the last round, and changingUntil the round before which
	// heartbeats list them because they have changed.
	changingDigest uint64
	changingUntil  int64
	// members are the other daemons by address.
	members        map[string]*member
	membersVersion int64
	// sortedAddresses are the members' addresses in ascending order; nil after a change of the members.
	sortedAddresses []string
	// lost are the incarnations that are no longer live, as long as OnPeerLost isn't called for them.
	lost []string
	// countedDaemons is the number of live and unresponsive daemons, this one included, when a majority of the members
	// last replied in this daemon's term as the leader; 0 before that.
	countedDaemons int
	// copiedVersion is the version of the leader's list of members that this daemon has copied.
	copiedVersion int64
	standbys      []turmericwall.Member
	// wasInformed is the last result of FollowsFreshLeader, so that only changes are logged.
	wasInformed bool
	// stateRequestedAt is when the leader's state was last requested for calls.
	stateRequestedAt time.Time
	// wanted is the state of an earlier heartbeat that this daemon lacks, or that of the last one.
	wanted wantedState
	// fetchRequests holds the daemon from which state has to be fetched next.
	fetchRequests chan turmericwall.Member
	// sendNow triggers the next round of heartbeats without waiting for heartbeatInterval.
	sendNow chan struct{}
}

// wantedState is the state that a heartbeat named, and when that heartbeat was received.
type wantedState struct {
	planVersion, upstreamsPosition int64
	since                          time.Time
}

// New returns a cluster that knows only this daemon.
func New(config Config) *Cluster {
	return &Cluster{
		config: config, startedAt: time.Now(), members: make(map[string]*member),
		fetchRequests: make(chan turmericwall.Member, 1), sendNow: make(chan struct{}, 1),
	}
}

// AnnounceElection records that this daemon has become the leader and sends heartbeats at once. Until the other daemons
// receive one, they place calls with the former leader or locally, in conflict with this daemon's placements.
func (c *Cluster) AnnounceElection() {
	c.mu.Lock()
	c.electedAt = time.Now()
	c.countedDaemons = 0
	c.mu.Unlock()
	signal(c.sendNow)
}

// AnnounceChange sends heartbeats soon, because they announce something that daemons wait for.
func (c *Cluster) AnnounceChange() { signal(c.sendNow) }

// signal sends to ch unless a signal is already pending.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// requestFetch requests a fetch of another daemon's state, unless one is already requested.
func (c *Cluster) requestFetch(other turmericwall.Member) {
	select {
	case c.fetchRequests <- other:
	default:
	}
}

// Self returns this daemon's state as it reports it to peers. The ages are read before the state itself: in the other
// order, a read of the store that ends between the two would confirm a plan that is older than that read.
func (c *Cluster) Self() turmericwall.HeartbeatReply {
	now := twboottime.Now()
	reply := turmericwall.HeartbeatReply{
		Member: c.config.Self, UptimeMillis: time.Since(c.startedAt).Milliseconds(),
		LinkMegabits: c.config.LinkMegabits,
		Zone:         c.config.Zone, Stopping: c.config.IsStopping != nil && c.config.IsStopping(),
		StoreReadAgeMillis: -1, ProofAgeMillis: c.config.Proof.AgeMillis(now), BootTimeNanos: int64(now),
	}
	if at := c.config.ReadAt(); !at.IsZero() {
		reply.StoreReadAgeMillis = time.Since(at).Milliseconds()
	}
	reply.LostPaths = c.lostPaths()
	if c.config.Uses != nil {
		reply.Uses = c.config.Uses()
	}
	if c.config.OwnRates != nil {
		reply.Rates = c.config.OwnRates()
	}
	if c.config.Leaving != nil {
		reply.Leaving = c.config.Leaving()
	}
	if c.config.OwnLoads != nil {
		reply.Loads = c.config.OwnLoads()
	}
	reply.PlanVersion, reply.UpstreamsPosition = c.config.PlanVersion(), c.config.UpstreamsPosition()
	return reply
}

// lostPaths returns the number of upstreams to which this daemon has no network path.
func (c *Cluster) lostPaths() int {
	if c.config.LostPaths == nil {
		return 0
	}
	return c.config.LostPaths()
}

// FreshAt returns when the store was queried for the newest state that this daemon has, from its own reads or from
// peers; zero when it has none.
func (c *Cluster) FreshAt() time.Time {
	at := c.config.ReadAt()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peerFreshAt.After(at) {
		return c.peerFreshAt
	}
	return at
}

// RecordPeerFreshAt records that this daemon has all the state of a peer, which was queried from the store at the given
// time.
func (c *Cluster) RecordPeerFreshAt(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordPeerFreshAt(at)
}

func (c *Cluster) recordPeerFreshAt(at time.Time) {
	if at.After(c.peerFreshAt) {
		c.peerFreshAt = at
	}
}

// Run sends heartbeats while this daemon is the leader, and fetches newer state from peers, until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- c.runFetches(ctx) }()
	defer func() { cancel(); <-ended }()
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.sendNow:
		case <-tick.C:
		}
		term, leading := c.config.IsLeader()
		if !leading {
			c.resetLiveness()
			continue
		}
		c.sendHeartbeats(ctx, term)
	}
}

// runFetches is a loop of its own, so that a slow peer does not delay the heartbeats.
func (c *Cluster) runFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case other := <-c.fetchRequests:
			if other == c.Relay() && !sleep(ctx, relayFetchDelay) {
				return ctx.Err()
			}
			if c.config.FetchState != nil {
				c.config.FetchState(ctx, other)
			}
		}
	}
}

// sleep waits for the duration and reports whether ctx was still valid at its end.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
