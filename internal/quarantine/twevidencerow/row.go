// Package twevidencerow keeps the evidence of the leader in a row beside its lease. Daemons without a leader read the lease,
// and so learn in a cut from all other daemons what must not be sent to engines, without a call of their own.
package twevidencerow

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twquarantine"
)

const (
	// Key is the key of the row in the lease's table.
	Key = "evidence"
	// writeInterval is the shortest time between two writes.
	writeInterval = time.Second
	// checkInterval is the time between two checks whether the row lacks changes that couldn't be written at once.
	checkInterval = 250 * time.Millisecond
	// maxRowBytes is well below what the store accepts for a row. The oldest ends are left out of a longer one.
	maxRowBytes = 48 << 10
)

// Config holds the dependencies of a Row.
type Config struct {
	Store turmericwall.RowWriter
	// Table is the lease's table.
	Table      string
	Quarantine *twquarantine.Quarantine
	// IsLeader reports whether this daemon is the leader, which alone writes the row.
	IsLeader func() bool
	Recorder turmericwall.Recorder
}

// Row is the row with the leader's evidence. It is safe for concurrent use.
type Row struct {
	config Config
	mu     sync.Mutex
	// version is that of the row as last seen, written the version of the evidence in it, if this daemon wrote it.
	version, written int64
	wake             chan struct{}
}

// New returns a row that was not read yet.
func New(config Config) *Row { return &Row{config: config, wake: make(chan struct{}, 1)} }

// Notify has the row written at once after a change, unless it was written within writeInterval.
func (r *Row) Notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Apply adds the evidence of a row that was read.
func (r *Row) Apply(row turmericwall.FeedRow) {
	r.mu.Lock()
	known := row.Version == r.version
	r.version = row.Version
	r.mu.Unlock()
	var evidence turmericwall.Evidence
	if known || json.Unmarshal(row.Value, &evidence) != nil {
		return
	}
	r.config.Quarantine.Merge(evidence)
}

// Run writes the row while this daemon leads, after each change of its evidence, until ctx ends, and returns its error.
func (r *Row) Run(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	var nextAt time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		case <-tick.C:
		}
		if time.Now().Before(nextAt) || !r.isDue() {
			continue
		}
		nextAt = time.Now().Add(writeInterval)
		if err := r.WriteIfChanged(ctx); err != nil {
			r.config.Recorder.Record(turmericwall.EventStoreUnavailable).Str("table", r.config.Table).Err(err).Send()
		}
	}
}

// isDue reports whether this daemon leads and the row lacks changes of its evidence.
func (r *Row) isDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.IsLeader() && r.config.Quarantine.Version() != r.written
}

// WriteIfChanged writes the row if this daemon leads and its evidence has changed. If another daemon has written it since,
// that evidence is added, and the row is written with the next call.
func (r *Row) WriteIfChanged(ctx context.Context) error {
	changes := r.config.Quarantine.Version()
	if !r.isDue() {
		return nil
	}
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	value, err := r.encode()
	if err != nil {
		return err
	}
	newVersion, current, ok, err := r.config.Store.CompareAndSwap(ctx, r.config.Table, Key, version, value)
	if err != nil {
		return fmt.Errorf("write the evidence on engines that ended: %w", err)
	}
	if !ok {
		r.Apply(current)
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.written = newVersion, changes
	return nil
}

// encode returns the value of the row.
func (r *Row) encode() ([]byte, error) {
	evidence, _ := r.config.Quarantine.Export()
	for {
		value, err := json.Marshal(evidence)
		if err != nil {
			return nil, fmt.Errorf("encode the evidence on engines that ended: %w", err)
		}
		if len(value) <= maxRowBytes || len(evidence.Ends) == 0 {
			return value, nil
		}
		evidence.Ends = evidence.Ends[1:]
	}
}
