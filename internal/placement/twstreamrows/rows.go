// Package twstreamrows keeps the records of streams in the store while engines of several software versions serve, so that callers can take
// their streams up after all daemons were killed at the same time. The leader, which gets the records of all daemons, writes them in batches
// and reads them when it is elected. It is not on a request's path; a record that isn't there in time costs a refusal, never a wrong version.
package twstreamrows

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twstreamrecords"
)

// Table is the table of the rows.
const Table = "streams"

const (
	// slots is the number of rows, which are used in turn, and slotSpan how long one is written again with what is new: together longer than
	// streams may be taken up.
	slots    = 64
	slotSpan = 5 * time.Second
	// writeInterval is the shortest mean time between two writes, of which writeBurst may be made at once.
	writeInterval = 500 * time.Millisecond
	writeBurst    = 2
	// checkInterval is the time between two checks whether there are new records, and loadInterval that between two reads while the store
	// does not answer.
	checkInterval = 100 * time.Millisecond
	loadInterval  = 500 * time.Millisecond
	// maxRowBytes bounds the ids of the streams in a row, well below the size that the store accepts, and maxIDBytes one of them.
	maxRowBytes = 40 << 10
	maxIDBytes  = 200
	// idBytes is what an id takes in a row beside itself.
	idBytes = 3
)

// Store is the part of the store that the rows are read from and written to.
type Store interface {
	turmericwall.RowWriter
	Rows(ctx context.Context, table string) (turmericwall.Snapshot, error)
}

// Config holds the dependencies of Rows.
type Config struct {
	Store   Store
	Records *twstreamrecords.Records
	// Leader reports whether this daemon is the leader.
	Leader func() bool
	// Needed reports whether the version of a stream may be unknown without its record.
	Needed   func() bool
	Recorder turmericwall.Recorder
	// Count counts an event for the metrics.
	Count func(name string, n int64)
}

// Rows reads and writes the rows.
type Rows struct {
	config Config
	writes *rate.Limiter
	// loaded is set once the rows were read in this daemon's present term as the leader, and loadAt when they may be read again.
	loaded bool
	loadAt time.Time
	// versions are the versions of the rows as last seen; 0 for one that doesn't exist.
	versions [slots]int64
	// next is the sequence number of the first record that no row has.
	next int64
	// slot is the row that is written now, slotEndsAt when the next one follows, batch what it has, and size the bytes of the ids in it.
	slot       int
	slotEndsAt time.Time
	batch      []turmericwall.StreamRecord
	size       int
	failing    bool
}

// New returns rows that were neither read nor written.
func New(config Config) *Rows {
	return &Rows{config: config, writes: rate.NewLimiter(rate.Every(writeInterval), writeBurst)}
}

// Run reads and writes the rows while this daemon is the leader, until ctx ends, and returns its error.
func (r *Rows) Run(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			r.Sync(ctx, now)
		}
	}
}

// Sync reads the rows if that is due, and writes the records that they lack.
func (r *Rows) Sync(ctx context.Context, now time.Time) {
	if !r.config.Leader() {
		r.loaded = false
		return
	}
	if !r.config.Needed() || (!r.loaded && !r.load(ctx, now)) {
		return
	}
	list, next := r.config.Records.After(r.next, true)
	if len(list) == 0 || !r.writes.AllowN(now, 1) {
		return
	}
	newest, size := newestWithin(list, maxRowBytes)
	if !now.Before(r.slotEndsAt) || r.size+size > maxRowBytes {
		r.beginSlot(now)
	}
	batch := append(r.batch[:len(r.batch):len(r.batch)], newest...)
	if err := r.write(ctx, batch); err != nil {
		r.recordFailure(err)
		return
	}
	r.failing = false
	r.batch, r.size, r.next = batch, r.size+size, next
	r.config.Count("streams_stored", int64(len(newest)))
	r.config.Count("streams_not_stored", int64(len(list)-len(newest)))
}

// newestWithin returns the newest records whose ids fit into the size, oldest first, and what they take.
func newestWithin(list []turmericwall.StreamRecord, maxSize int) (newest []turmericwall.StreamRecord, size int) {
	for _, record := range slices.Backward(list) {
		added := len(record.Stream) + idBytes
		if len(record.Stream) > maxIDBytes {
			continue
		}
		if size+added > maxSize {
			break
		}
		size += added
		newest = append(newest, record)
	}
	slices.Reverse(newest)
	return newest, size
}

