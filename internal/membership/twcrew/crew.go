// Package twcrew keeps the live daemons known: the leader beats to all, the others hear it.
package twcrew

import (
	"context"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// table holds one row for each daemon's address.
	table = "daemons"
	// beatEvery is the pause between two beats.
	beatEvery = 250 * time.Millisecond
	// beatLimit ends one beat: a leader that is slow to answer is no better than none.
	beatLimit = 400 * time.Millisecond
	// heardSpan is how long after its last beat the leader counts as live: nearly three beats.
	heardSpan = 700 * time.Millisecond
	// lostSpan is how long after its last answer a daemon counts as live.
	lostSpan = 1500 * time.Millisecond
	// informedSpan is how old the leader's knowledge of the store may be: a change must be known within two seconds,
	// and reading the store anew takes some hundred milliseconds.
	informedSpan = 1300 * time.Millisecond
	// maxNominations is how often a daemon is asked to take the lease before another one is: two may be lost.
	maxNominations = 3
	// readEvery is the pause between two reads of the daemons' rows by the leader.
	readEvery = 4 * time.Second
	// failedReadEvery is the pause after a read that failed.
	failedReadEvery = time.Second
)

// Store is what the crew reads and writes.
type Store interface {
	turmericwall.Feed
	turmericwall.RowWriter
}

// Config says what the crew works with.
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

// Crew is one daemon's view of the others.
type Crew struct {
	config  Config
	began   time.Time
	mu      sync.Mutex
	beat    turmericwall.Beat
	heardAt time.Time
	// electedAt is when this daemon last became the leader.
	electedAt time.Time
	members   map[string]*member
	// informed is what Informed last told.
	informed bool
	// behind wakes the daemon that has to learn what the leader knows.
	behind chan struct{}
	// elected wakes the loop that knows the others, and known the one that beats, when this daemon becomes the leader.
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

// New returns a crew that knows only this daemon.
func New(config Config) *Crew {
	return &Crew{
		config: config, began: time.Now(), members: make(map[string]*member), behind: make(chan struct{}, 1),
		elected: make(chan struct{}, 1), known: make(chan struct{}, 1),
	}
}

// Elected tells that this daemon has become the leader. Until the others hear of it, they place calls with the former one
// or alone, beside this daemon's. That lasted 450 ms while the first beat waited for its turn.
func (c *Crew) Elected() {
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

// Heard takes a beat and answers who this daemon is.
func (c *Crew) Heard(beat turmericwall.Beat) turmericwall.BeatAnswer {
	self := c.answer()
	c.mu.Lock()
	defer c.mu.Unlock()
	if beat.Term < c.beat.Term && time.Since(c.heardAt) < heardSpan {
		return self
	}
	if beat.Leader != c.beat.Leader {
		c.config.Recorder.Record(turmericwall.EventLeaderHeard).Str("leader", beat.Leader.Name).Int("term", beat.Term).Send()
	}
	c.beat = beat
	c.heardAt = time.Now()
	if term, keeping := c.config.Keeping(); keeping && beat.Term > term && c.config.Outranked != nil {
		c.config.Outranked()
	}
	if beat.PlanVersion > c.config.PlanVersion() || beat.UpstreamsPosition > c.config.UpstreamsPosition() {
		wake(c.behind)
	}
	c.config.LeaseTold(beat.LeaseVersion, beat.Leader)
	if c.config.ChangingTold != nil {
		c.config.ChangingTold(beat.Changing)
	}
	if beat.Successor == c.config.Self && c.config.Nominated != nil {
		c.config.Nominated()
	}
	return self
}

// Informed tells that the leader lives and reads the store, so that this daemon need not read it.
//
// Each daemon that reads the store by itself costs two calls each two seconds, which were a seventh of all that 75
// daemons earned. The leader reads for all. A leader that is cut off from the store, or silent, informs nobody: its
// followers read the store again before what they know is too old to act on.
func (c *Crew) Informed() bool {
	heard := c.LeaderHeard()
	c.mu.Lock()
	defer c.mu.Unlock()
	age := time.Since(c.heardAt) + time.Duration(c.beat.StoreMillis)*time.Millisecond
	informed := heard && age < informedSpan
	if informed != c.informed {
		c.informed = informed
		event := turmericwall.EventReadsForItself
		if informed {
			event = turmericwall.EventInformedByLeader
		}
		c.config.Recorder.Record(event).Str("leader", c.beat.Leader.Name).Int("term", c.beat.Term).
			Int("heardMillis", time.Since(c.heardAt).Milliseconds()).Int("storeMillis", c.beat.StoreMillis).Send()
	}
	return informed
}

func (c *Crew) answer() turmericwall.BeatAnswer {
	return turmericwall.BeatAnswer{
		Member: c.config.Self, UpMillis: time.Since(c.began).Milliseconds(), LinkMegabits: c.config.LinkMegabits,
	}
}

// StoreRead is when the leader asked the store for the last answer that it told of; the zero time before its first beat.
func (c *Crew) StoreRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heardAt.IsZero() {
		return time.Time{}
	}
	return c.heardAt.Add(-time.Duration(c.beat.StoreMillis) * time.Millisecond)
}

// Leader returns the live leader; self tells that it is this daemon.
func (c *Crew) Leader() (leader turmericwall.Member, self, ok bool) {
	if _, keeping := c.config.Keeping(); keeping {
		return c.config.Self, true, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.heardAt) > heardSpan {
		return turmericwall.Member{}, false, false
	}
	return c.beat.Leader, false, true
}

// LeaderHeard tells that another daemon is the leader and lives.
func (c *Crew) LeaderHeard() bool {
	_, self, ok := c.Leader()
	return ok && !self
}

// Daemons is the number of live daemons as last known; 0 while it is unknown.
//
// A daemon that has heard no leader, or has just become one, does not know the others. If each took itself for the only
// one, all would spend what all together may repeat.
func (c *Crew) Daemons() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, keeping := c.config.Keeping(); !keeping || time.Since(c.electedAt) < lostSpan {
		return c.beat.Daemons
	}
	n := 1
	for _, m := range c.members {
		if m.live {
			n++
		}
	}
	return max(n, c.beat.Daemons/2)
}

// Run makes this daemon known, and beats to the others while it is the leader.
func (c *Crew) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- c.knowOthers(ctx) }()
	defer func() { cancel(); <-ended }()
	tick := time.NewTicker(beatEvery)
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
		c.beatAll(ctx, term)
	}
}

// catchUp learns what the leader knows.
func (c *Crew) catchUp(ctx context.Context) {
	leader, self, ok := c.Leader()
	if ok && !self && c.config.Behind != nil {
		c.config.Behind(ctx, leader)
	}
}
