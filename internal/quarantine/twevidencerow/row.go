// Package twevidencerow keeps evidence in a row beside the leader's lease. Daemons that start, or are without a leader, read it, and
// so learn in a cut from all other daemons what must not be sent to upstreams.
package twevidencerow

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twquarantine"
)

const (
	// Key is the key of the row in the lease's table.
	Key = "evidence"
	// writeInterval is the shortest mean time between two writes, of which writeBurst may be made at once: a request is quarantined
	// by its third end.
	writeInterval = time.Second
	writeBurst    = 4
	// checkInterval is the time between two checks whether the row lacks changes that couldn't be written at once.
	checkInterval = 250 * time.Millisecond
	// startInterval is the time between two checks at the start whether the row has to be read.
	startInterval = 10 * time.Millisecond
	// maxLeaderWait is how long a daemon that has others' evidence waits for a leader's heartbeat before it serves.
	maxLeaderWait = 800 * time.Millisecond
	// maxRowBytes is well below what the store accepts for a row. The oldest ends are left out of a longer one.
	maxRowBytes = 48 << 10
)

// Store is the part of the store that a row is read from and written to.
type Store interface {
	turmericwall.RowWriter
	Rows(ctx context.Context, table string) (turmericwall.Snapshot, error)
}

// Config holds the dependencies of a Row.
type Config struct {
	Store Store
	// Table is the lease's table.
	Table      string
	Quarantine *twquarantine.Quarantine
	// Leader reports whether this daemon is the leader, and whether there is a live one.
	Leader func() (self, live bool)
	// HasState reports whether this daemon has the state without which it serves no calls.
	HasState func() bool
	// MayRead reports whether this daemon, which has nobody's evidence yet, may read the row now; nil means always.
	MayRead func() bool
	// OnOtherRow is called with each other row of the table that is read at the start; it may be nil.
	OnOtherRow func(row turmericwall.FeedRow)
	Recorder   turmericwall.Recorder
}

// Row is the row with the leader's evidence. It is safe for concurrent use.
type Row struct {
	config Config
	mu     sync.Mutex
	// version is that of the row as last seen, written the version of the evidence in it, if this daemon wrote it.
	version, written int64
	// ownWritten is the number of this daemon's own changes that the row includes.
	ownWritten int64
	// writes limits the writes.
	writes *rate.Limiter
	// failing is set while the last read at the start has failed.
	failing atomic.Bool
}

// New returns a row that was not read yet.
func New(config Config) *Row {
	return &Row{config: config, writes: rate.NewLimiter(rate.Every(writeInterval), writeBurst)}
}

// Apply adds the evidence of a row that was read.
func (r *Row) Apply(row turmericwall.FeedRow) {
	r.mu.Lock()
	known := row.Version == r.version
	r.version = row.Version
	r.mu.Unlock()
	if known {
		return
	}
	var evidence turmericwall.Evidence
	if err := json.Unmarshal(row.Value, &evidence); err != nil {
		r.config.Recorder.Record(turmericwall.EventRowUnreadable).Str("table", r.config.Table).Str("key", Key).Err(err).Send()
		return
	}
	r.config.Quarantine.Merge(evidence)
}

