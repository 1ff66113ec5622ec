// Package twcluster keeps the live daemons known: the leader sends heartbeats to all, the others hear it.
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
	// heartbeatInterval is the pause between two heartbeats.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout ends one heartbeat: a leader that is slow to answer is no better than none.
	heartbeatTimeout = 400 * time.Millisecond
	// leaderTimeout is how long after its last heartbeat the leader counts as live: nearly three heartbeats.
	leaderTimeout = 700 * time.Millisecond
	// memberTimeout is how long after its last answer a daemon counts as live.
	memberTimeout = 1500 * time.Millisecond
	// forgetSpan is how long a member that answers nothing is remembered; a daemon that hears no leader joins again.
	forgetSpan = time.Minute
	// maxNominations is how often a daemon is asked to take the lease before another one is: two may be lost.
	maxNominations = 3
)

// Config says what the cluster works with.
type Config struct {
	Peers    turmericwall.PeerClient
	Self     turmericwall.Member
	Recorder turmericwall.Recorder
	// Leading tells that this daemon is the leader, and its term.
	Leading func() (term int64, ok bool)
	// LeaseVersion is the version of the lease's row as this daemon knows it, and LeaseTold takes it from the leader.
	LeaseVersion func() int64
	LeaseTold    func(version int64, leader turmericwall.Member)
	// LeaseExpired tells that the leader could not renew its lease within the term; it may be nil.
	LeaseExpired func() bool
	// PlanVersion and UpstreamsPosition are how much this daemon knows.
	PlanVersion       func() int64
	UpstreamsPosition func() int64
	// ReadAt is when this daemon itself asked the store for the last answer that it got; zero when it never did.
	ReadAt func() time.Time
	// Proof is what this daemon knows of its plan being in force.
	Proof *twproof.Proof
	// Staleness is the largest age of knowledge that a daemon acts on.
	Staleness time.Duration
	// Behind is called when another daemon knows newer state than this one.
	Behind func(ctx context.Context, other turmericwall.Member)
	// LinkMegabits is the rate of this daemon's network link in Mbit/s.
	LinkMegabits float64
	Zone         string
	// Stopping tells that this daemon gives the lease up while it is the leader.
	Stopping func() bool
	// Nominated is called when the leader asks this daemon to take its place.
	Nominated func()
	// Outranked is called when another daemon is the leader of a later term.
	Outranked func()
	// Changing are the engines that change their role, and ChangingTold takes them from the leader.
	Changing     func() []turmericwall.ChangingEngine
	ChangingTold func([]turmericwall.ChangingEngine)
	// Uses is what this daemon counted for quotas by itself, and TakeUses takes another one's. Levels is what is left of
	// quotas by the leader's count, and TakeLevels takes it from the leader.
	Uses       func() []turmericwall.AccountUse
	TakeUses   func(incarnation string, up time.Duration, uses []turmericwall.AccountUse)
	Levels     func() []turmericwall.AccountLevel
	TakeLevels func(leader string, levels []turmericwall.AccountLevel)
	// Rates are those that upstreams state, and OwnRates those that this daemon received itself; TakeRates takes another one's.
	Rates     func() []turmericwall.UpstreamRate
	OwnRates  func() []turmericwall.UpstreamRate
	TakeRates func([]turmericwall.UpstreamRate)
	// Leaving are the upstreams that announced their end in answers, and TakeLeaving takes those that another daemon knows.
	Leaving     func() []turmericwall.UpstreamKey
	TakeLeaving func([]turmericwall.UpstreamKey)
	// Gone is called for an incarnation that is no longer live.
	Gone func(incarnation string)
}

// Cluster is one daemon's view of the others.
type Cluster struct {
	config    Config
	began     time.Time
	mu        sync.Mutex
	heartbeat turmericwall.Heartbeat
	heardAt   time.Time
	// learnedAt is when the store was asked for the newest state that this daemon has from a peer.
	learnedAt time.Time
	// electedAt is when this daemon last became the leader.
	electedAt time.Time
	// members are the other daemons by address.
	members        map[string]*member
	membersVersion int64
	// copiedVersion is the version of the leader's list of members that this daemon has copied.
	copiedVersion int64
	standbys      []turmericwall.Member
	// informed is what Informed last told.
	informed bool
	// ahead is the daemon whose state this one has to fetch.
	ahead chan turmericwall.Member
	// sendNow wakes the loop that sends heartbeats.
	sendNow chan struct{}
}

