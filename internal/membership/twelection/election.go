// Package twelection elects the leader: it takes, renews and releases the leader's lease, a row in the store. The
// rules of the lease are in package twlease; this package reads and writes the row. It is not on a request's path,
// but the leader that it elects places calls and orders engines.
package twelection

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twlease"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

// Table is the table with the lease's row.
const Table = "leader"

const (
	// key is the key of the lease's row.
	key = "lease"
	// pollInterval is the time between two reads of the row while no leader is live.
	pollInterval = 400 * time.Millisecond
	// tickInterval is the time between two checks of what is due.
	tickInterval = 100 * time.Millisecond
	// startTickInterval is that time in the startSpan after the start, and nominationSpan is how long a daemon that is asked to take the
	// lease, but can't lead yet, tries again: after a loss of power it gets the state some hundredths of a second later.
	startTickInterval = 10 * time.Millisecond
	startSpan         = 2 * time.Second
	nominationSpan    = time.Second
)

// Store is the part of the store that an election reads and writes.
type Store interface {
	turmericwall.Feed
	turmericwall.RowWriter
}

// Config holds the settings, state providers and callbacks of an election.
type Config struct {
	Store    Store
	Self     turmericwall.Member
	Recorder turmericwall.Recorder
	// OrderGap is the least time between the last order of one holder and the first order of the next.
	OrderGap time.Duration
	// ElectionDelay is how long there must be no live leader before this daemon seeks the lease.
	ElectionDelay func() time.Duration
	// IsCandidate reports whether this daemon is a candidate; nil means always.
	IsCandidate func() bool
	// FollowsFreshLeader reports whether another daemon leads and its state is fresh.
	FollowsFreshLeader func() bool
	// IsReady reports whether this daemon can be the leader. A leader that is not ready releases the lease.
	IsReady func() bool
	// OnElected is called without a lock when this daemon becomes the leader; it may be nil.
	OnElected func()
	// OnOtherRow is called with each other row that is read with the lease; it may be nil.
	OnOtherRow func(row turmericwall.FeedRow)
}

// Election runs one daemon's part in the election. Its methods are safe for concurrent use.
type Election struct {
	config Config
	mu     sync.Mutex
	lease  *twlease.Lease
	// released is set once this daemon has released the lease.
	released    bool
	nominations chan struct{}
}

// New returns an election that has not read the lease yet.
func New(config Config) *Election {
	return &Election{
		config: config, lease: twlease.New(twlease.Config{Self: config.Self, OrderGap: config.OrderGap}),
		nominations: make(chan struct{}, 1),
	}
}

// Holds reports whether this daemon is the leader, and returns the number of its term.
func (e *Election) Holds() (term int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Term(), e.lease.Holds()
}

// Fence returns the fencing token for an order that is sent now, and whether this daemon may order engines.
func (e *Election) Fence() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Fence(twboottime.Now())
}

// Expired reports whether this daemon leads but failed to renew the lease within its term.
func (e *Election) Expired() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Expired(twboottime.Now())
}

// LeaseHolder returns the daemon that holds the lease as last seen.
func (e *Election) LeaseHolder() turmericwall.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Holder()
}

// RecordLeaseVersion records the version of the lease's row that its holder sent.
func (e *Election) RecordLeaseVersion(version int64, holder turmericwall.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.RecordVersion(twboottime.Now(), version, holder)
}

// ReclaimLease applies the lease's row as a peer saw it. If the row names an earlier incarnation of this daemon, this
// daemon takes the lease at once: any other daemon would have to wait for the takeover timeout of package twlease.
func (e *Election) ReclaimLease(version int64, holder turmericwall.Member) {
	if holder.Name != e.config.Self.Name || holder == e.config.Self {
		return
	}
	e.RecordLeaseVersion(version, holder)
	e.Nominate()
}

// RecordReadRow records the lease's row as this daemon has read it elsewhere, at its start. Other rows are ignored. It reports whether an
// earlier incarnation of this daemon holds the lease.
func (e *Election) RecordReadRow(row turmericwall.FeedRow) (heldBefore bool) {
	var lease twlease.Row
	if row.Key != key || json.Unmarshal(row.Value, &lease) != nil || lease.Holder == (turmericwall.Member{}) {
		return false
	}
	e.RecordLeaseVersion(row.Version, lease.Holder)
	e.ReclaimLease(row.Version, lease.Holder)
	return lease.Holder.Name == e.config.Self.Name && lease.Holder != e.config.Self
}

// LeaseVersion returns the version of the lease's row as last seen.
func (e *Election) LeaseVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Version()
}

