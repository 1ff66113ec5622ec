// Package twcluster keeps the live daemons known: the leader sends heartbeats to all, the others hear it.
package twcluster

import (
	"context"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// table holds one row for each daemon's address.
	table = "daemons"
	// heartbeatInterval is the pause between two heartbeats.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout ends one heartbeat: a leader that is slow to answer is no better than none.
	heartbeatTimeout = 400 * time.Millisecond
	// leaderTimeout is how long after its last heartbeat the leader counts as live: nearly three heartbeats.
	leaderTimeout = 700 * time.Millisecond
	// memberTimeout is how long after its last answer a daemon counts as live.
	memberTimeout = 1500 * time.Millisecond
	// maxStaleness is how old the leader's knowledge of the store may be: a change must be known within two seconds,
	// and reading the store anew takes some hundred milliseconds.
	maxStaleness = 1300 * time.Millisecond
	// maxNominations is how often a daemon is asked to take the lease before another one is: two may be lost.
	maxNominations = 3
	// readEvery is the pause between two reads of the daemons' rows by the leader.
	readEvery = 4 * time.Second
	// failedReadEvery is the pause after a read that failed.
	failedReadEvery = time.Second
)

// Store is what the cluster reads and writes.
type Store interface {
	turmericwall.Feed
	turmericwall.RowWriter
}

// Config says what the cluster works with.
type Config struct {
	Store    Store
	Peers    turmericwall.PeerClient
	Self     turmericwall.Member
	Recorder turmericwall.Recorder
	// Keeping tells that this daemon is the leader, and its term.
	Keeping func() (term int64, ok bool)
	// LeaseVersion is the version of the lease's row as this daemon knows it, and LeaseTold takes it from the leader.
	LeaseVersion func() int64
	LeaseTold    func(version int64, leader turmericwall.Member)
	// PlanVersion and UpstreamsPosition are how much this daemon knows.
	PlanVersion       func() int64
	UpstreamsPosition func() int64
	// StoreRead is when the store was asked for the last answer that this daemon got.
	StoreRead func() time.Time
	// Behind is called when the leader knows newer state than this daemon.
	Behind func(ctx context.Context, leader turmericwall.Member)
	// LinkMegabits is the rate of this daemon's network link in Mbit/s.
	LinkMegabits float64
	// Stopping tells that this daemon gives the lease up while it is the leader.
	Stopping func() bool
	// Nominated is called when the stopping leader asks this daemon to take its place.
	Nominated func()
	// Outranked is called when another daemon is the leader of a later term.
	Outranked func()
	// Changing are the engines that change their role, and ChangingTold takes them from the leader.
	Changing     func() []turmericwall.ChangingEngine
	ChangingTold func([]turmericwall.ChangingEngine)
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
	// electedAt is when this daemon last became the leader.
	electedAt time.Time
	members   map[string]*member
	// informed is what Informed last told.
	informed bool
	// behind wakes the daemon that has to learn what the leader knows.
	behind chan struct{}
	// elected wakes the loop that knows the others, and known the one that sends heartbeats, when this daemon becomes the leader.
	elected, known chan struct{}
}

type member struct {
	turmericwall.Member
	answeredAt time.Time
	// startedAt is when its incarnation started.
	startedAt    time.Time
	linkMegabits float64
	// nominations counts how often it was asked to take the lease.
	nominations int
	live        bool
	asked       bool
}

// New returns a cluster that knows only this daemon.
func New(config Config) *Cluster {
	return &Cluster{
		config: config, began: time.Now(), members: make(map[string]*member), behind: make(chan struct{}, 1),
		elected: make(chan struct{}, 1), known: make(chan struct{}, 1),
	}
}

// Elected tells that this daemon has become the leader. Until the others hear of it, they place calls with the former one
// or alone, beside this daemon's. That lasted 450 ms while the first heartbeat waited for its turn.
func (c *Cluster) Elected() {
	c.mu.Lock()
	c.electedAt = time.Now()
	c.mu.Unlock()
	wake(c.elected)
}

