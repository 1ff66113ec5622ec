// Package twsource decides where a daemon gets routes and upstreams from: the leader's heartbeats, a query to a peer,
// or its own reads of the store. It has no clock and does no I/O. It is not on a request's path, but requests are
// served by the state that it keeps current.
package twsource

import (
	"math"
	"sync"
	"time"
)

const (
	// queriesPerStaleness is how often within Config.Staleness a daemon without a leader queries its peers.
	queriesPerStaleness = 6
	// startQueryInterval is the mean time between two queries of a daemon that has no state yet. The first ones follow each other
	// faster, from firstQueryInterval on, by queryIntervalGrowth each: seeds that start at the same time have the state within some
	// hundredths of a second.
	startQueryInterval  = 150 * time.Millisecond
	firstQueryInterval  = 40 * time.Millisecond
	queryIntervalGrowth = 1.5
	// answerGapFactor is the least time between an answered query and the next one, in times that the answer took: a daemon takes at most
	// a quarter of a seed's time.
	answerGapFactor = 3
	maxAnswerGap    = time.Second
	// maxUselessQueries is how many queries in a row must bring nothing before this daemon reads the store itself, and peerWaitShare the part
	// of Config.Staleness after which it does so whatever they brought: peers that stand still keep each query waiting.
	maxUselessQueries = 3
	peerWaitShare     = 0.25
	// standbyReadShare is the part of Config.Staleness after which a standby begins to read.
	standbyReadShare = 0.75
	// readDuration is how long a daemon continues to read after it began.
	readDuration = 2 * time.Second
	// bootstrapTimeout is how long a starting daemon waits for its seeds before it reads the store; with startReadSpread, all daemons
	// whose seeds are down have read it within three seconds.
	bootstrapTimeout = 1400 * time.Millisecond
	// maxBootstrapTimeout is how long it waits while a seed reports that it is loading the state, and loadingValidity how
	// long one such report counts. How long a seed takes grows with the number of upstreams.
	maxBootstrapTimeout = 8 * time.Second
	loadingValidity     = 2 * time.Second
	// leaderlessReadSpread is the span over which daemons that have lost their leader spread their first reads while their number is unknown,
	// else readSpreadPerDaemon for each, but at least minReadSpread: a read is two tables, and the store answers two thousand reads a
	// second.
	leaderlessReadSpread = 400 * time.Millisecond
	minReadSpread        = 200 * time.Millisecond
	readSpreadPerDaemon  = time.Millisecond
	// fleetRetryInterval is the mean time between two reads of a failing store by all daemons without a leader
	// together.
	fleetRetryInterval = 100 * time.Millisecond
	// seedRetryInterval is the time between two reads of a failing store by a starting seed: other daemons wait for
	// it.
	seedRetryInterval = 200 * time.Millisecond
	// minRetryInterval is the shortest mean time between two reads of a failing store by one daemon.
	minRetryInterval = 500 * time.Millisecond
	// evidencePeerWait is how long a starting daemon waits for a peer that has the evidence before it reads the evidence row itself:
	// some queries. evidenceReadSpread is the span over which daemons spread these reads, and the mean time between two of one daemon;
	// startReadSpread is that of the first reads of the state at a start: two tables and the lease each, which a thousand daemons
	// whose seeds are all down read less than two thousand times a second.
	// Without seeds each daemon needs the lease's row to find another one: noSeedsReadSpread keeps a thousand of them below that rate too.
	evidencePeerWait   = 250 * time.Millisecond
	noSeedsReadSpread  = 500 * time.Millisecond
	evidenceReadSpread = 1250 * time.Millisecond
	startReadSpread    = 1500 * time.Millisecond
	// assumedDaemons is used as the number of daemons while it is unknown.
	assumedDaemons = 30
)

// Config holds the settings of a source.
type Config struct {
	// Staleness is the largest age of state that a daemon acts on.
	Staleness time.Duration
	// Seed is set when other daemons start from this one: it reads the store at its start without waiting.
	Seed bool
	// NoSeeds is set when there is no other daemon to start from: this one doesn't wait for any.
	NoSeeds bool
	// StartedAt is when the daemon started.
	StartedAt time.Time
	// Random returns a number in [0, 1) that spreads the reads of many daemons.
	Random func() float64
}

// Observation is the daemon's state at the time of a decision.
type Observation struct {
	// Leader is set when this daemon is the leader, and Standby when the leader chose it to read the store in its
	// place if necessary.
	Leader  bool
	Standby bool
	// LeaderLive is set when there is a live leader, and Informed when its state is new, though this daemon may not have it.
	LeaderLive bool
	Informed   bool
	// FreshAt is when the store was queried for the newest state that this daemon has; zero when it has none.
	FreshAt time.Time
	// Daemons is the number of live daemons, or 0 when it is unknown.
	Daemons int
}

