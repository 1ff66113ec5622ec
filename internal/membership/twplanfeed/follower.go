// Package twplanfeed keeps the routes in step with the row that the operator writes.
package twplanfeed

import (
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/routing/twroutes"
)

// Config says what the follower works with.
type Config struct {
	// Key is the row that holds the plan.
	Key      string
	Routes   *twroutes.Table
	Decoder  turmericwall.Decoder
	Recorder turmericwall.Recorder
}

// Follower applies the operator's row to the routes.
type Follower struct{ config Config }

// New returns a follower.
func New(config Config) *Follower { return &Follower{config: config} }

// Reset takes all rows.
func (f *Follower) Reset(now time.Time, snapshot turmericwall.Snapshot) { f.Change(now, snapshot) }

// Change takes changed rows. A dropped or unreadable row leaves the plan in force.
func (f *Follower) Change(_ time.Time, snapshot turmericwall.Snapshot) {
	for _, row := range snapshot.Rows {
		if row.Key != f.config.Key || row.Dropped {
			continue
		}
		plan, err := f.config.Decoder.Plan(row.Value)
		if err != nil {
			f.config.Recorder.Record(turmericwall.EventDocumentUnreadable).Int("version", row.Version).Err(err).Send()
			continue
		}
		if f.config.Routes.Apply(plan) {
			f.config.Recorder.Record(turmericwall.EventDocumentApplied).Int("planVersion", plan.Version).
				Int("routes", int64(len(plan.Routes))).Int("version", row.Version).Send()
		}
	}
}

// StoreUnavailable tells that the row can't be read.
func (f *Follower) StoreUnavailable(err error) {
	f.config.Recorder.Record(turmericwall.EventStoreUnavailable).Str("table", "plan").Err(err).Send()
}

// StoreRegained tells that the row can be read again.
func (f *Follower) StoreRegained(time.Time, time.Time) {
	f.config.Recorder.Record(turmericwall.EventStoreRegained).Str("table", "plan").Send()
}