func wake(waiting chan struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// Heard takes a heartbeat and answers who this daemon is.
func (c *Cluster) Heard(heartbeat turmericwall.Heartbeat) turmericwall.HeartbeatReply {
	self := c.answer()
	c.mu.Lock()
	defer c.mu.Unlock()
	if heartbeat.Term < c.heartbeat.Term && time.Since(c.heardAt) < leaderTimeout {
		return self
	}
	if heartbeat.Leader != c.heartbeat.Leader {
		c.config.Recorder.Record(turmericwall.EventLeaderHeard).Str("leader", heartbeat.Leader.Name).Int("term", heartbeat.Term).Send()
	}
	c.heartbeat = heartbeat
	c.heardAt = time.Now()
	if term, keeping := c.config.Keeping(); keeping && heartbeat.Term > term && c.config.Outranked != nil {
		c.config.Outranked()
	}
	if heartbeat.PlanVersion > c.config.PlanVersion() || heartbeat.UpstreamsPosition > c.config.UpstreamsPosition() {
		wake(c.behind)
	}
	c.config.LeaseTold(heartbeat.LeaseVersion, heartbeat.Leader)
	if c.config.ChangingTold != nil {
		c.config.ChangingTold(heartbeat.Changing)
	}
	if heartbeat.Successor == c.config.Self && c.config.Nominated != nil {
		c.config.Nominated()
	}
	return self
}

// Informed tells that the leader lives and reads the store, so that this daemon need not read it.
//
// Each daemon that reads the store by itself costs two calls each two seconds, which were a seventh of all that 75
// daemons earned. The leader reads for all. A leader that is cut off from the store, or silent, informs nobody: its
// followers read the store again before what they know is too old to act on.
func (c *Cluster) Informed() bool {
	heard := c.LeaderHeard()
	c.mu.Lock()
	defer c.mu.Unlock()
	age := time.Since(c.heardAt) + time.Duration(c.heartbeat.StoreMillis)*time.Millisecond
	informed := heard && age < maxStaleness
	if informed != c.informed {
		c.informed = informed
		event := turmericwall.EventReadsForItself
		if informed {
			event = turmericwall.EventInformedByLeader
		}
		c.config.Recorder.Record(event).Str("leader", c.heartbeat.Leader.Name).Int("term", c.heartbeat.Term).
			Int("heardMillis", time.Since(c.heardAt).Milliseconds()).Int("storeMillis", c.heartbeat.StoreMillis).Send()
	}
	return informed
}

func (c *Cluster) answer() turmericwall.HeartbeatReply {
	return turmericwall.HeartbeatReply{
		Member: c.config.Self, UpMillis: time.Since(c.began).Milliseconds(), LinkMegabits: c.config.LinkMegabits,
	}
}

// StoreRead is when the leader asked the store for the last answer that it told of; the zero time before its first heartbeat.
func (c *Cluster) StoreRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heardAt.IsZero() {
		return time.Time{}
	}
	return c.heardAt.Add(-time.Duration(c.heartbeat.StoreMillis) * time.Millisecond)
}

// Leader returns the live leader; self tells that it is this daemon.
func (c *Cluster) Leader() (leader turmericwall.Member, self, ok bool) {
	if _, keeping := c.config.Keeping(); keeping {
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
	if _, keeping := c.config.Keeping(); !keeping || time.Since(c.electedAt) < memberTimeout {
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

// Run makes this daemon known, and sends heartbeats to the others while it is the leader.
func (c *Cluster) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- c.knowOthers(ctx) }()
	defer func() { cancel(); <-ended }()
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.behind:
			c.catchUp(ctx)
			continue
		case <-c.known:
		case <-tick.C:
		}
		term, keeping := c.config.Keeping()
		if !keeping {
			c.rest()
			continue
		}
		c.sendHeartbeats(ctx, term)
	}
}

// catchUp learns what the leader knows.
func (c *Cluster) catchUp(ctx context.Context) {
	leader, self, ok := c.Leader()
	if ok && !self && c.config.Behind != nil {
		c.config.Behind(ctx, leader)
	}
}
