// Package twwatch follows one small table of the store through outages and lost history.
package twwatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

const (
	// firstPause and maxPause bound the pause after a failed read; it doubles. Daemons must have a change within
	// two seconds of the store's return, so the longest pause is well below.
	firstPause = 150 * time.Millisecond
	maxPause   = 900 * time.Millisecond
	// leastWait keeps the reads of a slow store from following each other at once.
	leastWait = 100 * time.Millisecond
	// pausedLook is the pause between two looks at whether this daemon must read by itself again.
	pausedLook = 100 * time.Millisecond
)

// Follower takes what a watch reads.
type Follower interface {
	// Reset takes all rows of the table.
	Reset(now time.Time, snapshot turmericwall.Snapshot)
	// Change takes changed rows in order.
	Change(now time.Time, snapshot turmericwall.Snapshot)
	// Lost tells that the store can't be read.
	Lost(err error)
	// Regained tells that it can be read again; it was last read at the time since.
	Regained(now, since time.Time)
}

// Config says what to watch.
type Config struct {
	Feed     turmericwall.Feed
	Table    string
	Follower Follower
	// Wait is how long one read waits for changes. A read that is silently cut off is noticed after it.
	Wait time.Duration
	// Paused tells that another daemon reads the table for this one; nil never pauses.
	Paused func() bool
	// Known is the version up to which this daemon has all changes from others when its own reading begins; nil, or 0,
	// lists all rows.
	Known func() int64
	// Noted takes the outcome of each read; it may be nil.
	Noted func(err error)
	// Confirmed is called after each read that told the table's whole state, with the moment before it; it may be nil.
	Confirmed func(began twboottime.Moment)
	// ReadElsewhere is when another daemon last read the table for this one; nil tells that none ever did.
	ReadElsewhere func() time.Time
}

// Watch follows one table.
type Watch struct {
	config Config
	after  int64
	listed bool
	lost   bool
	pause  time.Duration
	// wait is how long the next read waits for changes.
	wait time.Duration
	// readAt is when the last answered read was begun. It keeps its steady clock: the time of day may jump by seconds,
	// and a leader that is cut off from the store would seem to read it.
	readAt atomic.Pointer[time.Time]
	// failing tells that the last read failed.
	failing atomic.Bool
	// relist asks for a listing of all rows at the next read.
	relist atomic.Bool
	// paused tells that others read for this daemon.
	paused bool
}

// New returns a watch that has read nothing.
func New(config Config) *Watch { return &Watch{config: config, pause: firstPause, wait: config.Wait} }

// Run follows the table until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if w.config.Paused != nil && w.config.Paused() {
			// What changes meanwhile is learned elsewhere. An outage that this watch has seen is over: remembered until it
			// reads again, it would pass for one of the whole time between.
			w.paused = true
			w.listed = false
			w.regain()
			sleep(ctx, pausedLook)
			continue
		}
		w.resume()
		began, beganMoment := time.Now(), twboottime.Now()
		whole, err := w.step(ctx)
		if whole {
			w.readAt.Store(&began)
			if w.config.Confirmed != nil {
				w.config.Confirmed(beganMoment)
			}
		}
		if ctx.Err() != nil {
			break
		}
		w.note(err)
		if w.config.Noted != nil {
			w.config.Noted(err)
		}
		if err != nil && !sleep(ctx, w.pause) {
			break
		}
	}
	return ctx.Err()
}

// Relist has the next read list all rows.
func (w *Watch) Relist() { w.relist.Store(true) }

// resume goes on after a pause at the version that others have told.
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
	if w.config.Known == nil {
		return
	}
	if version := w.config.Known(); version > 0 {
		w.after = max(w.after, version)
		w.listed = true
	}
}

// ReadAt is when the last answered read was begun; the zero time before the first.
func (w *Watch) ReadAt() time.Time {
	if at := w.readAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Failing tells that the last read was not answered.
func (w *Watch) Failing() bool { return w.failing.Load() }

// step reads all rows, or the changes since; whole tells that the follower then has all that was in the table.
func (w *Watch) step(ctx context.Context) (whole bool, err error) {
	if !w.listed {
		snapshot, err := w.config.Feed.Rows(ctx, w.config.Table)
		if err != nil {
			return false, err
		}
		w.regain()
		// A replica that lags may answer with an older version; the position never goes back.
		w.after = max(w.after, snapshot.Version)
		w.listed = true
		w.config.Follower.Reset(time.Now(), snapshot)
		return true, nil
	}
	began := time.Now()
	snapshot, err := w.config.Feed.Changes(ctx, w.config.Table, w.after, w.wait)
	if errors.Is(err, turmericwall.ErrHistoryLost) {
		w.listed = false
		return false, nil
	}
	if err != nil {
		// What changed while the store was away may be gone from its history too; all rows are read again.
		w.listed = false
		return false, err
	}
	w.regain()
	w.after = max(w.after, snapshot.Version)
	if len(snapshot.Rows) > 0 {
		w.config.Follower.Change(time.Now(), snapshot)
		return true, nil
	}
	w.adapt(time.Since(began) - w.wait)
	return true, nil
}

// adapt shortens the wait of the next read by what the store takes to answer, so that a read is over in the same time:
// what the leader knows must not grow stale with a slow store.
func (w *Watch) adapt(answer time.Duration) {
	w.wait = max(w.config.Wait-max(answer, 0), leastWait)
}

func (w *Watch) note(err error) {
	w.failing.Store(err != nil)
	if err == nil {
		w.pause = firstPause
		return
	}
	w.pause = min(2*w.pause, maxPause)
	if !w.lost {
		w.lost = true
		w.config.Follower.Lost(err)
	}
}

func (w *Watch) regain() {
	if w.lost {
		w.lost = false
		w.config.Follower.Regained(time.Now(), w.lastRead())
	}
}

// lastRead is when the table was last read, by this watch or for it.
func (w *Watch) lastRead() time.Time {
	at := w.ReadAt()
	if w.config.ReadElsewhere == nil {
		return at
	}
	if elsewhere := w.config.ReadElsewhere(); elsewhere.After(at) {
		return elsewhere
	}
	return at
}

func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
