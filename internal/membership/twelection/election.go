// Package twelection keeps or seeks the leader's lease in the store.
package twelection

import (
	"context"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twlease"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

const (
	// table and key name the lease's row.
	table = "leader"
	key   = "lease"
	// lookEvery is the pause between two looks at the row while no leader is heard.
	lookEvery = 400 * time.Millisecond
	// stepEvery is the pause between two looks at the clock.
	stepEvery = 100 * time.Millisecond
)

// Store is what the election reads and writes.
type Store interface {
	turmericwall.Feed
	turmericwall.RowWriter
}

// Config says what the election works with.
type Config struct {
	Store    Store
	Self     turmericwall.Member
	Recorder turmericwall.Recorder
	// Apart is the least time between the orders of two holders.
	Apart time.Duration
	// Patience is how long no leader must be heard before this daemon seeks the lease.
	Patience func() time.Duration
	// Seeks tells that this daemon is a candidate; nil tells that it always is.
	Seeks func() bool
	// LeaderHeard tells that another daemon lately said that it is the leader.
	LeaderHeard func() bool
	// Ready tells that this daemon knows enough to be the leader.
	Ready func() bool
	// Elected is called when this daemon becomes the leader; it may be nil.
	Elected func()
}

// Election runs one daemon's part in the choice of the leader.
type Election struct {
	config Config
	mu     sync.Mutex
	lease  *twlease.Lease
	// released tells that this daemon gave the lease up.
	released  bool
	nominated chan struct{}
}

// New returns an election that has begun nothing.
func New(config Config) *Election {
	return &Election{config: config, lease: twlease.New(twlease.Config{Self: config.Self, Apart: config.Apart}), nominated: make(chan struct{}, 1)}
}

// Holds tells that this daemon is the leader, and the number of its term.
func (e *Election) Holds() (term int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Term(), e.lease.Holds()
}

// Fence returns the fencing number for an order sent now.
func (e *Election) Fence() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Fence(twboottime.Now())
}

// Expired tells that this daemon leads but could not renew the lease within its term.
func (e *Election) Expired() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Expired(twboottime.Now())
}

// Holder is who holds the lease as last seen.
func (e *Election) Holder() turmericwall.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Holder()
}

// Told takes the version of the lease's row that its holder tells of.
func (e *Election) Told(version int64, holder turmericwall.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.Told(twboottime.Now(), version, holder)
}

// Restarted takes the lease's row as a peer saw it. A row that names an earlier incarnation of this daemon is taken at
// once: nobody else may before it has been silent.
func (e *Election) Restarted(version int64, holder turmericwall.Member) {
	if holder.Name != e.config.Self.Name || holder == e.config.Self {
		return
	}
	e.Told(version, holder)
	e.Nominate()
}

// Version is the version of the lease's row as last seen.
func (e *Election) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Version()
}

// Yield ends this daemon's part as leader, because another one has a later term.
func (e *Election) Yield() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.Lost()
}

// Nominate has this daemon take the lease, because its holder stops.
func (e *Election) Nominate() {
	select {
	case e.nominated <- struct{}{}:
	default:
	}
}

// Run keeps or seeks the lease until ctx ends.
func (e *Election) Run(ctx context.Context) error {
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	var nextAt twboottime.Moment
	heardAt := twboottime.Now()
	for {
		nominated := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.nominated:
			nominated = true
		case <-tick.C:
		}
		now := twboottime.Now()
		_, holds := e.Holds()
		if holds && !e.config.Ready() {
			e.release(ctx)
			continue
		}
		if now < nextAt && !nominated {
			continue
		}
		if holds {
			nextAt = now.Add(twlease.RenewEvery)
			e.write(ctx)
			continue
		}
		if e.config.LeaderHeard() && !nominated {
			heardAt = now
			continue
		}
		if e.config.Seeks != nil && !e.config.Seeks() && !nominated {
			continue
		}
		if (now.Sub(heardAt) < e.config.Patience() && !nominated) || !e.config.Ready() {
			continue
		}
		nextAt = now.Add(lookEvery)
		if e.look(ctx) {
			e.write(ctx)
		}
	}
}

// release gives the lease up once, because this daemon stops.
func (e *Election) release(ctx context.Context) {
	e.mu.Lock()
	intent, ok := e.lease.Release()
	ok = ok && !e.released
	e.released = true
	e.lease.Released()
	e.mu.Unlock()
	if !ok {
		return
	}
	_, _, _, err := e.config.Store.Swap(ctx, table, key, intent.IfVersion, intent.Value)
	e.config.Recorder.Record(turmericwall.EventLeaderChanged).Str("leader", "").Int("version", intent.IfVersion).Err(err).Send()
}

// look reads the row.
func (e *Election) look(ctx context.Context) bool {
	snapshot, err := e.config.Store.Rows(ctx, table)
	if err != nil {
		e.config.Recorder.Record(turmericwall.EventLeaseUnreadable).Err(err).Send()
		return false
	}
	row := turmericwall.FeedRow{}
	for _, r := range snapshot.Rows {
		if r.Key == key {
			row = r
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.Seen(twboottime.Now(), row.Version, row.Value)
	return true
}

// write takes or renews the lease when that is due.
func (e *Election) write(ctx context.Context) {
	sentAt := twboottime.Now()
	e.mu.Lock()
	intent, due := e.lease.Next(sentAt)
	held := e.lease.Holds()
	e.mu.Unlock()
	if !due {
		return
	}
	version, current, ok, err := e.config.Store.Swap(ctx, table, key, intent.IfVersion, intent.Value)
	if err != nil {
		e.config.Recorder.Record(turmericwall.EventLeaseUnreadable).Int("version", intent.IfVersion).Err(err).Send()
		return
	}
	e.mu.Lock()
	if !ok {
		e.lease.Seen(twboottime.Now(), current.Version, current.Value)
	} else {
		e.lease.Written(sentAt, intent, version)
	}
	holder, term, holds := e.lease.Holder(), e.lease.Term(), e.lease.Holds()
	e.mu.Unlock()
	if holds == held {
		return
	}
	e.config.Recorder.Record(turmericwall.EventLeaderChanged).Str("leader", holder.Name).
		Int("term", term).Int("version", version).Send()
	// Called without the lock: who hears it asks back whether this daemon holds the lease.
	if holds && e.config.Elected != nil {
		e.config.Elected()
	}
}
