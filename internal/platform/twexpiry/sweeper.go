// Package twexpiry deletes expired rows of the platform's table in the background. The claims and the ledger of each
// daemon run a Sweeper over their rows.
package twexpiry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
)

const (
	sweepInterval = 10 * time.Second
	pageRows      = 100
)

// Sweeper lists the rows under its prefixes page by page, and deletes those that have expired. All daemons may sweep
// the same rows at the same time: the deletion of a row that another daemon has deleted is a conflict, which changes
// nothing.
type Sweeper struct {
	config      Config
	prefixIndex int
	after       string
}

// Config holds the dependencies of a Sweeper and the rows that it sweeps.
type Config struct {
	Table  turmericwall.Table
	Writer turmericwall.Writer
	Clock  clockwork.Clock
	// Prefixes are the key prefixes of the rows, in the order in which they are swept.
	Prefixes []string
	// Expired reports whether the row with the value may be deleted.
	Expired func(value []byte, now time.Time) bool
}

// New returns a Sweeper that starts at the first prefix.
func New(config Config) *Sweeper { return &Sweeper{config: config} }

// Run sweeps one page every sweepInterval until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	ticker := s.config.Clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			s.SweepPage(ctx)
		}
	}
}

// SweepPage deletes the expired rows of the next page, and moves on to the next prefix after the last page of one. A
// failure is not reported, because a later sweep lists the rows again.
func (s *Sweeper) SweepPage(ctx context.Context) {
	rows, err := s.config.Table.List(ctx, s.config.Prefixes[s.prefixIndex], s.after, pageRows)
	if err != nil {
		return
	}
	now := s.config.Clock.Now()
	for _, row := range rows {
		if s.config.Expired(row.Value, now) {
			_ = s.config.Writer.Write(ctx, turmericwall.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
		}
	}
	if len(rows) == pageRows {
		s.after = rows[len(rows)-1].Key
		return
	}
	s.after = ""
	s.prefixIndex = (s.prefixIndex + 1) % len(s.config.Prefixes)
}
