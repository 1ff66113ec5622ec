// Package twrates holds the request rates that upstreams state in their answers, as received by this daemon or
// reported by peers. Before a call is sent, the throttle reads the upstream's rate here.
package twrates

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericwall/turmericwall"
)

// shareDuration is how long a statement that this daemon received itself is sent to the leader, and how long the leader
// reports a lifted rate to all daemons. It spans several heartbeats.
const shareDuration = 5 * time.Second

// statementRetention is how long the statement of an unlisted upstream is kept: its entry may lapse and be listed
// again.
const statementRetention = time.Minute

// maxStatementAge limits the age in a peer's statement; a larger one could overflow a duration.
const maxStatementAge = 24 * time.Hour

// Config holds what the rates depend on.
type Config struct {
	Recorder turmericwall.Recorder
	// Now returns the current time with a monotonic clock reading.
	Now func() time.Time
}

// Rates holds the newest statement of each upstream. It is safe for concurrent use.
//
// Answers may overtake each other. A lower rate is applied at once; a higher one, or none, only from an answer to a
// call that was sent after the last lower statement was received.
type Rates struct {
	config     Config
	mu         sync.Mutex
	statements map[turmericwall.UpstreamKey]*statement
	// hasStatements lets callers skip the lock: usually there are no statements, and each placement reads the rates
	// of all engines.
	hasStatements atomic.Bool
}

// statement is an upstream's statement of its rate in requests per second, or of having no limit any more.
type statement struct {
	perSecond float64
	lifted    bool
	// statedAt is when the upstream stated the rate: the latest possible time for a rate, the earliest for a lifted
	// one.
	statedAt time.Time
	// receivedAt is when this daemon last received the statement from the upstream itself; zero if it came from peers
	// only.
	receivedAt time.Time
}

// New returns rates without any statement.
func New(config Config) *Rates {
	return &Rates{config: config, statements: make(map[turmericwall.UpstreamKey]*statement)}
}

// RecordAnswer records what an answer to this daemon states.
func (r *Rates) RecordAnswer(from turmericwall.UpstreamKey, s turmericwall.UpstreamStatement) {
	if !s.RateStated && !s.RateLifted {
		return
	}
	next := statement{perSecond: s.PerSecond, lifted: s.RateLifted, statedAt: s.ReceivedAt, receivedAt: s.ReceivedAt}
	if next.lifted {
		next.statedAt = s.SentAt
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.supersedes(from, next, s.SentAt) {
		r.put(from, next, "answer")
	}
}

// RecordPeerRates records the statements that a peer sent.
func (r *Rates) RecordPeerRates(list []turmericwall.UpstreamRate) {
	if len(list) == 0 {
		return
	}
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range list {
		age := time.Duration(min(max(u.AgeMillis, 0), maxStatementAge.Milliseconds())) * time.Millisecond
		next := statement{perSecond: u.PerSecond, lifted: u.Lifted, statedAt: now.Add(-age)}
		if r.supersedes(u.Key(), next, next.statedAt) {
			r.put(u.Key(), next, "peer")
		}
	}
}

// supersedes reports whether a statement replaces the known one. sentAt is when the call was sent whose answer
// carried it. The lock is held.
func (r *Rates) supersedes(key turmericwall.UpstreamKey, next statement, sentAt time.Time) bool {
	known, ok := r.statements[key]
	if !ok {
		return !next.lifted
	}
	if next.lifted || (!known.lifted && next.perSecond > known.perSecond) {
		return sentAt.After(known.statedAt)
	}
	return next.statedAt.After(known.statedAt)
}

// put stores a statement and logs it if it differs from the known one; source names its origin in the log. The lock
// is held.
func (r *Rates) put(key turmericwall.UpstreamKey, next statement, source string) {
	known, ok := r.statements[key]
	r.statements[key] = &next
	r.hasStatements.Store(true)
	if ok && known.lifted == next.lifted && known.perSecond == next.perSecond {
		if next.receivedAt.IsZero() {
			next.receivedAt = known.receivedAt
		}
		return
	}
	lifted := int64(0)
	if next.lifted {
		lifted = 1
	}
	r.config.Recorder.Record(turmericwall.EventUpstreamRate).Str("upstream", key.ID).Float("perSecond", next.perSecond).
		Int("lifted", lifted).Int("ageMillis", r.config.Now().Sub(next.statedAt).Milliseconds()).
		Str("source", source).Send()
}

// Rate returns the rate that the upstream states, in requests per second of all daemons together; ok is false when it
// states none.
func (r *Rates) Rate(key turmericwall.UpstreamKey) (perSecond float64, ok bool) {
	if !r.hasStatements.Load() {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.statements[key]
	if !ok || known.lifted {
		return 0, false
	}
	return known.perSecond, true
}

// Limited returns the upstreams that state a rate.
func (r *Rates) Limited() []turmericwall.UpstreamKey {
	if !r.hasStatements.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var limited []turmericwall.UpstreamKey
	for key, s := range r.statements {
		if !s.lifted {
			limited = append(limited, key)
		}
	}
	return limited
}

// Statement returns the rate that the upstream states in the form that peers get; ok is false when it states none.
func (r *Rates) Statement(key turmericwall.UpstreamKey) (statement turmericwall.UpstreamRate, ok bool) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.statements[key]
	if !ok || known.lifted {
		return turmericwall.UpstreamRate{}, false
	}
	return known.toUpstreamRate(key, now), true
}

// toUpstreamRate returns the statement in the form that peers get.
func (s *statement) toUpstreamRate(key turmericwall.UpstreamKey, now time.Time) turmericwall.UpstreamRate {
	return turmericwall.UpstreamRate{
		ID: key.ID, StartedMillis: key.StartedMillis, PerSecond: s.perSecond, Lifted: s.lifted,
		AgeMillis: max(now.Sub(s.statedAt).Milliseconds(), 0),
	}
}

// ListForPeers returns what the leader sends to all daemons: the rates in force, and those lifted within shareDuration.
func (r *Rates) ListForPeers() []turmericwall.UpstreamRate {
	return r.list(func(s *statement, now time.Time) bool { return !s.lifted || now.Sub(s.statedAt) < shareDuration })
}

// ListReceived returns what this daemon received from upstreams itself within shareDuration, for the leader.
func (r *Rates) ListReceived() []turmericwall.UpstreamRate {
	return r.list(func(s *statement, now time.Time) bool {
		return !s.receivedAt.IsZero() && now.Sub(s.receivedAt) < shareDuration
	})
}

// list returns the statements for which include reports true.
func (r *Rates) list(include func(s *statement, now time.Time) bool) []turmericwall.UpstreamRate {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []turmericwall.UpstreamRate
	for key, s := range r.statements {
		if !include(s, now) {
			continue
		}
		list = append(list, s.toUpstreamRate(key, now))
	}
	return list
}

// RemoveUnknown removes the upstreams that are not known any more and stated nothing within statementRetention.
func (r *Rates) RemoveUnknown(known func(turmericwall.UpstreamKey) bool) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, s := range r.statements {
		if now.Sub(s.statedAt) > statementRetention && !known(key) {
			delete(r.statements, key)
		}
	}
	r.hasStatements.Store(len(r.statements) > 0)
}
