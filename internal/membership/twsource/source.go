// Package twsource decides where a daemon learns routes and upstreams: from the leader, from a peer, or by reading the
// store itself. It has no clock, socket or goroutine.
package twsource

import (
	"math"
	"sync"
	"time"
)

const (
	// asksPerStaleness is how often a daemon that hears no leader asks its peers while its knowledge grows stale.
	asksPerStaleness = 6
	// startAsk is the pause between two questions of a daemon that knows nothing yet.
	startAsk = 150 * time.Millisecond
	// uselessAsks is how many questions in a row must find no use before this daemon reads the store by itself.
	uselessAsks = 3
	// relieveShare is the part of the staleness at which a standby begins to read.
	relieveShare = 0.75
	// readerTenure is how long a daemon whose read succeeded goes on reading.
	readerTenure = 2 * time.Second
	// bootstrapWait is how long a starting daemon waits for its seeds before it reads the store.
	bootstrapWait = 1500 * time.Millisecond
	// firstSpread is the span over which daemons that hear nobody spread their first reads.
	firstSpread = 400 * time.Millisecond
	// fleetRetryInterval is the mean pause between two reads, by all daemons that hear nobody together, of a store that
	// fails them.
	fleetRetryInterval = 100 * time.Millisecond
	// seedRetry is the pause between two such reads of a starting seed: others wait for it.
	seedRetry = 200 * time.Millisecond
	// leastRetry is the shortest mean pause between two such reads of one daemon.
	leastRetry = 500 * time.Millisecond
	// unknownDaemons stands for the number of daemons while it is unknown.
	unknownDaemons = 30
)

// Config says what a source works with.
type Config struct {
	// Staleness is the largest age of knowledge that a daemon acts on.
	Staleness time.Duration
	// Seed tells that other daemons begin with this one: it reads the store at its start without waiting.
	Seed bool
	// StartedAt is when the daemon started.
	StartedAt time.Time
	// Random returns a number in [0, 1), which spreads the reads of many daemons.
	Random func() float64
}

// Observation is what the daemon knows when it asks the source.
type Observation struct {
	// Leader tells that this daemon is the leader, and Standby that the leader has chosen it to read when it can't.
	Leader  bool
	Standby bool
	// LeaderLive tells that a leader was heard lately.
	LeaderLive bool
	// FreshAt is when the store was asked for the newest answer that this daemon knows of; zero when it knows nothing.
	FreshAt time.Time
	// Daemons is the number of live daemons, 0 when it is unknown.
	Daemons int
}

// Source decides for one daemon.
type Source struct {
	config Config
	mu     sync.Mutex
	// readUntil is when this daemon's own reading ends.
	readUntil time.Time
	// retryAt is when a daemon that hears nobody may read; zero while it does not need to.
	retryAt time.Time
	askAt   time.Time
	// useless counts the questions to peers since the last one that was of use.
	useless int
}

// New returns the source of a daemon that knows nothing.
func New(config Config) *Source { return &Source{config: config} }

// Fresh tells that the daemon's knowledge is new enough to act on.
func (s *Source) Fresh(now time.Time, o Observation) bool {
	return !o.FreshAt.IsZero() && now.Sub(o.FreshAt) < s.config.Staleness
}

// Reads tells that this daemon reads the store now.
//
// The leader reads for all, and has standbys read when it can't. The others read only when they hear nobody: all daemons
// reading at once load a store that is already in trouble.
func (s *Source) Reads(now time.Time, o Observation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Leader || now.Before(s.readUntil) || (o.Standby && s.relieves(now, o)) {
		return true
	}
	if o.LeaderLive || s.Fresh(now, o) {
		s.retryAt = time.Time{}
		return false
	}
	if s.waitsForPeers(now, o) {
		return false
	}
	if s.retryAt.IsZero() {
		s.retryAt = now
		if !s.config.Seed {
			s.retryAt = now.Add(time.Duration(s.config.Random() * float64(firstSpread)))
		}
	}
	if now.Before(s.retryAt) {
		return false
	}
	s.retryAt = now.Add(s.retryPause(o))
	s.readUntil = now.Add(readerTenure)
	return true
}

// relieves tells that a standby must read: early enough for the others to learn from it before they are stale, and
// whenever it may have to take the lease.
func (s *Source) relieves(now time.Time, o Observation) bool {
	return !o.LeaderLive || float64(now.Sub(o.FreshAt)) >= relieveShare*float64(s.config.Staleness)
}

// waitsForPeers tells that a peer may still answer; the lock is held.
func (s *Source) waitsForPeers(now time.Time, o Observation) bool {
	if o.FreshAt.IsZero() {
		return !s.config.Seed && now.Sub(s.config.StartedAt) < bootstrapWait
	}
	return s.useless < uselessAsks
}

// retryPause is drawn so that the store gets the same rate of reads from any number of daemons; the lock is held.
func (s *Source) retryPause(o Observation) time.Duration {
	if s.config.Seed && o.FreshAt.IsZero() {
		return seedRetry
	}
	daemons := o.Daemons
	if daemons == 0 {
		daemons = unknownDaemons
	}
	mean := max(time.Duration(daemons)*fleetRetryInterval, leastRetry)
	return time.Duration(-math.Log(1-s.config.Random()) * float64(mean))
}

// Read takes the outcome of one read of the store.
func (s *Source) Read(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.readUntil = time.Time{}
	}
}

// Asks tells that this daemon, which hears no leader, should ask a peer for its knowledge and its leader now.
func (s *Source) Asks(now time.Time, o Observation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.LeaderLive {
		s.useless = 0
		return false
	}
	if now.Before(s.askAt) {
		return false
	}
	pause := s.config.Staleness / asksPerStaleness
	if o.FreshAt.IsZero() {
		pause = startAsk
	}
	s.askAt = now.Add(pause/2 + time.Duration(s.config.Random()*float64(pause)))
	return true
}

// Asked takes the outcome of a question to a peer: whether it named a live leader or had newer knowledge.
func (s *Source) Asked(useful bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if useful {
		s.useless = 0
		return
	}
	s.useless++
}