// Run reads the row at the start, unless a peer has told this daemon what others know, and writes it after changes that could not be written
// at once. It returns the error of ctx when that ends.
func (r *Row) Run(ctx context.Context) error {
	r.loadAtStart(ctx)
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		if self, live := r.config.Leader(); self || !live {
			r.Persist(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// loadAtStart reads the row, unless a peer that has it answers first; the election and the reads of the state go on meanwhile. A live
// leader knows more, and which runs are under way: its heartbeat is waited for in both cases, from when this daemon could serve.
func (r *Row) loadAtStart(ctx context.Context) {
	tick := time.NewTicker(startInterval)
	defer tick.Stop()
	ended := make(chan struct{}, 1)
	reading := false
	var learntAt time.Time
	for !r.config.Quarantine.IsCurrent() {
		switch {
		case learntAt.IsZero() && r.config.Quarantine.HasEvidence():
			if r.config.HasState() {
				learntAt = time.Now()
			}
		case learntAt.IsZero() && !reading && r.mayRead():
			reading = true
			go func() {
				r.failing.Store(!r.Load(ctx))
				ended <- struct{}{}
			}()
		case !learntAt.IsZero() && time.Since(learntAt) > maxLeaderWait:
			r.config.Quarantine.MarkCurrent()
		}
		select {
		case <-ctx.Done():
			return
		case <-ended:
			reading = false
		case <-tick.C:
		}
	}
}

func (r *Row) mayRead() bool { return r.config.MayRead == nil || r.config.MayRead() }

// IsFailing reports whether the last read at the start has failed.
func (r *Row) IsFailing() bool { return r.failing.Load() }

// Load reads the row, so that this daemon knows what others knew before it. It reports whether the store answered.
func (r *Row) Load(ctx context.Context) bool {
	snapshot, err := r.config.Store.Rows(ctx, r.config.Table)
	if err != nil {
		r.config.Recorder.Record(turmericwall.EventStoreUnavailable).Str("table", r.config.Table).Err(err).Send()
		return false
	}
	for _, row := range snapshot.Rows {
		switch {
		case row.Key == Key:
			r.Apply(row)
		case r.config.OnOtherRow != nil:
			r.config.OnOtherRow(row)
		}
	}
	r.config.Quarantine.MarkRow()
	return true
}

// Persist writes the row if it lacks changes that this daemon has to write, unless it has written it too often lately.
func (r *Row) Persist(ctx context.Context) {
	if !r.isDue() || !r.writes.Allow() {
		return
	}
	if err := r.WriteIfChanged(ctx); err != nil {
		r.config.Recorder.Record(turmericwall.EventStoreUnavailable).Str("table", r.config.Table).Err(err).Send()
	}
}

// isDue reports whether the row lacks changes that this daemon has to write: as the leader all, else those that it noticed itself.
func (r *Row) isDue() bool {
	self, _ := r.config.Leader()
	r.mu.Lock()
	defer r.mu.Unlock()
	return (self && r.config.Quarantine.Version() != r.written) || r.config.Quarantine.OwnChanges() != r.ownWritten
}

// WriteIfChanged writes the row if it lacks changes that this daemon has to write. If another daemon has written it since, that
// evidence is added, and the row is written once more.
func (r *Row) WriteIfChanged(ctx context.Context) error {
	for range 2 {
		if !r.isDue() {
			return nil
		}
		if written, err := r.write(ctx); written || err != nil {
			return err
		}
	}
	return nil
}

// write writes the row; written is false if another daemon has written it since.
func (r *Row) write(ctx context.Context) (written bool, err error) {
	changes, own := r.config.Quarantine.Version(), r.config.Quarantine.OwnChanges()
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	value, err := r.encode()
	if err != nil {
		return false, err
	}
	newVersion, current, ok, err := r.config.Store.CompareAndSwap(ctx, r.config.Table, Key, version, value)
	if err != nil {
		return false, fmt.Errorf("write the evidence on upstreams that ended: %w", err)
	}
	if !ok {
		r.Apply(current)
		return false, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.written, r.ownWritten = newVersion, changes, own
	return true, nil
}

// encode returns the value of the row.
func (r *Row) encode() ([]byte, error) {
	evidence, _ := r.config.Quarantine.Export()
	evidence.Ends = slices.DeleteFunc(evidence.Ends, isSettled)
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

// isSettled reports whether nothing can be blamed for an end any more.
func isSettled(end turmericwall.UpstreamEnd) bool {
	return !slices.ContainsFunc(end.Inputs, func(input turmericwall.EndedInput) bool {
		return input.Mark != turmericwall.MarkRefuted && input.Mark != turmericwall.MarkCleared
	})
}