// New returns a cluster that knows only this daemon.
func New(config Config) *Cluster {
	return &Cluster{
		config: config, began: time.Now(), members: make(map[string]*member),
		ahead: make(chan turmericwall.Member, 1), sendNow: make(chan struct{}, 1),
	}
}

// Elected tells that this daemon has become the leader: the others must hear of it at once, or they place calls with the
// former leader or alone, beside this daemon's.
func (c *Cluster) Elected() {
	c.mu.Lock()
	c.electedAt = time.Now()
	c.mu.Unlock()
	wake(c.sendNow)
}

func wake(waiting chan struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// fetchFrom has this daemon fetch another one's state, unless such a fetch waits already.
func (c *Cluster) fetchFrom(other turmericwall.Member) {
	select {
	case c.ahead <- other:
	default:
	}
}

// Heard takes a heartbeat and answers who this daemon is.
func (c *Cluster) Heard(heartbeat turmericwall.Heartbeat) turmericwall.HeartbeatReply {
	self := c.Self()
	c.mu.Lock()
	defer c.mu.Unlock()
	if heartbeat.Term < c.heartbeat.Term && time.Since(c.heardAt) < leaderTimeout {
		return self
	}
	if heartbeat.Leader != c.heartbeat.Leader {
		c.copiedVersion = 0
		c.config.Recorder.Record(turmericwall.EventLeaderHeard).Str("leader", heartbeat.Leader.Name).Int("term", heartbeat.Term).Send()
	}
	c.heartbeat = heartbeat
	c.heardAt = time.Now()
	if term, leading := c.config.Leading(); leading && heartbeat.Term > term && c.config.Outranked != nil {
		c.config.Outranked()
	}
	if heartbeat.PlanVersion <= self.PlanVersion {
		c.config.Proof.ConfirmEcho(twboottime.Now(), heartbeat.Echo, heartbeat.ProofMillis)
	}
	behind := heartbeat.PlanVersion > self.PlanVersion || heartbeat.UpstreamsPosition > self.UpstreamsPosition
	if !behind {
		c.learned(c.heardAt.Add(-time.Duration(heartbeat.StoreMillis) * time.Millisecond))
	}
	if behind || (c.isStandby() && heartbeat.MembersVersion != c.copiedVersion) {
		c.fetchFrom(heartbeat.Leader)
	}
	c.config.LeaseTold(heartbeat.LeaseVersion, heartbeat.Leader)
	if c.config.ChangingTold != nil {
		c.config.ChangingTold(heartbeat.Changing)
	}
	if c.config.TakeLevels != nil {
		c.config.TakeLevels(heartbeat.Leader.Incarnation, heartbeat.Levels)
	}
	if c.config.TakeRates != nil {
		c.config.TakeRates(heartbeat.Rates)
	}
	if c.config.TakeLeaving != nil {
		c.config.TakeLeaving(heartbeat.Leaving)
	}
	if heartbeat.Successor == c.config.Self && c.config.Nominated != nil {
		c.config.Nominated()
	}
	if c.config.Uses != nil {
		self.Uses = c.config.Uses()
	}
	return self
}

// Informed tells that another daemon leads and that its knowledge of the store is new enough.
func (c *Cluster) Informed() bool {
	heard := c.LeaderHeard()
	c.mu.Lock()
	defer c.mu.Unlock()
	age := time.Since(c.heardAt) + time.Duration(c.heartbeat.StoreMillis)*time.Millisecond
	informed := heard && age < c.config.Staleness
	if informed != c.informed {
		c.informed = informed
		event := turmericwall.EventLeaderStale
		if informed {
			event = turmericwall.EventInformedByLeader
		}
		c.config.Recorder.Record(event).Str("leader", c.heartbeat.Leader.Name).Int("term", c.heartbeat.Term).
			Int("heardMillis", time.Since(c.heardAt).Milliseconds()).Int("storeMillis", c.heartbeat.StoreMillis).Send()
	}
	return informed
}

// Self is what this daemon tells others of itself. How old its knowledge is, is taken before what it knows: the other way
// round, a read that ends between the two would vouch for a plan from before it.
func (c *Cluster) Self() turmericwall.HeartbeatReply {
	moment := twboottime.Now()
	reply := turmericwall.HeartbeatReply{
		Member: c.config.Self, UpMillis: time.Since(c.began).Milliseconds(), LinkMegabits: c.config.LinkMegabits,
		Zone: c.config.Zone, Stopping: c.config.Stopping != nil && c.config.Stopping(),
		ReadMillis: -1, ProofMillis: c.config.Proof.AgeMillis(moment), Moment: int64(moment),
	}
	if at := c.config.ReadAt(); !at.IsZero() {
		reply.ReadMillis = time.Since(at).Milliseconds()
	}
	if c.config.Uses != nil {
		reply.Uses = c.config.Uses()
	}
	if c.config.OwnRates != nil {
		reply.Rates = c.config.OwnRates()
	}
	if c.config.Leaving != nil {
		reply.Leaving = c.config.Leaving()
	}
	reply.PlanVersion, reply.UpstreamsPosition = c.config.PlanVersion(), c.config.UpstreamsPosition()
	return reply
}

// FreshAt is when the store was asked for the newest state that this daemon has, by itself or by others; zero when there
// is none.
func (c *Cluster) FreshAt() time.Time {
	at := c.config.ReadAt()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.learnedAt.After(at) {
		return c.learnedAt
	}
	return at
}

// Learned notes that this daemon has all that a peer knew, for which the store was asked at that time.
func (c *Cluster) Learned(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned(at)
}

func (c *Cluster) learned(at time.Time) {
	if at.After(c.learnedAt) {
		c.learnedAt = at
	}
}

// Leader returns the live leader; self tells that it is this daemon.
func (c *Cluster) Leader() (leader turmericwall.Member, self, ok bool) {
	if _, leading := c.config.Leading(); leading {
		return c.config.Self, true, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.heardAt) > leaderTimeout {
		return turmericwall.Member{}, false, false
	}
	return c.heartbeat.Leader, false, true
}

// LeaderHeard tells that another daemon is the leader and lives.
func (c *Cluster) LeaderHeard() bool {
	_, self, ok := c.Leader()
	return ok && !self
}

// Daemons is the number of live daemons as last known; 0 while it is unknown.
//
// A daemon that has heard no leader, or has just become one, does not know the others. If each took itself for the only
// one, all would spend what all together may repeat.
func (c *Cluster) Daemons() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, leading := c.config.Leading(); !leading || time.Since(c.electedAt) < memberTimeout {
		return c.heartbeat.Daemons
	}
	n := 1
	for _, m := range c.members {
		if m.live {
			n++
		}
	}
	return max(n, c.heartbeat.Daemons/2)
}

// Rank is this daemon's place among all by the last heartbeat, how many there were, and when it came. There are none before
// the first one.
func (c *Cluster) Rank() (rank, daemons int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heartbeat.Rank, c.heartbeat.Daemons, c.heardAt
}

// absentSpan is how long a member that does not answer counts as absent: it may be cut off.
const absentSpan = 12 * time.Second

// Absent is how many daemons this leader knows that don't answer it but did so lately.
func (c *Cluster) Absent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.members {
		if !m.live && m.Incarnation != "" && !m.Stopping && time.Since(m.answeredAt) < absentSpan {
			n++
		}
	}
	return n
}

// Run sends heartbeats while this daemon is the leader, and fetches what others know, until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- c.fetch(ctx) }()
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
		term, leading := c.config.Leading()
		if !leading {
			c.rest()
			continue
		}
		c.sendHeartbeats(ctx, term)
	}
}

// fetch has a loop of its own: a peer that is slow to answer must not delay the heartbeats.
func (c *Cluster) fetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case other := <-c.ahead:
			if c.config.Behind != nil {
				c.config.Behind(ctx, other)
			}
		}
	}
}