// load reads all rows and reports whether the store answered.
func (r *Rows) load(ctx context.Context, now time.Time) bool {
	if now.Before(r.loadAt) {
		return false
	}
	r.loadAt = now.Add(loadInterval)
	snapshot, err := r.config.Store.Rows(ctx, Table)
	if err != nil {
		r.recordFailure(err)
		return false
	}
	r.versions = [slots]int64{}
	streams := 0
	for _, row := range snapshot.Rows {
		if slot, ok := slotOf(row.Key); ok {
			r.versions[slot] = row.Version
			streams += r.apply(row)
		}
	}
	r.loaded, r.failing = true, false
	r.beginSlot(now)
	r.config.Recorder.Record(turmericwall.EventStreamsRead).Int("rows", int64(len(snapshot.Rows))).Int("streams", int64(streams)).Send()
	return true
}

// apply records the streams of a row and returns their number.
func (r *Rows) apply(row turmericwall.FeedRow) int {
	list, err := decode(row.Value)
	if err != nil {
		r.config.Recorder.Record(turmericwall.EventRowUnreadable).Str("table", Table).Str("key", row.Key).
			Int("version", row.Version).Err(err).Send()
		return 0
	}
	r.config.Records.RecordAll(list)
	return len(list)
}

// beginSlot begins the row that was written the longest time ago.
func (r *Rows) beginSlot(now time.Time) {
	for slot, version := range r.versions {
		if version < r.versions[r.slot] {
			r.slot = slot
		}
	}
	r.slotEndsAt = now.Add(slotSpan)
	r.batch, r.size = nil, 0
}

// write writes the present row. If another daemon has written it since, its streams are recorded, and another row is begun.
func (r *Rows) write(ctx context.Context, batch []turmericwall.StreamRecord) error {
	value, err := encode(batch)
	if err != nil {
		return err
	}
	version, current, ok, err := r.config.Store.CompareAndSwap(ctx, Table, keyOf(r.slot), r.versions[r.slot], value)
	if err != nil {
		// It may have been carried out: the rows are read anew before the next write.
		r.loaded = false
		return fmt.Errorf("write the records of streams: %w", err)
	}
	if !ok {
		r.apply(current)
		r.loaded = false
		return errWrittenByAnother
	}
	r.versions[r.slot] = version
	return nil
}

var errWrittenByAnother = errors.New("another daemon has written the row")

// recordFailure logs the first of several failures.
func (r *Rows) recordFailure(err error) {
	r.config.Count("stream_rows_failed", 1)
	if !r.failing {
		r.config.Recorder.Record(turmericwall.EventStoreUnavailable).Str("table", Table).Err(err).Send()
	}
	r.failing = true
}

// group is the streams of one service and version in a row.
type group struct {
	Service string                       `json:"service"`
	Version turmericwall.SoftwareVersion `json:"version"`
	// RemainingMillis is how long the streams may be taken up from the row's writing on.
	RemainingMillis int64    `json:"remainingMillis"`
	Streams         []string `json:"streams"`
}

// rowValue is the value of a row.
type rowValue struct {
	Groups []group `json:"groups"`
}

// encode returns the value of a row with the records.
func encode(batch []turmericwall.StreamRecord) ([]byte, error) {
	type kind struct {
		service string
		version turmericwall.SoftwareVersion
	}
	var value rowValue
	index := make(map[kind]int)
	for _, record := range batch {
		of := kind{record.Service, record.Version}
		i, ok := index[of]
		if !ok {
			i = len(value.Groups)
			index[of] = i
			value.Groups = append(value.Groups, group{Service: record.Service, Version: record.Version})
		}
		g := &value.Groups[i]
		g.RemainingMillis = max(g.RemainingMillis, record.RemainingMillis)
		g.Streams = append(g.Streams, record.Stream)
	}
	return json.Marshal(value)
}

// decode returns the records in the value of a row.
func decode(text []byte) ([]turmericwall.StreamRecord, error) {
	var value rowValue
	if err := json.Unmarshal(text, &value); err != nil {
		return nil, fmt.Errorf("decode the records of streams: %w", err)
	}
	var list []turmericwall.StreamRecord
	for _, g := range value.Groups {
		for _, stream := range g.Streams {
			list = append(list, turmericwall.StreamRecord{
				Stream: stream, Service: g.Service, Version: g.Version, RemainingMillis: g.RemainingMillis,
			})
		}
	}
	return list, nil
}

func keyOf(slot int) string { return fmt.Sprintf("slot%02d", slot) }

// slotOf returns the slot of a row's key; ok is false for another row.
func slotOf(key string) (slot int, ok bool) {
	if _, err := fmt.Sscanf(key, "slot%02d", &slot); err != nil || slot < 0 || slot >= slots || key != keyOf(slot) {
		return 0, false
	}
	return slot, true
}
