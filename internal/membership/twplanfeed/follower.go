// Package twplanfeed applies the row that the operator writes to this daemon's routes. It follows a watch of the
// table; requests are routed by the plan that it applies.
package twplanfeed

import (
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/routing/twroutes"
)

// Config holds the row's key, the routes to update and the decoder.
type Config struct {
	// Key is the key of the row that holds the plan.
	Key      string
	Routes   *twroutes.Table
	Decoder  turmericwall.Decoder
	Recorder turmericwall.Recorder
}

// Follower applies the operator's row to the routes. It implements twwatch.Follower.
type Follower struct {
	config Config
	// unreadable is set while the newest row can't be decoded. Only the watch's goroutine uses it.
	unreadable bool
}

// New returns a follower that has applied no row.
func New(config Config) *Follower { return &Follower{config: config} }

// Reset applies a listing of all rows.
func (f *Follower) Reset(now time.Time, snapshot turmericwall.Snapshot) { f.Change(now, snapshot) }

// Change applies changed rows. A removed or unreadable row leaves the plan in force; an unreadable one is logged and confirms nothing.
func (f *Follower) Change(_ time.Time, snapshot turmericwall.Snapshot) {
	for _, row := range snapshot.Rows {
		if row.Key != f.config.Key || row.Removed {
			continue
		}
		plan, err := f.config.Decoder.Plan(row.Value)
		f.unreadable = err != nil
		if err != nil {
			f.config.Recorder.Record(turmericwall.EventDocumentUnreadable).Int("version", row.Version).Err(err).Send()
			continue
		}
		plan.RowVersion = row.Version
		if f.config.Routes.Apply(plan) {
			f.config.Recorder.Record(turmericwall.EventDocumentApplied).Int("planVersion", plan.Version).
				Int("routes", int64(len(plan.Routes))).Int("version", row.Version).Send()
		}
	}
}

// HasAll reports whether the newest row was applied. A row that can't be decoded may have added and removed routes and keys.
func (f *Follower) HasAll() bool { return !f.unreadable }

// StoreUnavailable logs that the row cannot be read.
func (f *Follower) StoreUnavailable(err error) {
	f.config.Recorder.Record(turmericwall.EventStoreUnavailable).Str("table", "plan").Err(err).Send()
}

// StoreRegained logs that the row can be read again.
func (f *Follower) StoreRegained(time.Time, time.Time) {
	f.config.Recorder.Record(turmericwall.EventStoreRegained).Str("table", "plan").Send()
}
