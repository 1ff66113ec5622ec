// Package twrates keeps the rates of requests that upstreams state in their answers.
package twrates

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericwall/turmericwall"
)

// listSpan is how long a statement of this daemon's own, or a lifted rate, is shared with peers: several heartbeats.
const listSpan = 5 * time.Second

// forgetSpan is how long the statement of an upstream that is no longer listed is kept: its entry may lapse and come back.
const forgetSpan = time.Minute

// maxAge bounds the age of a peer's statement, which would overflow otherwise.
const maxAge = 24 * time.Hour

// Config says what the rates work with.
type Config struct {
	Recorder turmericwall.Recorder
	// Now is the time by the steady clock.
	Now func() time.Time
}

// Rates hold the newest statement of each upstream.
//
// Answers overtake each other. A lower rate is taken at once; a higher one, or none, only from an answer to a call that was
// sent after the last lower statement was received.
type Rates struct {
	config Config
	mu     sync.Mutex
	known  map[turmericwall.UpstreamKey]*statement
	// any tells that statements are known: usually there are none, and rates are asked for each engine at each decision.
	any atomic.Bool
}

type statement struct {
	perSecond float64
	lifted    bool
	// at is when the upstream said so, at the earliest for a lifted rate and at the latest else.
	at time.Time
	// ownAt is when this daemon last received it from the upstream itself; zero when only peers did.
	ownAt time.Time
}

// New returns rates of no upstream.
func New(config Config) *Rates {
	return &Rates{config: config, known: make(map[turmericwall.UpstreamKey]*statement)}
}

// Take takes what an answer to this daemon states.
func (r *Rates) Take(from turmericwall.UpstreamKey, s turmericwall.UpstreamStatement) {
	if !s.RateStated && !s.RateLifted {
		return
	}
	next := statement{perSecond: s.PerSecond, lifted: s.RateLifted, at: s.ReceivedAt, ownAt: s.ReceivedAt}
	if next.lifted {
		next.at = s.SentAt
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.supersedes(from, next, s.SentAt) {
		r.put(from, next, "answer")
	}
}

// TakeList takes what a peer knows.
func (r *Rates) TakeList(list []turmericwall.UpstreamRate) {
	if len(list) == 0 {
		return
	}
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range list {
		age := time.Duration(min(max(u.AgeMillis, 0), maxAge.Milliseconds())) * time.Millisecond
		next := statement{perSecond: u.PerSecond, lifted: u.Lifted, at: now.Add(-age)}
		if r.supersedes(u.Key(), next, next.at) {
			r.put(u.Key(), next, "peer")
		}
	}
}

// supersedes tells that the statement replaces the known one; since is when the call was sent that it answers. The lock is
// held.
func (r *Rates) supersedes(key turmericwall.UpstreamKey, next statement, since time.Time) bool {
	known, ok := r.known[key]
	if !ok {
		return !next.lifted
	}
	if next.lifted || (!known.lifted && next.perSecond > known.perSecond) {
		return since.After(known.at)
	}
	return next.at.After(known.at)
}

// put keeps a statement; the lock is held.
func (r *Rates) put(key turmericwall.UpstreamKey, next statement, source string) {
	known, ok := r.known[key]
	r.known[key] = &next
	r.any.Store(true)
	if ok && known.lifted == next.lifted && known.perSecond == next.perSecond {
		if next.ownAt.IsZero() {
			next.ownAt = known.ownAt
		}
		return
	}
	lifted := int64(0)
	if next.lifted {
		lifted = 1
	}
	r.config.Recorder.Record(turmericwall.EventUpstreamRate).Str("upstream", key.ID).Float("perSecond", next.perSecond).
		Int("lifted", lifted).Int("ageMillis", r.config.Now().Sub(next.at).Milliseconds()).Str("source", source).Send()
}

// Rate is the rate that the upstream states, in requests a second of all daemons; ok is false when it states none.
func (r *Rates) Rate(key turmericwall.UpstreamKey) (perSecond float64, ok bool) {
	if !r.any.Load() {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.known[key]
	if !ok || known.lifted {
		return 0, false
	}
	return known.perSecond, true
}

// Statement is the rate that the upstream states, as it is shared with peers; ok is false when it states none.
func (r *Rates) Statement(key turmericwall.UpstreamKey) (statement turmericwall.UpstreamRate, ok bool) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.known[key]
	if !ok || known.lifted {
		return turmericwall.UpstreamRate{}, false
	}
	return known.shared(key, now), true
}

// shared is the statement in the form that peers get.
func (s *statement) shared(key turmericwall.UpstreamKey, now time.Time) turmericwall.UpstreamRate {
	return turmericwall.UpstreamRate{
		ID: key.ID, StartedMillis: key.StartedMillis, PerSecond: s.perSecond, Lifted: s.lifted,
		AgeMillis: max(now.Sub(s.at).Milliseconds(), 0),
	}
}

// List is what this daemon shares with all others while it is the leader: the rates in force, and those lifted lately.
func (r *Rates) List() []turmericwall.UpstreamRate {
	return r.list(func(s *statement, now time.Time) bool { return !s.lifted || now.Sub(s.at) < listSpan })
}

// Own is what this daemon lately received from upstreams itself, for the leader.
func (r *Rates) Own() []turmericwall.UpstreamRate {
	return r.list(func(s *statement, now time.Time) bool { return !s.ownAt.IsZero() && now.Sub(s.ownAt) < listSpan })
}

func (r *Rates) list(wanted func(s *statement, now time.Time) bool) []turmericwall.UpstreamRate {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []turmericwall.UpstreamRate
	for key, s := range r.known {
		if !wanted(s, now) {
			continue
		}
		list = append(list, s.shared(key, now))
	}
	return list
}

// Forget drops the upstreams that are no longer known and stated nothing lately.
func (r *Rates) Forget(known func(turmericwall.UpstreamKey) bool) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, s := range r.known {
		if now.Sub(s.at) > forgetSpan && !known(key) {
			delete(r.known, key)
		}
	}
	r.any.Store(len(r.known) > 0)
}