// Yield ends this daemon's leadership, because another daemon has a later term.
func (e *Election) Yield() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.Yield()
}

// Nominate makes this daemon take the lease now, because the holder hands it over.
func (e *Election) Nominate() {
	select {
	case e.nominations <- struct{}{}:
	default:
	}
}

// Run takes and renews the lease until ctx ends.
func (e *Election) Run(ctx context.Context) error {
	tick := time.NewTicker(startTickInterval)
	defer tick.Stop()
	var nextAt, nominatedUntil twboottime.Instant
	startedAt := twboottime.Now()
	leaderSeenAt, starting := startedAt, true
	for {
		nominated := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.nominations:
			nominated = true
		case <-tick.C:
		}
		now := twboottime.Now()
		_, holds := e.Holds()
		if starting && (holds || now.Sub(startedAt) > startSpan) {
			starting = false
			tick.Reset(tickInterval)
		}
		if nominated {
			nominatedUntil = now.Add(nominationSpan)
		} else if now < nominatedUntil && !holds && !e.config.FollowsFreshLeader() {
			nominated = e.config.IsReady()
		}
		if holds && !e.config.IsReady() {
			e.release(ctx)
			continue
		}
		if now < nextAt && !nominated {
			continue
		}
		if holds {
			nextAt = now.Add(twlease.RenewInterval)
			e.writeRow(ctx)
			continue
		}
		if e.config.FollowsFreshLeader() && !nominated {
			leaderSeenAt = now
			continue
		}
		if e.config.IsCandidate != nil && !e.config.IsCandidate() && !nominated {
			continue
		}
		if (now.Sub(leaderSeenAt) < e.config.ElectionDelay() && !nominated) || !e.config.IsReady() {
			continue
		}
		nextAt, nominatedUntil = now.Add(pollInterval), 0
		if e.readRow(ctx) {
			e.writeRow(ctx)
		}
	}
}

// release releases the lease once, because this daemon stops. A failed write is logged and not repeated: the lease
// then times out.
func (e *Election) release(ctx context.Context) {
	e.mu.Lock()
	write, ok := e.lease.ReleaseWrite()
	ok = ok && !e.released
	e.released = true
	e.lease.MarkReleased()
	e.mu.Unlock()
	if !ok {
		return
	}
	_, _, _, err := e.config.Store.CompareAndSwap(ctx, Table, key, write.IfVersion, write.Value)
	e.config.Recorder.Record(turmericwall.EventLeaderChanged).
		Str("leader", "").Int("version", write.IfVersion).Err(err).Send()
}

// readRow reads the row and reports whether the store answered.
func (e *Election) readRow(ctx context.Context) bool {
	snapshot, err := e.config.Store.Rows(ctx, Table)
	if err != nil {
		e.config.Recorder.Record(turmericwall.EventLeaseUnreadable).Err(err).Send()
		return false
	}
	row := turmericwall.FeedRow{}
	for _, r := range snapshot.Rows {
		switch {
		case r.Key == key:
			row = r
		case e.config.OnOtherRow != nil:
			e.config.OnOtherRow(r)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if row.Version == 0 {
		e.lease.RecordMissing(twboottime.Now(), snapshot.Version)
		return true
	}
	e.lease.RecordRow(twboottime.Now(), row.Version, row.Value)
	return true
}

// writeRow takes or renews the lease if that is due.
func (e *Election) writeRow(ctx context.Context) {
	sentAt := twboottime.Now()
	e.mu.Lock()
	write, due := e.lease.NextWrite(sentAt)
	heldBefore := e.lease.Holds()
	e.mu.Unlock()
	if !due {
		return
	}
	version, current, ok, err := e.config.Store.CompareAndSwap(ctx, Table, key, write.IfVersion, write.Value)
	if err != nil {
		e.config.Recorder.Record(turmericwall.EventLeaseUnreadable).Int("version", write.IfVersion).Err(err).Send()
		return
	}
	e.mu.Lock()
	if !ok {
		e.lease.RecordRow(twboottime.Now(), current.Version, current.Value)
	} else {
		e.lease.ConfirmWrite(sentAt, write, version)
	}
	holder, term, holds := e.lease.Holder(), e.lease.Term(), e.lease.Holds()
	e.mu.Unlock()
	if holds == heldBefore {
		return
	}
	e.config.Recorder.Record(turmericwall.EventLeaderChanged).Str("leader", holder.Name).
		Int("term", term).Int("version", version).Send()
	// Called without the lock, because the callback may call Holds.
	if holds && e.config.OnElected != nil {
		e.config.OnElected()
	}
}
