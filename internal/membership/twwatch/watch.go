// Package twwatch follows one small table of the store through outages and lost history. It lists all rows once and
// then waits for changes; followers apply both. It is not on a request's path, but routes and upstreams come through
// it.
package twwatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twposition"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

const (
	// minBackoff and maxBackoff limit the wait after a failed read; it doubles with each failure. Daemons must have a
	// change within two seconds of the store's recovery, so the longest wait is well below that.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 900 * time.Millisecond
	// lostHistoryPause is the wait before rows are listed again although the last listing did not help: the replicas that
	// answer lag by seconds.
	lostHistoryPause = 100 * time.Millisecond
	// rewriteSpan is the time after a return from a copy in which what the store lost may not be written again yet.
	rewriteSpan = 2 * time.Second
	// firstEra is the era of a store that has never continued from a copy. In a later one a watch that has read nothing
	// can't tell how long ago the return was.
	firstEra = 1
	// minWait is the shortest wait for changes; it keeps reads of a slow store from following each other without a
	// pause.
	minWait = 100 * time.Millisecond
	// pausedPollInterval is the time between two checks whether a paused watch has to read again.
	pausedPollInterval = 100 * time.Millisecond
)

// Follower applies what a watch reads.
type Follower interface {
	// Reset applies a listing of all rows.
	Reset(now time.Time, snapshot turmericwall.Snapshot)
	// Change applies changed rows in order.
	Change(now time.Time, snapshot turmericwall.Snapshot)
	// HasAll reports whether it could apply all that it was given last of each row.
	HasAll() bool
	// StoreUnavailable is called when a read fails after reads succeeded.
	StoreUnavailable(err error)
	// StoreRegained is called when a read succeeds again; the table was last read at lastReadAt.
	StoreRegained(now, lastReadAt time.Time)
}

// Config holds the table, its follower and the callbacks of a watch.
type Config struct {
	Feed     turmericwall.Feed
	Table    string
	Follower Follower
	Recorder turmericwall.Recorder
	// Wait is how long one read waits for changes. A broken connection is noticed only after it.
	Wait time.Duration
	// Paused reports whether another daemon reads the table for this one; nil means never.
	Paused func() bool
	// KnownVersion returns the version up to which this daemon has all changes from peers when its own reading begins.
	// If it is nil or returns 0, all rows are listed.
	KnownVersion func() int64
	// OnRead is called with the outcome of each read; it may be nil.
	OnRead func(err error)
	// OnConfirmed is called after each read that brought the follower up to date with the whole table, with the time
	// before that read; it may be nil. It is not called while the follower lacks something, and not until lost writes are back after a
	// return from a copy.
	OnConfirmed func(sentAt twboottime.Instant)
	// PeerReadAt returns when another daemon last read the table for this one; nil means never.
	PeerReadAt func() time.Time
}

// Watch follows one table. Relist, ReadAt and Failing are safe for concurrent use with Run.
type Watch struct {
	config Config
	// after is the version up to which changes have been read.
	after       int64
	listed      bool
	unavailable bool
	// rewrittenAt is when lost writes are back after a return of the store from a copy.
	rewrittenAt time.Time
	// lostAnswers is how many answers in a row stated that the history is lost.
	lostAnswers int64
	// outdated is set while listings are older than after.
	outdated bool
	backoff  time.Duration
	// wait is how long the next read waits for changes.
	wait time.Duration
	// readAt is when the last answered read was sent. It keeps its monotonic clock reading: the wall clock may jump
	// by seconds, and a leader that is partitioned from the store would seem to read it.
	readAt atomic.Pointer[time.Time]
	// failing is set while the last read failed.
	failing atomic.Bool
	// relist requests a listing of all rows at the next read.
	relist atomic.Bool
	// paused is set while peers read for this daemon.
	paused bool
}

// New returns a watch that has read nothing.
func New(config Config) *Watch { return &Watch{config: config, backoff: minBackoff, wait: config.Wait} }

// Run follows the table until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if w.config.Paused != nil && w.config.Paused() {
			// Peers send what changes meanwhile. An outage that this watch has seen ends here: kept until the next
			// own read, it would seem to have lasted all the time between.
			w.paused = true
			w.listed = false
			w.endOutage()
			sleep(ctx, pausedPollInterval)
			continue
		}
		w.resume()
		sentAt, sentAtBootTime := time.Now(), twboottime.Now()
		complete, err := w.readOnce(ctx)
		if complete {
			w.readAt.Store(&sentAt)
			if w.config.OnConfirmed != nil && !sentAt.Before(w.rewrittenAt) && w.config.Follower.HasAll() {
				w.config.OnConfirmed(sentAtBootTime)
			}
		}
		if ctx.Err() != nil {
			break
		}
		w.recordResult(err)
		if w.config.OnRead != nil {
			w.config.OnRead(err)
		}
		if !sleep(ctx, w.pause(err)) {
			break
		}
	}
	return ctx.Err()
}

