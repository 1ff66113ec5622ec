// Package twclear deletes rows past their lifetime.
package twclear

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
)

const (
	interval = 10 * time.Second
	maxRows  = 100
)

// Clearer walks slowly through the rows under its prefixes. All daemons may run one at once: a row that
// another deleted first is a conflict, which changes nothing.
type Clearer struct {
	config Config
	prefix int
	after  string
}

// Config names the rows and their lifetime.
type Config struct {
	Table    turmericwall.Table
	Writer   turmericwall.Writer
	Clock    clockwork.Clock
	Prefixes []string
	// Expired tells from a row's value whether it may go.
	Expired func(value []byte, now time.Time) bool
}

// New returns a clearer at the first prefix.
func New(config Config) *Clearer { return &Clearer{config: config} }

// Run clears until ctx ends.
func (c *Clearer) Run(ctx context.Context) error {
	ticker := c.config.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			c.Step(ctx)
		}
	}
}

// Step looks at the next rows, and goes to the next prefix at the end of one.
func (c *Clearer) Step(ctx context.Context) {
	rows, err := c.config.Table.List(ctx, c.config.Prefixes[c.prefix], c.after, maxRows)
	if err != nil {
		return
	}
	now := c.config.Clock.Now()
	for _, row := range rows {
		if c.config.Expired(row.Value, now) {
			_ = c.config.Writer.Write(ctx, turmericwall.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
		}
	}
	if len(rows) == maxRows {
		c.after = rows[len(rows)-1].Key
		return
	}
	c.after = ""
	c.prefix = (c.prefix + 1) % len(c.config.Prefixes)
}