// Source makes the decisions of one daemon. It is safe for concurrent use.
type Source struct {
	config Config
	mu     sync.Mutex
	// readUntil is when this daemon's own reading ends.
	readUntil time.Time
	// nextReadAt is when a daemon without a leader may read; zero while it does not need to.
	nextReadAt  time.Time
	nextQueryAt time.Time
	// lackingSince is when this daemon began to lack new state that a leader would bring; zero while it doesn't.
	lackingSince time.Time
	// uselessQueries is how many queries to peers brought nothing since the last useful one.
	uselessQueries int
	// queries is how many queries to peers there were so far, and hasPeer is set once one was answered.
	queries int
	hasPeer bool
	// answeredAt is when a peer last answered a query.
	answeredAt time.Time
	// ledBefore is set if this daemon held the lease before its start.
	ledBefore bool
	// nextEvidenceReadAt is when this daemon may read the evidence row; zero before the first check.
	nextEvidenceReadAt time.Time
	// loadingAt is when a peer last reported that it is loading the state.
	loadingAt time.Time
}

// New returns the source of a daemon that has no state yet.
func New(config Config) *Source { return &Source{config: config} }

// IsFresh reports whether the daemon's state is new enough to act on.
func (s *Source) IsFresh(now time.Time, o Observation) bool {
	return !o.FreshAt.IsZero() && now.Sub(o.FreshAt) < s.config.Staleness
}

// ShouldRead reports whether this daemon has to read the store now.
//
// The leader reads for all daemons, and its standbys read when it cannot. The others read only without a live leader
// and after peers brought nothing: reads of all daemons at once would load a store that already fails. A daemon that doesn't get the new
// state of its leader reads too: the store answers the leader.
func (s *Source) ShouldRead(now time.Time, o Observation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !o.Leader && !o.Standby && o.LeaderLive && s.IsFresh(now, o) {
		// A daemon that began to read because it had no leader has found one.
		s.readUntil = time.Time{}
	}
	s.recordLacking(now, o)
	if o.Leader || now.Before(s.readUntil) || (o.Standby && s.mustStandbyRead(now, o)) {
		return true
	}
	if (o.LeaderLive && !o.Informed) || s.IsFresh(now, o) {
		s.nextReadAt = time.Time{}
		return false
	}
	if s.awaitsPeers(now, o) {
		return false
	}
	if s.nextReadAt.IsZero() {
		s.nextReadAt = now
		if !s.config.Seed {
			s.nextReadAt = now.Add(time.Duration(s.config.Random() * float64(firstReadSpread(o))))
		}
	}
	if now.Before(s.nextReadAt) {
		return false
	}
	s.nextReadAt = now.Add(s.drawRetryInterval(o))
	s.readUntil = now.Add(readDuration)
	return true
}

// firstReadSpread returns the span over which daemons spread their first reads: at their start they are many, and know no number.
func firstReadSpread(o Observation) time.Duration {
	if o.FreshAt.IsZero() {
		return startReadSpread
	}
	if o.Daemons == 0 {
		return leaderlessReadSpread
	}
	return max(minReadSpread, time.Duration(o.Daemons)*readSpreadPerDaemon)
}

// recordLacking records since when this daemon lacks what a leader would bring: it has no leader, or doesn't get the leader's state. The
// lock is held.
func (s *Source) recordLacking(now time.Time, o Observation) {
	switch {
	case o.LeaderLive && (s.IsFresh(now, o) || !o.Informed):
		s.lackingSince = time.Time{}
	case s.lackingSince.IsZero():
		s.lackingSince = now
	}
}

// mustStandbyRead reports whether a standby has to read: early enough for the others to get its state before theirs
// is stale, and always when it may have to take the lease.
func (s *Source) mustStandbyRead(now time.Time, o Observation) bool {
	return !o.LeaderLive || float64(now.Sub(o.FreshAt)) >= standbyReadShare*float64(s.config.Staleness)
}

// awaitsPeers reports whether a peer may still bring the state; the lock is held.
func (s *Source) awaitsPeers(now time.Time, o Observation) bool {
	if o.FreshAt.IsZero() {
		return !s.config.Seed && !s.ledBefore && now.Sub(s.config.StartedAt) < s.bootstrapTimeout(now)
	}
	if s.uselessQueries >= maxUselessQueries {
		return false
	}
	wait := time.Duration(peerWaitShare * float64(s.config.Staleness))
	// A peer that answers may be about to read the store for all.
	answers := now.Sub(s.answeredAt) < 2*wait
	return now.Sub(s.lackingSince) < wait || (answers && now.Sub(o.FreshAt) < s.config.Staleness+wait)
}