// pause returns the time to the next read after a read that ended with err.
func (w *Watch) pause(err error) time.Duration {
	if err != nil {
		return w.backoff
	}
	if w.lostAnswers > 1 && !w.listed {
		return lostHistoryPause
	}
	return 0
}

// Relist makes the next read list all rows.
func (w *Watch) Relist() { w.relist.Store(true) }

// resume continues after a pause from the version that peers have sent.
func (w *Watch) resume() {
	if w.relist.Swap(false) {
		w.listed = false
		w.paused = false
		return
	}
	if !w.paused {
		return
	}
	w.paused = false
	if w.config.KnownVersion == nil {
		return
	}
	if version := w.config.KnownVersion(); version > 0 {
		w.after = max(w.after, version)
		w.listed = true
	}
}

// ReadAt returns when the last answered read was sent; the zero time before the first one.
func (w *Watch) ReadAt() time.Time {
	if at := w.readAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Failing reports whether the last read failed.
func (w *Watch) Failing() bool { return w.failing.Load() }

// readOnce reads all rows, or the changes since the last read. complete reports whether the follower then has the
// whole table.
func (w *Watch) readOnce(ctx context.Context) (complete bool, err error) {
	if !w.listed {
		snapshot, err := w.config.Feed.Rows(ctx, w.config.Table)
		if err != nil {
			return false, err
		}
		w.endOutage()
		w.recordListing(snapshot.Version)
		if twposition.Position(snapshot.Version).Era() > max(twposition.Position(w.after).Era(), firstEra) {
			w.rewrittenAt = time.Now().Add(rewriteSpan)
		}
		// A lagging replica may answer with an older version; the version never goes back.
		w.after = max(w.after, snapshot.Version)
		w.listed = true
		w.config.Follower.Reset(time.Now(), snapshot)
		// A listing that is older than what was read before states nothing about the time since.
		return !w.outdated, nil
	}
	sentAt := time.Now()
	snapshot, err := w.config.Feed.Changes(ctx, w.config.Table, w.after, w.wait)
	if errors.Is(err, turmericwall.ErrHistoryLost) {
		w.recordHistoryLost()
		w.listed = false
		return false, nil
	}
	if err != nil {
		// The store may have dropped the changes of the outage from its history, so all rows are listed again.
		w.listed = false
		return false, err
	}
	w.endOutage()
	w.recordHistoryRegained()
	w.after = max(w.after, snapshot.Version)
	if len(snapshot.Rows) > 0 {
		w.config.Follower.Change(time.Now(), snapshot)
		return true, nil
	}
	w.adaptWait(time.Since(sentAt) - w.wait)
	return true, nil
}

// recordHistoryLost logs the first of several answers that state that the history is lost.
func (w *Watch) recordHistoryLost() {
	w.lostAnswers++
	if w.lostAnswers == 1 {
		w.config.Recorder.Record(turmericwall.EventHistoryLost).Str("table", w.config.Table).
			Int("position", w.after).Send()
	}
}

// recordHistoryRegained logs that changes are read again.
func (w *Watch) recordHistoryRegained() {
	if w.lostAnswers == 0 {
		return
	}
	w.config.Recorder.Record(turmericwall.EventHistoryRegained).Str("table", w.config.Table).
		Int("position", w.after).Int("answers", w.lostAnswers).Send()
	w.lostAnswers = 0
}

// recordListing logs the first of several listings that are older than the position of this watch.
func (w *Watch) recordListing(version int64) {
	outdated := version < w.after
	if outdated && !w.outdated {
		w.config.Recorder.Record(turmericwall.EventListingOutdated).Str("table", w.config.Table).
			Int("position", w.after).Int("version", version).Send()
	}
	w.outdated = outdated
}

// adaptWait shortens the next read's wait by the time that the store takes to answer, so that a read takes the same
// time in all: the leader's state must not become stale because the store is slow.
func (w *Watch) adaptWait(answerTime time.Duration) {
	w.wait = max(w.config.Wait-max(answerTime, 0), minWait)
}

// recordResult adapts the back-off to the outcome of a read, and reports the start of an outage to the follower.
func (w *Watch) recordResult(err error) {
	w.failing.Store(err != nil)
	if err == nil {
		w.backoff = minBackoff
		return
	}
	w.backoff = min(2*w.backoff, maxBackoff)
	if !w.unavailable {
		w.unavailable = true
		w.config.Follower.StoreUnavailable(err)
	}
}

// endOutage reports the end of an outage to the follower.
func (w *Watch) endOutage() {
	if w.unavailable {
		w.unavailable = false
		w.config.Follower.StoreRegained(time.Now(), w.lastReadAt())
	}
}

// lastReadAt returns when the table was last read, by this watch or for it.
func (w *Watch) lastReadAt() time.Time {
	at := w.ReadAt()
	if w.config.PeerReadAt == nil {
		return at
	}
	if elsewhere := w.config.PeerReadAt(); elsewhere.After(at) {
		return elsewhere
	}
	return at
}

// sleep waits for the duration and reports whether ctx was still valid at its end.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
