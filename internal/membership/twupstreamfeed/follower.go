// Package twupstreamfeed applies the rows that upstreams write to this daemon's view of upstreams. It follows a watch
// of the table; calls are placed on the upstreams in that view.
package twupstreamfeed

import (
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twupstreams"
)

// Config holds the view to update and the decoder of rows.
type Config struct {
	View     *twupstreams.View
	Decoder  turmericwall.Decoder
	Recorder turmericwall.Recorder
	// Changed is called after each update of the view; it may be nil.
	Changed func()
}

// Follower applies rows to the view. It implements twwatch.Follower. A row that cannot be decoded counts as removed
// and is logged.
type Follower struct {
	config Config
	// ignoring is set while listings are older than the view.
	ignoring bool
	// unreadable are the rows that were last found unreadable, so that each is logged once and not at each read or change.
	unreadable map[string]bool
}

// New returns a follower that has applied no row.
func New(config Config) *Follower {
	return &Follower{config: config, unreadable: make(map[string]bool)}
}

// Reset applies a listing of all rows.
func (f *Follower) Reset(now time.Time, snapshot turmericwall.Snapshot) {
	var list []turmericwall.Upstream
	known := f.unreadable
	f.unreadable = make(map[string]bool)
	for _, row := range snapshot.Rows {
		if known[row.Key] {
			f.unreadable[row.Key] = true
		}
		if upstream, ok := f.decode(row); ok {
			list = append(list, upstream)
		}
	}
	f.recordListing(snapshot.Version, f.config.View.ApplyListing(now, snapshot.Version, list))
	f.notifyChanged()
}

// recordListing logs the first of several listings that the view ignores.
func (f *Follower) recordListing(version int64, applied bool) {
	if !applied && !f.ignoring {
		f.config.Recorder.Record(turmericwall.EventListingIgnored).Int("upstreamsVersion", f.config.View.Version()).
			Int("version", version).Send()
	}
	f.ignoring = !applied
}

// Change applies changed rows.
func (f *Follower) Change(now time.Time, snapshot turmericwall.Snapshot) {
	changes := make([]twupstreams.Change, 0, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		upstream, ok := f.decode(row)
		changes = append(changes, twupstreams.Change{
			Version: row.Version, ID: row.Key, Upstream: upstream, Removed: !ok,
		})
	}
	f.config.View.ApplyChanges(now, changes)
	f.notifyChanged()
}

// HasAll returns true: a row that can't be decoded names no upstream.
func (f *Follower) HasAll() bool { return true }

// StoreUnavailable records and logs that the rows cannot be read.
func (f *Follower) StoreUnavailable(err error) {
	f.config.View.MarkUnavailable()
	f.config.Recorder.Record(turmericwall.EventStoreUnavailable).Str("table", "upstreams").
		Int("version", f.config.View.Version()).Err(err).Send()
}

// StoreRegained records and logs that the rows can be read again; they were last read at lastReadAt.
func (f *Follower) StoreRegained(now, lastReadAt time.Time) {
	f.config.View.MarkAvailable(now, lastReadAt)
	f.config.Recorder.Record(turmericwall.EventStoreRegained).Str("table", "upstreams").
		Int("version", f.config.View.Version()).Send()
}

// decode returns the upstream of a row, or false if the row was removed or cannot be decoded. Both, and a leaving
// upstream, are logged.
func (f *Follower) decode(row turmericwall.FeedRow) (turmericwall.Upstream, bool) {
	if row.Removed {
		delete(f.unreadable, row.Key)
		f.config.Recorder.Record(turmericwall.EventVMLeaving).Str("upstream", row.Key).Str("state", "removed").
			Int("version", row.Version).Send()
		return turmericwall.Upstream{}, false
	}
	upstream, err := f.config.Decoder.Upstream(row.Key, row.Value)
	if err != nil {
		f.recordUnreadable(row, err)
		return turmericwall.Upstream{}, false
	}
	delete(f.unreadable, row.Key)
	if upstream.Leaving {
		f.config.Recorder.Record(turmericwall.EventVMLeaving).Str("upstream", row.Key).Str("state", "leaving").
			Int("version", row.Version).Send()
	}
	return upstream, true
}

// recordUnreadable logs a row that can't be decoded, once until it can or is removed.
func (f *Follower) recordUnreadable(row turmericwall.FeedRow, err error) {
	if f.unreadable[row.Key] {
		return
	}
	f.unreadable[row.Key] = true
	f.config.Recorder.Record(turmericwall.EventRowUnreadable).Str("row", row.Key).Int("version", row.Version).Err(err).Send()
}

// notifyChanged calls Changed, if it is set.
func (f *Follower) notifyChanged() {
	if f.config.Changed != nil {
		f.config.Changed()
	}
}