// bootstrapTimeout returns how long a starting daemon waits for its seeds; the lock is held.
//
// When all daemons of a large fleet start at once, each that gives up its seeds too early lists all upstreams: 500 of
// 986 daemons read two gigabytes from the store while three seeds were about to have the list.
func (s *Source) bootstrapTimeout(now time.Time) time.Duration {
	if s.config.NoSeeds {
		// The evidence row is read before, and beside it the lease: its holder may have the state.
		return evidencePeerWait
	}
	if now.Sub(s.loadingAt) < loadingValidity {
		return maxBootstrapTimeout
	}
	return bootstrapTimeout
}

// RecordLoading records that a peer is loading the state that this daemon lacks.
func (s *Source) RecordLoading(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadingAt = now
}

// drawRetryInterval draws the time to the next read, so that the store gets the same rate of reads from any number of
// daemons; the lock is held.
func (s *Source) drawRetryInterval(o Observation) time.Duration {
	if s.config.Seed && o.FreshAt.IsZero() {
		return seedRetryInterval
	}
	daemons := o.Daemons
	if daemons == 0 {
		daemons = assumedDaemons
	}
	mean := max(time.Duration(daemons)*fleetRetryInterval, minRetryInterval)
	return time.Duration(-math.Log(1-s.config.Random()) * float64(mean))
}

// RecordRead records the outcome of a read of the store. After an error the daemon stops reading until the next retry.
func (s *Source) RecordRead(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.readUntil = time.Time{}
	}
}

// ShouldQueryPeer reports whether this daemon has to query a peer for its state and its leader now: it has no live leader, or doesn't get the
// leader's state.
func (s *Source) ShouldQueryPeer(now time.Time, o Observation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.LeaderLive && (!o.Informed || s.IsFresh(now, o)) {
		s.uselessQueries = 0
		return false
	}
	if now.Before(s.nextQueryAt) {
		return false
	}
	interval := s.config.Staleness / queriesPerStaleness
	if o.FreshAt.IsZero() {
		first := float64(firstQueryInterval) * math.Pow(queryIntervalGrowth, float64(s.queries))
		interval = time.Duration(min(first, float64(startQueryInterval)))
	}
	s.queries++
	s.nextQueryAt = now.Add(interval/2 + time.Duration(s.config.Random()*float64(interval)))
	return true
}

// RecordQuery records the outcome of a query to a peer. It was useful if the peer named a live leader or had newer
// state.
func (s *Source) RecordQuery(useful bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if useful {
		s.uselessQueries = 0
		return
	}
	s.uselessQueries++
}

// RecordLeading records that this daemon held the lease before its start, as it has read in the store: the others wait for it, so that it
// reads the state without waiting for a peer.
func (s *Source) RecordLeading(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledBefore = true
	s.nextReadAt = now
}

// RecordPeer records that a peer has answered a query that took that long. The next query waits for a multiple of it, so that seeds
// which many daemons ask at once aren't asked faster than they answer.
func (s *Source) RecordPeer(now time.Time, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasPeer = true
	s.answeredAt = now
	if next := now.Add(min(answerGapFactor*took, maxAnswerGap)); next.After(s.nextQueryAt) {
		s.nextQueryAt = next
	}
}

// HasNoPeer reports whether several queries to peers were made and none was answered so far.
func (s *Source) HasNoPeer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.hasPeer && s.uselessQueries >= maxUselessQueries
}

// ShouldReadEvidence reports whether this daemon, which has nobody's evidence yet, has to read the evidence row now. Seeds read at
// once, since the others get it from them, and with it the lease's holder. The others read when no peer has it.
func (s *Source) ShouldReadEvidence(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.config.Random()
	spread := time.Duration(share * float64(evidenceReadSpread))
	if s.nextEvidenceReadAt.IsZero() {
		s.nextEvidenceReadAt = s.config.StartedAt
		switch {
		case s.config.Seed:
		case s.config.NoSeeds:
			s.nextEvidenceReadAt = s.config.StartedAt.Add(time.Duration(share * float64(noSeedsReadSpread)))
		default:
			s.nextEvidenceReadAt = s.config.StartedAt.Add(evidencePeerWait + spread)
		}
	}
	if now.Before(s.nextEvidenceReadAt) {
		return false
	}
	s.nextEvidenceReadAt = now.Add(seedRetryInterval)
	if !s.config.Seed {
		s.nextEvidenceReadAt = now.Add(evidenceReadSpread/2 + spread)
	}
	return true
}
