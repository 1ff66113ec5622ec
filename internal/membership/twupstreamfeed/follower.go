// Package twupstreamfeed keeps the view of upstreams in step with the rows that they write.
package twupstreamfeed

import (
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twupstreams"
)

// Config says what the follower works with.
type Config struct {
	View     *twupstreams.View
	Decoder  turmericwall.Decoder
	Recorder turmericwall.Recorder
	// Changed is called after each change; it may be nil.
	Changed func()
}

// Follower applies rows to the view. Rows that can't be read name no upstream and are skipped.
type Follower struct{ config Config }

// New returns a follower.
func New(config Config) *Follower { return &Follower{config: config} }

// Reset takes all rows.
func (f *Follower) Reset(now time.Time, snapshot turmericwall.Snapshot) {
	var list []turmericwall.Upstream
	for _, row := range snapshot.Rows {
		if upstream, ok := f.decode(row); ok {
			list = append(list, upstream)
		}
	}
	f.config.View.List(now, snapshot.Version, list)
	f.changed()
}

// Change takes changed rows.
func (f *Follower) Change(now time.Time, snapshot turmericwall.Snapshot) {
	for _, row := range snapshot.Rows {
		upstream, ok := f.decode(row)
		if !ok {
			f.config.View.Remove(now, row.Version, row.Key)
			continue
		}
		f.config.View.Put(row.Version, upstream)
	}
	f.changed()
}

// StoreUnavailable tells that the rows can't be read.
func (f *Follower) StoreUnavailable(err error) {
	f.config.View.MarkUnavailable()
	f.config.Recorder.Record(turmericwall.EventStoreUnavailable).Str("table", "upstreams").
		Int("version", f.config.View.Version()).Err(err).Send()
}

// StoreRegained tells that the rows can be read again.
func (f *Follower) StoreRegained(now, lastReadAt time.Time) {
	f.config.View.MarkAvailable(now, lastReadAt)
	f.config.Recorder.Record(turmericwall.EventStoreRegained).Str("table", "upstreams").
		Int("version", f.config.View.Version()).Send()
}

func (f *Follower) decode(row turmericwall.FeedRow) (turmericwall.Upstream, bool) {
	if row.Dropped {
		f.config.Recorder.Record(turmericwall.EventVMLeaving).Str("upstream", row.Key).Str("state", "removed").
			Int("version", row.Version).Send()
		return turmericwall.Upstream{}, false
	}
	upstream, err := f.config.Decoder.Upstream(row.Key, row.Value)
	if err != nil {
		f.config.Recorder.Record(turmericwall.EventRowUnreadable).Str("row", row.Key).Int("version", row.Version).
			Err(err).Send()
		return turmericwall.Upstream{}, false
	}
	if upstream.Leaving {
		f.config.Recorder.Record(turmericwall.EventVMLeaving).Str("upstream", row.Key).Str("state", "leaving").
			Int("version", row.Version).Send()
	}
	return upstream, true
}

func (f *Follower) changed() {
	if f.config.Changed != nil {
		f.config.Changed()
	}
}
